//! One member of a group: packets, orders, discovery's news and a time go in, packets and changes come out.
//!
//! What stands where: who is there (`table`), who is probed (`detector`), what travels (`gossip`), what may be done
//! (`standing`), what is held (`cordons`), what was heard of drains (`news`). Here they are put together.
use std::collections::{BTreeMap, BTreeSet};
use std::net::SocketAddr;

use xxhash_rust::xxh3::xxh3_64;

use crate::claim::{GossipMessage, Incarnation, MemberState, StateAssertion};
use crate::cordons::{CordonEntry, CordonSet, CordonTransition};
use crate::detector::{Detector, Probe, HELPERS};
use crate::dice::Dice;
use crate::gossip::Queue;
use crate::news::{self, DrainAnnouncement, DrainHints};
use crate::packet::{
    group_mark, Body, Item, Packet, PacketError, Sender, Writer, MAX_DATAGRAM_BYTES,
    MAX_EXCHANGE_BYTES,
};
use crate::report::{MemberReport, Missing, Progress, Report};
use crate::settings::{Micros, Settings, MS, SECOND};
use crate::standing::{QuorumStatus, QuorumView};
use crate::table::{suspicion_timeout, Peer, Suspicion, Table, View};

/// Nobody calls for so long unless the process stood still: the driver ticks twenty times a second.
const SLEPT: Micros = 800 * MS;
/// Between two packets of items alone, while there are any, and how many members get one.
const GOSSIP_EVERY: Micros = 100 * MS;
const GOSSIP_TO: usize = 2;
/// Members told at once when something must not wait: a refutation.
const TELL_AT_ONCE: usize = 4;
/// Members told by one that leaves.
const TELL_OF_LEAVING: usize = 32;
/// Between two tries to reach one that has failed, or a seed while nobody is there.
const REACH_EVERY: Micros = SECOND;
const JOIN_EVERY: Micros = 500 * MS;
/// Between two full exchanges that were not due by time.
const EXCHANGE_GAP: Micros = 300 * MS;
/// A view that has differed for so long is compared as a whole.
const DIFFERS_TOO_LONG: Micros = 1500 * MS;
/// Between two times that one member is sent the whole ledger.
const LEDGER_GAP: Micros = 500 * MS;
/// Between two tellings of an order: at first, and once it has been a while.
const ORDER_EVERY: Micros = 100 * MS;
const ORDER_LATER: Micros = SECOND;
const ORDER_AT_FIRST: Micros = 3 * SECOND;
/// Then the ledgers' own comparison has it alone.
const ORDER_LASTS: Micros = 60 * SECOND;
/// Orders under way at once.
pub const MAX_ORDERS: usize = 16;
/// Confirmations owed to others at once.
const MOST_OWED: usize = 64;
/// Members probed at once since somebody doubts them: some, so that large groups do not all ask one.
const SECOND_OPINIONS: f64 = 6.0;
/// Between two sendings of a probe that is not answered.
const PROBE_AGAIN: Micros = 100 * MS;
/// Members asked in one tick to prove that they are back: after a large cut has healed, 80 a second.
const PROOFS_A_TICK: usize = 4;
/// Between two questions to those who have not answered at a start.
const ASK_EVERY: Micros = 60 * MS;
/// One namesake is told of so often, and believed in for so long.
const NAMESAKE_EVERY: Micros = 500 * MS;
const NAMESAKE_LASTS: Micros = 3 * SECOND;
/// One log line for so many packets of another group or version.
const ODD_LOG_EVERY: u64 = 1000;

/// What the driver is to do.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Action {
    Send {
        to: SocketAddr,
        bytes: Vec<u8>,
    },
    /// Send this by stream, and hand in what comes back.
    Exchange {
        with: SocketAddr,
        bytes: Vec<u8>,
    },
    /// Send this by stream; nothing comes back.
    Stream {
        to: SocketAddr,
        bytes: Vec<u8>,
    },
    /// For another part of the program, from this member.
    Carried {
        from: String,
        bytes: Vec<u8>,
    },
    /// The ledger has changed: keep it, then do what follows.
    Record,
    /// Have the engine hold a cache host out, or not any more; then say `applied`.
    Cordon {
        host: String,
        held: bool,
    },
    /// Have the engine stop sending to a host on hearsay, or go by its own list again.
    Hearsay {
        host: String,
        stop: bool,
    },
    /// Discovery is to be asked: somebody has newer news.
    AskAgent,
    Log(String),
    Warn(String),
}

#[derive(Clone, Copy, Debug, PartialEq, Eq, thiserror::Error)]
pub enum OrderError {
    #[error("{} here, and nothing is lifted without a majority of the roster", .0.as_str())]
    NoMajority(QuorumStatus),
    #[error("too many orders for the group are under way; ask again")]
    Busy,
    #[error("the ledger of the group's cordons is full")]
    Full,
    #[error("this process is ending")]
    Leaving,
    #[error("a plan of maintenance has it out; say `done`, `skip` or `drop` there")]
    Planned,
}

/// Counted since the start.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct Metrics {
    pub datagrams_in: u64,
    pub datagrams_out: u64,
    pub bytes_in: u64,
    pub bytes_out: u64,
    pub exchanges: u64,
    pub exchanges_failed: u64,
    pub spoilt: u64,
    pub other_group: u64,
    pub other_version: u64,
    pub unreadable: u64,
    pub misdirected: u64,
    pub probes: u64,
    pub probes_failed: u64,
    pub suspicions: u64,
    pub failures: u64,
    pub refutations: u64,
    pub sleeps: u64,
    pub namesakes: u64,
    pub hearsay_held: u64,
    pub hearsay_over_part: u64,
}

/// Another process with this one's name.
#[derive(Clone, Debug)]
struct Rival {
    run: u64,
    address: SocketAddr,
    until: Micros,
    /// It was started first: it keeps the name, this one no longer claims it.
    keeps: bool,
}

struct Order {
    number: u64,
    host: String,
    cordon: bool,
    entries: Vec<CordonEntry>,
    confirmed: BTreeSet<String>,
    began: Micros,
    next: Micros,
}

struct Owed {
    to: SocketAddr,
    number: u64,
    entries: Vec<CordonEntry>,
}

#[derive(Default)]
struct Asking {
    next: Micros,
    answered: BTreeSet<String>,
    pages: BTreeMap<String, BTreeSet<u16>>,
}

