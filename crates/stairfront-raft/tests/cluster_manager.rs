//! Cluster managers on a virtual clock: a group is bootstrapped once, learners follow whoever
//! leads, a voter without its storage comes back as another, proposals of any member are committed
//! once.
use std::collections::{BTreeMap, BTreeSet, VecDeque};

use stairfront_common::random::SeededRng;
use stairfront_raft::{
    AppendEntries, ClusterManager, ClusterMessage, Envelope, Message, MessageBody, Micros,
    OutgoingEnvelope, Payload, Ready, Recovered, Settings, Voter, MS, SECOND,
};

use crate::support::MemoryStore;

mod support;

const TICK_INTERVAL: Micros = 50 * MS;
const LATENCY: Micros = 5 * MS;

/// A member as one process after another runs it under one name.
struct Member {
    name: String,
    manager: Option<ClusterManager>,
    /// The content of its disk; none for an empty one.
    disk: Option<MemoryStore>,
    has_disk: bool,
    incarnation: u64,
    /// Ids of the commands that it has applied.
    applied: Vec<u64>,
}

struct InTransit {
    due: Micros,
    outgoing: OutgoingEnvelope,
}

/// The state of a member, to be printed.
#[derive(Debug)]
#[allow(dead_code)] // Read by Debug alone.
struct MemberState {
    applied: Vec<u64>,
    leader: Option<String>,
    term: u64,
}

struct World {
    now: Micros,
    voter_names: Vec<String>,
    members: Vec<Member>,
    network: VecDeque<InTransit>,
    /// Links that are cut, by the names of sender and receiver.
    cut: BTreeSet<(String, String)>,
    loss: f64,
    rng: SeededRng,
    incarnations: u64,
    proposals: u64,
}

impl World {
    fn new(seed: u64, voters: usize, learners: usize, has_disk: bool) -> World {
        let voter_names: Vec<String> = (0..voters).map(|i| format!("v{i}")).collect();
        let learner_names = (0..learners).map(|i| format!("l{i}"));
        let members = voter_names.iter().cloned().chain(learner_names);
        let members = members.map(|name| Member {
            name,
            manager: None,
            disk: None,
            has_disk,
            incarnation: 0,
            applied: Vec::new(),
        });
        World {
            now: 0,
            members: members.collect(),
            voter_names,
            network: VecDeque::new(),
            cut: BTreeSet::new(),
            loss: 0.1,
            // The name is part of the seed, so it stays as it was.
            rng: SeededRng::for_part(seed, "council"),
            incarnations: 0,
            proposals: 0,
        }
    }

    fn start(&mut self, at: usize) {
        let member = &mut self.members[at];
        let uses_disk = member.has_disk && self.voter_names.contains(&member.name);
        let recovered = match member.disk.as_ref().filter(|_| uses_disk) {
            Some(disk) => disk.recovered(),
            None => {
                self.incarnations += 1;
                member.incarnation = self.incarnations;
                Recovered::default()
            }
        };
        member.applied.clear();
        let local = Voter {
            name: member.name.clone(),
            incarnation: member.incarnation,
        };
        let settings = Settings::new(local, self.rng.below(1 << 40));
        let manager = ClusterManager::new(self.now, settings, &self.voter_names, recovered);
        member.manager = Some(manager);
    }

    fn kill(&mut self, at: usize) {
        self.members[at].manager = None;
    }

    fn lose_disk(&mut self, at: usize) {
        self.members[at].disk = None;
    }

    fn manager(&mut self, at: usize) -> &mut ClusterManager {
        self.members[at].manager.as_mut().unwrap()
    }

    fn propose(&mut self, at: usize) -> u64 {
        self.proposals += 1;
        let id = self.proposals;
        if let Some(manager) = &mut self.members[at].manager {
            manager
                .propose(self.now, id, id.to_le_bytes().to_vec(), 20 * SECOND)
                .unwrap();
        }
        id
    }

