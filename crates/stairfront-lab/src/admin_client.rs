//! A client of the balancers' admin addresses: one request on a connection of its own.
use std::io;
use std::net::SocketAddr;
use std::time::Duration;

use tokio::io::{AsyncReadExt, AsyncWriteExt};
use tokio::net::TcpStream;
use tokio::time::timeout;

const ANSWER_TIMEOUT: Duration = Duration::from_millis(1500);
const MAX_ANSWER_BYTES: u64 = 1 << 20;

/// The answer of an admin address.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct AdminAnswer {
    /// HTTP status.
    pub status: u16,
    /// Body as it came.
    pub body: Vec<u8>,
}

/// Sends one request and reads the answer until the connection closes.
///
/// # Errors
///
/// The connection failed, the answer took longer than 1.5 s, or it was not HTTP.
pub async fn call(
    address: SocketAddr,
    method: &str,
    path: &str,
    body: &str,
) -> io::Result<AdminAnswer> {
    timeout(ANSWER_TIMEOUT, exchange(address, method, path, body))
        .await
        .unwrap_or_else(|_| Err(io::ErrorKind::TimedOut.into()))
}

async fn exchange(
    address: SocketAddr,
    method: &str,
    path: &str,
    body: &str,
) -> io::Result<AdminAnswer> {
    let mut socket = TcpStream::connect(address).await?;
    let length = body.len();
    let head = format!("{method} {path} HTTP/1.1\r\nHost: lab\r\nContent-Length: {length}\r\n\r\n");
    socket.write_all(format!("{head}{body}").as_bytes()).await?;
    let mut answer = Vec::new();
    socket
        .take(MAX_ANSWER_BYTES)
        .read_to_end(&mut answer)
        .await?;
    parse_answer(&answer).ok_or_else(|| io::ErrorKind::InvalidData.into())
}

fn parse_answer(answer: &[u8]) -> Option<AdminAnswer> {
    let end = answer.windows(4).position(|four| four == b"\r\n\r\n")?;
    let head = std::str::from_utf8(&answer[..end]).ok()?;
    let status = head.split(' ').nth(1)?.parse().ok()?;
    let body = answer[end + 4..].to_vec();
    Some(AdminAnswer { status, body })
}
