//! The protocol of the origin: HTTP/1.1, one request on a connection.
use std::fmt::Write as _;
use std::net::SocketAddr;
use std::rc::Rc;

use bytes::{Bytes, BytesMut};
use stairfront_codec::budget::{Budget, Reservation};
use stairfront_codec::http::HttpError;
use stairfront_codec::http_client::{HttpClientCodec, Request, RequestBody, Response};
use stairfront_codec::message_part::MessagePart;
use stairfront_policy::interface::{CacheStatus, LoadReport, Outcome};
use tokio_util::codec::{Decoder, Encoder};

use crate::messages::{AttemptOutcome, Outgoing, Verb};
use crate::upstream::connection::UpstreamProtocol;
use crate::upstream::load_report::load_report;

/// Encodes requests and decodes responses.
#[derive(Debug)]
pub struct OriginCodec {
    http: HttpClientCodec,
    host: Bytes,
}

impl Decoder for OriginCodec {
    type Item = MessagePart<Response>;
    type Error = HttpError;

    fn decode(&mut self, src: &mut BytesMut) -> Result<Option<MessagePart<Response>>, HttpError> {
        self.http.decode_part(src)
    }

    fn decode_eof(
        &mut self,
        src: &mut BytesMut,
    ) -> Result<Option<MessagePart<Response>>, HttpError> {
        match self.http.decode_part(src)? {
            None => Ok(self.http.finish(src)?.map(MessagePart::Complete)),
            part => Ok(part),
        }
    }
}

impl Encoder<Outgoing> for OriginCodec {
    type Error = HttpError;

    fn encode(&mut self, outgoing: Outgoing, dst: &mut BytesMut) -> Result<(), HttpError> {
        let info = Bytes::from(outgoing.info());
        let separate = outgoing.separate_value().map(Bytes::len);
        let command = outgoing.command;
        let (method, body) = match (command.verb, separate) {
            (Verb::Get, _) => ("GET", RequestBody::Empty),
            (Verb::Set, Some(length)) => ("PUT", RequestBody::Separate(length)),
            (Verb::Set, None) => (
                "PUT",
                RequestBody::Inline(command.value.unwrap_or_default()),
            ),
        };
        let headers = vec![
            ("Host", self.host.clone()),
            ("Request-Id", command.id),
            ("Request-Info", info),
        ];
        self.http.encode(
            Request {
                method,
                target: target(&command.key),
                headers,
                body,
            },
            dst,
        )
    }
}

/// The path for a key, percent-encoded: a space or a line break in it would end the request line and could begin another
/// request.
fn target(key: &[u8]) -> String {
    let mut target = String::with_capacity(key.len() + 1);
    target.push('/');
    for byte in key {
        match byte {
            b'A'..=b'Z' | b'a'..=b'z' | b'0'..=b'9' | b'-' | b'.' | b'_' | b'~' => {
                target.push(char::from(*byte))
            }
            other => {
                // Writing to a String cannot fail.
                let _ = write!(target, "%{other:02X}");
            }
        }
    }
    target
}

impl UpstreamProtocol for OriginCodec {
    type Reply = Response;
    const VALUE_TERMINATOR: &'static [u8] = b"";
    // HTTP has no request without an effect or a cost whose response equals no other.
    const MARKER: &'static [u8] = b"";

    fn new(address: SocketAddr, max_value_bytes: usize, budget: &Rc<Budget>) -> Self {
        OriginCodec {
            http: HttpClientCodec::new(max_value_bytes, budget),
            host: Bytes::from(address.to_string()),
        }
    }

    fn interpret(reply: Response, report_fields: &[String]) -> AttemptOutcome {
        let outcome = match reply.status {
            200 => Outcome::Served,
            503 | 504 if reply.not_started => Outcome::Full,
            500..=599 => Outcome::Errored,
            // A status that the origin does not use: what it means is not known.
            _ => return AttemptOutcome::without_report(Outcome::Malformed),
        };
        let load = reply.server_load.map_or(LoadReport::default(), |text| {
            load_report(&text, report_fields)
        });
        let value = (outcome == Outcome::Served).then_some(reply.body);
        AttemptOutcome {
            outcome,
            cache_status: CacheStatus::None,
            load,
            value,
        }
    }

    fn is_marker_reply(_: &Response) -> bool {
        false
    }

    fn is_malformed(error: &HttpError) -> bool {
        matches!(error, HttpError::Malformed(_))
    }

    fn is_out_of_memory(error: &HttpError) -> bool {
        matches!(error, HttpError::OutOfMemory)
    }

    fn take_memory(&mut self) -> Option<Reservation> {
        self.http.take_memory()
    }
}
