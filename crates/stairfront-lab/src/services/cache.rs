//! A cache host behind RESP2 sockets.
use bytes::{BufMut, Bytes, BytesMut};
use stairfront_codec::budget::Budget;
use stairfront_codec::resp::{put_bulk, put_line, put_null, put_number, CommandDecoder};
use stairfront_common::time::Micros;
use stairfront_emulator::cache_host::{self, CacheHost, Command, ConnectionId, Reply, ReplySlot};
use stairfront_emulator::rules::Observation;

use super::attempts::AttemptTracker;
use super::{id_number, ServerCounts, SharedEventLog, UNLIMITED_BYTES};
use crate::server_host::{ServerOutput, Service};

/// A cache host.
pub struct CacheService {
    /// The model that decides its answers.
    pub model: CacheHost,
    attempts: AttemptTracker,
    actions: Vec<cache_host::Action>,
    counts: ServerCounts,
    connections: u64,
    scratch: BytesMut,
}

/// The kind of a command, by its name.
enum CommandKind {
    Get,
    Set,
    /// The origin has answered a request for a key.
    Fill,
    /// The origin has accepted a write of a key.
    Drop,
    /// It has a fixed answer.
    Answered(&'static [u8]),
}

impl CommandKind {
    fn of(name: &[u8]) -> Self {
        match name {
            b"C.GET" => CommandKind::Get,
            b"C.SET" => CommandKind::Set,
            b"PING" => CommandKind::Answered(b"+PONG\r\n"),
            b"CLIENT" | b"SELECT" => CommandKind::Answered(b"+OK\r\n"),
            b"STAND-IN.FILL" => CommandKind::Fill,
            b"STAND-IN.DROP" => CommandKind::Drop,
            b"INFO" => CommandKind::Answered(b"-NOPERM\r\n"),
            _ => CommandKind::Answered(b"-ERR unknown command\r\n"),
        }
    }
}

impl CacheService {
    /// A cache host at this position among all hosts.
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

    /// The counts so far.
    pub fn counts(&self) -> ServerCounts {
        ServerCounts {
            worst_cold: self.model.max_cold_load_ratio(),
            ..self.counts
        }
    }

    /// Closes connections that were idle for longer than the host keeps them.
    pub fn close_idle(&mut self, now: Micros, outputs: &mut Vec<ServerOutput>) {
        self.model.close_idle(now, &mut self.actions);
        self.apply_actions(now, outputs);
    }

    /// Starts the host again, cold.
    pub fn start_cold(&mut self, now: Micros) {
        self.model.start_cold(now);
    }

    fn apply_actions(&mut self, now: Micros, outputs: &mut Vec<ServerOutput>) {
        let mut actions = std::mem::take(&mut self.actions);
        for action in actions.drain(..) {
            match action {
                cache_host::Action::Reply(slot, reply) => {
                    outputs.push(self.answer(now, slot, &reply));
                }
                cache_host::Action::Close(connection) => {
                    outputs.push(ServerOutput::Reset(connection));
                }
                cache_host::Action::Effect { id, .. } => {
                    let id = id_number(&id);
                    self.attempts.record(now, Observation::EffectApplied { id });
                }
                cache_host::Action::ColdMiss { id } => {
                    let id = id_number(&id);
                    self.attempts.record(now, Observation::ColdMiss { id });
                }
                cache_host::Action::Crashed => {
                    let host = self.attempts.host();
                    self.attempts.record(now, Observation::HostCrashed { host });
                }
            }
        }
        // The buffer is used again for the next actions.
        self.actions = actions;
    }

    fn answer(&mut self, now: Micros, slot: ReplySlot, reply: &Reply) -> ServerOutput {
        match reply {
            Reply::Value { note: "hit", .. } | Reply::Duplicated { .. } => self.counts.hits += 1,
            Reply::Value { .. } | Reply::Miss { .. } => self.counts.misses += 1,
            Reply::Busy => self.counts.rejected += 1,
            _ => {}
        }
        if *reply == Reply::Dropped {
            // The attempt is open until its connection ends.
            return ServerOutput::Skip(slot);
        }
        let executed = matches!(
            reply,
            Reply::Value { .. } | Reply::Duplicated { .. } | Reply::Malformed(_)
        );
        self.attempts.end(now, slot, executed);
        ServerOutput::Answer(slot, encode_reply(&mut self.scratch, reply))
    }
}

fn encode_reply(buffer: &mut BytesMut, reply: &Reply) -> Vec<u8> {
    buffer.clear();
    match reply {
        Reply::Value {
            value,
            note,
            report,
        } => put_answer(buffer, Some(value), note, report.as_ref()),
        Reply::Miss { report } => put_answer(buffer, None, "miss", report.as_ref()),
        Reply::Failed => put_line(buffer, b'-', b"ERR failed"),
        Reply::Busy => put_line(buffer, b'-', b"BUSY"),
        Reply::Malformed(bytes) => buffer.put_slice(bytes),
        Reply::Duplicated { value } => {
            put_answer(buffer, Some(value), "hit", None);
            put_answer(buffer, Some(value), "hit", None);
        }
        Reply::Dropped => {}
    }
    buffer.to_vec()
}

/// Writes an answer of three parts: value, note and load report.
fn put_answer(buffer: &mut BytesMut, value: Option<&[u8]>, note: &str, report: Option<&String>) {
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
}

/// A read or write by its arguments; none if one is missing.
fn parse_command(write: bool, arguments: Vec<Bytes>) -> Option<Command> {
    let mut arguments = arguments.into_iter().skip(1);
    Some(Command {
        write,
        key: arguments.next()?,
        id: arguments.next()?,
        info: arguments.next()?,
        value: arguments.next().unwrap_or_default(),
    })
}

impl Service for CacheService {
    type Codec = CommandDecoder;

    fn codec(&self) -> CommandDecoder {
        CommandDecoder::new(&Budget::new(UNLIMITED_BYTES), &Budget::new(UNLIMITED_BYTES))
    }

    fn connection_opened(&mut self, now: Micros, connection: ConnectionId) -> bool {
        let accepted = self.model.open(now, connection);
        self.connections += u64::from(accepted);
        self.counts.max_connections = self.counts.max_connections.max(self.connections);
        accepted
    }

    fn received(
        &mut self,
        now: Micros,
        slot: ReplySlot,
        balancer: u16,
        arguments: Vec<Bytes>,
        outputs: &mut Vec<ServerOutput>,
    ) {
        let mut answer = |line: &[u8]| outputs.push(ServerOutput::Answer(slot, line.to_vec()));
        let name = arguments.first().map(|name| name.to_ascii_uppercase());
        let argument = || arguments.get(1).cloned().unwrap_or_default();
        let write = match CommandKind::of(&name.unwrap_or_default()) {
            CommandKind::Get => false,
            CommandKind::Set => true,
            CommandKind::Fill => {
                self.model.fill(now, &argument());
                return answer(b"+OK\r\n");
            }
            CommandKind::Drop => {
                self.model.invalidate(&argument());
                return answer(b"+OK\r\n");
            }
            CommandKind::Answered(line) => return answer(line),
        };
        let Some(command) = parse_command(write, arguments) else {
            return answer(b"-SYNTAX\r\n");
        };
        self.counts.commands += 1;
        let id = id_number(&command.id);
        self.attempts.begin(now, slot, id, balancer);
        self.model
            .handle_command(now, slot, command, &mut self.actions);
        self.apply_actions(now, outputs);
    }

    fn connection_closed(&mut self, now: Micros, connection: ConnectionId) {
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

    fn resumed_after(&mut self, pause: Micros) {
        self.model.stall(pause);
    }
}
