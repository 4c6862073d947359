//! How cache hosts are spoken to: RESP2, one command at a time on a connection. Only the protocol's own forms count as
//! answers; anything else has spoilt the attempt, which may have run, and the connection.
use std::net::SocketAddr;
use std::rc::Rc;

use bytes::{Bytes, BytesMut};
use stairfront_codec::budget::Budget;
use stairfront_codec::message_part::MessagePart;
use stairfront_codec::resp::{put_bulk, put_number, RespError, StreamingDecoder, Value};
use stairfront_policy::interface::{CacheStatus, LoadReport, Outcome};
use tokio_util::codec::{Decoder, Encoder};

use crate::messages::{Outgoing, Verb, Verdict};
use crate::upstream::connection::UpstreamProtocol;
use crate::upstream::load_report::load_report;

/// Longest word on how a request went.
const LONGEST_NOTE: usize = 16;

/// Commands out, replies in.
#[derive(Debug)]
pub struct CacheCodec(StreamingDecoder);

impl CacheCodec {
    pub fn new(largest_value: usize, budget: &Rc<Budget>) -> Self {
        CacheCodec(StreamingDecoder::new(largest_value, budget))
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
        let apart = outgoing.apart().map_or(0, Bytes::len);
        dst.reserve(command.bytes() - apart + 64);
        put_number(dst, b'*', words);
        put_bulk(dst, verb);
        put_bulk(dst, &command.key);
        put_bulk(dst, &command.id);
        put_bulk(dst, &outgoing.info());
        match (command.verb, &command.value) {
            (Verb::Set, Some(value)) if apart > 0 => put_number(dst, b'$', value.len()),
            (Verb::Set, Some(value)) => put_bulk(dst, value),
            _ => {}
        }
        Ok(())
    }
}

impl UpstreamProtocol for CacheCodec {
    type Reply = Value;
    const BEHIND: &'static [u8] = b"\r\n";

    fn new(_: SocketAddr, largest_value: usize, budget: &Rc<Budget>) -> Self {
        CacheCodec::new(largest_value, budget)
    }

    fn verdict(reply: Value, report: &[String]) -> (Verdict, bool) {
        let verdict = match reply {
            Value::Array(items) => cache_reply(items, report),
            Value::Error(line) => error_reply(&line, report),
            _ => None,
        };
        match verdict {
            Some(verdict) => (verdict, true),
            None => (Verdict::bare(Outcome::Malformed), false),
        }
    }

    fn is_malformed(error: &RespError) -> bool {
        matches!(error, RespError::Malformed(_))
    }
}

/// An array of three: the value or null, how it went or null, the load report or null.
fn cache_reply(items: Vec<Value>, report: &[String]) -> Option<Verdict> {
    let [value, note, load] = <[Value; 3]>::try_from(items).ok()?;
    let note = match note {
        Value::Null => CacheStatus::None,
        Value::Bulk(word) => match &word[..] {
            b"hit" => CacheStatus::Hit,
            b"miss" => CacheStatus::Fetched,
            b"pending" => CacheStatus::FetchPending,
            other if other.len() <= LONGEST_NOTE && other.iter().all(u8::is_ascii_alphabetic) => {
                CacheStatus::None
            }
            _ => return None,
        },
        _ => return None,
    };
    let load = match load {
        Value::Null => LoadReport::default(),
        Value::Bulk(text) => load_report(&text, report),
        _ => return None,
    };
    let (outcome, value) = match value {
        Value::Bulk(value) => (Outcome::Served, Some(value)),
        Value::Null => (Outcome::Miss, None),
        _ => return None,
    };
    Some(Verdict {
        outcome,
        note,
        load,
        value,
    })
}

/// `BUSY` or `ERR failed`, perhaps with a load report behind a space. Danger: a line that only begins like `BUSY` would
/// pass for proof that nothing ran.
fn error_reply(line: &[u8], report: &[String]) -> Option<Verdict> {
    let forms = [
        (&b"BUSY"[..], Outcome::Full),
        (b"ERR failed", Outcome::Errored),
    ];
    forms.into_iter().find_map(|(form, outcome)| {
        let load = match line.strip_prefix(form)? {
            [] => LoadReport::default(),
            [b' ', text @ ..] if is_report(text, report) => load_report(text, report),
            _ => return None,
        };
        Some(Verdict {
            load,
            ..Verdict::bare(outcome)
        })
    })
}

/// Whether a text names fields of a load report and nothing else; their figures may be anything.
fn is_report(text: &[u8], fields: &[String]) -> bool {
    text.split(|b| *b == b',').all(|pair| {
        let mut parts = pair.splitn(2, |b| *b == b'=');
        let (name, value) = (parts.next().unwrap_or_default(), parts.next());
        value.is_some() && fields.iter().any(|field| field.as_bytes() == name)
    })
}
