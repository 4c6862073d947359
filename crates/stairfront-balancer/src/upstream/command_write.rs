//! Writes the command of an attempt, and asks before each piece whether it may still go out.
use std::future::poll_fn;
use std::task::{ready, Context, Poll};
use std::time::Duration;

use bytes::buf::Chain;
use bytes::{Buf, Bytes, BytesMut};
use stairfront_policy::interface::Outcome;
use tokio::io::AsyncWriteExt;
use tokio_util::codec::Framed;
use tracing::debug;

use crate::clock::{timeout_at, Instant};
use crate::list_freshness::ListFreshness;
use crate::messages::{Job, Outgoing, MAX_COPIED_BYTES};
use crate::transport::Stream;
use crate::upstream::connection::UpstreamProtocol;
use crate::upstream::exchange::cancelled;
use crate::upstream::send_gate::{
    ask_until_fresh, wait_while_allowed, SendConditions, SendRefusal,
};
use crate::vectored::poll_write_slices;

/// Bytes at the end of a long command that are written only once the network has sent all before them. A server begins a
/// command when its last byte has come, and what the network has accepted it sends whenever the server reads: a process that
/// stands still meanwhile could not stop it.
const WITHHELD_BYTES: usize = 1;

/// The shortest limit on the time for an acknowledgement; zero would be none.
const MIN_UNACKNOWLEDGED_TIMEOUT: Duration = Duration::from_millis(1);

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
            | WriteError::BrokenOff(
                SendRefusal::RequestFinished | SendRefusal::ClientLeft | SendRefusal::ServerBarred,
            ) => Outcome::NeverSent,
            WriteError::BrokenOff(_) | WriteError::Late | WriteError::Failed(_) => {
                Outcome::ConnectFailed
            }
        }
    }
}

/// An encoded command, the value that goes out behind it without being copied, and what ends that.
type CommandBytes = Chain<Chain<BytesMut, Bytes>, &'static [u8]>;

/// Writes the command of a job as a whole, until its time is over or it is cancelled.
pub(super) async fn write_command<T: Stream, P: UpstreamProtocol>(
    framed: &mut Framed<T, P>,
    job: &mut Job,
    lists: &ListFreshness,
) -> Result<(), WriteError> {
    let (conditions, deadline) = (job.conditions(), job.send_deadline());
    let begun = timeout_at(deadline, poll_fn(|cx| poll_begin(framed, job, lists, cx))).await;
    let mut bytes = begun.unwrap_or(Err(WriteError::Late))?;
    job.liveness.note_begun();
    bound_retransmission(framed.get_ref(), job);
    log_begin(job);
    let written = if bytes.has_remaining() {
        let rest = write_rest(framed.get_mut(), &mut bytes, &conditions);
        tokio::select! {
            biased;
            () = cancelled(&mut job.cancel) => Err(WriteError::Cancelled),
            written = timeout_at(deadline, rest) => written.unwrap_or(Err(WriteError::Late)),
        }
    } else {
        Ok(())
    };
    recycle(framed, bytes);
    written.inspect_err(|error| debug!(%error, "request not written as a whole"))
}

/// Bytes of a retry that are lost on their way must not be sent again after its window. A connection on which something was written
/// carries no other attempt unless this one is complete, which ends the bound.
fn bound_retransmission(socket: &impl Stream, job: &Job) {
    if let Some(end) = job.window_end {
        let left = end.saturating_duration_since(Instant::now());
        socket.set_unacknowledged_timeout(Some(left.max(MIN_UNACKNOWLEDGED_TIMEOUT)));
    }
}

/// Asks all that forbids the attempt, and writes its first bytes in the same step: a stall between the two is the only one
/// that is not seen. While nothing is written all of it is asked again.
fn poll_begin<T: Stream, P: UpstreamProtocol>(
    framed: &mut Framed<T, P>,
    job: &Job,
    lists: &ListFreshness,
    cx: &mut Context<'_>,
) -> Poll<Result<CommandBytes, WriteError>> {
    let mut bytes = ask_until_fresh(|| encode_if_allowed(framed, job, lists))?;
    let limit = writable_bytes(&bytes);
    match poll_write_slices(framed.get_mut(), &mut (&mut bytes).take(limit), cx) {
        Poll::Ready(Ok(())) => Poll::Ready(Ok(bytes)),
        Poll::Ready(Err(error)) => Poll::Ready(Err(WriteError::Failed(error.to_string()))),
        Poll::Pending => {
            recycle(framed, bytes);
            Poll::Pending
        }
    }
}

