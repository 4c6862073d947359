//! The models of servers behind sockets: how a cache host, the origin and discovery's agent are spoken to, and what the
//! checker is told of them.
use std::cell::RefCell;
use std::rc::Rc;

use bytes::{BufMut, Bytes, BytesMut};
use rustc_hash::FxHashMap;
use stairfront_codec::budget::Budget;
use stairfront_codec::http_server::{HttpServerCodec, Received, Reply as HttpReply};
use stairfront_codec::resp::{put_bulk, put_line, put_null, put_number, CommandReader};
use stairfront_emulator::agent::{self, Agent, Status};
use stairfront_emulator::cache_host::{self, CacheHost, Command, ConnId, Reply, Ticket};
use stairfront_emulator::origin::{self, Origin};
use stairfront_emulator::rules::{Seen, Told};
use stairfront_emulator::time::Micros;
use tokio_util::codec::Encoder;

use crate::event_log::EventLog;
use crate::server_host::{ServerOutput, Service};

/// Stand-ins are given all the memory they ask for: what is measured is the balancer.
const UNLIMITED_BYTES: usize = 1 << 30;
const MAX_BODY_BYTES: usize = 64 * 1024 * 1024;

/// A tape that the stand-ins of one thread share.
pub type SharedEventLog = Rc<RefCell<EventLog>>;

/// What the other stand-ins are told.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum OriginNotification {
    /// The origin has answered this request: caches that missed for it store the value.
    Filled { id: Bytes },
    /// The origin has taken a write of this key: copies are void.
    Written { key: Bytes },
}

pub type Notifier = Rc<dyn Fn(OriginNotification)>;

/// Requests' ids as numbers: 16 hexadecimal digits, as this project's clients send them, or a hash of anything else.
pub fn id_number(id: &[u8]) -> u64 {
    let text = std::str::from_utf8(id).ok().filter(|_| id.len() == 16);
    text.and_then(|text| u64::from_str_radix(text, 16).ok())
        .unwrap_or_else(|| {
            let fold = |hash: u64, byte: &u8| {
                (hash ^ u64::from(*byte)).wrapping_mul(0x0000_0100_0000_01b3)
            };
            id.iter().fold(0xcbf2_9ce4_8422_2325, fold)
        })
}

/// Attempts that are out at one stand-in, told to the checker as they begin and end.
struct AttemptTracker {
    host: u16,
    event_log: SharedEventLog,
    open: FxHashMap<Ticket, (u64, u64)>,
    next: u64,
}

impl AttemptTracker {
    /// `host`: its position among all hosts, which also keeps attempts of several hosts apart.
    fn new(host: u16, event_log: SharedEventLog) -> Self {
        AttemptTracker {
            host,
            event_log,
            open: FxHashMap::default(),
            next: u64::from(host) << 48,
        }
    }

    fn record(&self, at: Micros, seen: Seen) {
        self.event_log.borrow_mut().record(at, seen);
    }

    fn begin(&mut self, at: Micros, ticket: Ticket, id: u64, balancer: u16) {
        self.next += 1;
        self.open.insert(ticket, (self.next, id));
        self.record(
            at,
            Seen::Began {
                attempt: self.next,
                id,
                host: self.host,
                balancer,
            },
        );
    }

    fn end(&mut self, at: Micros, ticket: Ticket, ran: bool) {
        if let Some((attempt, id)) = self.open.remove(&ticket) {
            self.record(at, Seen::Ended { attempt, id, ran });
        }
    }

    fn end_connection(&mut self, at: Micros, connection: ConnId) {
        let of: Vec<Ticket> = self
            .open
            .keys()
            .filter(|t| t.connection == connection)
            .copied()
            .collect();
        of.into_iter()
            .for_each(|ticket| self.end(at, ticket, false));
    }
}

/// Counted at a server, for the table of a run.
#[derive(Clone, Copy, Debug, Default, serde::Serialize)]
pub struct ServerCounts {
    pub commands: u64,
    pub hits: u64,
    pub misses: u64,
    #[serde(rename = "turned_away")]
    pub rejected: u64,
    #[serde(rename = "most_connections")]
    pub max_connections: u64,
    /// The most work that came within a window of the fall-over rule while cold, over what it allows.
    pub worst_cold: f64,
}

pub struct CacheService {
    pub model: CacheHost,
    attempts: AttemptTracker,
    actions: Vec<cache_host::Action>,
    pub counts: ServerCounts,
    connections: u64,
    /// Probes are answered so.
    scratch: BytesMut,
}

