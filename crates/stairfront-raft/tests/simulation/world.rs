//! The simulated servers, their links and disks, and the checks after each step.
use std::cmp::Reverse;
use std::collections::{BTreeMap, BTreeSet, BinaryHeap};

use stairfront_common::random::SeededRng;
use stairfront_emulator::links::{Delivery, Links};
use stairfront_raft::{
    Entry, HardState, Log, LogIndex, Message, Micros, Node, OutgoingMessage, Payload, Ready,
    Settings, Snapshot, Voter, MS, SECOND,
};

use crate::support::MemoryStore;

const TICK_INTERVAL: Micros = 20 * MS;
/// Applied entries behind the snapshot at which a server makes a new one.
const COMPACTION_THRESHOLD: LogIndex = 20;

pub struct Server {
    pub local: Voter,
    pub disk: MemoryStore,
    pub node: Option<Node>,
    /// Batches on their way to the disk, in order.
    pub persisting: Vec<Ready>,
    pub disk_busy: bool,
    pub incarnation: u64,
    boots: u64,
    applied: Applied,
}

/// The state of a server's state machine: the last index, and a digest of all entries up to it.
#[derive(Clone, Copy, PartialEq, Eq, PartialOrd, Ord)]
struct Applied {
    index: LogIndex,
    digest: u64,
}

pub enum Event {
    Tick(usize),
    Message {
        from: Voter,
        to: usize,
        boots: u64,
        message: Message,
    },
    Persisted {
        server: usize,
        boots: u64,
    },
    Fault,
}

pub struct World {
    pub now: Micros,
    pub servers: Vec<Server>,
    pub links: Links,
    pub rng: SeededRng,
    queue: BinaryHeap<Reverse<(Micros, u64)>>,
    events: BTreeMap<u64, Event>,
    next_event: u64,
    pub last_fault: u64,
    /// All entries that were ever committed, by any server.
    pub committed: BTreeMap<LogIndex, Entry>,
    pub digests: BTreeMap<LogIndex, u64>,
    pub leaders: BTreeMap<u64, Voter>,
    proposals: u64,
    pub crashes: u64,
    pub lost_disks: u64,
    pub voter_changes: u64,
    /// There are no more faults.
    pub calm: bool,
    /// A planted error.
    pub sends_before_persisting: bool,
}

/// The digest of a history and one more entry (FNV-1a).
fn extend_digest(digest: u64, index: LogIndex, entry: &Entry) -> u64 {
    format!("{digest} {index} {entry:?}")
        .bytes()
        .fold(0xcbf2_9ce4_8422_2325, |hash, byte| {
            (hash ^ u64::from(byte)).wrapping_mul(0x0000_0100_0000_01b3)
        })
}

fn digest_of(data: &[u8]) -> u64 {
    data.try_into().map_or(0, u64::from_le_bytes)
}

impl World {
    pub fn new(voters: usize, seed: u64) -> Self {
        let voters: Vec<Voter> = (0..voters)
            .map(|i| Voter {
                name: format!("v{i}"),
                incarnation: 0,
            })
            .collect();
        let snapshot = Snapshot {
            index: 1,
            term: 0,
            voters: voters.clone(),
            cluster_id: 1,
            data: vec![0; 8],
        };
        let server = |local: &Voter| Server::new(local.clone(), snapshot.clone());
        let mut world = World {
            now: 0,
            servers: voters.iter().map(server).collect(),
            links: Links::new(voters.len(), seed),
            // The name is part of the seed, so it stays as it was: seeds are pinned by it.
            rng: SeededRng::for_part(seed, "agreement"),
            queue: BinaryHeap::new(),
            events: BTreeMap::new(),
            next_event: 0,
            last_fault: 0,
            committed: BTreeMap::new(),
            digests: BTreeMap::new(),
            leaders: BTreeMap::new(),
            proposals: 0,
            crashes: 0,
            lost_disks: 0,
            voter_changes: 0,
            calm: false,
            sends_before_persisting: false,
        };
        for server in 0..voters.len() {
            world.boot(server);
            let first_tick = world.rng.below(TICK_INTERVAL as u64) as Micros;
            world.schedule(first_tick, Event::Tick(server));
        }
        world.schedule(SECOND, Event::Fault);
        world
    }

    pub fn schedule(&mut self, when: Micros, event: Event) {
        self.events.insert(self.next_event, event);
        self.queue.push(Reverse((when, self.next_event)));
        self.next_event += 1;
    }

