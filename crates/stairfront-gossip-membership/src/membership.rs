//! The state machine of one member: packets, orders, discovery's announcements and a time go in, actions come out. This
//! module holds the state and the schedule; each concern has a module below.
mod anti_entropy;
mod bootstrap;
mod cordon_orders;
mod dissemination;
mod drains;
mod join;
mod name_conflict;
mod order_progress;
mod packets;
mod probing;
mod state_transitions;
mod status;

use std::net::SocketAddr;

use stairfront_common::random::SeededRng;
use stairfront_common::time::{Micros, MS, SECOND};
use xxhash_rust::xxh3::xxh3_64;

use crate::action::{Action, Event};
use crate::assertion::Incarnation;
use crate::cordon_set::{CordonEntry, CordonSet};
use crate::drain_hints::DrainHints;
use crate::failure_detector::{FailureDetector, INDIRECT_PROBES};
use crate::metrics::Metrics;
use crate::packet::group_id;
use crate::peer_table::{PeerTable, NEVER};
use crate::quorum::{QuorumStatus, QuorumView, RosterCount};
use crate::retransmit_queue::RetransmitQueue;
use crate::settings::Settings;
use bootstrap::BootstrapQuery;
use cordon_orders::{Order, PendingAck};
use name_conflict::NameConflict;

pub use cordon_orders::{OrderError, MAX_ORDERS};

/// Time without a call after which the process must have stalled: the driver ticks twenty times a second.
const STALL_THRESHOLD: Micros = 800 * MS;
/// Interval between two removals of expired members and cordons.
const CLEANUP_INTERVAL: Micros = SECOND;

/// Times at which periodic work is due.
struct Schedule {
    next_probe: Micros,
    next_gossip: Micros,
    next_reconnect: Micros,
    next_join: Micros,
    next_push_pull: Micros,
    last_push_pull: Micros,
    next_cleanup: Micros,
}

/// One member of a group.
pub struct Membership {
    settings: Settings,
    /// Identity of the group in packets.
    group_id: u32,
    roster_digest: u64,
    incarnation: Incarnation,
    leaving: bool,
    /// Digest of the view of the roster's members; none after it has changed.
    view_digest: Option<u64>,
    name_conflict: Option<NameConflict>,
    conflict_notified_at: Micros,
    table: PeerTable,
    detector: FailureDetector,
    /// Members that are still to be probed in this round, the next one last.
    probe_round: Vec<String>,
    /// Members that are to be probed at the next tick.
    urgent_probes: Vec<String>,
    queue: RetransmitQueue,
    cordons: CordonSet,
    /// Identity of the raft cluster that agrees on plans; 0 for none.
    plan_cluster_id: u64,
    drain_hints: DrainHints,
    quorum: QuorumView,
    orders: Vec<Order>,
    pending_acks: Vec<PendingAck>,
    last_order_number: u64,
    bootstrap: Option<BootstrapQuery>,
    rng: SeededRng,
    /// Time of the last call.
    last_call: Micros,
    schedule: Schedule,
    /// Members with which a push/pull exchange is to be made soon.
    push_pull_targets: Vec<SocketAddr>,
    metrics: Metrics,
    actions: Vec<Action>,
}

