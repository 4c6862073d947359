//! The accounts from which memory is reserved for peers, and what a request reserves.
use std::cell::Cell;
use std::fmt;
use std::rc::Rc;

use stairfront_codec::budget::{Budget, Reservation};
use stairfront_codec::resp::CommandMemory;

use crate::configuration::memory::Memory;
use crate::memory::resident::MemoryPressure;

/// What an open request takes beside its command: its entries in the tables of the engine and of the decision module, its
/// timers, the channel of its answer, and the head that is encoded for a server.
const REQUEST_OVERHEAD_BYTES: usize = 2048;
/// What a buffered answer takes beside its value.
const ANSWER_OVERHEAD_BYTES: usize = 256;

/// The accounts of one process. All of it lives on one thread.
#[derive(Debug)]
pub struct MemoryLedger {
    division: Memory,
    /// Commands of open requests.
    pub requests: Rc<Budget>,
    /// Read buffers of usual commands that have not come as a whole.
    pub commands: Rc<Budget>,
    /// Commands with a large value, from their head to the end of their request.
    pub large_commands: Rc<Budget>,
    /// Replies of servers, from their head until their value is written to the client.
    pub replies: Rc<Budget>,
    /// Chunks of large values on their way from servers to clients.
    pub streams: Rc<Budget>,
    /// Resident memory of all processes of this balancer at the last measurement, in bytes, and the most that was measured.
    resident: Cell<usize>,
    resident_peak: Cell<usize>,
}

impl MemoryLedger {
    /// Accounts of these sizes.
    pub fn new(division: &Memory) -> Rc<Self> {
        Rc::new(MemoryLedger {
            division: *division,
            requests: Budget::new(division.requests),
            commands: Budget::new(division.commands),
            large_commands: Budget::new(division.large_commands),
            replies: Budget::new(division.replies),
            streams: Budget::new(division.streams),
            resident: Cell::new(0),
            resident_peak: Cell::new(0),
        })
    }

    /// The limit on the memory of this balancer, in bytes.
    pub fn limit(&self) -> usize {
        self.division.limit
    }

    /// Most ids of requests that may be remembered.
    pub fn max_used_ids(&self) -> usize {
        self.division.max_used_ids()
    }

    /// Most timers of the decision module.
    pub fn max_timers(&self) -> usize {
        self.division.max_timers()
    }

    /// Records what was measured.
    pub fn record_resident(&self, bytes: usize) {
        self.resident.set(bytes);
        self.resident_peak.set(self.resident_peak.get().max(bytes));
    }

    /// Sets whether another process of this balancer has a part of the limit.
    pub fn set_shared(&self, is_shared: bool) {
        let division = if is_shared {
            self.division.shared()
        } else {
            self.division
        };
        self.requests.set_limit(division.requests);
        self.commands.set_limit(division.commands);
        self.large_commands.set_limit(division.large_commands);
        self.replies.set_limit(division.replies);
        self.streams.set_limit(division.streams);
    }

    /// Closes accounts by the pressure on resident memory, and opens them again: first what takes much for one peer, then
    /// all.
    pub fn apply(&self, pressure: MemoryPressure) {
        let is_high = pressure >= MemoryPressure::High;
        for account in [&self.commands, &self.large_commands, &self.streams] {
            account.set_closed(is_high);
        }
        let is_critical = pressure == MemoryPressure::Critical;
        for account in [&self.requests, &self.replies] {
            account.set_closed(is_critical);
        }
    }

    /// The account of an incomplete command.
    pub fn account_of_command(&self, is_large: bool) -> &Rc<Budget> {
        if is_large {
            &self.large_commands
        } else {
            &self.commands
        }
    }

    /// Reserves the memory of a request whose words have so many bytes; `frame` is that of its buffer, where the command
    /// keeps the buffer into which it was read. `None` if there is none.
    pub fn reserve_request(
        &self,
        words_bytes: usize,
        frame: Option<CommandMemory>,
    ) -> Option<Rc<RequestMemory>> {
        let (bytes, large) = match frame {
            None => (words_bytes, None),
            // The command changes from one account to the other.
            Some(CommandMemory::Usual(buffer)) => (buffer.bytes(), None),
            Some(CommandMemory::Large(buffer)) => (0, Some(buffer)),
        };
        let request = self.requests.try_reserve(bytes + REQUEST_OVERHEAD_BYTES)?;
        Some(Rc::new(RequestMemory {
            _request: request,
            _large: large,
        }))
    }

    fn accounts(&self) -> [(&'static str, &Budget); 5] {
        [
            ("requests", &self.requests),
            ("commands", &self.commands),
            ("large_commands", &self.large_commands),
            ("replies", &self.replies),
            ("streams", &self.streams),
        ]
    }
}

impl fmt::Display for MemoryLedger {
    /// One `name:value` a line, as `INFO` answers of this protocol go.
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "memory_limit_bytes:{}\r\n", self.limit())?;
        write!(f, "memory_resident_bytes:{}\r\n", self.resident.get())?;
        let peak = self.resident_peak.get();
        write!(f, "memory_resident_peak_bytes:{peak}\r\n")?;
        for (name, account) in self.accounts() {
            write!(f, "memory_{name}_bytes:{}\r\n", account.reserved())?;
            write!(f, "memory_{name}_peak_bytes:{}\r\n", account.peak())?;
            write!(f, "memory_{name}_limit_bytes:{}\r\n", account.limit())?;
            write!(f, "memory_{name}_refused:{}\r\n", account.refusals())?;
        }
        Ok(())
    }
}

/// Reserves the memory of a buffered value until it is written to the client; `frame` is that of its buffer, where it keeps
/// the buffer into which it was read.
pub(crate) fn reserve_value(
    replies: &Rc<Budget>,
    bytes: usize,
    frame: Option<Reservation>,
) -> Option<Reservation> {
    frame.or_else(|| replies.try_reserve(bytes + ANSWER_OVERHEAD_BYTES))
}

/// The memory of one request, shared by its entry in the table of open requests and its attempts.
#[derive(Debug)]
pub struct RequestMemory {
    _request: Reservation,
    _large: Option<Reservation>,
}
