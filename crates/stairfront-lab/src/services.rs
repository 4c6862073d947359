//! The models of servers behind sockets: how a cache host, the origin and discovery's agent are spoken to, and what the
//! checker is told of them.
use std::cell::RefCell;
use std::rc::Rc;

use bytes::{BufMut, Bytes, BytesMut};
use rustc_hash::FxHashMap;
use stairfront_codec::budget::Budget;
use stairfront_codec::http_server::{HttpServerCodec, Request as Received, Response as HttpReply};
use stairfront_codec::resp::{put_bulk, put_line, put_null, put_number, CommandDecoder};
use stairfront_common::time::Micros;
use stairfront_emulator::cache_host::{self, CacheHost, Command, ConnectionId, Reply, ReplySlot};
use stairfront_emulator::discovery_agent::{self, DiscoveryAgent, EndpointStatus};
use stairfront_emulator::origin::{self, Origin};
use stairfront_emulator::rules::{AnnouncedState, Observation};
use tokio_util::codec::Encoder;

use crate::station::{Post, Service};
use crate::tape::Tape;

/// Stand-ins are given all the memory they ask for: what is measured is the balancer.
const PLENTY: usize = 1 << 30;
const LARGEST_BODY: usize = 64 * 1024 * 1024;

/// A tape that the stand-ins of one thread share.
pub type SharedTape = Rc<RefCell<Tape>>;

/// What the other stand-ins are told.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Word {
    /// The origin has answered this request: caches that missed for it store the value.
    Filled { id: Bytes },
    /// The origin has taken a write of this key: copies are void.
    Written { key: Bytes },
}

pub type Tell = Rc<dyn Fn(Word)>;

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
struct Attempts {
    host: u16,
    tape: SharedTape,
    out: FxHashMap<ReplySlot, (u64, u64)>,
    next: u64,
}

impl Attempts {
    /// `host`: its position among all hosts, which also keeps attempts of several hosts apart.
    fn new(host: u16, tape: SharedTape) -> Self {
        Attempts {
            host,
            tape,
            out: FxHashMap::default(),
            next: u64::from(host) << 48,
        }
    }

    fn note(&self, at: Micros, seen: Observation) {
        self.tape.borrow_mut().note(at, seen);
    }

    fn begin(&mut self, at: Micros, ticket: ReplySlot, id: u64, balancer: u16) {
        self.next += 1;
        self.out.insert(ticket, (self.next, id));
        self.note(
            at,
            Observation::AttemptStarted {
                attempt: self.next,
                id,
                host: self.host,
                balancer,
            },
        );
    }

    fn end(&mut self, at: Micros, ticket: ReplySlot, ran: bool) {
        if let Some((attempt, id)) = self.out.remove(&ticket) {
            self.note(
                at,
                Observation::AttemptEnded {
                    attempt,
                    id,
                    executed: ran,
                },
            );
        }
    }

    fn end_connection(&mut self, at: Micros, connection: ConnectionId) {
        let of: Vec<ReplySlot> = self
            .out
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
    pub turned_away: u64,
    pub most_connections: u64,
    /// The most work that came within a window of the fall-over rule while cold, over what it allows.
    pub worst_cold: f64,
}

pub struct CacheService {
    pub model: CacheHost,
    attempts: Attempts,
    actions: Vec<cache_host::Action>,
    pub counts: ServerCounts,
    connections: u64,
    /// Probes are answered so.
    scratch: BytesMut,
}

impl CacheService {
    pub fn new(model: CacheHost, host: u16, tape: SharedTape) -> Self {
        CacheService {
            model,
            attempts: Attempts::new(host, tape),
            actions: Vec::new(),
            counts: ServerCounts::default(),
            connections: 0,
            scratch: BytesMut::new(),
        }
    }

    pub fn counts(&self) -> ServerCounts {
        ServerCounts {
            worst_cold: self.model.max_cold_load_ratio(),
            ..self.counts
        }
    }