impl Membership {
    /// A member that starts with the cordons of its record.
    #[must_use]
    pub fn new(now: Micros, settings: Settings, recorded_cordons: &[CordonEntry]) -> Self {
        let mut cordons = CordonSet::default();
        // The record was written from a cordon set, so its entries fit into one.
        let _ = cordons.merge(now, recorded_cordons);
        let mut roster = settings.roster.clone();
        roster.sort();
        let timing = settings.timing;
        let mut rng = SeededRng::new(settings.seed ^ settings.process_id);
        // Drawn as `usize`, for which `rand` draws other numbers than for `i64`.
        let first_probe = now + rng.below(timing.probe_interval.max(1) as usize) as Micros;
        Membership {
            group_id: group_id(&settings.group),
            roster_digest: xxh3_64(roster.join("\0").as_bytes()),
            incarnation: settings.started_unix_ms.max(1),
            leaving: false,
            view_digest: None,
            name_conflict: None,
            conflict_notified_at: NEVER,
            table: PeerTable::new(now, &settings.roster, &settings.name),
            detector: FailureDetector::default(),
            probe_round: Vec::new(),
            urgent_probes: Vec::new(),
            queue: RetransmitQueue::default(),
            cordons,
            plan_cluster_id: 0,
            drain_hints: DrainHints::default(),
            quorum: QuorumView::new(now),
            orders: Vec::new(),
            pending_acks: Vec::new(),
            last_order_number: 0,
            bootstrap: None,
            rng,
            last_call: now,
            schedule: Schedule {
                next_probe: first_probe,
                next_gossip: now,
                next_reconnect: first_probe,
                next_join: now,
                next_push_pull: now + timing.push_pull_interval,
                last_push_pull: NEVER,
                next_cleanup: now + CLEANUP_INTERVAL,
            },
            push_pull_targets: Vec::new(),
            metrics: Metrics::default(),
            actions: Vec::new(),
            settings,
        }
    }

    /// The actions since the last call, in the order in which they are to be done.
    pub fn take_actions(&mut self) -> Vec<Action> {
        std::mem::take(&mut self.actions)
    }

    /// The settings of this member.
    #[must_use]
    pub fn settings(&self) -> &Settings {
        &self.settings
    }

    /// Does the periodic work; to be called some twenty times a second.
    pub fn tick(&mut self, now: Micros) {
        self.detect_stall(now);
        self.run_probes(now);
        self.expire_suspicions(now);
        self.run_joins(now);
        self.run_push_pulls(now);
        self.run_gossip(now);
        self.repeat_orders(now);
        self.run_bootstrap(now);
        self.run_cleanup(now);
        self.expire_drain_hints(now);
        self.run_name_conflict(now);
        self.update_quorum(now);
    }

    /// Detects that the process did not run for a while. Without this, a resumed process would take its own stall for the
    /// silence of all others, and act on a view of the group that is as old as the stall.
    fn detect_stall(&mut self, now: Micros) {
        let stalled = now - std::mem::replace(&mut self.last_call, now);
        if stalled < STALL_THRESHOLD {
            return;
        }
        self.metrics.stalls += 1;
        self.detector.reset_after_stall();
        self.urgent_probes.clear();
        for peer in self.table.peers.values_mut() {
            peer.in_doubt = false;
            peer.diverged_since = None;
            if let Some(suspicion) = &mut peer.suspicion {
                suspicion.began += stalled;
            }
        }
        self.quorum.reset(now);
        self.log(Event::Stalled { duration: stalled });
        let targets = self.random_reachable(INDIRECT_PROBES, None);
        self.push_pull_targets
            .extend(targets.into_iter().map(|target| target.address));
        self.schedule.last_push_pull = NEVER;
        self.schedule.next_probe = now;
        self.schedule.next_reconnect = now;
        self.schedule.next_join = now;
    }

    fn run_cleanup(&mut self, now: Micros) {
        if self.schedule.next_cleanup <= now {
            self.schedule.next_cleanup = now + CLEANUP_INTERVAL;
            self.table
                .remove_expired(now, self.settings.timing.forget_after);
            self.cordons.tick(now);
        }
    }

    fn update_quorum(&mut self, now: Micros) {
        let count = self.roster_count();
        if let Some(status) = self.quorum.update(now, count) {
            self.log(Event::QuorumChanged {
                status,
                confirmed: count.confirmed,
                roster: count.roster,
            });
        }
    }

    fn roster_count(&self) -> RosterCount {
        let count = self.table.roster_count();
        if self.name_conflict.is_none() {
            return count;
        }
        // Two processes must not both count for one name, so neither of them does.
        RosterCount {
            confirmed: 1,
            doubtful: 0,
            ..count
        }
    }

    fn log(&mut self, event: Event) {
        self.actions.push(Action::Log(event));
    }

    /// The quorum status in force.
    #[must_use]
    pub fn quorum_status(&self) -> QuorumStatus {
        self.quorum.status
    }

    /// Whether a name is this member's.
    fn is_own_name(&self, name: &str) -> bool {
        name == self.settings.name
    }
}
