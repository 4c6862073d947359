//! The protocol of cache hosts: RESP2, one command at a time on a connection. Only the protocol's own forms count as
//! replies; anything else is malformed: the attempt may have run, and the connection is closed.
use std::net::SocketAddr;
use std::rc::Rc;

use bytes::{Bytes, BytesMut};
use stairfront_codec::budget::{Budget, Reservation};
use stairfront_codec::message_part::MessagePart;
use stairfront_codec::resp::{put_bulk, put_number, RespError, StreamingDecoder, Value};
use stairfront_policy::interface::{CacheStatus, LoadReport, Outcome};
use tokio_util::codec::{Decoder, Encoder};

use crate::messages::{AttemptOutcome, Outgoing, Verb};
use crate::upstream::connection::UpstreamProtocol;
use crate::upstream::load_report::load_report;

/// Longest word on the key's state, in bytes.
const MAX_STATUS_BYTES: usize = 16;

/// Encodes commands and decodes replies.
#[derive(Debug)]
pub struct CacheCodec(StreamingDecoder);

impl CacheCodec {
    /// A codec that reads values of at most `max_value_bytes`; `budget` is for replies that have not come as a whole.
    pub fn new(max_value_bytes: usize, budget: &Rc<Budget>) -> Self {
        CacheCodec(StreamingDecoder::new(max_value_bytes, budget))
    }
}

impl Decoder for CacheCodec {
    type Item = MessagePart<Value>;
    type Error = RespError;

    fn decode(&mut self, src: &mut BytesMut) -> Result<Option<MessagePart<Value>>, RespError> {
        self.0.decode(src)
    }
}

impl Encoder<Outgoing> for CacheCodec {
    type Error = RespError;

    fn encode(&mut self, outgoing: Outgoing, dst: &mut BytesMut) -> Result<(), RespError> {
        let command = &outgoing.command;
        let (verb, words) = match command.verb {
            Verb::Get => (&b"C.GET"[..], 4),
            Verb::Set => (&b"C.SET"[..], 4 + usize::from(command.value.is_some())),
        };
        let separate = outgoing.separate_value().map_or(0, Bytes::len);
        dst.reserve(command.bytes() - separate + 64);
        put_number(dst, b'*', words);
        put_bulk(dst, verb);
        put_bulk(dst, &command.key);
        put_bulk(dst, &command.id);
        put_bulk(dst, &outgoing.info());
        match (command.verb, &command.value) {
            (Verb::Set, Some(value)) if separate > 0 => put_number(dst, b'$', value.len()),
            (Verb::Set, Some(value)) => put_bulk(dst, value),
            _ => {}
        }
        Ok(())
    }
}

impl UpstreamProtocol for CacheCodec {
    type Reply = Value;
    const VALUE_TERMINATOR: &'static [u8] = b"\r\n";
    const MARKER: &'static [u8] = b"*2\r\n$6\r\nSELECT\r\n$1\r\n0\r\n";

    fn new(_: SocketAddr, max_value_bytes: usize, budget: &Rc<Budget>) -> Self {
        CacheCodec::new(max_value_bytes, budget)
    }

    fn interpret(reply: Value, report_fields: &[String]) -> AttemptOutcome {
        let result = match reply {
            Value::Array(items) => cache_reply(items, report_fields),
            Value::Error(line) => error_reply(&line, report_fields),
            _ => None,
        };
        result.unwrap_or_else(|| AttemptOutcome::without_report(Outcome::Malformed))
    }

    fn is_marker_reply(reply: &Value) -> bool {
        matches!(reply, Value::Simple(text) if &text[..] == b"OK")
    }

    fn is_malformed(error: &RespError) -> bool {
        matches!(error, RespError::Malformed(_))
    }

    fn is_out_of_memory(error: &RespError) -> bool {
        matches!(error, RespError::OutOfMemory)
    }

    fn take_memory(&mut self) -> Option<Reservation> {
        self.0.take_memory()
    }
}

/// Reads an array of three: the value or null, the key's state or null, the load report or null.
fn cache_reply(items: Vec<Value>, report_fields: &[String]) -> Option<AttemptOutcome> {
    let [value, status, load] = <[Value; 3]>::try_from(items).ok()?;
    let cache_status = match status {
        Value::Null => CacheStatus::None,
        Value::Bulk(word) => match &word[..] {
            b"hit" => CacheStatus::Hit,
            b"miss" => CacheStatus::Fetched,
            b"pending" => CacheStatus::FetchPending,
            other
                if other.len() <= MAX_STATUS_BYTES && other.iter().all(u8::is_ascii_alphabetic) =>
            {
                CacheStatus::None
            }
            _ => return None,
        },
        _ => return None,
    };
    let load = match load {
        Value::Null => LoadReport::default(),
        Value::Bulk(text) => load_report(&text, report_fields),
        _ => return None,
    };
    let (outcome, value) = match value {
        Value::Bulk(value) => (Outcome::Served, Some(value)),
        Value::Null => (Outcome::Miss, None),
        _ => return None,
    };
    Some(AttemptOutcome {
        outcome,
        cache_status,
        load,
        value,
    })
}

/// Reads `BUSY` or `ERR failed`, perhaps with a load report behind a space. The line must match as a whole: `BUSY` proves
/// that the request did not run, and a line that only begins like it does not.
fn error_reply(line: &[u8], report_fields: &[String]) -> Option<AttemptOutcome> {
    let forms = [
        (&b"BUSY"[..], Outcome::Full),
        (b"ERR failed", Outcome::Errored),
    ];
    forms.into_iter().find_map(|(form, outcome)| {
        let load = match line.strip_prefix(form)? {
            [] => LoadReport::default(),
            [b' ', text @ ..] if is_report(text, report_fields) => load_report(text, report_fields),
            _ => return None,
        };
        Some(AttemptOutcome {
            load,
            ..AttemptOutcome::without_report(outcome)
        })
    })
}

/// Whether a text names fields of a load report and nothing else; their values may be anything.
fn is_report(text: &[u8], fields: &[String]) -> bool {
    text.split(|b| *b == b',').all(|pair| {
        let mut parts = pair.splitn(2, |b| *b == b'=');
        let (name, value) = (parts.next().unwrap_or_default(), parts.next());
        value.is_some() && fields.iter().any(|field| field.as_bytes() == name)
    })
}