impl CacheService {
    pub fn new(model: CacheHost, host: u16, event_log: SharedEventLog) -> Self {
        CacheService {
            model,
            attempts: AttemptTracker::new(host, event_log),
            actions: Vec::new(),
            counts: ServerCounts::default(),
            connections: 0,
            scratch: BytesMut::new(),
        }
    }

    pub fn counts(&self) -> ServerCounts {
        ServerCounts {
            worst_cold: self.model.worst_cold(),
            ..self.counts
        }
    }

    /// Closes what has stood idle for longer than the host keeps it.
    pub fn close_idle(&mut self, now: Micros, outputs: &mut Vec<ServerOutput>) {
        self.model.close_idle(now, &mut self.actions);
        self.apply_actions(now, outputs);
    }

    /// Starts anew, cold.
    pub fn start_cold(&mut self, now: Micros) {
        self.model.start_cold(now);
    }

    fn apply_actions(&mut self, now: Micros, outputs: &mut Vec<ServerOutput>) {
        for action in self.actions.drain(..) {
            match action {
                cache_host::Action::Reply(ticket, reply) => {
                    let ran = matches!(
                        reply,
                        Reply::Value { .. } | Reply::Doubled { .. } | Reply::Spoilt(_)
                    );
                    match &reply {
                        Reply::Value { note: "hit", .. } | Reply::Doubled { .. } => {
                            self.counts.hits += 1
                        }
                        Reply::Value { .. } | Reply::Miss { .. } => self.counts.misses += 1,
                        Reply::Busy => self.counts.rejected += 1,
                        _ => {}
                    }
                    if reply == Reply::Silence {
                        // Out until its connection ends.
                        outputs.push(ServerOutput::Skip(ticket));
                        continue;
                    }
                    self.attempts.end(now, ticket, ran);
                    outputs.push(ServerOutput::Answer(
                        ticket,
                        write_reply(&mut self.scratch, reply),
                    ));
                }
                cache_host::Action::Close(connection) => {
                    outputs.push(ServerOutput::Reset(connection))
                }
                cache_host::Action::Effect { id, .. } => {
                    self.attempts
                        .record(now, Seen::Effect { id: id_number(&id) });
                }
                cache_host::Action::ColdMiss { id } => {
                    self.attempts
                        .record(now, Seen::ColdMiss { id: id_number(&id) });
                }
                cache_host::Action::FellOver => {
                    let host = self.attempts.host;
                    self.attempts.record(now, Seen::FellOver { host });
                }
            }
        }
    }
}

fn write_reply(buffer: &mut BytesMut, reply: Reply) -> Vec<u8> {
    let array =
        |buffer: &mut BytesMut, value: Option<&[u8]>, note: &str, report: Option<&String>| {
            put_number(buffer, b'*', 3);
            match value {
                Some(value) => put_bulk(buffer, value),
                None => put_null(buffer),
            }
            put_bulk(buffer, note.as_bytes());
            match report {
                Some(report) => put_bulk(buffer, report.as_bytes()),
                None => put_null(buffer),
            }
        };
    buffer.clear();
    match &reply {
        Reply::Value {
            value,
            note,
            report,
        } => array(buffer, Some(value), note, report.as_ref()),
        Reply::Miss { report } => array(buffer, None, "miss", report.as_ref()),
        Reply::Failed => put_line(buffer, b'-', b"ERR failed"),
        Reply::Busy => put_line(buffer, b'-', b"BUSY"),
        Reply::Spoilt(bytes) => buffer.put_slice(bytes),
        Reply::Doubled { value } => (0..2).for_each(|_| array(buffer, Some(value), "hit", None)),
        Reply::Silence => {}
    }
    buffer.to_vec()
}

impl Service for CacheService {
    type Codec = CommandReader;

    fn codec(&self) -> CommandReader {
        CommandReader::new(&Budget::new(UNLIMITED_BYTES), &Budget::new(UNLIMITED_BYTES))
    }

    fn connection_opened(&mut self, now: Micros, connection: ConnId) -> bool {
        let accepted = self.model.open(now, connection);
        self.connections += u64::from(accepted);
        self.counts.max_connections = self.counts.max_connections.max(self.connections);
        accepted
    }