pub struct Membership {
    set: Settings,
    mark: u32,
    roster: u64,
    incarnation: Incarnation,
    leaving: bool,
    /// Digest of the view, until something in it changes.
    view: Option<u64>,
    rival: Option<Rival>,
    /// The last process of this name, other than this one, that was heard of.
    other_run: Option<u64>,
    namesake_told: Micros,
    table: Table,
    detector: Detector,
    ring: Vec<String>,
    /// Probed before their turn.
    urgent: Vec<String>,
    queue: Queue,
    ledger: CordonSet,
    /// Of the agreement that plans stand on; 0 for none.
    founding: u64,
    hearsay: DrainHints,
    stand: QuorumView,
    orders: Vec<Order>,
    owed: Vec<Owed>,
    next_order: u64,
    asking: Option<Asking>,
    dice: Dice,
    last: Micros,
    next_probe: Micros,
    next_gossip: Micros,
    next_reach: Micros,
    next_join: Micros,
    next_exchange: Micros,
    last_exchange: Micros,
    next_sweep: Micros,
    /// Members to compare everything with, soon.
    compare: Vec<SocketAddr>,
    pub figures: Metrics,
    out: Vec<Action>,
}

impl Membership {
    /// `restored` is what a record of the ledger held.
    pub fn new(now: Micros, set: Settings, restored: &[CordonEntry]) -> Self {
        let mut ledger = CordonSet::default();
        // A record was written from a ledger, so it fits.
        let _ = ledger.merge(now, restored);
        let mut roster = set.roster.clone();
        roster.sort();
        let mut dice = Dice::new(set.seed ^ set.run);
        let first = dice.below(set.times.probe.max(1) as usize) as Micros;
        Membership {
            mark: group_mark(&set.group),
            roster: xxh3_64(roster.join("\0").as_bytes()),
            incarnation: set.born_ms.max(1),
            leaving: false,
            view: None,
            rival: None,
            other_run: None,
            namesake_told: Micros::MIN / 2,
            table: Table::new(now, &set.roster, &set.me),
            detector: Detector::default(),
            ring: Vec::new(),
            urgent: Vec::new(),
            queue: Queue::default(),
            ledger,
            founding: 0,
            hearsay: DrainHints::default(),
            stand: QuorumView::new(now),
            orders: Vec::new(),
            owed: Vec::new(),
            next_order: 0,
            asking: None,
            dice,
            last: now,
            next_probe: now + first,
            next_gossip: now,
            next_reach: now + first,
            next_join: now,
            next_exchange: now + set.times.exchange,
            last_exchange: Micros::MIN / 2,
            next_sweep: now + SECOND,
            compare: Vec::new(),
            figures: Metrics::default(),
            out: Vec::new(),
            set,
        }
    }

    /// What is to be done since the last call.
    pub fn actions(&mut self) -> Vec<Action> {
        std::mem::take(&mut self.out)
    }

    pub fn standing(&self) -> QuorumStatus {
        self.stand.now
    }

    pub fn ledger(&self) -> &CordonSet {
        &self.ledger
    }

    pub fn settings(&self) -> &Settings {
        &self.set
    }

    /// Takes a record over once more: the process before this one may have written it since.
    pub fn restore(&mut self, now: Micros, entries: &[CordonEntry]) {
        self.merge(now, entries);
    }

    // --- time ---

    /// To be called some twenty times a second.
    pub fn tick(&mut self, now: Micros) {
        self.awake(now);
        self.probe(now);
        self.judge(now);
        self.reach(now);
        self.exchange(now);
        self.tell(now);
        self.ask(now);
        if self.next_sweep <= now {
            self.next_sweep = now + SECOND;
            self.table.forget_long_gone(now, self.set.times.forget);
            self.ledger.tick(now);
        }
        for turn in self.hearsay.tick(now) {
            self.turn_hearsay(turn);
        }
        // Danger: of two that only answered each other, one lost word would have both believe that they are alone.
        let rival = self.rival.as_ref().map(|rival| rival.address);
        if let Some(address) = rival.filter(|_| now - self.namesake_told >= NAMESAKE_EVERY) {
            self.tell_namesake(now, address);
        }
        if self.rival.as_ref().is_some_and(|rival| rival.until <= now) {
            self.rival = None;
            self.other_run = None;
            self.out.push(Action::Log(format!(
                "the other process called {} is gone",
                self.set.me
            )));
            self.refute(now, self.incarnation + 1);
        }
        let census = self.census();
        if let Some(standing) = self.stand.update(now, census) {
            let (sure, of) = (census.sure, census.roster);
            self.out.push(Action::Log(format!(
                "standing is {} now: {sure} of the {of} of the roster are there without doubt",
                standing.as_str()
            )));
        }
    }

    fn census(&self) -> crate::standing::RosterCount {
        let census = self.table.roster_count();
        match &self.rival {
            // Two processes cannot both stand for one name: neither does.
            Some(_) => crate::standing::RosterCount {
                sure: 1,
                doubtful: 0,
                ..census
            },
            None => census,
        }
    }

    /// Danger: a process that was stopped and goes on takes all that it waited for as late, and what it believes of the
    /// group is as old as its sleep.
    fn awake(&mut self, now: Micros) {
        let slept = now - std::mem::replace(&mut self.last, now);
        if slept < SLEPT {
            return;
        }
        self.figures.sleeps += 1;
        self.detector.slept();
        self.urgent.clear();
        for peer in self.table.peers.values_mut() {
            peer.doubted = false;
            peer.differs_since = None;
            if let Some(suspicion) = &mut peer.suspicion {
                suspicion.began += slept;
            }
        }
        self.stand.reset(now);
        self.out.push(Action::Warn(format!(
            "this process stood still for {} ms: asking the others before anything is believed",
            slept / MS
        )));
        let some = self.some_reachable(HELPERS, None);
        self.compare
            .extend(some.into_iter().map(|(_, address)| address));
        self.last_exchange = Micros::MIN / 2;
        (self.next_probe, self.next_reach, self.next_join) = (now, now, now);
    }

    // --- probing ---

    fn probe(&mut self, now: Micros) {
        for (to, seq) in self.detector.nacks_due(now) {
            self.send(to, &Body::Nack { seq }, Vec::new());
        }
        self.ask_helpers(now);
        for (seq, to) in self.detector.again(now, PROBE_AGAIN) {
            if let Some(address) = self.table.peers.get(&to).and_then(|peer| peer.address) {
                let first = self.charge(&to);
                self.send(address, &Body::Ping { seq, to }, first);
            }
        }
        for probe in self.detector.failed(now) {
            self.probe_failed(now, &probe);
        }
        let period = self.set.times.probe;
        for probe in &self.detector.probes {
            if now - probe.sent > period {
                if let Some(peer) = self.table.peers.get_mut(&probe.target) {
                    peer.doubted = true;
                }
            }
        }
        for name in std::mem::take(&mut self.urgent) {
            self.begin_probe(now, &name);
        }
        let unproven = self.table.peers.iter().filter(|(name, peer)| {
            peer.unproven && peer.is_present() && !self.detector.is_probing(name)
        });
        let unproven: Vec<String> = unproven
            .map(|(name, _)| name.clone())
            .take(PROOFS_A_TICK)
            .collect();
        unproven.iter().for_each(|name| self.begin_probe(now, name));
        if self.next_probe <= now {
            // Not moved on by what was missed: a late turn is one turn.
            self.next_probe = now + period;
            if let Some(name) = self.next_of_ring() {
                self.begin_probe(now, &name);
            }
        }
    }

