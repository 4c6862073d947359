//! One command on a connection to a server, and what comes back.
use bytes::Buf;
use futures_util::{SinkExt, StreamExt};
use stairfront_codec::buffer::shrink;
use stairfront_codec::message_part::MessagePart;
use stairfront_policy::interface::Outcome;
use tokio::io::AsyncWriteExt;
use tokio::sync::oneshot;
use tokio_util::codec::{Encoder, Framed};
use tracing::debug;

use crate::clock::{sleep_until, timeout_at, Instant};
use crate::messages::{AttemptOutcome, Job, Outgoing};
use crate::transport::Stream;
use crate::upstream::connection::UpstreamProtocol;
use crate::upstream::proof::{AnswerProof, ProofError};

/// The result of sending a command.
pub(super) enum ExchangeOutcome {
    /// The attempt has ended with a reply that is proved to be its own.
    Finished(AttemptOutcome),
    /// A large value has begun to come, whose proof follows it.
    BodyStarted {
        result: AttemptOutcome,
        length: usize,
    },
    /// The attempt has ended without a reply that counts.
    Failed(Outcome),
    /// Something came that may be the reply to another request, so nothing is known of this one.
    Unproven,
}

/// Sends the command of a job and reads the head of the reply, until the job is cancelled or its time is over.
pub(super) async fn exchange<T: Stream, P: UpstreamProtocol>(
    framed: &mut Framed<T, P>,
    job: &mut Job,
    proof: AnswerProof,
    report_fields: &[String],
) -> ExchangeOutcome {
    let left = job.give_up_at.saturating_duration_since(Instant::now());
    let outgoing = Outgoing {
        command: job.command.clone(),
        left_ms: left.as_millis() as u64,
    };
    debug!(
        request = %job.command.id.escape_ascii(),
        attempt = job.attempt.number,
        told_ms = outgoing.left_ms,
        waited_ms = job.decided_at.elapsed().as_millis() as u64,
        "attempt begun"
    );
    let send_deadline = job.send_deadline();
    let mut written = false;
    let talk = async {
        match timeout_at(send_deadline, send(framed, outgoing)).await {
            Ok(Ok(())) => {}
            Ok(Err(error)) => {
                debug!(%error, "request not written");
                return ExchangeOutcome::Failed(Outcome::ConnectFailed);
            }
            // The connection is closed before the last byte is written, so the request never runs.
            Err(_) => return ExchangeOutcome::Failed(Outcome::ConnectFailed),
        }
        // From here on it may run, whatever becomes of the marker.
        written = true;
        shrink(framed.write_buffer_mut());
        if let Err(error) = framed.get_mut().write_all(proof.marker::<P>()).await {
            debug!(%error, "marker not written");
            return ExchangeOutcome::Failed(Outcome::Reset);
        }
        read_reply(framed, proof, report_fields).await
    };
    let outcome = tokio::select! {
        biased;
        done = talk => return done,
        () = cancelled(&mut job.cancel) => Outcome::Cancelled,
        () = sleep_until(job.give_up_at) => Outcome::TimedOut,
    };
    // A request that was not written as a whole never runs.
    if !written && outcome == Outcome::TimedOut {
        return ExchangeOutcome::Failed(Outcome::ConnectFailed);
    }
    ExchangeOutcome::Failed(outcome)
}

async fn send<T: Stream, P: UpstreamProtocol>(
    framed: &mut Framed<T, P>,
    outgoing: Outgoing,
) -> Result<(), <P as Encoder<Outgoing>>::Error> {
    let separate_value = outgoing.separate_value().cloned();
    framed.send(outgoing).await?;
    if let Some(value) = separate_value {
        let socket = framed.get_mut();
        socket
            .write_all_buf(&mut Buf::chain(value, P::VALUE_TERMINATOR))
            .await?;
        socket.flush().await?;
    }
    Ok(())
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
