//! A store in memory, as a driver has one on a disk.
use stairfront_raft::{HardState, Log, Ready, Recovered};

/// The durable state of a member.
#[derive(Clone, Debug, Default)]
pub struct MemoryStore {
    pub hard_state: HardState,
    pub log: Log,
}

impl MemoryStore {
    /// Makes a batch durable.
    pub fn persist(&mut self, ready: &Ready) {
        if let Some(hard_state) = &ready.hard_state {
            self.hard_state = hard_state.clone();
        }
        if let Some(snapshot) = &ready.snapshot {
            self.log.compact(snapshot.clone());
        }
        if let Some(from) = ready.truncate_from {
            self.log.truncate(from);
        }
        for appended in &ready.append {
            let index = self.log.push(appended.entry.clone());
            assert_eq!(index, appended.index, "a hole in the log");
        }
    }

    /// The state with which the member restarts.
    pub fn recovered(&self) -> Recovered {
        Recovered {
            hard_state: self.hard_state.clone(),
            log: self.log.clone(),
        }
    }
}
