//! Probes under way: this member's own, and those it makes for others. It knows no sockets and decides nothing of
//! what a missing answer means.
use std::net::SocketAddr;

use crate::settings::Micros;

/// Own probes out at once; further ones wait for the next period.
pub const MOST_PROBES: usize = 24;
/// Probes made for others at once.
const MOST_RELAYS: usize = 128;
/// Members asked to probe one that does not answer (SWIM's k).
pub const HELPERS: usize = 3;
/// Worst that a member thinks of its own health (Lifeguard's S). Its time limits then are five times as long, so that
/// one that gets a part of a core alone still hears its answers; with more it would find a real failure too late.
const WORST_HEALTH: Micros = 4;

#[derive(Clone, Debug)]
pub struct Probe {
    pub seq: u32,
    pub target: String,
    pub sent: Micros,
    /// Then others are asked, and then it has failed.
    pub ask_at: Micros,
    pub until: Micros,
    /// When it is sent once more.
    pub again: Micros,
    pub helpers: Vec<String>,
    /// Helpers that said they got no answer either.
    pub nacks: usize,
}

/// A probe for somebody else.
#[derive(Clone, Debug)]
struct Relay {
    seq: u32,
    back: SocketAddr,
    back_seq: u32,
    nack_at: Option<Micros>,
    until: Micros,
}

#[derive(Debug, Default)]
pub struct Detector {
    pub probes: Vec<Probe>,
    relays: Vec<Relay>,
    seq: u32,
    /// 0 is well (Lifeguard section IV.A, local health multiplier).
    health: Micros,
}

impl Detector {
    pub fn next_seq(&mut self) -> u32 {
        self.seq = self.seq.wrapping_add(1);
        self.seq
    }

    pub fn worse(&mut self) {
        self.health = (self.health + 1).min(WORST_HEALTH);
    }

    pub fn better(&mut self) {
        self.health = (self.health - 1).max(0);
    }

    /// Danger: one that wakes up would take its own sleep for everybody's silence.
    pub fn slept(&mut self) {
        self.probes.clear();
        self.relays.clear();
        self.health = WORST_HEALTH;
    }

    pub fn is_probing(&self, name: &str) -> bool {
        self.probes.iter().any(|probe| probe.target == name)
    }

    /// A new probe; none if there are too many.
    pub fn begin(
        &mut self,
        now: Micros,
        target: &str,
        answer: Micros,
        whole: Micros,
    ) -> Option<u32> {
        if self.probes.len() >= MOST_PROBES {
            return None;
        }
        let (seq, scale) = (self.next_seq(), 1 + self.health);
        self.probes.push(Probe {
            seq,
            target: target.to_string(),
            sent: now,
            ask_at: now + answer * scale,
            until: now + whole * scale,
            again: now + answer,
            helpers: Vec::new(),
            nacks: 0,
        });
        Some(seq)
    }

    /// Probes to be sent once more. Danger: in a small group, with few helpers or none, two lost datagrams would be a
    /// doubt, and with a bare majority the end of it.
    pub fn again(&mut self, now: Micros, every: Micros) -> Vec<(u32, String)> {
        let due = self.probes.iter_mut().filter(|probe| probe.again <= now);
        due.map(|probe| {
            probe.again = now + every;
            (probe.seq, probe.target.clone())
        })
        .collect()
    }

    /// An answer to a probe of our own, whoever brought it: whom it was about.
    pub fn answered(&mut self, seq: u32) -> Option<String> {
        let at = self.probes.iter().position(|probe| probe.seq == seq)?;
        self.better();
        Some(self.probes.swap_remove(at).target)
    }

    pub fn nacked(&mut self, seq: u32) {
        if let Some(probe) = self.probes.iter_mut().find(|probe| probe.seq == seq) {
            probe.nacks += 1;
        }
    }

    /// Those that have not been answered in time. One's own health is doubted where helpers were silent, too.
    pub fn failed(&mut self, now: Micros) -> Vec<Probe> {
        let (failed, out) = std::mem::take(&mut self.probes)
            .into_iter()
            .partition(|probe| probe.until <= now);
        self.probes = out;
        let failed: Vec<Probe> = failed;
        for probe in &failed {
            if probe.nacks < probe.helpers.len() || probe.helpers.is_empty() {
                self.worse();
            }
        }
        failed
    }

    /// Begins a probe for somebody else: its number here.
    pub fn relay(
        &mut self,
        now: Micros,
        back: SocketAddr,
        back_seq: u32,
        answer: Micros,
        whole: Micros,
    ) -> u32 {
        if self.relays.len() >= MOST_RELAYS {
            self.relays.remove(0);
        }
        let seq = self.next_seq();
        self.relays.push(Relay {
            seq,
            back,
            back_seq,
            nack_at: Some(now + answer),
            until: now + whole,
        });
        seq
    }

    /// An answer to a probe made for somebody else: whom to tell.
    pub fn relayed(&mut self, seq: u32) -> Option<(SocketAddr, u32)> {
        let at = self.relays.iter().position(|relay| relay.seq == seq)?;
        let relay = self.relays.swap_remove(at);
        Some((relay.back, relay.back_seq))
    }

    /// Those who are to be told that there was no answer.
    pub fn nacks_due(&mut self, now: Micros) -> Vec<(SocketAddr, u32)> {
        self.relays.retain(|relay| relay.until > now);
        let due = self
            .relays
            .iter_mut()
            .filter(|relay| relay.nack_at.is_some_and(|at| at <= now));
        due.map(|relay| {
            relay.nack_at = None;
            (relay.back, relay.back_seq)
        })
        .collect()
    }
}