    /// Closes what has stood idle for longer than the host keeps it.
    pub fn close_idle(&mut self, now: Micros, posts: &mut Vec<Post>) {
        self.model.close_idle(now, &mut self.actions);
        self.carry_out(now, posts);
    }

    /// Starts anew, cold.
    pub fn start_cold(&mut self, now: Micros) {
        self.model.start_cold(now);
    }

    fn carry_out(&mut self, now: Micros, posts: &mut Vec<Post>) {
        for action in self.actions.drain(..) {
            match action {
                cache_host::Action::Reply(ticket, reply) => {
                    let ran = matches!(
                        reply,
                        Reply::Value { .. } | Reply::Duplicated { .. } | Reply::Malformed(_)
                    );
                    match &reply {
                        Reply::Value { note: "hit", .. } | Reply::Duplicated { .. } => {
                            self.counts.hits += 1
                        }
                        Reply::Value { .. } | Reply::Miss { .. } => self.counts.misses += 1,
                        Reply::Busy => self.counts.turned_away += 1,
                        _ => {}
                    }
                    if reply == Reply::Dropped {
                        // Out until its connection ends.
                        posts.push(Post::Skip(ticket));
                        continue;
                    }
                    self.attempts.end(now, ticket, ran);
                    posts.push(Post::Answer(ticket, write_reply(&mut self.scratch, reply)));
                }
                cache_host::Action::Close(connection) => posts.push(Post::Reset(connection)),
                cache_host::Action::Effect { id, .. } => {
                    self.attempts
                        .note(now, Observation::EffectApplied { id: id_number(&id) });
                }
                cache_host::Action::ColdMiss { id } => {
                    self.attempts
                        .note(now, Observation::ColdMiss { id: id_number(&id) });
                }
                cache_host::Action::Crashed => {
                    let host = self.attempts.host;
                    self.attempts.note(now, Observation::HostCrashed { host });
                }
            }
        }
    }
}

fn write_reply(to: &mut BytesMut, reply: Reply) -> Vec<u8> {
    let array = |to: &mut BytesMut, value: Option<&[u8]>, note: &str, report: Option<&String>| {
        put_number(to, b'*', 3);
        match value {
            Some(value) => put_bulk(to, value),
            None => put_null(to),
        }
        put_bulk(to, note.as_bytes());
        match report {
            Some(report) => put_bulk(to, report.as_bytes()),
            None => put_null(to),
        }
    };
    to.clear();
    match &reply {
        Reply::Value {
            value,
            note,
            report,
        } => array(to, Some(value), note, report.as_ref()),
        Reply::Miss { report } => array(to, None, "miss", report.as_ref()),
        Reply::Failed => put_line(to, b'-', b"ERR failed"),
        Reply::Busy => put_line(to, b'-', b"BUSY"),
        Reply::Malformed(bytes) => to.put_slice(bytes),
        Reply::Duplicated { value } => (0..2).for_each(|_| array(to, Some(value), "hit", None)),
        Reply::Dropped => {}
    }
    to.to_vec()
}

impl Service for CacheService {
    type Codec = CommandDecoder;

    fn codec(&self) -> CommandDecoder {
        CommandDecoder::new(&Budget::new(PLENTY), &Budget::new(PLENTY))
    }

    fn opened(&mut self, now: Micros, connection: ConnectionId) -> bool {
        let taken = self.model.open(now, connection);
        self.connections += u64::from(taken);
        self.counts.most_connections = self.counts.most_connections.max(self.connections);
        taken
    }