/// Encodes the command with the time that is left, and asks last whether anything forbids it.
fn encode_if_allowed<T: Stream, P: UpstreamProtocol>(
    framed: &mut Framed<T, P>,
    job: &Job,
    lists: &ListFreshness,
) -> Result<CommandBytes, WriteError> {
    let left = job.give_up_at.saturating_duration_since(Instant::now());
    let outgoing = Outgoing {
        command: job.command.clone(),
        left_ms: left.as_millis() as u64,
    };
    let value = outgoing.separate_value().cloned();
    let terminator = value.as_ref().map_or(&[][..], |_| P::VALUE_TERMINATOR);
    let mut buffer = std::mem::take(framed.write_buffer_mut());
    buffer.clear();
    let encoded = framed.codec_mut().encode(outgoing, &mut buffer);
    encoded.map_err(|error| WriteError::Failed(error.to_string()))?;
    let bytes = buffer.chain(value.unwrap_or_default()).chain(terminator);
    if let Err(refusal) = job.may_be_written(lists) {
        recycle(framed, bytes);
        return Err(WriteError::NotBegun(refusal));
    }
    Ok(bytes)
}

/// Returns a small write buffer to its connection.
fn recycle<T, P>(framed: &mut Framed<T, P>, bytes: CommandBytes) {
    let (command, _) = bytes.into_inner();
    let (mut buffer, _) = command.into_inner();
    buffer.clear();
    if buffer.capacity() <= MAX_COPIED_BYTES {
        *framed.write_buffer_mut() = buffer;
    }
}

fn log_begin(job: &Job) {
    let left = job.give_up_at.saturating_duration_since(Instant::now());
    debug!(
        request = %job.command.id.escape_ascii(),
        attempt = job.attempt.number,
        left_ms = left.as_millis() as u64,
        waited_ms = job.decided_at.elapsed().as_millis() as u64,
        "attempt begun"
    );
}

/// Number of bytes that may be written before the network has sent all that it has accepted. A value that is written
/// separately is what makes a command long.
fn writable_bytes(bytes: &CommandBytes) -> usize {
    let remaining = bytes.remaining();
    let has_value =
        bytes.first_ref().last_ref().has_remaining() || bytes.last_ref().has_remaining();
    if has_value && remaining > WITHHELD_BYTES {
        remaining - WITHHELD_BYTES
    } else {
        remaining
    }
}

/// Writes what is left of a command. Each time that the connection takes more, it is asked again whether the attempt may
/// go on, and for the last byte once all before it are sent.
async fn write_rest<T: Stream>(
    socket: &mut T,
    bytes: &mut CommandBytes,
    conditions: &SendConditions,
) -> Result<(), WriteError> {
    while bytes.has_remaining() {
        if bytes.remaining() <= WITHHELD_BYTES {
            wait_while_allowed(conditions, SendConditions::may_write_more, socket.sent())
                .await
                .map_err(WriteError::BrokenOff)?;
        }
        let limit = writable_bytes(bytes);
        let write = poll_fn(|cx| {
            ask_until_fresh(|| conditions.may_write_more()).map_err(WriteError::BrokenOff)?;
            let written = ready!(poll_write_slices(
                socket,
                &mut (&mut *bytes).take(limit),
                cx
            ));
            Poll::Ready(written.map_err(|error| WriteError::Failed(error.to_string())))
        });
        wait_while_allowed(conditions, SendConditions::may_write_more, write)
            .await
            .map_err(WriteError::BrokenOff)??;
    }
    let flushed = socket.flush().await;
    flushed.map_err(|error| WriteError::Failed(error.to_string()))
}