    /// Everyone in turn, in an order of chance (SWIM section 4.3): the time to a first probe is bounded.
    fn next_of_ring(&mut self) -> Option<String> {
        for _ in 0..2 {
            while let Some(name) = self.ring.pop() {
                if self.table.peers.get(&name).is_some_and(Peer::is_present)
                    && !self.detector.is_probing(&name)
                {
                    return Some(name);
                }
            }
            let there = self
                .table
                .peers
                .iter()
                .filter(|(_, peer)| peer.is_present());
            self.ring = there.map(|(name, _)| name.clone()).collect();
            self.dice.shuffle(&mut self.ring);
        }
        None
    }

    fn begin_probe(&mut self, now: Micros, name: &str) {
        let Some(peer) = self.table.peers.get(name).filter(|peer| peer.is_present()) else {
            return;
        };
        let Some(address) = peer.address else { return };
        if self.detector.is_probing(name) {
            return;
        }
        let (answer, whole) = (self.set.times.answer, self.set.times.probe);
        let Some(seq) = self.detector.begin(now, name, answer, whole) else {
            return;
        };
        self.figures.probes += 1;
        let first = self.charge(name);
        self.send(
            address,
            &Body::Ping {
                seq,
                to: name.to_string(),
            },
            first,
        );
    }

    /// What is said against a member goes to itself first (Lifeguard section IV.C, buddy system).
    fn charge(&self, name: &str) -> Vec<Item> {
        let Some(peer) = self.table.peers.get(name) else {
            return Vec::new();
        };
        let own = |claim| GossipMessage {
            member: name.to_string(),
            incarnation: peer.incarnation,
            assertion: claim,
        };
        let charge = match (peer.state, &peer.suspicion) {
            (MemberState::Suspect, Some(suspicion)) => {
                let by = suspicion
                    .by
                    .first()
                    .cloned()
                    .unwrap_or_else(|| self.set.me.clone());
                Some(own(StateAssertion::Suspect { by }))
            }
            (MemberState::Failed, _) if peer.incarnation > 0 => Some(own(StateAssertion::Failed {
                by: self.set.me.clone(),
            })),
            _ => peer.accusation.clone(),
        };
        charge.into_iter().map(Item::Member).collect()
    }

    fn ask_helpers(&mut self, now: Micros) {
        let due = |probe: &Probe| probe.helpers.is_empty() && probe.ask_at <= now;
        let targets: Vec<(u32, String)> = self
            .detector
            .probes
            .iter()
            .filter(|probe| due(probe))
            .map(|probe| (probe.seq, probe.target.clone()))
            .collect();
        for (seq, target) in targets {
            let Some(address) = self.table.peers.get(&target).and_then(|peer| peer.address) else {
                continue;
            };
            let helpers = self.some_reachable(HELPERS, Some(&target));
            for (_, to) in &helpers {
                self.send(
                    *to,
                    &Body::Probe {
                        seq,
                        target: target.clone(),
                        address,
                    },
                    Vec::new(),
                );
            }
            if let Some(probe) = self
                .detector
                .probes
                .iter_mut()
                .find(|probe| probe.seq == seq)
            {
                probe.helpers = helpers.into_iter().map(|(name, _)| name).collect();
                if probe.helpers.is_empty() {
                    // Nobody to ask: not asked again.
                    probe.ask_at = Micros::MAX;
                }
            }
        }
    }

    fn probe_failed(&mut self, now: Micros, probe: &Probe) {
        self.figures.probes_failed += 1;
        let Some(peer) = self.table.peers.get_mut(&probe.target) else {
            return;
        };
        if !peer.is_present() {
            return;
        }
        (peer.doubted, peer.unproven) = (true, false);
        let incarnation = peer.incarnation;
        let asked = match probe.helpers.is_empty() {
            true => "nobody could be asked in between".to_string(),
            false => format!("asked in between: {}", probe.helpers.join(", ")),
        };
        let cause = format!(
            "no answer to this one in {} ms, {asked}",
            (now - probe.sent) / MS
        );
        let me = self.set.me.clone();
        let rumour = GossipMessage {
            member: probe.target.clone(),
            incarnation,
            assertion: StateAssertion::Suspect { by: me },
        };
        self.hear_rumour(now, rumour, &cause);
    }

    /// Suspicions that have lasted.
    fn judge(&mut self, now: Micros) {
        let size = self.table.size();
        let least = self.set.times.suspicion;
        let lasted = |peer: &Peer| {
            let over = |s: &Suspicion| now - s.began >= suspicion_timeout(least, size, s.by.len());
            peer.suspicion.as_ref().is_some_and(over)
        };
        let failed: Vec<String> = self
            .table
            .peers
            .iter()
            .filter(|(_, peer)| lasted(peer))
            .map(|(name, _)| name.clone())
            .collect();
        for name in failed {
            let Some(peer) = self.table.peers.get_mut(&name) else {
                continue;
            };
            let Some(Suspicion { began, by }) = peer.suspicion.take() else {
                continue;
            };
            self.figures.failures += 1;
            peer.transition_to(now, MemberState::Failed);
            self.view = None;
            let (incarnation, lasted) = (peer.incarnation, (now - began) / MS);
            self.out.push(Action::Log(format!(
                "{name} has failed: suspect for {lasted} ms by {}, and has not refuted it",
                by.join(", ")
            )));
            let by = self.set.me.clone();
            self.queue.push(Item::Member(GossipMessage {
                member: name,
                incarnation,
                assertion: StateAssertion::Failed { by },
            }));
        }
    }

    // --- finding each other ---

    /// Seeds, until somebody is there and for those among them that nobody knows; and members that have failed, so that
    /// a cut is seen to heal.
    fn reach(&mut self, now: Micros) {
        if self.leaving {
            return;
        }
        if self.next_join <= now {
            let alone = self.table.size() == 1;
            self.next_join = now + if alone { JOIN_EVERY } else { 10 * SECOND };
            let known: BTreeSet<SocketAddr> =
                self.table.reachable().map(|(_, address)| address).collect();
            let own = self.set.advertise;
            let unknown = self
                .set
                .seeds
                .iter()
                .filter(|seed| **seed != own && !known.contains(*seed));
            let unknown = self.dice.some(unknown.copied().collect(), HELPERS);
            unknown
                .into_iter()
                .for_each(|seed| self.start_exchange(seed));
        }
        if self.next_reach <= now {
            self.next_reach = now + REACH_EVERY;
            let failed = self
                .table
                .peers
                .iter()
                .filter(|(_, peer)| peer.state == MemberState::Failed);
            let failed: Vec<(String, SocketAddr)> = failed
                .filter_map(|(name, peer)| Some((name.clone(), peer.address?)))
                .collect();
            if let Some((name, address)) = self.dice.some(failed, 1).pop() {
                let (seq, first) = (self.detector.next_seq(), self.charge(&name));
                self.send(address, &Body::Ping { seq, to: name }, first);
            }
        }
    }