    fn run(&mut self, time: Micros) {
        let until = self.now + time;
        while self.now < until {
            self.now += TICK_INTERVAL / 5;
            let ticks = self.now % TICK_INTERVAL == 0;
            for at in 0..self.members.len() {
                let manager = self.members[at].manager.as_mut();
                if let Some(manager) = manager.filter(|_| ticks) {
                    manager.tick(self.now);
                }
                self.process_ready(at);
            }
            self.deliver_due();
        }
    }

    fn deliver_due(&mut self) {
        while self
            .network
            .front()
            .is_some_and(|first| first.due <= self.now)
        {
            let Some(InTransit { outgoing, .. }) = self.network.pop_front() else {
                break;
            };
            let receiver = |member: &Member| member.name == outgoing.to_name;
            let Some(at) = self.members.iter().position(receiver) else {
                continue;
            };
            if let Some(manager) = &mut self.members[at].manager {
                manager.handle_message(self.now, outgoing.envelope);
            }
            self.process_ready(at);
        }
    }

    fn process_ready(&mut self, at: usize) {
        let member = &mut self.members[at];
        let Some(manager) = &mut member.manager else {
            return;
        };
        let mut outgoing = manager.take_messages();
        while let Some(ready) = manager.ready() {
            member.disk.get_or_insert_default().persist(&ready);
            apply(manager, &mut member.applied, &ready);
            let messages = ready.messages.into_iter();
            outgoing.extend(messages.map(|sent| manager.envelope(sent.to, sent.message)));
            manager.persisted(self.now, ready.number);
        }
        for outgoing in outgoing {
            let is_lost = self.rng.happens(self.loss);
            let from = outgoing.envelope.from.name.clone();
            if !is_lost && !self.cut.contains(&(from, outgoing.to_name.clone())) {
                let due = self.now + LATENCY;
                self.network.push_back(InTransit { due, outgoing });
            }
        }
    }

    fn cut_off(&mut self, name: &str) {
        for member in &self.members {
            self.cut.insert((member.name.clone(), name.to_string()));
            self.cut.insert((name.to_string(), member.name.clone()));
        }
    }

    fn cluster_ids(&self) -> BTreeSet<u64> {
        let managers = self
            .members
            .iter()
            .filter_map(|member| member.manager.as_ref());
        managers
            .map(ClusterManager::cluster_id)
            .filter(|id| *id != 0)
            .collect()
    }

    fn leader(&self) -> usize {
        let leads = |member: &Member| {
            let manager = member.manager.as_ref();
            manager.is_some_and(|manager| manager.node().is_leader())
        };
        self.members.iter().position(leads).unwrap()
    }

    /// All members that run have applied this command.
    fn assert_applied_everywhere(&self, id: u64, seed: u64) {
        let running = self
            .members
            .iter()
            .filter_map(|member| Some((member, member.manager.as_ref()?.node())));
        let states: BTreeMap<&str, MemberState> = running
            .map(|(member, node)| {
                let state = MemberState {
                    applied: member.applied.clone(),
                    leader: node.leader().map(|leader| leader.name.clone()),
                    term: node.term(),
                };
                (member.name.as_str(), state)
            })
            .collect();
        let everywhere = states.values().all(|state| state.applied.contains(&id));
        assert!(everywhere, "seed {seed}: {states:?}");
    }
}

fn apply(manager: &mut ClusterManager, applied: &mut Vec<u64>, ready: &Ready) {
    for committed in &ready.committed {
        if let Payload::Command(bytes) = &committed.entry.payload {
            let id = u64::from_le_bytes(bytes[..].try_into().unwrap());
            manager.committed(id);
            // A command can be in the log twice after a change of leader; it is recognized by its
            // id.
            if !applied.contains(&id) {
                applied.push(id);
            }
        }
    }
}

/// The leader's voters have one incarnation of this member's name, the current one.
fn assert_replaced(world: &mut World, at: usize, seed: u64) {
    let leader = world.leader();
    let voters = world.manager(leader).node().voters().to_vec();
    let member = &world.members[at];
    let incarnations: Vec<u64> = voters
        .iter()
        .filter(|voter| voter.name == member.name)
        .map(|voter| voter.incarnation)
        .collect();
    assert_eq!(
        (voters.len(), incarnations),
        (3, vec![member.incarnation]),
        "seed {seed}: {voters:?}"
    );
}

