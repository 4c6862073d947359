//! One call at a balancer's operators' door.
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

/// The door answers within a second.
const LIMIT: Duration = Duration::from_secs(2);
/// Some thousand members, or a long history.
const LARGEST: usize = 1 << 20;

/// Status and body of the answer.
pub async fn call(
    ops: SocketAddr,
    method: &'static str,
    target: &str,
    body: Option<Vec<u8>>,
) -> io::Result<(u16, Bytes)> {
    let whole = async {
        let socket = TcpStream::connect(ops).await?;
        let mut wire = Framed::new(socket, HttpClientCodec::new(LARGEST, &Budget::new(LARGEST)));
        let headers = vec![("Host", Bytes::from(ops.to_string()))];
        let body = body.map_or(RequestBody::Empty, |body| RequestBody::Inline(body.into()));
        let request = Request {
            method,
            target: target.to_string(),
            headers,
            body,
        };
        wire.send(request).await.map_err(io::Error::other)?;
        let answer = wire
            .next()
            .await
            .ok_or(io::ErrorKind::UnexpectedEof)?
            .map_err(io::Error::other)?;
        Ok((answer.status, answer.body))
    };
    timeout(LIMIT, whole)
        .await
        .unwrap_or_else(|_| Err(io::ErrorKind::TimedOut.into()))
}