    pub fn boot(&mut self, server: usize) {
        let server = &mut self.servers[server];
        if server.node.is_some() {
            return;
        }
        let seed = self.rng.number();
        let snapshot = &server.disk.log.snapshot;
        server.applied = Applied {
            index: snapshot.index,
            digest: digest_of(&snapshot.data),
        };
        server.boots += 1;
        let settings = Settings::new(server.local.clone(), seed);
        server.node = Some(Node::new(self.now, settings, server.disk.recovered()));
    }

    /// Whether a member votes by the newest committed set of voters.
    pub fn is_voter(&self, member: &Voter) -> bool {
        let newest = self
            .committed
            .values()
            .rev()
            .find_map(|entry| match &entry.payload {
                Payload::Voters(voters) => Some(voters.contains(member)),
                _ => None,
            });
        newest.unwrap_or(member.incarnation == 0)
    }

    pub fn run_until(&mut self, until: Micros) {
        while let Some(Reverse((at, key))) = self.queue.peek().copied() {
            if at > until {
                break;
            }
            self.queue.pop();
            self.now = at;
            if let Some(event) = self.events.remove(&key) {
                self.handle_event(event);
            }
        }
        self.now = until;
    }

    fn handle_event(&mut self, event: Event) {
        let now = self.now;
        match event {
            Event::Tick(server) => {
                self.schedule(now + TICK_INTERVAL, Event::Tick(server));
                if let Some(node) = &mut self.servers[server].node {
                    node.tick(now);
                }
                self.act_as_leader(server);
                self.process_ready(server);
            }
            Event::Message {
                from,
                to,
                boots,
                message,
            } => {
                let server = &mut self.servers[to];
                if let Some(node) = server.node.as_mut().filter(|_| server.boots == boots) {
                    node.handle_message(now, &from, message);
                    self.process_ready(to);
                }
            }
            Event::Persisted { server, boots } => self.finish_persisting(server, boots),
            Event::Fault => self.inject_fault(),
        }
    }

    fn finish_persisting(&mut self, at: usize, boots: u64) {
        let server = &mut self.servers[at];
        if server.boots != boots || server.node.is_none() || !server.disk_busy {
            return;
        }
        server.disk_busy = false;
        let ready = server.persisting.remove(0);
        server.disk.persist(&ready);
        if !self.sends_before_persisting {
            self.send(at, ready.messages);
        }
        if let Some(node) = &mut self.servers[at].node {
            node.persisted(self.now, ready.number);
        }
        self.process_ready(at);
    }

    fn send(&mut self, from: usize, messages: Vec<OutgoingMessage>) {
        let sender = self.servers[from].local.clone();
        for OutgoingMessage { to, message } in messages {
            let Some(to) = self.servers.iter().position(|server| server.local == to) else {
                continue;
            };
            let boots = self.servers[to].boots;
            for Delivery { delay: after, .. } in self.links.send_datagram(self.now, from, to, &[]) {
                let event = Event::Message {
                    from: sender.clone(),
                    to,
                    boots,
                    message: message.clone(),
                };
                self.schedule(self.now + after, event);
            }
        }
    }

    fn process_ready(&mut self, at: usize) {
        while let Some(mut ready) = self.servers[at].node.as_mut().and_then(Node::ready) {
            self.apply(at, &mut ready);
            self.servers[at].persisting.push(ready);
        }
        let server = &mut self.servers[at];
        let Some(node) = &mut server.node else { return };
        let Applied { index, digest } = server.applied;
        if index > node.log().snapshot.index + COMPACTION_THRESHOLD {
            node.compact(index, digest.to_le_bytes().to_vec());
        }
        if node.is_leader() {
            let term = node.term();
            let leader = self.leaders.entry(term);
            let leader = leader.or_insert_with(|| server.local.clone());
            assert_eq!(*leader, server.local, "two leaders in term {term}");
        }
        let mut premature = Vec::new();
        if self.sends_before_persisting {
            for ready in &mut server.persisting {
                premature.append(&mut ready.messages);
            }
        }
        self.start_persisting(at);
        self.send(at, premature);
    }

