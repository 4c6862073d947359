//! The resident memory of this balancer as the kernel counts it, and how near it is to the limit.
use std::cell::Cell;
use std::fs::File;
use std::os::unix::fs::FileExt;
use std::rc::Rc;

use tracing::info;

use crate::counters::Counters;
use crate::memory::ledger::MemoryLedger;

/// Part of the limit, in sixteenths, from which on nothing is reserved for single peers that take much, and the one from
/// which on nothing is reserved at all.
const HIGH_SIXTEENTHS: usize = 14;
const CRITICAL_SIXTEENTHS: usize = 15;
/// Longest text of a `statm` file.
const MAX_STATM_BYTES: usize = 128;
/// The second figure is the number of resident pages (proc(5)).
const RESIDENT_FIELD: usize = 1;

/// How near resident memory is to the limit.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, PartialOrd, Ord)]
pub enum MemoryPressure {
    /// There is space.
    #[default]
    Normal,
    /// Little is left.
    High,
    /// Nearly nothing is left.
    Critical,
}

impl MemoryPressure {
    /// The pressure of so many bytes under a limit.
    pub fn of(resident: usize, limit: usize) -> Self {
        if resident >= limit / 16 * CRITICAL_SIXTEENTHS {
            MemoryPressure::Critical
        } else if resident >= limit / 16 * HIGH_SIXTEENTHS {
            MemoryPressure::High
        } else {
            MemoryPressure::Normal
        }
    }
}

/// Measures the resident memory of this process, and of another process of this balancer while there is one.
#[derive(Debug, Default)]
pub struct ResidentMemory {
    own: Option<File>,
    other: Cell<Option<u32>>,
}

impl ResidentMemory {
    /// Measures this process. Where the system has no such file nothing is measured, and the ledger alone binds.
    pub fn of_this_process() -> Self {
        ResidentMemory {
            own: File::open("/proc/self/statm").ok(),
            other: Cell::new(None),
        }
    }

    /// Sets the other process of this balancer, by its number.
    pub fn set_other(&self, process: Option<u32>) {
        self.other.set(process);
    }

    /// Resident bytes of this process; 0 where they cannot be measured.
    pub fn own_bytes(&self) -> usize {
        self.own.as_ref().and_then(resident_bytes).unwrap_or(0)
    }

    /// Resident bytes of all processes of this balancer. What they share counts for each.
    pub fn bytes(&self) -> usize {
        let other = self.other.get().and_then(|process| {
            let statm = File::open(format!("/proc/{process}/statm")).ok()?;
            resident_bytes(&statm)
        });
        self.own_bytes() + other.unwrap_or(0)
    }
}

fn resident_bytes(statm: &File) -> Option<usize> {
    let mut text = [0; MAX_STATM_BYTES];
    let length = statm.read_at(&mut text, 0).ok()?;
    let text = std::str::from_utf8(&text[..length]).ok()?;
    let pages = text.split_whitespace().nth(RESIDENT_FIELD)?;
    Some(pages.parse::<usize>().ok()? * rustix::param::page_size())
}

/// Closes and opens the accounts of the ledger by resident memory.
pub struct MemoryWatch {
    ledger: Rc<MemoryLedger>,
    resident: Rc<ResidentMemory>,
    counters: Rc<Counters>,
    pressure: MemoryPressure,
}

impl MemoryWatch {
    /// Watches the memory of this process.
    pub fn new(
        ledger: Rc<MemoryLedger>,
        resident: Rc<ResidentMemory>,
        counters: Rc<Counters>,
    ) -> Self {
        MemoryWatch {
            ledger,
            resident,
            counters,
            pressure: MemoryPressure::Normal,
        }
    }

    /// Measures, and acts on what has changed.
    pub fn check(&mut self) {
        let resident = self.resident.bytes();
        self.ledger.record_resident(resident);
        let pressure = MemoryPressure::of(resident, self.ledger.limit());
        if pressure == self.pressure {
            return;
        }
        self.pressure = pressure;
        self.ledger.apply(pressure);
        info!(
            ?pressure,
            clients = self.counters.client_connections_open.get(),
            servers = self.counters.server_connections_open.get(),
            memory = self.ledger.to_string().trim_end().replace("\r\n", " "),
            "memory pressure changed"
        );
    }
}