    fn received(
        &mut self,
        now: Micros,
        ticket: Ticket,
        balancer: u16,
        arguments: Vec<Bytes>,
        outputs: &mut Vec<ServerOutput>,
    ) {
        let name = arguments
            .first()
            .map(|word| word.to_ascii_uppercase())
            .unwrap_or_default();
        let mut reply_line =
            |line: &[u8]| outputs.push(ServerOutput::Answer(ticket, line.to_vec()));
        let write = match &name[..] {
            b"C.GET" => false,
            b"C.SET" => true,
            b"PING" => return reply_line(b"+PONG\r\n"),
            b"CLIENT" | b"SELECT" => return reply_line(b"+OK\r\n"),
            // Between stand-ins alone: what the origin tells caches in other processes.
            b"STAND-IN.FILL" | b"STAND-IN.DROP" => {
                let argument = arguments.get(1).cloned().unwrap_or_default();
                match &name[9..] {
                    b"FILL" => self.model.fill(now, &argument),
                    _ => self.model.drop_key(&argument),
                }
                return reply_line(b"+OK\r\n");
            }
            b"INFO" => return reply_line(b"-NOPERM\r\n"),
            _ => return reply_line(b"-ERR unknown command\r\n"),
        };
        let mut arguments = arguments.into_iter().skip(1);
        let (Some(key), Some(id), Some(info)) =
            (arguments.next(), arguments.next(), arguments.next())
        else {
            return reply_line(b"-SYNTAX\r\n");
        };
        let command = Command {
            write,
            key,
            id,
            info,
            value: arguments.next().unwrap_or_default(),
        };
        self.counts.commands += 1;
        self.attempts
            .begin(now, ticket, id_number(&command.id), balancer);
        self.model.command(now, ticket, command, &mut self.actions);
        self.apply_actions(now, outputs);
    }

    fn connection_closed(&mut self, now: Micros, connection: ConnId) {
        self.connections = self.connections.saturating_sub(1);
        self.model.close(connection);
        self.attempts.end_connection(now, connection);
    }

    fn advance(&mut self, now: Micros, outputs: &mut Vec<ServerOutput>) {
        self.model.advance(now, &mut self.actions);
        self.apply_actions(now, outputs);
    }

    fn next_due(&self) -> Option<Micros> {
        self.model.next_due()
    }

    fn resumed_after(&mut self, by: Micros) {
        self.model.hold_up(by);
    }
}

pub struct OriginService {
    pub model: Origin,
    attempts: AttemptTracker,
    actions: Vec<origin::Action>,
    notifier: Notifier,
    pub counts: ServerCounts,
    scratch: BytesMut,
}

impl OriginService {
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

    fn answer(&mut self, ticket: Ticket, status: u16, body: Bytes) -> ServerOutput {
        let (reason, not_started) = match status {
            200 => ("OK", None),
            503 => (
                "Service Unavailable",
                Some(("Not-Started", "1".to_string())),
            ),
            404 => ("Not Found", None),
            _ => ("Internal Server Error", None),
        };
        let reply = HttpReply {
            status,
            reason,
            headers: not_started.into_iter().collect(),
            body,
        };
        http_answer(&mut self.scratch, ticket, reply)
    }

    fn apply_actions(&mut self, now: Micros, outputs: &mut Vec<ServerOutput>) {
        for action in std::mem::take(&mut self.actions) {
            match action {
                origin::Action::Value(ticket, body) => {
                    self.attempts.end(now, ticket, true);
                    outputs.push(self.answer(ticket, 200, body));
                }
                origin::Action::Failed(ticket) => {
                    self.attempts.end(now, ticket, true);
                    outputs.push(self.answer(ticket, 500, Bytes::new()));
                }
                origin::Action::NotStarted(ticket) => {
                    self.counts.rejected += 1;
                    self.attempts.end(now, ticket, false);
                    outputs.push(self.answer(ticket, 503, Bytes::new()));
                }
                origin::Action::Filled { id } => (self.notifier)(OriginNotification::Filled { id }),
                origin::Action::Written { id, key } => {
                    self.attempts
                        .record(now, Seen::Effect { id: id_number(&id) });
                    (self.notifier)(OriginNotification::Written { key });
                }
                origin::Action::Stopped => self.attempts.record(now, Seen::OriginStopped),
            }
        }
    }
}

fn http_answer(scratch: &mut BytesMut, ticket: Ticket, reply: HttpReply) -> ServerOutput {
    scratch.clear();
    let mut codec = HttpServerCodec::new(0, &Budget::new(0));
    match codec.encode(reply, scratch) {
        Ok(()) => ServerOutput::Answer(ticket, scratch.to_vec()),
        // Only a header with a line break, and none here has one.
        Err(_) => ServerOutput::Reset(ticket.connection),
    }
}

