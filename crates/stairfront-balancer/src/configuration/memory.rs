//! How the limit on memory is divided: what the program, its tables and its connections take, and the accounts of the ledger.
use stairfront_codec::resp::MAX_VALUE_BYTES;

use crate::configuration::limits::{Sockets, MAX_SOCKETS, MAX_SPARE_CONNECTIONS};

const MIB: usize = 1024 * 1024;
/// What one connection takes: its read buffer, its task, and what is encoded to be written.
const CLIENT_CONNECTION_BYTES: usize = 16 * 1024;
const SERVER_CONNECTION_BYTES: usize = 12 * 1024;
/// The part of the limit that the connections to each side may take; there are fewer where that binds.
const CLIENT_CONNECTIONS_DIVISOR: usize = 6;
const SERVER_CONNECTIONS_DIVISOR: usize = 12;
/// What the program takes by itself at least: its code and what it allocates at the start.
const MIN_PROGRAM_BYTES: usize = 9 * MIB / 2;
/// Part of the program at the start by which it grows as more of its code runs.
const PROGRAM_GROWTH_DIVISOR: usize = 16;
/// The part of the limit, in 32 parts, for tables that grow with what clients ask: half of it for placements, a third for
/// timers, a sixth for ids.
const TABLES_PARTS: usize = 3;
const PLACEMENTS_DIVISOR: usize = 2;
const TIMERS_DIVISOR: usize = 3;
const USED_IDS_DIVISOR: usize = 6;
/// What a key in the table of placements takes at most, a timer, and an id of a request that is remembered.
const PLACEMENT_BYTES: usize = 112;
const TIMER_BYTES: usize = 144;
const USED_ID_BYTES: usize = 80;

impl Sockets {
    /// No more connections than a limit on memory bears.
    #[must_use]
    pub fn within_memory(self, limit_mb: usize) -> Self {
        let limit = limit_mb.max(Memory::MIN_MB) * MIB;
        let clients = limit / CLIENT_CONNECTIONS_DIVISOR / CLIENT_CONNECTION_BYTES;
        let servers = limit / SERVER_CONNECTIONS_DIVISOR / SERVER_CONNECTION_BYTES;
        Sockets {
            clients: self.clients.min(clients),
            servers: self.servers.min(servers),
        }
    }
}

/// The limit on memory and its parts, in bytes. The parts add up to the limit.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Memory {
    /// The limit.
    pub limit: usize,
    /// What the program takes by itself.
    pub program: usize,
    /// Tables that grow with what clients ask.
    pub tables: usize,
    /// All connections, without what is reserved for messages on them.
    pub connections: usize,
    /// Keys and values of open requests.
    pub requests: usize,
    /// Usual commands of clients that have not come as a whole.
    pub commands: usize,
    /// Commands with a large value, from their head to the end of their request.
    pub large_commands: usize,
    /// Replies of servers, from their head until their value is written to the client.
    pub replies: usize,
    /// Chunks of large values on their way to clients.
    pub streams: usize,
    /// What the allocator needs beyond what it was asked for.
    pub headroom: usize,
    /// The largest value that is read from a server.
    pub max_value_bytes: usize,
}

impl Memory {
    /// The smallest limit, in MB.
    pub const MIN_MB: usize = 16;
    /// The limit where none is configured, in MB.
    pub const DEFAULT_MB: usize = 192;
    /// What is divided at least, however much the program takes by itself.
    const MIN_DIVIDED: usize = 2 * MIB;

    /// Divides a limit in MB, with as many connections as there can be.
    pub fn of(limit_mb: usize) -> Self {
        let sockets = Sockets::split(MAX_SOCKETS, 0).within_memory(limit_mb);
        Self::divide(limit_mb, sockets)
    }

    /// Divides a limit in MB, with at most so many connections.
    pub fn divide(limit_mb: usize, sockets: Sockets) -> Self {
        let limit = limit_mb.max(Self::MIN_MB) * MIB;
        let clients = sockets.clients + MAX_SPARE_CONNECTIONS;
        let connections =
            clients * CLIENT_CONNECTION_BYTES + sockets.servers * SERVER_CONNECTION_BYTES;
        let fixed = Memory {
            limit,
            program: MIN_PROGRAM_BYTES,
            tables: limit / 32 * TABLES_PARTS,
            connections,
            requests: 0,
            commands: 0,
            large_commands: 0,
            replies: 0,
            streams: 0,
            headroom: 0,
            max_value_bytes: MAX_VALUE_BYTES,
        };
        fixed.with_accounts(1)
    }

    /// The same with what the program took at its start, as measured.
    #[must_use]
    pub fn with_program(self, resident_bytes: usize) -> Self {
        let program = resident_bytes + resident_bytes / PROGRAM_GROWTH_DIVISOR;
        let program = program.max(MIN_PROGRAM_BYTES);
        Memory { program, ..self }.with_accounts(1)
    }

    /// The part of one of two processes of this balancer.
    #[must_use]
    pub fn shared(self) -> Self {
        self.with_accounts(2)
    }

    /// Most keys that the table of placements may have.
    pub fn max_placements(&self) -> usize {
        self.tables / PLACEMENTS_DIVISOR / PLACEMENT_BYTES
    }

    /// Most timers of the decision module. One that was set for a request stays until it is due, also once that is answered.
    pub fn max_timers(&self) -> usize {
        self.tables / TIMERS_DIVISOR / TIMER_BYTES
    }

    /// Most ids of requests that may be remembered.
    pub fn max_used_ids(&self) -> usize {
        self.tables / USED_IDS_DIVISOR / USED_ID_BYTES
    }

    /// The sum of all parts.
    pub fn sum(&self) -> usize {
        let fixed = self.program + self.tables + self.connections + self.headroom;
        let large = self.large_commands + self.streams;
        fixed + self.requests + self.commands + self.replies + large
    }

    /// Divides what the program and its connections leave, in 32 parts, among so many processes.
    fn with_accounts(self, processes: usize) -> Self {
        let fixed = (self.program + self.tables) * processes + self.connections;
        let divided = self.limit.saturating_sub(fixed).max(Self::MIN_DIVIDED) / processes;
        let part = divided / 32;
        Memory {
            requests: 5 * part,
            commands: 2 * part,
            large_commands: 10 * part,
            replies: 7 * part,
            streams: 4 * part,
            headroom: 4 * part,
            ..self
        }
    }
}
