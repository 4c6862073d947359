//! Outstanding probes: those of this member, and those that it makes for other members. The detector does no I/O and does
//! not decide what a missing ack means for a member's state.
use std::net::SocketAddr;

use stairfront_common::time::Micros;

/// Largest number of own probes in flight; a further one waits for the next protocol period.
const MAX_PROBES: usize = 24;
/// Largest number of probes that are made for other members at once.
const MAX_RELAYED_PROBES: usize = 128;
/// Number of members that are asked for an indirect probe (SWIM's k).
pub(crate) const INDIRECT_PROBES: usize = 3;
/// Worst local health score (Lifeguard's S). Timeouts are then five times as long, so that a process with a part of a core
/// still receives its acks in time; with more, real failures would be detected too late.
const MAX_HEALTH_SCORE: Micros = 4;

/// Timeouts of a probe for a healthy member.
#[derive(Clone, Copy, Debug)]
pub(crate) struct ProbeTimeouts {
    /// Time for an ack of the direct probe, before indirect probes are requested.
    pub direct: Micros,
    /// Time for any ack.
    pub total: Micros,
}

/// A probe by this member.
#[derive(Clone, Debug)]
pub(crate) struct Probe {
    pub seq: u32,
    pub target: String,
    pub sent_at: Micros,
    /// Time at which indirect probes are requested.
    pub indirect_at: Micros,
    /// Time at which the probe has failed.
    pub deadline: Micros,
    /// Time at which the ping is sent once more.
    pub resend_at: Micros,
    /// Members that were asked for an indirect probe.
    pub helpers: Vec<String>,
    /// Number of helpers that reported that they got no ack either.
    pub nacks: usize,
}

/// A probe's sequence number and target.
#[derive(Clone, Debug)]
pub(crate) struct ProbeTarget {
    pub seq: u32,
    pub name: String,
}

/// The member that requested an indirect probe, and its sequence number there.
#[derive(Clone, Copy, Debug)]
pub(crate) struct Requester {
    pub address: SocketAddr,
    pub seq: u32,
}

/// An indirect probe for another member.
#[derive(Clone, Debug)]
struct RelayedProbe {
    seq: u32,
    requester: Requester,
    nack_at: Option<Micros>,
    deadline: Micros,
}

/// Outstanding probes and the local health score.
#[derive(Debug, Default)]
pub(crate) struct FailureDetector {
    probes: Vec<Probe>,
    relayed: Vec<RelayedProbe>,
    last_seq: u32,
    /// 0 for a healthy member (Lifeguard section IV.A, local health multiplier).
    health_score: Micros,
}

impl FailureDetector {
    /// A sequence number that no other probe of this member has.
    pub fn next_seq(&mut self) -> u32 {
        self.last_seq = self.last_seq.wrapping_add(1);
        self.last_seq
    }

    /// Records a sign that this member itself is slow.
    pub fn degrade_health(&mut self) {
        self.health_score = (self.health_score + 1).min(MAX_HEALTH_SCORE);
    }

    fn improve_health(&mut self) {
        self.health_score = (self.health_score - 1).max(0);
    }

    /// Drops all probes after a stall of the process, during which no ack could be read.
    pub fn reset_after_stall(&mut self) {
        self.probes.clear();
        self.relayed.clear();
        self.health_score = MAX_HEALTH_SCORE;
    }

    /// Whether a probe of this member is in flight.
    pub fn is_probing(&self, name: &str) -> bool {
        self.probes.iter().any(|probe| probe.target == name)
    }

    /// Begins a probe and returns its sequence number; none if too many are in flight.
    pub fn begin(&mut self, now: Micros, target: &str, timeouts: ProbeTimeouts) -> Option<u32> {
        if self.probes.len() >= MAX_PROBES {
            return None;
        }
        let seq = self.next_seq();
        let multiplier = 1 + self.health_score;
        self.probes.push(Probe {
            seq,
            target: target.to_string(),
            sent_at: now,
            indirect_at: now + timeouts.direct * multiplier,
            deadline: now + timeouts.total * multiplier,
            resend_at: now + timeouts.direct,
            helpers: Vec::new(),
            nacks: 0,
        });
        Some(seq)
    }

