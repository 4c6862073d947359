//! One simulated member: its disk, its cordons and its attempts.
use std::collections::{BTreeMap, BTreeSet};

use stairfront_common::time::Micros;
use stairfront_maintenance::{MachineKey, Maintenance};
use stairfront_raft::{ClusterManager, HardState, Log, OutgoingMessage, Ready, Recovered};

/// The members that have confirmed each of the machines.
pub type Confirmations = BTreeMap<MachineKey, BTreeSet<String>>;

/// The durable state of a member.
#[derive(Default)]
pub struct Disk {
    hard_state: HardState,
    pub log: Log,
}

impl Disk {
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
            self.log.push(appended.entry.clone());
        }
    }

    pub fn recovered(&self) -> Recovered {
        Recovered {
            hard_state: self.hard_state.clone(),
            log: self.log.clone(),
        }
    }
}

/// A batch on its way to the disk, and the messages that may be sent once it is durable.
pub struct PersistingBatch {
    pub completes_at: Micros,
    pub ready: Ready,
    pub messages: Vec<OutgoingMessage>,
}

/// An attempt in flight at a cache host.
pub struct Attempt {
    pub host: String,
    pub ends_at: Micros,
}

#[derive(Default)]
pub struct Member {
    /// `None` while the process is down.
    pub manager: Option<ClusterManager>,
    pub maintenance: Maintenance,
    /// Index of the last entry that it has applied.
    pub applied: u64,
    pub disk: Disk,
    pub persisting: Option<PersistingBatch>,
    /// The incarnation of its disk.
    pub incarnation: u64,
    /// Tells one process of its name from the next.
    pub process_id: u64,
    /// The process is suspended: it neither sends nor receives.
    pub is_paused: bool,
    /// The hosts that it keeps out of service, as the group's cordon set has them.
    pub cordons: BTreeSet<MachineKey>,
    pub in_flight: Vec<Attempt>,
    pub confirmed: Confirmations,
    pub drained: Confirmations,
    /// When each command was last proposed, by its text.
    pub proposed: BTreeMap<String, Micros>,
    pub unreachable_since: Micros,
    /// It was started where it could reach no majority, and has not been notified of a cordon since.
    pub started_isolated: bool,
}

impl Member {
    pub fn is_running(&self) -> bool {
        self.manager.is_some() && !self.is_paused
    }

    pub fn is_cordoned(&self, host: &str) -> bool {
        self.cordons.iter().any(|cordon| cordon.host == host)
    }

    pub fn has_attempt_at(&self, host: &str) -> bool {
        self.in_flight.iter().any(|attempt| attempt.host == host)
    }

    /// The member has applied an entry that lifts this cordon.
    pub fn has_lifted(&self, cordon: &MachineKey) -> bool {
        let cordoned = self.maintenance.cordoned_hosts();
        cordon.notified <= self.applied && !cordoned.iter().any(|of| of.notified == cordon.notified)
    }

    /// Cordons the hosts that the applied entries cordon, and lifts the cordons that they lift.
    pub fn update_cordons(&mut self) {
        let cordoned = self.maintenance.cordoned_hosts().into_iter();
        let cordoned: BTreeSet<MachineKey> = cordoned
            .map(|cordoned| MachineKey {
                host: cordoned.host,
                notified: cordoned.notified,
            })
            .collect();
        let applied = self.applied;
        self.cordons
            .retain(|cordon| cordon.notified > applied || cordoned.contains(cordon));
        self.cordons.extend(cordoned);
    }
}
