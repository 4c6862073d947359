//! What proves that an answer belongs to the request that is out on its connection.
//!
//! An answer names no request, and a server, or something on the path, may send one a second time after any delay. So a
//! request counts as answered only by one of two proofs: no request was written to the connection before it, or its answer is
//! followed by the reply to a marker that was written behind it. Replies come in the order of their commands, and no marker
//! was written to the connection before, so its reply shows that the answer to the request has come; exactly one answer in
//! front of it can be no other. A third request would need a third proof, so the connection ends after the second.
use futures_util::StreamExt;
use stairfront_codec::message_part::MessagePart;
use tokio_util::codec::Framed;
use tracing::debug;

use crate::messages::Command;
use crate::transport::Stream;
use crate::upstream::connection::UpstreamProtocol;

/// The proof for one request on a connection.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(super) enum AnswerProof {
    /// No request was written to the connection before.
    FirstRequest,
    /// The reply to a marker, of which none was written to the connection before, follows the answer.
    Marker,
}

/// Why an answer is not proved.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(super) enum ProofError {
    /// Something else followed it.
    OtherReply,
    /// The connection ended or failed.
    ConnectionEnded,
}

impl AnswerProof {
    /// The proof for a request on a connection that would allow this one. A server, or something on the path, may send a line
    /// unasked on a new connection as well. A refusal among them would claim that the request never ran, so one that must not
    /// run twice has the marker always.
    pub(super) fn required_for<P: UpstreamProtocol>(self, command: &Command) -> Self {
        if command.idempotent || P::MARKER.is_empty() {
            self
        } else {
            AnswerProof::Marker
        }
    }

    /// The proof for the request after this one; `None` if the connection can carry no other.
    pub(super) fn next<P: UpstreamProtocol>(self) -> Option<Self> {
        match self {
            AnswerProof::FirstRequest if !P::MARKER.is_empty() => Some(AnswerProof::Marker),
            AnswerProof::FirstRequest | AnswerProof::Marker => None,
        }
    }

    /// What is written behind the request.
    pub(super) fn marker<P: UpstreamProtocol>(self) -> &'static [u8] {
        match self {
            AnswerProof::FirstRequest => &[],
            AnswerProof::Marker => P::MARKER,
        }
    }

    /// Reads what proves the answer that was read before.
    pub(super) async fn confirm<T: Stream, P: UpstreamProtocol>(
        self,
        framed: &mut Framed<T, P>,
    ) -> Result<(), ProofError> {
        if self == AnswerProof::FirstRequest {
            return Ok(());
        }
        match framed.next().await {
            Some(Ok(MessagePart::Complete(reply))) if P::is_marker_reply(&reply) => Ok(()),
            Some(Ok(_)) => Err(ProofError::OtherReply),
            Some(Err(error)) if P::is_malformed(&error) => Err(ProofError::OtherReply),
            Some(Err(error)) => {
                debug!(%error, "marker not answered");
                Err(ProofError::ConnectionEnded)
            }
            None => Err(ProofError::ConnectionEnded),
        }
    }
}
