//! Large values on their way from a server to a client, chunk by chunk.
use std::time::Duration;

use bytes::Bytes;
use futures_util::StreamExt;
use stairfront_codec::message_part::MessagePart;
use stairfront_policy::interface::Outcome;
use tokio::sync::mpsc;
use tokio_util::codec::Framed;
use tracing::debug;

use crate::clock::timeout;
use crate::messages::BodyChunk;
use crate::transport::Stream;
use crate::upstream::connection::{ConnectionContext, UpstreamProtocol};
use crate::upstream::proof::AnswerProof;

/// The most bytes that one chunk of a large value has. Each costs two system calls and two wakes; with the few kilobytes
/// that a codec reads at once they would take a part of a core by themselves.
const CHUNK_BYTES: usize = 32 * 1024;
/// With less free space than this a buffer is not read into any more.
const MIN_BUFFER_SPACE: usize = 4 * 1024;

/// A large value that has begun to come.
#[derive(Clone, Copy)]
pub(super) struct LargeBody {
    /// Its length in bytes.
    pub(super) length: usize,
    /// What proves that it answers the request.
    pub(super) proof: AnswerProof,
}

/// Forwards a large value as it comes; whether it came as a whole and was proved. Only one chunk is read ahead of the
/// client, since such values together may be far larger than the memory limit; the rest stays with the server. The last
/// chunk is held back until the proof is there, so that the client can tell that a value without it is not complete.
pub(super) async fn forward_body<T: Stream, P: UpstreamProtocol, N>(
    framed: &mut Framed<T, P>,
    body: LargeBody,
    chunks: &mpsc::Sender<BodyChunk>,
    context: &ConnectionContext<N>,
) -> bool {
    let stall_timeout = context.stall_timeout.get();
    let mut remaining = body.length;
    let mut last = None;
    while let Some(part) = read_body_part(framed, stall_timeout).await {
        match part {
            MessagePart::Chunk(bytes) => {
                remaining = remaining.saturating_sub(bytes.len());
                if remaining == 0 {
                    last = Some(bytes);
                } else if chunks.send(BodyChunk::Bytes(bytes)).await.is_err() {
                    // The client has left, or reads nothing.
                    return false;
                }
            }
            MessagePart::End(reply) => {
                let result = P::interpret(reply, &context.report_fields);
                // Bytes behind the value belong to no answer, so the value may be wrong as well.
                if result.outcome != Outcome::Served
                    || !is_proved(framed, body.proof, stall_timeout).await
                {
                    break;
                }
                return send_last(chunks, last).await;
            }
            MessagePart::Complete(_) | MessagePart::Head { .. } => break,
        }
    }
    context.counters.streams_broken.add();
    false
}

/// Whether the proof of a large value comes within a time.
async fn is_proved<T: Stream, P: UpstreamProtocol>(
    framed: &mut Framed<T, P>,
    proof: AnswerProof,
    limit: Duration,
) -> bool {
    timeout(limit, proof.confirm(framed)).await == Ok(Ok(()))
}

/// Forwards the end of a large value; whether its client was still there.
async fn send_last(chunks: &mpsc::Sender<BodyChunk>, last: Option<Bytes>) -> bool {
    if let Some(bytes) = last {
        if chunks.send(BodyChunk::Bytes(bytes)).await.is_err() {
            return false;
        }
    }
    chunks.send(BodyChunk::End).await.is_ok()
}

/// The next part of a large value; `None` if the server stalls or the connection fails.
async fn read_body_part<T: Stream, P: UpstreamProtocol>(
    framed: &mut Framed<T, P>,
    limit: Duration,
) -> Option<MessagePart<P::Reply>> {
    // The rest of the last buffer is filled first, so that many small chunks share one.
    let buffer = framed.read_buffer_mut();
    if buffer.capacity() - buffer.len() < MIN_BUFFER_SPACE {
        buffer.reserve(CHUNK_BYTES);
    }
    match timeout(limit, framed.next()).await {
        Ok(Some(Ok(part))) => Some(part),
        Ok(Some(Err(error))) => {
            debug!(%error, "large value broken off");
            None
        }
        Ok(None) | Err(_) => None,
    }
}
