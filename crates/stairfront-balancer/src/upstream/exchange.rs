//! One command on a connection to a server, and what comes back.
use std::rc::Rc;

use futures_util::StreamExt;
use stairfront_codec::budget::{Budget, Reservation};
use stairfront_codec::message_part::MessagePart;
use stairfront_policy::interface::Outcome;
use tokio::io::AsyncWriteExt;
use tokio::sync::oneshot;
use tokio_util::codec::{Decoder, Framed};
use tracing::debug;

use crate::clock::{sleep_until, timeout_at};
use crate::memory::ledger::reserve_value;
use crate::messages::{AttemptOutcome, Job};
use crate::transport::Stream;
use crate::upstream::command_write::{write_command, WriteError};
use crate::upstream::connection::{ConnectionContext, UpstreamProtocol};
use crate::upstream::proof::{AnswerProof, ProofError};
use crate::upstream::send_gate::{ask_until_fresh, SendConditions, SendRefusal};

/// The result of sending a command.
pub(super) enum ExchangeOutcome {
    /// The attempt has ended with a reply that is proved to be its own, and the memory of its value.
    Finished(AttemptOutcome, Option<Reservation>),
    /// A large value has begun to come, whose proof follows it.
    BodyStarted {
        result: AttemptOutcome,
        length: usize,
    },
    /// Nothing was written.
    NotBegun(SendRefusal),
    /// The attempt has ended without a reply that counts.
    Failed(Outcome),
    /// A reply has begun to come, and there is no memory for it.
    OutOfMemory,
    /// Something came that may be the reply to another request, so nothing is known of this one.
    Unproven,
}

/// Sends the command of a job and reads the head of the reply, until the job is cancelled or its time is over.
pub(super) async fn exchange<T: Stream, P: UpstreamProtocol, N>(
    framed: &mut Framed<T, P>,
    job: &mut Job,
    proof: AnswerProof,
    context: &ConnectionContext<N>,
) -> ExchangeOutcome {
    match write_command(framed, job, &context.lists).await {
        Ok(()) => {}
        Err(WriteError::NotBegun(refusal)) => return ExchangeOutcome::NotBegun(refusal),
        Err(error) => return ExchangeOutcome::Failed(error.outcome()),
    }
    // From here on it may run, whatever becomes of the marker.
    let conditions = job.conditions();
    let talk = async {
        if let Err(error) = framed.get_mut().write_all(proof.marker::<P>()).await {
            debug!(%error, "marker not written");
            return ExchangeOutcome::Failed(Outcome::Reset);
        }
        match next_part(framed, &conditions).await {
            Ok(part) => interpret_reply(framed, part, proof, context).await,
            Err(refusal) => {
                debug!(reason = %refusal, "attempt abandoned with a part of it unsent");
                ExchangeOutcome::Failed(outcome_of_unsent(refusal))
            }
        }
    };
    tokio::select! {
        biased;
        done = talk => done,
        () = cancelled(&mut job.cancel) => ExchangeOutcome::Failed(Outcome::Cancelled),
        () = sleep_until(job.give_up_at) => ExchangeOutcome::Failed(Outcome::TimedOut),
    }
}

/// A part of a reply as its codec reads it; `None` at the end of the connection.
type ReplyPart<P> =
    Option<Result<MessagePart<<P as UpstreamProtocol>::Reply>, <P as Decoder>::Error>>;

/// The next part of the reply. As long as a part of the command is not sent, as with a server that has stopped reading, the
/// attempt has to be wanted: closing the connection drops what is not sent.
async fn next_part<T: Stream, P: UpstreamProtocol>(
    framed: &mut Framed<T, P>,
    conditions: &SendConditions,
) -> Result<ReplyPart<P>, SendRefusal> {
    while !framed.get_ref().is_sent() {
        ask_until_fresh(|| conditions.may_go_on())?;
        if let Ok(part) = timeout_at(conditions.next_check(), framed.next()).await {
            return Ok(part);
        }
    }
    Ok(framed.next().await)
}

/// The outcome of an attempt that is abandoned before all of its command was sent. The bytes that were sent may have been the whole.
fn outcome_of_unsent(refusal: SendRefusal) -> Outcome {
    match refusal {
        SendRefusal::RequestFinished | SendRefusal::ClientLeft => Outcome::Cancelled,
        _ => Outcome::TimedOut,
    }
}

async fn interpret_reply<T: Stream, P: UpstreamProtocol, N>(
    framed: &mut Framed<T, P>,
    part: ReplyPart<P>,
    proof: AnswerProof,
    context: &ConnectionContext<N>,
) -> ExchangeOutcome {
    match part {
        Some(Ok(MessagePart::Complete(reply))) => {
            let frame = framed.codec_mut().take_memory();
            let mut result = P::interpret(reply, &context.report_fields);
            if result.outcome == Outcome::Malformed {
                return ExchangeOutcome::Failed(Outcome::Malformed);
            }
            let memory = hold_value(&mut result, frame, &context.memory.replies);
            match proof.confirm(framed).await {
                Ok(()) => ExchangeOutcome::Finished(result, memory),
                Err(ProofError::OtherReply) => ExchangeOutcome::Unproven,
                Err(ProofError::ConnectionEnded) => ExchangeOutcome::Failed(Outcome::Reset),
            }
        }
        Some(Ok(MessagePart::Head { length, reply })) => {
            let result = AttemptOutcome {
                value: None,
                ..P::interpret(reply, &context.report_fields)
            };
            ExchangeOutcome::BodyStarted { result, length }
        }
        // No codec yields these first.
        Some(Ok(MessagePart::Chunk(_) | MessagePart::End(_))) => {
            ExchangeOutcome::Failed(Outcome::Malformed)
        }
        Some(Err(error)) => {
            debug!(%error, "reply not read");
            if P::is_out_of_memory(&error) {
                return ExchangeOutcome::OutOfMemory;
            }
            ExchangeOutcome::Failed(if P::is_malformed(&error) {
                Outcome::Malformed
            } else {
                Outcome::Reset
            })
        }
        None => ExchangeOutcome::Failed(Outcome::Reset),
    }
}

/// The memory of a value until it is written to the client. Without memory there is no value.
fn hold_value(
    result: &mut AttemptOutcome,
    frame: Option<Reservation>,
    replies: &Rc<Budget>,
) -> Option<Reservation> {
    let bytes = result.value.as_ref()?.len();
    let memory = reserve_value(replies, bytes, frame);
    if memory.is_none() {
        debug!(bytes, "no memory for a value");
        result.value = None;
    }
    memory
}

/// Resolves when an attempt is cancelled; never if the sender is dropped.
pub(super) async fn cancelled(cancel: &mut oneshot::Receiver<()>) {
    if cancel.await.is_err() {
        std::future::pending().await
    }
}