    /// Applies what a batch commits, and compares it with what others have committed.
    fn apply(&mut self, at: usize, ready: &mut Ready) {
        let server = &mut self.servers[at];
        if let Some(snapshot) = ready.restored.take() {
            server.applied = Applied {
                index: snapshot.index,
                digest: digest_of(&snapshot.data),
            };
            let known = self.digests.get(&snapshot.index).copied().unwrap_or(0);
            assert!(
                snapshot.index <= 1 || known == server.applied.digest,
                "another snapshot at {}",
                snapshot.index
            );
        }
        for committed in ready.committed.drain(..) {
            let (index, entry) = (committed.index, committed.entry);
            assert_eq!(
                server.applied.index + 1,
                index,
                "committed out of order at {}",
                server.local.name
            );
            let digest = extend_digest(server.applied.digest, index, &entry);
            server.applied = Applied { index, digest };
            let known = self.committed.entry(index);
            let known = known.or_insert_with(|| entry.clone());
            assert_eq!(*known, entry, "two different entries committed at {index}");
            self.digests.insert(index, digest);
        }
    }

    fn start_persisting(&mut self, at: usize) {
        let server = &mut self.servers[at];
        if server.persisting.is_empty() || server.disk_busy {
            return;
        }
        server.disk_busy = true;
        let boots = server.boots;
        let stalls = self.rng.happens(0.01);
        let duration = if stalls {
            300 * MS
        } else {
            100 + self.rng.below(3_000_u64) as Micros
        };
        let event = Event::Persisted { server: at, boots };
        self.schedule(self.now + duration, event);
    }

    /// The requests to a leader: proposals, leadership transfers, and the replacement of voters
    /// whose disk is lost.
    fn act_as_leader(&mut self, at: usize) {
        let members: BTreeSet<Voter> = self.servers.iter().map(|s| s.local.clone()).collect();
        let proposes = self.rng.happens(0.2);
        let transfers = !self.calm && self.rng.happens(0.003);
        let target = self.rng.below(self.servers.len() as u64) as usize;
        let target = self.servers[target].local.clone();
        let node = self.servers[at].node.as_mut();
        let Some(node) = node.filter(|node| node.is_leader()) else {
            return;
        };
        if proposes {
            self.proposals += 1;
            // A refusal is an answer, too.
            let _ = node.propose(self.now, self.proposals.to_le_bytes().to_vec());
        }
        if transfers {
            let _ = node.transfer_leadership(self.now, &target);
        }
        node.set_learners(members.iter().cloned());
        let mut voters = node.voters().to_vec();
        if let Some(lost) = voters.iter().position(|voter| !members.contains(voter)) {
            voters.remove(lost);
        } else if let Some(new) = members.iter().find(|member| !voters.contains(member)) {
            voters.push(new.clone());
        } else {
            return;
        }
        self.voter_changes += u64::from(node.change_voters(self.now, voters).is_ok());
    }

    /// Ends the faults: new entries have to be committed at all servers, with all of them as
    /// voters.
    pub fn converge(&mut self) {
        self.calm = true;
        self.lift_link_faults();
        (0..self.servers.len()).for_each(|server| self.boot(server));
        let last_before = self
            .committed
            .last_key_value()
            .map_or(0, |(index, _)| *index);
        let deadline = self.now + 15 * SECOND;
        while !self.has_converged(last_before) {
            if self.now >= deadline {
                self.print_servers();
                panic!("nothing committed everywhere within 15 s after the last fault, before {last_before}");
            }
            self.run_until(self.now + 100 * MS);
        }
        for server in &self.servers {
            let Applied { index, digest } = server.applied;
            assert_eq!(self.digests[&index], digest, "another history");
        }
    }

    fn has_converged(&self, last_before: LogIndex) -> bool {
        let applied = self.servers.iter().map(|server| server.applied.index);
        let all_vote = self
            .servers
            .iter()
            .all(|server| self.is_voter(&server.local));
        applied.min().unwrap_or(0) > last_before + 3 && all_vote
    }

    fn print_servers(&self) {
        for server in &self.servers {
            let node = server.node.as_ref().unwrap();
            println!(
                "{:?}: term {} leader {:?} commit {} last {:?} applied {} voters {:?} persisting {}",
                server.local,
                node.term(),
                node.leader(),
                node.commit_index(),
                (node.log().last_index(), node.log().last_term()),
                server.applied.index,
                node.voters(),
                server.persisting.len()
            );
        }
    }
}

impl Server {
    fn new(local: Voter, snapshot: Snapshot) -> Self {
        Server {
            local,
            disk: MemoryStore {
                hard_state: HardState::default(),
                log: Log::new(snapshot, Vec::new()),
            },
            node: None,
            persisting: Vec::new(),
            disk_busy: false,
            incarnation: 0,
            boots: 0,
            applied: Applied {
                index: 1,
                digest: 0,
            },
        }
    }
}
