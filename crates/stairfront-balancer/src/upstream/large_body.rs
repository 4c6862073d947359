//! Large values on their way from a server to a client, chunk by chunk.
use std::rc::Rc;
use std::time::Duration;

use bytes::Bytes;
use futures_util::StreamExt;
use stairfront_codec::budget::{Budget, Reservation};
use stairfront_codec::buffer::{copy_with_capacity, MAX_RETAINED_CAPACITY};
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

/// The most bytes that one chunk of a large value has. Each costs two system calls and two wakes; with few kilobytes they
/// take a part of a core by themselves, so the chunks are small only while half of the memory for them is in use.
const CHUNK_BYTES: usize = 32 * 1024;
const SMALL_CHUNK_BYTES: usize = 4 * 1024;
/// Chunks of a large value at one time: one that is read, one that waits, and one that is written to the client.
const HELD_CHUNKS: usize = 3;
/// What a large value takes beside its chunks: the channel that they pass.
const STREAM_OVERHEAD_BYTES: usize = 4 * 1024;
/// With less of its space free a buffer is not read into any more.
const MIN_SPACE_DIVISOR: usize = 8;

/// The memory of a large value on its way.
pub(super) struct StreamMemory {
    chunk_bytes: usize,
    reservation: Rc<Reservation>,
}

impl StreamMemory {
    /// Reserves the memory of all chunks that are held at one time; `None` if there is none.
    pub(super) fn reserve(streams: &Rc<Budget>) -> Option<Self> {
        let is_ample = streams.available() > streams.limit() / 2;
        let sizes = [CHUNK_BYTES, SMALL_CHUNK_BYTES];
        sizes
            .into_iter()
            .skip(usize::from(!is_ample))
            .find_map(|chunk_bytes| {
                let bytes = HELD_CHUNKS * chunk_bytes + STREAM_OVERHEAD_BYTES;
                Some(StreamMemory {
                    chunk_bytes,
                    reservation: Rc::new(streams.try_reserve(bytes)?),
                })
            })
    }

    /// The same for the client's connection, which may hold the last chunk for longest.
    pub(super) fn share(&self) -> Rc<Reservation> {
        Rc::clone(&self.reservation)
    }
}

/// A large value that has begun to come.
pub(super) struct LargeBody {
    /// Its length in bytes.
    pub(super) length: usize,
    /// What proves that it answers the request.
    pub(super) proof: AnswerProof,
    /// Its memory.
    pub(super) memory: StreamMemory,
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
    let chunk_bytes = body.memory.chunk_bytes;
    let mut remaining = body.length;
    let mut last = None;
    loop {
        let part = tokio::select! {
            biased;
            part = read_body_part(framed, chunk_bytes, stall_timeout) => part,
            // The client has left, or the answer was given up.
            () = chunks.closed() => return false,
        };
        let Some(part) = part else {
            break;
        };
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
                // The connection goes on with the buffer that it always has.
                let buffer = framed.read_buffer_mut();
                *buffer = copy_with_capacity(buffer, MAX_RETAINED_CAPACITY);
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
    chunk_bytes: usize,
    limit: Duration,
) -> Option<MessagePart<P::Reply>> {
    // The rest of the last buffer is filled first, so that many small chunks share one.
    let buffer = framed.read_buffer_mut();
    if buffer.capacity() - buffer.len() < chunk_bytes / MIN_SPACE_DIVISOR {
        *buffer = copy_with_capacity(buffer, chunk_bytes);
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
