//! A client of a balancer's admin API.
use std::io;
use std::net::SocketAddr;
use std::time::Duration;

use bytes::Bytes;
use futures_util::{SinkExt, StreamExt};
use stairfront_codec::budget::Budget;
use stairfront_codec::http_client::{HttpClientCodec, Request, RequestBody};
use tokio::net::TcpStream;
use tokio::time::timeout;
use tokio_util::codec::Framed;

/// Time limit of a call; the admin server answers within a second.
const CALL_TIMEOUT: Duration = Duration::from_secs(2);
/// Largest response: some thousand members, or a long history.
const MAX_RESPONSE_BYTES: usize = 1 << 20;
/// The status of a call that was carried out.
const OK: u16 = 200;

/// A response of the admin server.
pub struct AdminResponse {
    /// HTTP status.
    pub status: u16,
    /// Its body.
    pub body: Bytes,
}

impl AdminResponse {
    /// Whether the call was carried out.
    pub fn is_ok(&self) -> bool {
        self.status == OK
    }

    /// The body as text, without white space at its ends.
    pub fn text(&self) -> String {
        String::from_utf8_lossy(&self.body).trim().to_string()
    }

    /// The body of a call that was carried out, as JSON.
    pub fn json<T: serde::de::DeserializeOwned>(&self) -> io::Result<T> {
        if !self.is_ok() {
            return Err(self.error());
        }
        serde_json::from_slice(&self.body).map_err(io::Error::other)
    }

    /// The error that a response stands for which is not OK.
    pub fn error(&self) -> io::Error {
        io::Error::other(format!("status {}: {}", self.status, self.text()))
    }
}

/// Calls the admin server at `address`, on a connection of its own.
pub async fn call(
    address: SocketAddr,
    method: &'static str,
    target: &str,
    body: Option<Vec<u8>>,
) -> io::Result<AdminResponse> {
    let exchange = exchange(address, method, target, body);
    timeout(CALL_TIMEOUT, exchange)
        .await
        .unwrap_or_else(|_| Err(io::ErrorKind::TimedOut.into()))
}

async fn exchange(
    address: SocketAddr,
    method: &'static str,
    target: &str,
    body: Option<Vec<u8>>,
) -> io::Result<AdminResponse> {
    let socket = TcpStream::connect(address).await?;
    let codec = HttpClientCodec::new(MAX_RESPONSE_BYTES, &Budget::new(MAX_RESPONSE_BYTES));
    let mut connection = Framed::new(socket, codec);
    let request = Request {
        method,
        target: target.to_string(),
        headers: vec![("Host", Bytes::from(address.to_string()))],
        body: body.map_or(RequestBody::Empty, |body| RequestBody::Inline(body.into())),
    };
    connection.send(request).await.map_err(io::Error::other)?;
    let response = connection
        .next()
        .await
        .ok_or(io::ErrorKind::UnexpectedEof)?;
    let response = response.map_err(io::Error::other)?;
    Ok(AdminResponse {
        status: response.status,
        body: response.body,
    })
}

/// Percent-encodes a value of a query: everything but letters, digits, `-`, `.` and `_`.
pub fn percent_encode(value: &str) -> String {
    let encode = |byte: u8| match byte {
        b'a'..=b'z' | b'A'..=b'Z' | b'0'..=b'9' | b'-' | b'.' | b'_' => (byte as char).to_string(),
        other => format!("%{other:02X}"),
    };
    value.bytes().map(encode).collect()
}

/// A runtime for calls to the admin server.
pub fn runtime() -> io::Result<tokio::runtime::Runtime> {
    tokio::runtime::Builder::new_current_thread()
        .enable_all()
        .build()
}
