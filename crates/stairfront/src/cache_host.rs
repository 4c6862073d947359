//! How cache hosts are spoken to: RESP2, one command at a time on a connection.
use std::net::SocketAddr;

use stairfront_policy::interface::{Load, Note, Outcome};

use crate::connection::Speech;
use crate::messages::Verdict;
use crate::resp::{CacheCodec, Value};
use crate::stages::relay;

impl Speech for CacheCodec {
    fn new(_: SocketAddr) -> Self {
        CacheCodec
    }

    fn verdict(reply: Value, report: &[String]) -> (Verdict, bool) {
        match reply {
            Value::Array(items) => (cache_reply(items, report), true),
            Value::Error(line) => {
                let full = line.split(|b| *b == b' ').next() == Some(b"BUSY");
                let outcome = if full { Outcome::Full } else { Outcome::Errored };
                let tail = line.rsplit(|b| *b == b' ').next().unwrap_or_default();
                (Verdict { load: relay::load_report(tail, report), ..Verdict::bare(outcome) }, true)
            }
            // Not a form that a cache host answers in: what it meant is not known.
            _ => (Verdict::bare(Outcome::Errored), false),
        }
    }
}

fn cache_reply(items: Vec<Value>, report: &[String]) -> Verdict {
    let mut items = items.into_iter();
    let first = items.next();
    let note = match items.next() {
        Some(Value::Bulk(word)) => match &word[..] {
            b"hit" => Note::Hit,
            b"miss" => Note::Fetched,
            b"pending" => Note::FetchPending,
            _ => Note::None,
        },
        _ => Note::None,
    };
    let load = match items.next() {
        Some(Value::Bulk(text)) => relay::load_report(&text, report),
        _ => Load::default(),
    };
    let (outcome, value) = match first {
        Some(Value::Bulk(value)) => (Outcome::Served, Some(value)),
        Some(Value::Null) => (Outcome::Miss, None),
        _ => (Outcome::Errored, None),
    };
    Verdict { outcome, note, load, value }
}