    /// The probes whose ping is to be sent once more. In a small group, with few helpers or none, two lost datagrams would
    /// otherwise cast doubt on a member, and end a bare majority.
    pub fn due_resends(&mut self, now: Micros, interval: Micros) -> Vec<ProbeTarget> {
        let due = self
            .probes
            .iter_mut()
            .filter(|probe| probe.resend_at <= now);
        due.map(|probe| {
            probe.resend_at = now + interval;
            ProbeTarget {
                seq: probe.seq,
                name: probe.target.clone(),
            }
        })
        .collect()
    }

    /// The probes for which indirect probes are to be requested.
    pub fn due_indirect_probes(&self, now: Micros) -> Vec<ProbeTarget> {
        self.probes
            .iter()
            .filter(|probe| probe.helpers.is_empty() && probe.indirect_at <= now)
            .map(|probe| ProbeTarget {
                seq: probe.seq,
                name: probe.target.clone(),
            })
            .collect()
    }

    /// Records the members that were asked for an indirect probe.
    pub fn record_helpers(&mut self, seq: u32, helpers: Vec<String>) {
        let Some(probe) = self.probes.iter_mut().find(|probe| probe.seq == seq) else {
            return;
        };
        if helpers.is_empty() {
            // Nobody can be asked, so it is not tried again for this probe.
            probe.indirect_at = Micros::MAX;
        }
        probe.helpers = helpers;
    }

    /// Targets of the probes that have been in flight for longer than `limit`.
    pub fn overdue(&self, now: Micros, limit: Micros) -> impl Iterator<Item = &str> {
        self.probes
            .iter()
            .filter(move |probe| now - probe.sent_at > limit)
            .map(|probe| probe.target.as_str())
    }

    /// Handles an ack of an own probe, direct or by a helper; returns the probed member.
    pub fn handle_ack(&mut self, seq: u32) -> Option<String> {
        let at = self.probes.iter().position(|probe| probe.seq == seq)?;
        self.improve_health();
        Some(self.probes.swap_remove(at).target)
    }

    /// Handles a helper's report that it got no ack yet.
    pub fn handle_nack(&mut self, seq: u32) {
        if let Some(probe) = self.probes.iter_mut().find(|probe| probe.seq == seq) {
            probe.nacks += 1;
        }
    }

    /// Removes and returns the probes that got no ack in time. Where helpers sent no nack either, this member doubts its
    /// own health (Lifeguard section IV.A).
    pub fn take_failed(&mut self, now: Micros) -> Vec<Probe> {
        let all = std::mem::take(&mut self.probes);
        let (failed, in_flight): (Vec<Probe>, Vec<Probe>) =
            all.into_iter().partition(|probe| probe.deadline <= now);
        self.probes = in_flight;
        for probe in &failed {
            if probe.nacks < probe.helpers.len() || probe.helpers.is_empty() {
                self.degrade_health();
            }
        }
        failed
    }

    /// Begins an indirect probe for another member; returns its sequence number here.
    pub fn begin_relayed(
        &mut self,
        now: Micros,
        requester: Requester,
        timeouts: ProbeTimeouts,
    ) -> u32 {
        if self.relayed.len() >= MAX_RELAYED_PROBES {
            self.relayed.remove(0);
        }
        let seq = self.next_seq();
        self.relayed.push(RelayedProbe {
            seq,
            requester,
            nack_at: Some(now + timeouts.direct),
            deadline: now + timeouts.total,
        });
        seq
    }

    /// Handles an ack of an indirect probe; returns the member that requested it.
    pub fn handle_relayed_ack(&mut self, seq: u32) -> Option<Requester> {
        let at = self.relayed.iter().position(|relayed| relayed.seq == seq)?;
        Some(self.relayed.swap_remove(at).requester)
    }

    /// The members that are to get a nack for their indirect probe.
    pub fn due_nacks(&mut self, now: Micros) -> Vec<Requester> {
        self.relayed.retain(|relayed| relayed.deadline > now);
        let due = self
            .relayed
            .iter_mut()
            .filter(|relayed| relayed.nack_at.is_some_and(|at| at <= now));
        due.map(|relayed| {
            relayed.nack_at = None;
            relayed.requester
        })
        .collect()
    }
}
