//! Writes the command of an attempt, and asks before each piece whether it may still go out.
use std::future::poll_fn;
use std::io::{self, ErrorKind, IoSlice};
use std::pin::Pin;
use std::task::{ready, Context, Poll};

use bytes::{Buf, Bytes, BytesMut};
use stairfront_codec::buffer::shrink;
use stairfront_policy::interface::Outcome;
use tokio::io::AsyncWriteExt;
use tokio_util::codec::Framed;
use tracing::debug;

use crate::clock::{timeout_at, Instant};
use crate::list_freshness::ListFreshness;
use crate::messages::{Job, Outgoing};
use crate::transport::Stream;
use crate::upstream::connection::UpstreamProtocol;
use crate::upstream::exchange::cancelled;
use crate::upstream::send_gate::{ask_until_fresh, SendConditions, SendRefusal};

/// Parts of a command that go out in one system call: the command, a value that stands apart, and what ends it.
const MAX_SLICES: usize = 3;

/// Why a command was not written as a whole; the server does not run it then.
#[derive(Debug, thiserror::Error)]
pub(super) enum WriteError {
    /// Nothing was written.
    #[error("not begun: {0}")]
    NotBegun(SendRefusal),
    /// A part was written.
    #[error("broken off: {0}")]
    BrokenOff(SendRefusal),
    /// The attempt was cancelled meanwhile.
    #[error("cancelled")]
    Cancelled,
    /// The server does not take it in time.
    #[error("the server does not read in time")]
    Late,
    /// The connection failed, or the command could not be encoded.
    #[error("{0}")]
    Failed(String),
}

impl WriteError {
    /// The outcome of the attempt. That a request is not wanted any more says nothing of the server.
    pub(super) fn outcome(&self) -> Outcome {
        match self {
            WriteError::Cancelled => Outcome::Cancelled,
            WriteError::NotBegun(_)
            | WriteError::BrokenOff(SendRefusal::RequestFinished | SendRefusal::ClientLeft) => {
                Outcome::NeverSent
            }
            WriteError::BrokenOff(_) | WriteError::Late | WriteError::Failed(_) => {
                Outcome::ConnectFailed
            }
        }
    }
}

/// Writes the command of a job as a whole, until its time is over or it is cancelled.
pub(super) async fn write_command<T: Stream, P: UpstreamProtocol>(
    framed: &mut Framed<T, P>,
    job: &mut Job,
    lists: &ListFreshness,
) -> Result<(), WriteError> {
    let (conditions, deadline) = (job.conditions(), job.send_deadline());
    let mut buffer = std::mem::take(framed.write_buffer_mut());
    let written = match ask_until_fresh(|| encode_if_allowed(framed, job, lists, &mut buffer)) {
        // Nothing is awaited between the check and the first byte.
        Ok(value) => {
            let terminator = value.as_ref().map_or(&[][..], |_| P::VALUE_TERMINATOR);
            let mut bytes = Buf::chain(&mut buffer, value.unwrap_or_default()).chain(terminator);
            let write = write_while_allowed(framed.get_mut(), &mut bytes, &conditions);
            tokio::select! {
                biased;
                () = cancelled(&mut job.cancel) => Err(WriteError::Cancelled),
                written = timeout_at(deadline, write) => {
                    written.unwrap_or(Err(WriteError::Late))
                }
            }
        }
        Err(error) => Err(error),
    };
    buffer.clear();
    shrink(&mut buffer);
    *framed.write_buffer_mut() = buffer;
    written.inspect_err(|error| debug!(%error, "request not written"))
}

/// Encodes the command into a buffer if nothing forbids it, with the time that is left. Returns a value that goes out
/// behind it without being copied.
fn encode_if_allowed<T: Stream, P: UpstreamProtocol>(
    framed: &mut Framed<T, P>,
    job: &Job,
    lists: &ListFreshness,
    buffer: &mut BytesMut,
) -> Result<Option<Bytes>, WriteError> {
    job.may_be_written(lists).map_err(WriteError::NotBegun)?;
    let left = job.give_up_at.saturating_duration_since(Instant::now());
    let outgoing = Outgoing {
        command: job.command.clone(),
        left_ms: left.as_millis() as u64,
    };
    log_begin(job, outgoing.left_ms);
    let value = outgoing.separate_value().cloned();
    buffer.clear();
    let encoded = framed.codec_mut().encode(outgoing, buffer);
    encoded.map_err(|error| WriteError::Failed(error.to_string()))?;
    Ok(value)
}

fn log_begin(job: &Job, told_ms: u64) {
    debug!(
        request = %job.command.id.escape_ascii(),
        attempt = job.attempt.number,
        told_ms,
        waited_ms = job.decided_at.elapsed().as_millis() as u64,
        "attempt begun"
    );
}

/// Writes all bytes, the first ones at once. Each time that the connection takes more only later, it is asked again
/// whether the attempt may go on.
async fn write_while_allowed<T: Stream>(
    socket: &mut T,
    bytes: &mut impl Buf,
    conditions: &SendConditions,
) -> Result<(), WriteError> {
    let mut is_first_piece = true;
    while bytes.has_remaining() {
        poll_fn(|cx| {
            if !std::mem::take(&mut is_first_piece) {
                ask_until_fresh(|| conditions.may_go_on()).map_err(WriteError::BrokenOff)?;
            }
            let written = ready!(poll_write_slices(socket, bytes, cx));
            Poll::Ready(written.map_err(|error| WriteError::Failed(error.to_string())))
        })
        .await?;
    }
    let flushed = socket.flush().await;
    flushed.map_err(|error| WriteError::Failed(error.to_string()))
}

fn poll_write_slices<T: Stream>(
    socket: &mut T,
    bytes: &mut impl Buf,
    cx: &mut Context<'_>,
) -> Poll<io::Result<()>> {
    let mut slices = [IoSlice::new(&[]); MAX_SLICES];
    let used = bytes.chunks_vectored(&mut slices);
    let written = ready!(Pin::new(socket).poll_write_vectored(cx, &slices[..used]))?;
    if written == 0 {
        return Poll::Ready(Err(ErrorKind::WriteZero.into()));
    }
    bytes.advance(written);
    Poll::Ready(Ok(()))
}