    fn some_reachable(&mut self, most: usize, but: Option<&str>) -> Vec<(String, SocketAddr)> {
        let others = self
            .table
            .reachable()
            .filter(|(name, _)| Some(name.as_str()) != but);
        let others = others
            .map(|(name, address)| (name.clone(), address))
            .collect();
        self.dice.some(others, most)
    }

    fn exchange(&mut self, now: Micros) {
        if now - self.last_exchange < EXCHANGE_GAP || self.leaving {
            return;
        }
        if let Some(with) = self.compare.pop() {
            self.compare.retain(|other| *other != with);
            self.compare.truncate(8);
            self.last_exchange = now;
            return self.start_exchange(with);
        }
        let differs = |peer: &&Peer| {
            peer.differs_since
                .is_some_and(|since| now - since > DIFFERS_TOO_LONG)
        };
        let differs = self
            .table
            .peers
            .values()
            .find(differs)
            .and_then(|peer| peer.address);
        let due = (self.next_exchange <= now)
            .then(|| self.some_reachable(1, None).pop())
            .flatten();
        if let Some(with) = differs.or(due.map(|(_, address)| address)) {
            // Half of the time is drawn, so that members do not exchange all at once.
            let every = self.set.times.exchange;
            self.next_exchange = now + every / 2 + self.dice.below(every as usize) as Micros;
            self.last_exchange = now;
            self.start_exchange(with);
        }
    }

    fn start_exchange(&mut self, with: SocketAddr) {
        let bytes = self.whole(false);
        self.out.push(Action::Exchange { with, bytes });
    }

    /// All that this member knows.
    fn whole(&mut self, reply: bool) -> Vec<u8> {
        let mut writer = Writer::new(
            self.mark,
            &self.sender(),
            &Body::Exchange { reply },
            MAX_EXCHANGE_BYTES,
        );
        let rumours = self
            .table
            .gossip_messages(&self.set.me)
            .into_iter()
            .map(Item::Member);
        for item in self.ledger.entries().map(Item::Cordon).chain(rumours) {
            if !writer.add(&item) {
                break;
            }
        }
        writer.finish()
    }

    // --- telling ---

    fn view(&mut self) -> u64 {
        let (table, me, leaving) = (&self.table, &self.set.me, self.leaving);
        *self.view.get_or_insert_with(|| table.digest(me, leaving))
    }

    fn sender(&mut self) -> Sender {
        Sender {
            name: self.set.me.clone(),
            address: self.set.advertise,
            run: self.set.run,
            incarnation: self.incarnation,
            roster: self.roster,
            view: self.view(),
            ledger: self.ledger.digest(),
            namesake: self.rival.is_some(),
        }
    }

    /// A datagram with what must go along first, and of the rest what fits.
    fn send(&mut self, to: SocketAddr, body: &Body, first: Vec<Item>) {
        let mut writer = Writer::new(self.mark, &self.sender(), body, MAX_DATAGRAM_BYTES);
        for item in &first {
            // One that does not fit is told by the queue, or by an exchange.
            writer.add(item);
        }
        let size = self.table.size();
        self.queue.fill(&mut writer, size);
        let bytes = writer.finish();
        self.figures.datagrams_out += 1;
        self.figures.bytes_out += bytes.len() as u64;
        self.out.push(Action::Send { to, bytes });
    }

    /// Brings bytes of another part of the program to a member: at once or never, as a datagram where they fit.
    pub fn carry(&mut self, to: &str, bytes: Vec<u8>) {
        let Some(address) = self.table.peers.get(to).and_then(|peer| peer.address) else {
            return;
        };
        let body = Body::Carried { bytes };
        let packet = Writer::new(self.mark, &self.sender(), &body, MAX_DATAGRAM_BYTES);
        if packet.fits() {
            return self.send(address, &body, Vec::new());
        }
        let packet = Writer::new(self.mark, &self.sender(), &body, MAX_EXCHANGE_BYTES);
        if packet.fits() {
            self.out.push(Action::Stream {
                to: address,
                bytes: packet.finish(),
            });
        }
    }

    fn tell(&mut self, now: Micros) {
        if self.next_gossip <= now {
            self.next_gossip = now + GOSSIP_EVERY;
            if !self.queue.is_empty() {
                for (_, to) in self.some_reachable(GOSSIP_TO, None) {
                    self.send(to, &Body::Gossip, Vec::new());
                }
            }
        }
        self.repeat_orders(now);
    }

    fn own_claim(&self) -> Item {
        let claim = match self.leaving {
            true => StateAssertion::Left,
            false => StateAssertion::Alive {
                address: self.set.advertise,
                run: self.set.run,
            },
        };
        Item::Member(GossipMessage {
            member: self.set.me.clone(),
            incarnation: self.incarnation,
            assertion: claim,
        })
    }

    /// Says that it lives, above what was said of it.
    fn refute(&mut self, now: Micros, above: Incarnation) {
        self.incarnation = self.incarnation.max(above);
        self.queue.push(self.own_claim());
        for (_, to) in self.some_reachable(TELL_AT_ONCE, None) {
            self.send(to, &Body::Gossip, Vec::new());
        }
        self.next_gossip = now + GOSSIP_EVERY;
    }

    /// Tells the others that this one ends on purpose. To be called when it has stopped sending to cache hosts.
    pub fn leave(&mut self, now: Micros) {
        self.awake(now);
        self.leaving = true;
        self.view = None;
        let claim = self.own_claim();
        for (_, to) in self.some_reachable(TELL_OF_LEAVING, None) {
            self.send(to, &Body::Gossip, vec![claim.clone()]);
        }
    }

    // --- hearing ---

    pub fn datagram(&mut self, now: Micros, bytes: &[u8]) {
        self.awake(now);
        self.figures.datagrams_in += 1;
        self.figures.bytes_in += bytes.len() as u64;
        match Packet::read(self.mark, bytes, MAX_DATAGRAM_BYTES) {
            Ok(packet) => self.hear(now, packet),
            Err(fault) => self.odd(fault),
        }
    }

    /// What came by stream; the reply that is owed, if one is.
    pub fn exchanged(&mut self, now: Micros, bytes: &[u8]) -> Option<Vec<u8>> {
        self.awake(now);
        let packet = match Packet::read(self.mark, bytes, MAX_EXCHANGE_BYTES) {
            Ok(packet) => packet,
            Err(fault) => {
                self.odd(fault);
                return None;
            }
        };
        if matches!(packet.body, Body::Carried { .. }) {
            self.hear(now, packet);
            return None;
        }
        let Body::Exchange { reply } = packet.body else {
            return None;
        };
        self.figures.exchanges += 1;
        if reply {
            self.stand.exchanged();
        }
        self.hear(now, packet);
        (!reply).then(|| self.whole(true))
    }