/// A key as it stands in a request's target, its escapes undone.
fn key_of(target: &str) -> Bytes {
    let (mut key, bytes) = (
        Vec::with_capacity(target.len()),
        target.trim_start_matches('/').as_bytes(),
    );
    let mut i = 0;
    while i < bytes.len() {
        let escaped = bytes
            .get(i + 1..i + 3)
            .and_then(|two| std::str::from_utf8(two).ok());
        match (
            bytes[i],
            escaped.and_then(|two| u8::from_str_radix(two, 16).ok()),
        ) {
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

    fn connection_opened(&mut self, _: Micros, _: ConnId) -> bool {
        true
    }

    fn received(
        &mut self,
        now: Micros,
        ticket: Ticket,
        balancer: u16,
        request: Received,
        outputs: &mut Vec<ServerOutput>,
    ) {
        if request.target == "/-/healthy" || request.target == "/-/load" {
            return outputs.push(self.answer(ticket, 200, Bytes::new()));
        }
        let write = match request.method.as_str() {
            "GET" => false,
            "PUT" => true,
            _ => return outputs.push(self.answer(ticket, 404, Bytes::new())),
        };
        let id = request.header("Request-Id").cloned().unwrap_or_default();
        if id.is_empty() {
            // No balancer sends one: the rules count it as an attempt for a request that nobody sent.
            let Received { method, target, .. } = &request;
            eprintln!(
                "the origin got a request without an id at balancer {balancer}'s address: {method} {target}"
            );
        }
        self.counts.commands += 1;
        self.attempts.begin(now, ticket, id_number(&id), balancer);
        let request = origin::Request {
            write,
            key: key_of(&request.target),
            id,
        };
        self.model.request(now, ticket, request, &mut self.actions);
        self.apply_actions(now, outputs);
    }

    fn connection_closed(&mut self, now: Micros, connection: ConnId) {
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

pub struct AgentService {
    pub model: Agent,
    /// Positions of the hosts by name, and of the balancer whose agent it is.
    hosts: FxHashMap<String, u16>,
    balancer: u16,
    event_log: SharedEventLog,
    pub actions: Vec<agent::Action>,
    scratch: BytesMut,
}

impl AgentService {
    pub fn new(
        model: Agent,
        hosts: FxHashMap<String, u16>,
        balancer: u16,
        event_log: SharedEventLog,
    ) -> Self {
        AgentService {
            model,
            hosts,
            balancer,
            event_log,
            actions: Vec::new(),
            scratch: BytesMut::new(),
        }
    }

    pub fn apply_actions(&mut self, now: Micros, outputs: &mut Vec<ServerOutput>) {
        for action in std::mem::take(&mut self.actions) {
            match action {
                agent::Action::Answer(ticket, list) => {
                    let headers = vec![("Content-Type", "application/json".to_string())];
                    let reply = HttpReply {
                        status: 200,
                        reason: "OK",
                        headers,
                        body: Bytes::from(list),
                    };
                    outputs.push(http_answer(&mut self.scratch, ticket, reply));
                }
                agent::Action::Unknown(ticket) => {
                    let reply = HttpReply {
                        status: 404,
                        reason: "Not Found",
                        headers: vec![],
                        body: Bytes::new(),
                    };
                    outputs.push(http_answer(&mut self.scratch, ticket, reply));
                }
                agent::Action::Told { name, status } => {
                    let Some(host) = self.hosts.get(&name).copied() else {
                        continue;
                    };
                    let told = if status == Status::Serving {
                        Told::Serving
                    } else {
                        Told::Leaving
                    };
                    self.event_log.borrow_mut().record(
                        now,
                        Seen::Said {
                            balancer: self.balancer,
                            host,
                            told,
                        },
                    );
                }
            }
        }
    }
}

impl Service for AgentService {
    type Codec = HttpServerCodec;

    fn codec(&self) -> HttpServerCodec {
        HttpServerCodec::new(0, &Budget::new(UNLIMITED_BYTES))
    }

    fn connection_opened(&mut self, _: Micros, _: ConnId) -> bool {
        true
    }

    fn received(
        &mut self,
        now: Micros,
        ticket: Ticket,
        _: u16,
        request: Received,
        outputs: &mut Vec<ServerOutput>,
    ) {
        self.model
            .call(now, ticket, &request.target, &mut self.actions);
        self.apply_actions(now, outputs);
    }

    fn connection_closed(&mut self, _: Micros, connection: ConnId) {
        self.model.forget(Ticket {
            connection,
            number: 0,
        });
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