    fn received(
        &mut self,
        now: Micros,
        ticket: ReplySlot,
        balancer: u16,
        words: Vec<Bytes>,
        posts: &mut Vec<Post>,
    ) {
        let name = words
            .first()
            .map(|word| word.to_ascii_uppercase())
            .unwrap_or_default();
        let mut plain = |line: &[u8]| posts.push(Post::Answer(ticket, line.to_vec()));
        let write = match &name[..] {
            b"C.GET" => false,
            b"C.SET" => true,
            b"PING" => return plain(b"+PONG\r\n"),
            b"CLIENT" | b"SELECT" => return plain(b"+OK\r\n"),
            // Between stand-ins alone: what the origin tells caches in other processes.
            b"STAND-IN.FILL" | b"STAND-IN.DROP" => {
                let argument = words.get(1).cloned().unwrap_or_default();
                match &name[9..] {
                    b"FILL" => self.model.fill(now, &argument),
                    _ => self.model.invalidate(&argument),
                }
                return plain(b"+OK\r\n");
            }
            b"INFO" => return plain(b"-NOPERM\r\n"),
            _ => return plain(b"-ERR unknown command\r\n"),
        };
        let mut words = words.into_iter().skip(1);
        let (Some(key), Some(id), Some(info)) = (words.next(), words.next(), words.next()) else {
            return plain(b"-SYNTAX\r\n");
        };
        let command = Command {
            write,
            key,
            id,
            info,
            value: words.next().unwrap_or_default(),
        };
        self.counts.commands += 1;
        self.attempts
            .begin(now, ticket, id_number(&command.id), balancer);
        self.model
            .handle_command(now, ticket, command, &mut self.actions);
        self.carry_out(now, posts);
    }

    fn closed(&mut self, now: Micros, connection: ConnectionId) {
        self.connections = self.connections.saturating_sub(1);
        self.model.close(connection);
        self.attempts.end_connection(now, connection);
    }

    fn advance(&mut self, now: Micros, posts: &mut Vec<Post>) {
        self.model.advance(now, &mut self.actions);
        self.carry_out(now, posts);
    }

    fn next_due(&self) -> Option<Micros> {
        self.model.next_due()
    }

    fn held_up(&mut self, by: Micros) {
        self.model.stall(by);
    }
}

pub struct OriginService {
    pub model: Origin,
    attempts: Attempts,
    actions: Vec<origin::Action>,
    tell: Tell,
    pub counts: ServerCounts,
    scratch: BytesMut,
}

impl OriginService {
    pub fn new(model: Origin, host: u16, tape: SharedTape, tell: Tell) -> Self {
        OriginService {
            model,
            attempts: Attempts::new(host, tape),
            actions: Vec::new(),
            tell,
            counts: ServerCounts::default(),
            scratch: BytesMut::new(),
        }
    }