    /// One that could not be made, or had no answer.
    pub fn exchange_failed(&mut self) {
        self.figures.exchanges_failed += 1;
    }

    fn odd(&mut self, fault: PacketError) {
        let count = match fault {
            PacketError::Version(_) => &mut self.figures.other_version,
            PacketError::Group => &mut self.figures.other_group,
            PacketError::Check => &mut self.figures.spoilt,
            _ => &mut self.figures.unreadable,
        };
        *count += 1;
        let count = *count;
        if count % ODD_LOG_EVERY == 1 {
            self.out.push(Action::Warn(format!(
                "a packet {fault} was not heard; {count} of its kind so far"
            )));
        }
    }

    fn hear(&mut self, now: Micros, packet: Packet) {
        let Packet { from, body, items } = packet;
        if from.name == self.set.me {
            if from.run != self.set.run {
                self.hear_namesake(now, &from, &body);
            }
            return;
        }
        let claim = StateAssertion::Alive {
            address: from.address,
            run: from.run,
        };
        let claim = GossipMessage {
            member: from.name.clone(),
            incarnation: from.incarnation,
            assertion: claim,
        };
        self.hear_rumour(now, claim, "it says so itself");
        let known = self.table.peers.get(&from.name);
        let is_current = known.is_some_and(|peer| peer.run == from.run);
        if known.is_some_and(|peer| peer.incarnation > from.incarnation || !is_current) {
            // It is told what is believed of it, and can refute that: one whose clock has stepped back, for one.
            self.tell_what_is_believed(&from);
        }
        let own_view = self.view();
        if let Some(peer) = self.table.peers.get_mut(&from.name).filter(|_| is_current) {
            if peer.is_present() {
                let (roster, view, ledger) = (from.roster, from.view, from.ledger);
                peer.view = Some(View {
                    roster,
                    view,
                    ledger,
                    namesake: from.namesake,
                });
                peer.differs_since = if view == own_view {
                    None
                } else {
                    peer.differs_since.or(Some(now))
                };
            }
        }
        let entries = self.hear_items(now, items, &from.name);
        self.hear_body(now, &from, body, is_current, entries);
        self.compare_ledgers(now, &from);
    }

    fn tell_what_is_believed(&mut self, from: &Sender) {
        let Some(peer) = self.table.peers.get(&from.name) else {
            return;
        };
        let (incarnation, about) = (peer.incarnation, from.name.clone());
        let claim = match (peer.state, peer.address) {
            (MemberState::Left, _) => StateAssertion::Left,
            (_, Some(address)) => StateAssertion::Alive {
                address,
                run: peer.run,
            },
            _ => return,
        };
        let item = Item::Member(GossipMessage {
            member: about,
            incarnation,
            assertion: claim,
        });
        self.send(from.address, &Body::Gossip, vec![item]);
    }

    /// Takes over what stands behind a body; the cordons among it.
    fn hear_items(&mut self, now: Micros, items: Vec<Item>, from: &str) -> Vec<CordonEntry> {
        let mut entries = Vec::new();
        for item in items {
            match item {
                Item::Member(rumour) => self.hear_rumour(now, rumour, &format!("{from} says so")),
                Item::Cordon(entry) => entries.push(entry),
                Item::Drain(news) => {
                    let (fresh, turn) = self.hearsay.heard(now, &news, self.set.times.hearsay);
                    self.figures.hearsay_over_part = self.hearsay.over_part;
                    if let Some(turn) = turn {
                        self.figures.hearsay_held += 1;
                        let (host, by) = (&news.host, &news.by);
                        self.out.push(Action::Log(format!(
                            "{host} leaves by list {} of {by}: nothing new goes there until the own list is as new, \
                             for {} ms at most",
                            news.index,
                            self.set.times.hearsay / MS
                        )));
                        self.turn_hearsay(turn);
                        self.out.push(Action::AskAgent);
                    }
                    if fresh {
                        self.queue.push(Item::Drain(news));
                    }
                }
            }
        }
        self.merge(now, &entries);
        entries
    }

    /// Takes over what is told of a member (SWIM section 4.2). What this one has not seen for itself never ends a
    /// member: a rumour that one has failed is a reason to look.
    fn hear_rumour(&mut self, now: Micros, rumour: GossipMessage, cause: &str) {
        if rumour.member == self.set.me {
            return self.hear_of_me(now, rumour);
        }
        let alive = matches!(rumour.assertion, StateAssertion::Alive { .. });
        let known = self.table.peers.contains_key(&rumour.member);
        if !(known || alive && self.table.admit(&rumour.member, rumour.incarnation, now)) {
            return;
        }
        let Some(peer) = self.table.peers.get_mut(&rumour.member) else {
            return;
        };
        let GossipMessage {
            member,
            incarnation,
            assertion,
        } = &rumour;
        let (before, newer) = (peer.state, *incarnation > peer.incarnation);
        match assertion {
            StateAssertion::Alive { address, run } => {
                peer.address = peer.address.or(Some(*address));
                // Danger: what only tells where a failed one can be reached would raise it.
                if peer.run == 0 && *incarnation == peer.incarnation && *incarnation > 0 {
                    (peer.run, peer.address) = (*run, Some(*address));
                    return;
                }
                let other = *incarnation == peer.incarnation
                    && *run > peer.run
                    && before != MemberState::Left;
                if !newer && !other {
                    return;
                }
                let (restarted, first) = (peer.run != 0 && peer.run != *run, peer.incarnation == 0);
                (peer.incarnation, peer.run, peer.address) = (*incarnation, *run, Some(*address));
                // Danger: one that hears all and is heard by none would take what others say of each other for its own
                // being in touch. It is sure of those again who have answered itself.
                peer.unproven |= !first && (before == MemberState::Failed || peer.doubted);
                (peer.doubted, peer.accusation) = (false, None);
                peer.transition_to(now, MemberState::Alive);
                if before != MemberState::Alive || restarted {
                    let how = match (first, restarted) {
                        (true, _) => "is there",
                        (_, true) => "has started anew",
                        _ if before == MemberState::Suspect => "has refuted the suspicion",
                        _ => "is back",
                    };
                    self.out
                        .push(Action::Log(format!("{member} {how} at {address}: {cause}")));
                }
                if before == MemberState::Failed && !first {
                    self.compare.push(*address);
                }
            }
            StateAssertion::Suspect { by } => {
                if *incarnation < peer.incarnation {
                    return;
                }
                match (before, &mut peer.suspicion) {
                    (MemberState::Left | MemberState::Failed, _) if !newer => return,
                    (MemberState::Suspect, Some(suspicion)) if !newer => {
                        if suspicion.by.contains(by) || suspicion.by.len() > HELPERS {
                            return;
                        }
                        suspicion.by.push(by.clone());
                    }
                    _ => {
                        peer.incarnation = *incarnation;
                        peer.transition_to(now, MemberState::Suspect);
                        peer.suspicion = Some(Suspicion {
                            began: now,
                            by: vec![by.clone()],
                        });
                        self.figures.suspicions += 1;
                        self.out
                            .push(Action::Log(format!("{member} is suspect: {cause}")));
                        self.second_opinion(member);
                    }
                }
            }
            StateAssertion::Failed { by } => {
                if *incarnation < peer.incarnation {
                    return;
                }
                match before {
                    MemberState::Failed => peer.incarnation = *incarnation,
                    MemberState::Suspect if !newer => {
                        if let Some(suspicion) = &mut peer.suspicion {
                            if !suspicion.by.contains(by) && suspicion.by.len() <= HELPERS {
                                suspicion.by.push(by.clone());
                            }
                        }
                    }
                    // Danger: after a cut each side says of the other's members that they have failed. Taken over, it
                    // would end those that are here.
                    MemberState::Alive => {
                        peer.accusation = Some(rumour.clone());
                        if self.urgent.len() < HELPERS * 2 && !self.urgent.contains(member) {
                            self.urgent.push(member.clone());
                        }
                    }
                    _ => {}
                }
                return;
            }
            StateAssertion::Left => {
                if *incarnation < peer.incarnation || before == MemberState::Left {
                    return;
                }
                peer.incarnation = *incarnation;
                peer.transition_to(now, MemberState::Left);
                self.out.push(Action::Log(format!(
                    "{member} has left on purpose: {cause}"
                )));
            }
        }
        self.view = None;
        self.queue.push(Item::Member(rumour));
    }