#[test]
fn learners_follow_whoever_leads_and_a_lost_disk_is_another_voter() {
    for seed in 0..40 {
        let has_disk = seed % 2 == 0;
        let mut world = World::new(seed, 3, 2, has_disk);
        (0..5).for_each(|at| world.start(at));
        world.run(6 * SECOND);
        assert_eq!(world.cluster_ids().len(), 1, "seed {seed}");
        let first = world.propose(4);
        world.run(2 * SECOND);
        world.assert_applied_everywhere(first, seed);
        // Learners that go on reporting to a dead leader would never receive anything again.
        let leader = world.leader();
        world.kill(leader);
        world.run(4 * SECOND);
        let second = world.propose(3);
        world.run(4 * SECOND);
        world.assert_applied_everywhere(second, seed);
        // It comes back without its disk: another incarnation, which is added once the old one is
        // silent for long enough.
        world.lose_disk(leader);
        world.start(leader);
        world.run(14 * SECOND);
        assert_replaced(&mut world, leader, seed);
        let third = world.propose(leader);
        world.run(3 * SECOND);
        world.assert_applied_everywhere(third, seed);
        let in_order = |member: &Member| member.applied.ends_with(&[first, second, third]);
        assert!(world.members.iter().all(in_order), "{seed}");
        assert_eq!(world.cluster_ids().len(), 1);
    }
}

/// The first of the configured voters, back with an empty disk while it is cut off or the others
/// are present, would otherwise bootstrap a second group beside the first.
#[test]
fn no_second_group_is_bootstrapped_beside_the_first() {
    for seed in 0..20 {
        let mut world = World::new(seed, 3, 1, true);
        (0..4).for_each(|at| world.start(at));
        world.run(6 * SECOND);
        let bootstrapped = world.cluster_ids();
        assert_eq!(bootstrapped.len(), 1);
        world.kill(0);
        world.lose_disk(0);
        world.start(0);
        if seed % 2 == 0 {
            world.cut_off("v0");
        }
        // Another of them is absent, so that two of three are not what they were.
        if seed % 3 == 0 {
            world.kill(1);
        }
        world.run(8 * SECOND);
        assert_eq!(world.cluster_ids(), bootstrapped, "seed {seed}");
        world.cut.clear();
        world.start(1);
        world.run(20 * SECOND);
        let id = world.propose(0);
        world.run(4 * SECOND);
        world.assert_applied_everywhere(id, seed);
        assert_eq!(world.cluster_ids(), bootstrapped, "seed {seed}");
    }
}

/// A message to the incarnation of a lost disk must not be answered by the next one, and the voters
/// of another group must not count here.
#[test]
fn messages_for_an_older_incarnation_and_of_another_group_are_dropped() {
    let mut world = World::new(3, 3, 0, true);
    (0..3).for_each(|at| world.start(at));
    world.run(6 * SECOND);
    let now = world.now;
    let manager = world.manager(1);
    let local = manager.local().clone();
    let cluster_id = manager.cluster_id();
    let envelope = |to: &Voter, cluster_id| Envelope {
        from: Voter {
            name: "v0".to_string(),
            incarnation: 77,
        },
        to: Some(to.clone()),
        cluster_id,
        message: ClusterMessage::Raft(Message {
            term: 99,
            body: MessageBody::AppendEntries(AppendEntries {
                prev_log_index: 1,
                prev_log_term: 1,
                entries: Vec::new(),
                leader_commit: 1,
            }),
        }),
    };
    let other_incarnation = Voter {
        incarnation: local.incarnation + 100,
        ..local.clone()
    };
    manager.handle_message(now, envelope(&other_incarnation, cluster_id));
    manager.handle_message(now, envelope(&local, cluster_id + 1));
    assert!(manager.node().term() < 99);
    let counters = manager.counters();
    assert_eq!(
        (
            counters.stale_incarnation_messages,
            counters.foreign_messages
        ),
        (1, 1)
    );
    manager.handle_message(now, envelope(&local, cluster_id));
    assert_eq!(manager.node().term(), 99);
}