    fn answer(&mut self, ticket: ReplySlot, status: u16, body: Bytes) -> Post {
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

    fn carry_out(&mut self, now: Micros, posts: &mut Vec<Post>) {
        for action in std::mem::take(&mut self.actions) {
            match action {
                origin::Action::Value(ticket, body) => {
                    self.attempts.end(now, ticket, true);
                    posts.push(self.answer(ticket, 200, body));
                }
                origin::Action::Failed(ticket) => {
                    self.attempts.end(now, ticket, true);
                    posts.push(self.answer(ticket, 500, Bytes::new()));
                }
                origin::Action::NotStarted(ticket) => {
                    self.counts.turned_away += 1;
                    self.attempts.end(now, ticket, false);
                    posts.push(self.answer(ticket, 503, Bytes::new()));
                }
                origin::Action::Filled { id } => (self.tell)(Word::Filled { id }),
                origin::Action::Written { id, key } => {
                    self.attempts
                        .note(now, Observation::EffectApplied { id: id_number(&id) });
                    (self.tell)(Word::Written { key });
                }
                origin::Action::Stopped => self.attempts.note(now, Observation::OriginStopped),
            }
        }
    }
}

fn http_answer(scratch: &mut BytesMut, ticket: ReplySlot, reply: HttpReply) -> Post {
    scratch.clear();
    let mut codec = HttpServerCodec::new(0, &Budget::new(0));
    match codec.encode(reply, scratch) {
        Ok(()) => Post::Answer(ticket, scratch.to_vec()),
        // Only a header with a line break, and none here has one.
        Err(_) => Post::Reset(ticket.connection),
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
        HttpServerCodec::new(LARGEST_BODY, &Budget::new(PLENTY))
    }

    fn opened(&mut self, _: Micros, _: ConnectionId) -> bool {
        true
    }

    fn received(
        &mut self,
        now: Micros,
        ticket: ReplySlot,
        balancer: u16,
        request: Received,
        posts: &mut Vec<Post>,
    ) {
        if request.target == "/-/healthy" || request.target == "/-/load" {
            return posts.push(self.answer(ticket, 200, Bytes::new()));
        }
        let write = match request.method.as_str() {
            "GET" => false,
            "PUT" => true,
            _ => return posts.push(self.answer(ticket, 404, Bytes::new())),
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
        self.model
            .handle_request(now, ticket, request, &mut self.actions);
        self.carry_out(now, posts);
    }

    fn closed(&mut self, now: Micros, connection: ConnectionId) {
        self.attempts.end_connection(now, connection);
    }

    fn advance(&mut self, now: Micros, posts: &mut Vec<Post>) {
        self.model.advance(now, &mut self.actions);
        self.carry_out(now, posts);
    }

    fn next_due(&self) -> Option<Micros> {
        self.model.next_due()
    }

    fn held_up(&mut self, _: Micros) {}
}

pub struct AgentService {
    pub model: DiscoveryAgent,
    /// Positions of the hosts by name, and of the balancer whose agent it is.
    hosts: FxHashMap<String, u16>,
    balancer: u16,
    tape: SharedTape,
    pub actions: Vec<discovery_agent::Action>,
    scratch: BytesMut,
}

impl AgentService {
    pub fn new(
        model: DiscoveryAgent,
        hosts: FxHashMap<String, u16>,
        balancer: u16,
        tape: SharedTape,
    ) -> Self {
        AgentService {
            model,
            hosts,
            balancer,
            tape,
            actions: Vec::new(),
            scratch: BytesMut::new(),
        }
    }

    pub fn carry_out(&mut self, now: Micros, posts: &mut Vec<Post>) {
        for action in std::mem::take(&mut self.actions) {
            match action {
                discovery_agent::Action::Answer(ticket, list) => {
                    let headers = vec![("Content-Type", "application/json".to_string())];
                    let reply = HttpReply {
                        status: 200,
                        reason: "OK",
                        headers,
                        body: Bytes::from(list),
                    };
                    posts.push(http_answer(&mut self.scratch, ticket, reply));
                }
                discovery_agent::Action::NotFound(ticket) => {
                    let reply = HttpReply {
                        status: 404,
                        reason: "Not Found",
                        headers: vec![],
                        body: Bytes::new(),
                    };
                    posts.push(http_answer(&mut self.scratch, ticket, reply));
                }
                discovery_agent::Action::Notified { name, status } => {
                    let Some(host) = self.hosts.get(&name).copied() else {
                        continue;
                    };
                    let told = if status == EndpointStatus::Serving {
                        AnnouncedState::Serving
                    } else {
                        AnnouncedState::Draining
                    };
                    self.tape.borrow_mut().note(
                        now,
                        Observation::Notified {
                            balancer: self.balancer,
                            host,
                            state: told,
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
        HttpServerCodec::new(0, &Budget::new(PLENTY))
    }

    fn opened(&mut self, _: Micros, _: ConnectionId) -> bool {
        true
    }

    fn received(
        &mut self,
        now: Micros,
        ticket: ReplySlot,
        _: u16,
        request: Received,
        posts: &mut Vec<Post>,
    ) {
        self.model
            .handle_request(now, ticket, &request.target, &mut self.actions);
        self.carry_out(now, posts);
    }

    fn closed(&mut self, _: Micros, connection: ConnectionId) {
        self.model.remove_connection(ReplySlot {
            connection,
            sequence: 0,
        });
    }

    fn advance(&mut self, now: Micros, posts: &mut Vec<Post>) {
        self.model.advance(now, &mut self.actions);
        self.carry_out(now, posts);
    }

    fn next_due(&self) -> Option<Micros> {
        self.model.next_due()
    }

    fn held_up(&mut self, _: Micros) {}
}