    /// Some look for themselves at once, so that a failure is shared soon and a slip is refuted soon.
    fn second_opinion(&mut self, about: &str) {
        let chance = SECOND_OPINIONS / self.table.size() as f64;
        if self.urgent.len() < HELPERS * 2
            && self.dice.happens(chance)
            && !self.detector.is_probing(about)
        {
            self.urgent.push(about.to_string());
        }
    }

    fn hear_of_me(&mut self, now: Micros, rumour: GossipMessage) {
        let GossipMessage {
            incarnation,
            assertion,
            ..
        } = rumour;
        if incarnation < self.incarnation || self.leaving {
            return;
        }
        let keeps = self.rival.as_ref().is_some_and(|rival| rival.keeps);
        match assertion {
            StateAssertion::Alive { run, .. }
                if run == self.set.run && incarnation == self.incarnation => {}
            StateAssertion::Alive { address, run } if run != self.set.run => {
                // The process before this one, or one that lives beside it: it is asked.
                self.other_run = Some(run);
                if address != self.set.advertise && now - self.namesake_told >= NAMESAKE_EVERY {
                    self.tell_namesake(now, address);
                }
                if !keeps {
                    self.refute(now, incarnation + 1);
                }
            }
            // What is said of the one that keeps the name is its own to refute.
            _ if keeps => {}
            StateAssertion::Alive { .. } => self.refute(now, incarnation + 1),
            StateAssertion::Suspect { .. }
            | StateAssertion::Failed { .. }
            | StateAssertion::Left => {
                // Others did not hear from it: its own fault, perhaps (Lifeguard section IV.A).
                self.detector.worse();
                self.figures.refutations += 1;
                self.refute(now, incarnation + 1);
            }
        }
    }

    fn tell_namesake(&mut self, now: Micros, address: SocketAddr) {
        self.namesake_told = now;
        self.send(
            address,
            &Body::Namesake {
                born_ms: self.set.born_ms,
            },
            Vec::new(),
        );
    }

    /// Another process sends under this one's name. Danger: both would refute each other for ever. The one that was
    /// started first keeps the name; the other is silent about itself, and both know.
    fn hear_namesake(&mut self, now: Micros, from: &Sender, body: &Body) {
        if now - self.namesake_told >= NAMESAKE_EVERY && from.address != self.set.advertise {
            self.tell_namesake(now, from.address);
        }
        let Body::Namesake { born_ms } = body else {
            return;
        };
        let keeps = (*born_ms, from.run) < (self.set.born_ms, self.set.run);
        let until = now + NAMESAKE_LASTS;
        if self
            .rival
            .as_ref()
            .is_none_or(|rival| rival.run != from.run)
        {
            self.figures.namesakes += 1;
            self.out.push(Action::Warn(format!(
                "TWO PROCESSES ARE CALLED {}: this one and one at {}, which {} the name in the group; \
                 neither counts for a majority until one ends",
                self.set.me,
                from.address,
                if keeps { "keeps" } else { "gives up" }
            )));
        }
        let first = self.rival.is_none();
        self.rival = Some(Rival {
            run: from.run,
            address: from.address,
            until,
            keeps,
        });
        if first && !keeps {
            self.refute(now, self.incarnation.max(from.incarnation) + 1);
        }
    }

    fn hear_body(
        &mut self,
        now: Micros,
        from: &Sender,
        body: Body,
        is_current: bool,
        entries: Vec<CordonEntry>,
    ) {
        match body {
            // Danger: a member that was restarted elsewhere must not be taken for the one that has its address now.
            Body::Ping { to, .. } if to != self.set.me => self.figures.misdirected += 1,
            // One that others know otherwise has to claim its place first.
            Body::Ping { .. } | Body::Probe { .. } if !is_current => {}
            Body::Ping { seq, .. } => {
                self.send(from.address, &Body::Ack { seq }, vec![self.own_claim()])
            }
            Body::Probe {
                seq,
                target,
                address,
            } => {
                let (answer, whole) = (self.set.times.answer, self.set.times.probe);
                let own = self.detector.relay(now, from.address, seq, answer, whole);
                let first = self.charge(&target);
                self.send(
                    address,
                    &Body::Ping {
                        seq: own,
                        to: target,
                    },
                    first,
                );
            }
            Body::Ack { seq } => {
                if let Some(name) = self.detector.answered(seq) {
                    if let Some(peer) = self.table.peers.get_mut(&name) {
                        (peer.doubted, peer.unproven) = (false, false);
                    }
                } else if let Some((to, seq)) = self.detector.relayed(seq) {
                    // What the target said of itself came with its answer, and goes on with this one.
                    let claim = self.table.gossip_messages_about(&from.name);
                    self.send(
                        to,
                        &Body::Ack { seq },
                        claim.into_iter().map(Item::Member).collect(),
                    );
                }
            }
            Body::Nack { seq } => self.detector.nacked(seq),
            Body::Gossip | Body::Namesake { .. } | Body::Exchange { .. } => {}
            // Danger: of two processes with one name either could speak as the other.
            Body::Carried { bytes } if is_current && !from.namesake => {
                self.out.push(Action::Carried {
                    from: from.name.clone(),
                    bytes,
                });
            }
            Body::Carried { .. } => {}
            Body::Ask => self.send_ledger(from.address),
            Body::Ledger { page, pages } => self.hear_page(&from.name, page, pages),
            Body::Order { number } => self.hear_order(from.address, number, entries),
            Body::Done { number } => {
                if let Some(order) = self.orders.iter_mut().find(|order| order.number == number) {
                    if !from.namesake && is_current {
                        order.confirmed.insert(from.name.clone());
                    }
                }
            }
        }
    }

