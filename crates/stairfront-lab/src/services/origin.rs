//! The origin behind HTTP sockets.
use bytes::{Bytes, BytesMut};
use stairfront_codec::budget::Budget;
use stairfront_codec::http_server::{HttpServerCodec, Request, Response};
use stairfront_common::time::Micros;
use stairfront_emulator::cache_host::{ConnectionId, ReplySlot};
use stairfront_emulator::origin::{self, Origin};
use stairfront_emulator::rules::Observation;

use super::attempts::AttemptTracker;
use super::{
    http_answer, id_number, Notifier, OriginNotification, ServerCounts, SharedEventLog,
    UNLIMITED_BYTES,
};
use crate::server_host::{ServerOutput, Service};

const MAX_BODY_BYTES: usize = 64 * 1024 * 1024;

/// The origin.
pub struct OriginService {
    /// The model that decides its answers.
    pub model: Origin,
    attempts: AttemptTracker,
    actions: Vec<origin::Action>,
    notifier: Notifier,
    /// The counts so far.
    pub counts: ServerCounts,
    scratch: BytesMut,
}

impl OriginService {
    /// The origin at this position among all hosts.
    pub fn new(model: Origin, host: u16, event_log: SharedEventLog, notifier: Notifier) -> Self {
        OriginService {
            model,
            attempts: AttemptTracker::new(host, event_log),
            actions: Vec::new(),
            notifier,
            counts: ServerCounts::default(),
            scratch: BytesMut::new(),
        }
    }

    fn answer(&mut self, slot: ReplySlot, status: u16, body: Bytes) -> ServerOutput {
        let reason = match status {
            200 => "OK",
            503 => "Service Unavailable",
            404 => "Not Found",
            _ => "Internal Server Error",
        };
        let not_started = (status == 503).then(|| ("Not-Started", "1".to_string()));
        let reply = Response {
            status,
            reason,
            headers: not_started.into_iter().collect(),
            body,
        };
        http_answer(&mut self.scratch, slot, reply)
    }

    fn apply_actions(&mut self, now: Micros, outputs: &mut Vec<ServerOutput>) {
        for action in std::mem::take(&mut self.actions) {
            match action {
                origin::Action::Value(slot, body) => {
                    self.attempts.end(now, slot, true);
                    outputs.push(self.answer(slot, 200, body));
                }
                origin::Action::Failed(slot) => {
                    self.attempts.end(now, slot, true);
                    outputs.push(self.answer(slot, 500, Bytes::new()));
                }
                origin::Action::NotStarted(slot) => {
                    self.counts.rejected += 1;
                    self.attempts.end(now, slot, false);
                    outputs.push(self.answer(slot, 503, Bytes::new()));
                }
                origin::Action::Filled { id } => (self.notifier)(OriginNotification::Filled { id }),
                origin::Action::Written { id, key } => {
                    let id = id_number(&id);
                    self.attempts.record(now, Observation::EffectApplied { id });
                    (self.notifier)(OriginNotification::Written { key });
                }
                origin::Action::Stopped => self.attempts.record(now, Observation::OriginStopped),
            }
        }
    }
}

/// The key in a request's target, with percent-encoding undone.
fn decode_key(target: &str) -> Bytes {
    let bytes = target.trim_start_matches('/').as_bytes();
    let mut key = Vec::with_capacity(target.len());
    let mut i = 0;
    while i < bytes.len() {
        let digits = bytes.get(i + 1..i + 3);
        let digits = digits.and_then(|two| std::str::from_utf8(two).ok());
        let decoded = digits.and_then(|two| u8::from_str_radix(two, 16).ok());
        match (bytes[i], decoded) {
            (b'%', Some(byte)) => {
                key.push(byte);
                i += 3;
            }
            (byte, _) => {
                key.push(byte);
                i += 1;
            }
        }
    }
    Bytes::from(key)
}

impl Service for OriginService {
    type Codec = HttpServerCodec;

    fn codec(&self) -> HttpServerCodec {
        HttpServerCodec::new(MAX_BODY_BYTES, &Budget::new(UNLIMITED_BYTES))
    }

    fn connection_opened(&mut self, _: Micros, _: ConnectionId) -> bool {
        true
    }

    fn received(
        &mut self,
        now: Micros,
        slot: ReplySlot,
        balancer: u16,
        request: Request,
        outputs: &mut Vec<ServerOutput>,
    ) {
        if request.target == "/-/healthy" || request.target == "/-/load" {
            return outputs.push(self.answer(slot, 200, Bytes::new()));
        }
        let write = match request.method.as_str() {
            "GET" => false,
            "PUT" => true,
            _ => return outputs.push(self.answer(slot, 404, Bytes::new())),
        };
        let id = request.header("Request-Id").cloned().unwrap_or_default();
        if id.is_empty() {
            // No balancer sends one: the rules count it as an attempt for a request that nobody sent.
            let Request { method, target, .. } = &request;
            eprintln!(
                "the origin got a request without an id at balancer {balancer}'s address: {method} {target}"
            );
        }
        self.counts.commands += 1;
        self.attempts.begin(now, slot, id_number(&id), balancer);
        let request = origin::Request {
            write,
            key: decode_key(&request.target),
            id,
        };
        self.model
            .handle_request(now, slot, request, &mut self.actions);
        self.apply_actions(now, outputs);
    }

    fn connection_closed(&mut self, now: Micros, connection: ConnectionId) {
        self.attempts.end_connection(now, connection);
    }

    fn advance(&mut self, now: Micros, outputs: &mut Vec<ServerOutput>) {
        self.model.advance(now, &mut self.actions);
        self.apply_actions(now, outputs);
    }

    fn next_due(&self) -> Option<Micros> {
        self.model.next_due()
    }

    fn resumed_after(&mut self, _: Micros) {}
}
