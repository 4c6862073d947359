//! Requests and answers on the wire.
use bytes::{BufMut, Bytes, BytesMut};
use stairfront_codec::resp::{put_bulk, put_number, Value};
use stairfront_common::time::{Micros, MS};
use stairfront_emulator::cache_host::is_value_for;
use stairfront_emulator::client::{Attempt, ClassSettings, Idempotency, Outcome};
use stairfront_emulator::rules::ClientAnswer;

/// Writes a request.
pub(super) fn put_request(
    out: &mut BytesMut,
    now: Micros,
    request: &Attempt,
    class: &ClassSettings,
    tenant: &str,
    marked: bool,
) {
    let left_ms = ((request.deadline - now) / MS).max(1);
    let id = format!("{:016x}", request.id);
    let mut info = format!("c={},t={tenant},d={left_ms}", class.name);
    if request.retry > 0 && marked {
        info.push_str(",r=1");
    }
    if class.idempotency == Idempotency::Keyed {
        info.push_str(&format!(",k={id}"));
    }
    put_number(out, b'*', if class.write { 5 } else { 4 });
    put_bulk(out, if class.write { b"C.SET" } else { b"C.GET" });
    put_bulk(out, format!("{:016x}", request.key).as_bytes());
    put_bulk(out, id.as_bytes());
    put_bulk(out, info.as_bytes());
    if class.write {
        put_number(out, b'$', class.value_bytes);
        out.put_bytes(b'v', class.value_bytes);
        out.put_slice(b"\r\n");
    }
}

/// An answer, for the checker and for the client.
pub(super) struct ParsedReply {
    pub(super) answer: ClientAnswer,
    pub(super) end: Outcome,
}

/// Reads a reply to the request with this id.
pub(super) fn parse_reply(reply: &Value, id: u64) -> ParsedReply {
    match reply {
        Value::Bulk(bytes) => value_reply(bytes, id),
        Value::Array(items) => match items.first() {
            Some(Value::Bulk(bytes)) => value_reply(bytes, id),
            _ => failed_reply(),
        },
        Value::Error(line) if line.starts_with(b"BUSY") => {
            let text = std::str::from_utf8(&line[4..]).ok();
            let retry_after_ms = text.and_then(|text| text.trim().parse::<u64>().ok());
            ParsedReply {
                answer: ClientAnswer::Rejected,
                end: Outcome::Rejected { retry_after_ms },
            }
        }
        _ => failed_reply(),
    }
}

fn value_reply(value: &Bytes, id: u64) -> ParsedReply {
    let own = is_value_for(value, format!("{id:016x}").as_bytes());
    ParsedReply {
        answer: ClientAnswer::Value { own },
        end: Outcome::Served,
    }
}

fn failed_reply() -> ParsedReply {
    ParsedReply {
        answer: ClientAnswer::Failed,
        end: Outcome::Failed,
    }
}
