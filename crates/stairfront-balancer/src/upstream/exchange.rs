//! One command on a connection to a server, and what comes back.
use futures_util::StreamExt;
use stairfront_codec::message_part::MessagePart;
use stairfront_policy::interface::Outcome;
use tokio::io::AsyncWriteExt;
use tokio::sync::oneshot;
use tokio_util::codec::Framed;
use tracing::debug;

use crate::clock::sleep_until;
use crate::messages::{AttemptOutcome, Job};
use crate::transport::Stream;
use crate::upstream::command_write::{write_command, WriteError};
use crate::upstream::connection::{ConnectionContext, UpstreamProtocol};
use crate::upstream::proof::{AnswerProof, ProofError};
use crate::upstream::send_gate::SendRefusal;

/// The result of sending a command.
pub(super) enum ExchangeOutcome {
    /// The attempt has ended with a reply that is proved to be its own.
    Finished(AttemptOutcome),
    /// A large value has begun to come, whose proof follows it.
    BodyStarted {
        result: AttemptOutcome,
        length: usize,
    },
    /// Nothing was written.
    NotBegun(SendRefusal),
    /// The attempt has ended without a reply that counts.
    Failed(Outcome),
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
    let talk = async {
        if let Err(error) = framed.get_mut().write_all(proof.marker::<P>()).await {
            debug!(%error, "marker not written");
            return ExchangeOutcome::Failed(Outcome::Reset);
        }
        read_reply(framed, proof, &context.report_fields).await
    };
    tokio::select! {
        biased;
        done = talk => done,
        () = cancelled(&mut job.cancel) => ExchangeOutcome::Failed(Outcome::Cancelled),
        () = sleep_until(job.give_up_at) => ExchangeOutcome::Failed(Outcome::TimedOut),
    }
}

async fn read_reply<T: Stream, P: UpstreamProtocol>(
    framed: &mut Framed<T, P>,
    proof: AnswerProof,
    report_fields: &[String],
) -> ExchangeOutcome {
    match framed.next().await {
        Some(Ok(MessagePart::Complete(reply))) => {
            let result = P::interpret(reply, report_fields);
            if result.outcome == Outcome::Malformed {
                return ExchangeOutcome::Failed(Outcome::Malformed);
            }
            match proof.confirm(framed).await {
                Ok(()) => ExchangeOutcome::Finished(result),
                Err(ProofError::OtherReply) => ExchangeOutcome::Unproven,
                Err(ProofError::ConnectionEnded) => ExchangeOutcome::Failed(Outcome::Reset),
            }
        }
        Some(Ok(MessagePart::Head { length, reply })) => {
            let result = AttemptOutcome {
                value: None,
                ..P::interpret(reply, report_fields)
            };
            ExchangeOutcome::BodyStarted { result, length }
        }
        // No codec yields these first.
        Some(Ok(MessagePart::Chunk(_) | MessagePart::End(_))) => {
            ExchangeOutcome::Failed(Outcome::Malformed)
        }
        Some(Err(error)) => {
            debug!(%error, "reply not read");
            ExchangeOutcome::Failed(if P::is_malformed(&error) {
                Outcome::Malformed
            } else {
                Outcome::Reset
            })
        }
        None => ExchangeOutcome::Failed(Outcome::Reset),
    }
}

/// Resolves when an attempt is cancelled; never if the sender is dropped.
pub(super) async fn cancelled(cancel: &mut oneshot::Receiver<()>) {
    if cancel.await.is_err() {
        std::future::pending().await
    }
}