    // --- cordons of the group ---

    fn merge(&mut self, now: Micros, entries: &[CordonEntry]) {
        if entries.is_empty() {
            return;
        }
        let before = self.ledger.digest();
        let turns = self.ledger.merge(now, entries).unwrap_or_else(|full| {
            self.out.push(Action::Warn(format!(
                "a cordon of the group is not taken over: {full}"
            )));
            Vec::new()
        });
        if self.ledger.digest() == before {
            return;
        }
        entries
            .iter()
            .cloned()
            .for_each(|entry| self.queue.push(Item::Cordon(entry)));
        self.out.push(Action::Record);
        self.turn_cordons(turns);
    }

    fn turn_cordons(&mut self, turns: Vec<CordonTransition>) {
        for CordonTransition { host, held } in turns {
            let word = if held {
                "is held out by the group"
            } else {
                "is given back by the group"
            };
            self.out.push(Action::Log(format!("{host} {word}")));
            self.out.push(Action::Cordon { host, held });
        }
    }

    fn turn_hearsay(&mut self, turn: news::HintTransition) {
        let (host, stop) = match turn {
            news::HintTransition::Stop(host) => (host, true),
            news::HintTransition::Trust(host) => (host, false),
        };
        self.out.push(Action::Hearsay { host, stop });
    }

    /// What this member's own discovery has told.
    pub fn told(&mut self, now: Micros, told: &DrainAnnouncement) {
        self.awake(now);
        let (news, turns) = self.hearsay.told(told, &self.set.me);
        news.into_iter()
            .for_each(|news| self.queue.push(Item::Drain(news)));
        turns.into_iter().for_each(|turn| self.turn_hearsay(turn));
    }

    /// An operator's order for the whole group; `progress` tells how far it is.
    pub fn order(&mut self, now: Micros, host: &str, cordon: bool) -> Result<u64, OrderError> {
        self.awake(now);
        if self.leaving {
            return Err(OrderError::Leaving);
        }
        // Danger: lifted on the lesser side of a cut, a host would be used while it is worked on.
        if !cordon && !self.stand.now.has_quorum() {
            return Err(OrderError::NoMajority(self.stand.now));
        }
        self.orders.retain(|order| now - order.began < ORDER_LASTS);
        if self.orders.len() >= MAX_ORDERS {
            return Err(OrderError::Busy);
        }
        let (entries, turns) = match cordon {
            true => {
                let (me, run) = (self.set.me.clone(), self.set.run);
                let (entry, turns) = self
                    .ledger
                    .cordon(now, host, &me, run)
                    .map_err(|_| OrderError::Full)?;
                (vec![entry], turns)
            }
            // Danger: lifted by hand, it would be used while somebody works on it.
            false if self.ledger.is_planned(host, self.founding) => {
                return Err(OrderError::Planned)
            }
            false => self.ledger.lift(now, host, self.founding),
        };
        entries
            .iter()
            .cloned()
            .for_each(|entry| self.queue.push(Item::Cordon(entry)));
        self.out.push(Action::Record);
        self.turn_cordons(turns);
        Ok(self.begin_order(now, host, cordon, entries))
    }

    fn begin_order(
        &mut self,
        now: Micros,
        host: &str,
        cordon: bool,
        entries: Vec<CordonEntry>,
    ) -> u64 {
        self.next_order += 1;
        let mut order = Order {
            number: self.next_order,
            host: host.to_string(),
            cordon,
            entries,
            confirmed: BTreeSet::new(),
            began: now,
            next: now,
        };
        if self.ledger.has_applied(&order.entries) {
            order.confirmed.insert(self.set.me.clone());
        }
        self.orders.push(order);
        self.repeat_orders(now);
        self.next_order
    }

    /// Has the ledger follow what is agreed of plans, up to an entry of the agreement's log.
    pub fn follow(&mut self, now: Micros, founding: u64, held: &[(String, u64)], upto: u64) {
        self.awake(now);
        self.founding = founding;
        let entries = self.ledger.follow(founding, held, upto);
        self.merge(now, &entries);
    }

    /// Has all members confirm what a plan holds; its `progress` tells who has.
    pub fn ask_planned(&mut self, now: Micros, host: &str, number: u64) -> Result<u64, OrderError> {
        self.awake(now);
        self.orders.retain(|order| now - order.began < ORDER_LASTS);
        if self.orders.len() >= MAX_ORDERS {
            return Err(OrderError::Busy);
        }
        let entry = CordonSet::planned(host, self.founding, number);
        Ok(self.begin_order(now, host, true, vec![entry]))
    }

    fn repeat_orders(&mut self, now: Micros) {
        let mut sends = Vec::new();
        for order in &mut self.orders {
            if order.next > now || now - order.began > ORDER_LASTS {
                continue;
            }
            let young = now - order.began < ORDER_AT_FIRST;
            order.next = now + if young { ORDER_EVERY } else { ORDER_LATER };
            for (name, peer) in &self.table.peers {
                let wanted = peer.in_roster
                    && peer.state != MemberState::Left
                    && !order.confirmed.contains(name);
                if let Some(address) = peer.address.filter(|_| wanted) {
                    sends.push((address, order.number, order.entries.clone()));
                }
            }
        }
        for (to, number, entries) in sends {
            let items = entries.into_iter().map(Item::Cordon).collect();
            self.send(to, &Body::Order { number }, items);
        }
    }

    /// The entries came as items and are merged; they are confirmed once the engine has done them.
    /// Danger: what found no room in the ledger is held nowhere, and must not be confirmed.
    fn hear_order(&mut self, to: SocketAddr, number: u64, entries: Vec<CordonEntry>) {
        if self.ledger.has_applied(&entries) {
            return self.send(to, &Body::Done { number }, Vec::new());
        }
        let known = self
            .owed
            .iter()
            .any(|owed| owed.to == to && owed.number == number);
        if !known && self.owed.len() < MOST_OWED {
            self.owed.push(Owed {
                to,
                number,
                entries,
            });
        }
    }

    /// The engine has done as the ledger said.
    pub fn applied(&mut self, now: Micros, host: &str, held: bool) {
        self.awake(now);
        if !self.ledger.applied(host, held) {
            return;
        }
        for order in &mut self.orders {
            if self.ledger.has_applied(&order.entries) {
                order.confirmed.insert(self.set.me.clone());
            }
        }
        let (done, owed) = std::mem::take(&mut self.owed)
            .into_iter()
            .partition(|owed: &Owed| self.ledger.has_applied(&owed.entries));
        self.owed = owed;
        let done: Vec<Owed> = done;
        for Owed { to, number, .. } in done {
            self.send(to, &Body::Done { number }, Vec::new());
        }
    }

    /// How far an order is; none once it is too old.
    pub fn progress(&self, number: u64) -> Option<Progress> {
        let order = self.orders.iter().find(|order| order.number == number)?;
        let mut missing = Vec::new();
        let mut confirmed: Vec<String> = Vec::new();
        let mut left = 0;
        let own = order.confirmed.contains(&self.set.me);
        let mut add = |name: &String, done: bool, why: &str| match done {
            true => confirmed.push(name.clone()),
            false => missing.push(Missing {
                name: name.clone(),
                why: why.to_string(),
            }),
        };
        let (rival, me) = (self.rival.is_some(), &self.set.me);
        let own_why = if rival {
            "two processes have its name"
        } else {
            "not done here yet"
        };
        add(me, own && !rival, own_why);
        for (name, peer) in self.table.peers.iter().filter(|(_, peer)| peer.in_roster) {
            let why = match peer.state {
                MemberState::Left => {
                    left += 1;
                    continue;
                }
                _ if peer.view.is_some_and(|view| view.namesake) => "two processes have its name",
                MemberState::Failed if peer.incarnation == 0 => "was never heard of",
                MemberState::Failed => "failed or cut off",
                MemberState::Suspect => "does not answer",
                MemberState::Alive => "has not confirmed yet",
            };
            let namesake = peer.view.is_some_and(|view| view.namesake);
            // Danger: one that has failed may still send; that it confirmed once says nothing of a new process.
            add(name, order.confirmed.contains(name) && !namesake, why);
        }
        let roster = self.set.roster.len();
        let done = match order.cordon {
            true => missing.is_empty(),
            false => confirmed.len() * 2 > roster || confirmed.len() + left >= roster,
        };
        Some(Progress {
            host: order.host.clone(),
            cordoned: order.cordon,
            done,
            confirmed,
            missing,
        })
    }

    /// Begins to ask the others what is held; `heard_enough` tells when a majority has answered.
    pub fn begin_to_ask(&mut self, now: Micros) {
        self.asking = Some(Asking {
            next: now,
            ..Asking::default()
        });
    }

    pub fn heard_enough(&self) -> bool {
        let Some(asking) = &self.asking else {
            return true;
        };
        (asking.answered.len() + 1) * 2 > self.set.roster.len()
    }

    fn ask(&mut self, now: Micros) {
        if self.heard_enough() {
            self.asking = None;
        }
        let Some(asking) = self.asking.as_mut().filter(|asking| asking.next <= now) else {
            return;
        };
        asking.next = now + ASK_EVERY;
        let answered = asking.answered.clone();
        let known = self
            .table
            .peers
            .iter()
            .filter(|(name, _)| !answered.contains(*name));
        let mut to: BTreeSet<SocketAddr> = known.filter_map(|(_, peer)| peer.address).collect();
        to.extend(
            self.set
                .seeds
                .iter()
                .copied()
                .filter(|seed| *seed != self.set.advertise),
        );
        // More than a majority of a large group need not be asked at once.
        for address in self.dice.some(
            to.into_iter().collect(),
            self.set.roster.len().div_ceil(2).max(16),
        ) {
            self.send(address, &Body::Ask, Vec::new());
        }
    }

    fn hear_page(&mut self, from: &str, page: u16, pages: u16) {
        let Some(asking) = &mut self.asking else {
            return;
        };
        if !self.set.roster.iter().any(|name| name == from) {
            return;
        }
        let heard = asking.pages.entry(from.to_string()).or_default();
        if page < pages {
            heard.insert(page);
        }
        if heard.len() >= usize::from(pages) {
            asking.answered.insert(from.to_string());
        }
    }

    /// Danger: a ledger that two members hold differently would let one of them send to a host that is out.
    fn compare_ledgers(&mut self, now: Micros, from: &Sender) {
        if from.ledger == self.ledger.digest() {
            return;
        }
        let Some(peer) = self.table.peers.get_mut(&from.name) else {
            return;
        };
        if now - peer.ledger_sent >= LEDGER_GAP {
            peer.ledger_sent = now;
            self.send_ledger(from.address);
        }
    }

    fn send_ledger(&mut self, to: SocketAddr) {
        let entries: Vec<CordonEntry> = self.ledger.entries().collect();
        // Pages are cut by size with the largest head there is, so that each fits whole.
        let sender = self.sender();
        let room = || {
            Writer::new(
                self.mark,
                &sender,
                &Body::Ledger {
                    page: u16::MAX,
                    pages: u16::MAX,
                },
                MAX_DATAGRAM_BYTES,
            )
        };
        let mut pages: Vec<Vec<Item>> = vec![Vec::new()];
        let mut writer = room();
        for entry in entries {
            let item = Item::Cordon(entry);
            if !writer.add(&item) {
                writer = room();
                if !writer.add(&item) {
                    continue;
                }
                pages.push(Vec::new());
            }
            if let Some(page) = pages.last_mut() {
                page.push(item);
            }
        }
        let count = pages.len() as u16;
        for (page, items) in pages.into_iter().enumerate() {
            self.send(
                to,
                &Body::Ledger {
                    page: page as u16,
                    pages: count,
                },
                items,
            );
        }
    }

    // --- to be seen ---

    pub fn report(&self, now: Micros) -> Report {
        let since = |at: Micros| ((now - at).max(0) / MS) as u64;
        let state = if self.leaving {
            MemberState::Left
        } else {
            MemberState::Alive
        };
        let mut members = vec![MemberReport {
            name: self.set.me.clone(),
            address: Some(self.set.advertise),
            state,
            incarnation: self.incarnation,
            run: self.set.run,
            since_ms: since(self.stand.since),
        }];
        members.extend(self.table.peers.iter().map(|(name, peer)| MemberReport {
            name: name.clone(),
            address: peer.address,
            state: peer.displayed_state(),
            incarnation: peer.incarnation,
            run: peer.run,
            since_ms: since(peer.since),
        }));
        members.sort_by(|a, b| a.name.cmp(&b.name));
        Report {
            me: self.set.me.clone(),
            group: self.set.group.clone(),
            standing: self.stand.now,
            standing_since_ms: since(self.stand.since),
            digest: format!("{:016x}", self.table.digest(&self.set.me, self.leaving)),
            roster_differs: self
                .table
                .with_other_roster(self.roster)
                .into_iter()
                .collect(),
            disagree_ms: (self.table.longest_difference(now) / MS) as u64,
            namesake: self.rival.is_some(),
            cordons: self.ledger.held().map(str::to_string).collect(),
            members,
        }
    }

    /// Members by state, this one among the living.
    pub fn count(&self, state: MemberState) -> usize {
        let others = self
            .table
            .peers
            .values()
            .filter(|peer| peer.displayed_state() == state)
            .count();
        others + usize::from(state == MemberState::Alive)
    }

    pub fn longest_difference(&self, now: Micros) -> Micros {
        self.table.longest_difference(now)
    }
}
