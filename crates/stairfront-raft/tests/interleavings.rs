//! Every order in which messages arrive, election timeouts pass and voters crash, for three voters
//! to a stated depth. Drawn schedules meet a case by chance; this meets all that are short enough.
use std::collections::{BTreeMap, HashSet};
use std::hash::{DefaultHasher, Hash, Hasher};

use stairfront_raft::{
    Entry, HardState, Log, LogIndex, Message, Micros, Node, OutgoingMessage, Payload, Ready,
    Settings, Snapshot, Term, Voter, SECOND,
};

use crate::support::MemoryStore;

mod support;

const VOTERS: usize = 3;
/// Messages under way at once; a further one is lost.
const MAX_MESSAGES: usize = 6;

#[derive(Clone)]
struct Server {
    now: Micros,
    node: Node,
    disk: MemoryStore,
    /// Taken from the node and not durable yet: a crash loses it, and its messages have not been
    /// sent.
    ready: Option<Ready>,
}

#[derive(Clone, Debug)]
struct InTransit {
    from: usize,
    to: usize,
    message: Message,
}

/// The number of events that may still happen, by kind.
#[derive(Clone, Debug)]
struct Budget {
    timeouts: u8,
    crashes: u8,
    proposals: u8,
    slow_writes: u8,
}

#[derive(Clone)]
struct World {
    servers: Vec<Server>,
    network: Vec<InTransit>,
    committed: BTreeMap<LogIndex, Entry>,
    leaders: BTreeMap<Term, usize>,
    budget: Budget,
}

#[derive(Clone, Copy, Debug)]
enum Step {
    Deliver(usize),
    Timeout(usize),
    Crash(usize),
    Propose(usize),
    /// A batch is durable, and its messages are sent.
    Persist(usize),
}

/// How safety is broken.
#[derive(Debug, thiserror::Error)]
enum SafetyViolation {
    #[error("entry {index} is {one:?} and {other:?}")]
    TwoEntries {
        index: LogIndex,
        one: Entry,
        other: Entry,
    },
    #[error("v{one} and v{other} both lead in term {term}")]
    TwoLeaders {
        term: Term,
        one: usize,
        other: usize,
    },
}

fn voter(number: usize) -> Voter {
    Voter {
        name: format!("v{number}"),
        incarnation: number as u64,
    }
}

fn settings(number: usize) -> Settings {
    // The same seed at each: ties between candidates are among the orders that are tried.
    Settings::new(voter(number), 7)
}

impl World {
    fn new(budget: Budget) -> World {
        let snapshot = Snapshot {
            index: 1,
            term: 1,
            voters: (0..VOTERS).map(voter).collect(),
            cluster_id: 1,
            data: Vec::new(),
        };
        let disk = MemoryStore {
            hard_state: HardState {
                term: 1,
                vote: None,
            },
            log: Log::new(snapshot, Vec::new()),
        };
        let server = |number| Server {
            now: 0,
            node: Node::new(0, settings(number), disk.recovered()),
            disk: disk.clone(),
            ready: None,
        };
        World {
            servers: (0..VOTERS).map(server).collect(),
            network: Vec::new(),
            committed: BTreeMap::new(),
            leaders: BTreeMap::new(),
            budget,
        }
    }

    fn steps(&self) -> Vec<Step> {
        let mut steps: Vec<Step> = (0..self.network.len()).map(Step::Deliver).collect();
        for (number, server) in self.servers.iter().enumerate() {
            let is_writing = server.ready.is_some();
            if is_writing {
                steps.push(Step::Persist(number));
            }
            if !is_writing && self.budget.timeouts > 0 {
                steps.push(Step::Timeout(number));
            }
            if self.budget.crashes > 0 {
                steps.push(Step::Crash(number));
            }
            if !is_writing && self.budget.proposals > 0 && server.node.is_leader() {
                steps.push(Step::Propose(number));
            }
        }
        steps
    }

    fn take(&mut self, step: Step) -> Result<(), SafetyViolation> {
        match step {
            Step::Deliver(position) => {
                let InTransit { from, to, message } = self.network.remove(position);
                let server = &mut self.servers[to];
                server
                    .node
                    .handle_message(server.now, &voter(from), message);
                self.process_ready(to)
            }
            Step::Timeout(number) => {
                self.budget.timeouts -= 1;
                let server = &mut self.servers[number];
                server.now += 3 * SECOND;
                server.node.tick(server.now);
                self.process_ready(number)
            }
            Step::Crash(number) => {
                self.budget.crashes -= 1;
                let server = &mut self.servers[number];
                server.node = Node::new(server.now, settings(number), server.disk.recovered());
                server.ready = None;
                self.process_ready(number)
            }
            Step::Propose(number) => {
                self.budget.proposals -= 1;
                let server = &mut self.servers[number];
                let command = vec![self.budget.proposals, server.node.term() as u8];
                // A refusal is an answer, too.
                let _ = server.node.propose(server.now, command);
                self.process_ready(number)
            }
            Step::Persist(number) => self.persist(number),
        }
    }

    fn process_ready(&mut self, number: usize) -> Result<(), SafetyViolation> {
        while self.servers[number].ready.is_none() {
            let Some(mut ready) = self.servers[number].node.ready() else {
                break;
            };
            for committed in std::mem::take(&mut ready.committed) {
                self.check_committed(committed.index, committed.entry)?;
            }
            let writes_log = ready.hard_state.is_some()
                || ready.truncate_from.is_some()
                || !ready.append.is_empty();
            let is_slow = writes_log && self.budget.slow_writes > 0;
            self.servers[number].ready = Some(ready);
            if is_slow {
                self.budget.slow_writes -= 1;
            } else {
                self.persist(number)?;
            }
        }
        self.check_leader(number)
    }

    fn check_committed(&mut self, index: LogIndex, entry: Entry) -> Result<(), SafetyViolation> {
        match self.committed.get(&index) {
            Some(known) if *known != entry => Err(SafetyViolation::TwoEntries {
                index,
                one: known.clone(),
                other: entry,
            }),
            _ => {
                self.committed.insert(index, entry);
                Ok(())
            }
        }
    }

    fn check_leader(&mut self, number: usize) -> Result<(), SafetyViolation> {
        let node = &self.servers[number].node;
        if !node.is_leader() {
            return Ok(());
        }
        let term = node.term();
        match *self.leaders.entry(term).or_insert(number) {
            known if known == number => Ok(()),
            known => Err(SafetyViolation::TwoLeaders {
                term,
                one: known,
                other: number,
            }),
        }
    }

    fn persist(&mut self, number: usize) -> Result<(), SafetyViolation> {
        let server = &mut self.servers[number];
        let Some(ready) = server.ready.take() else {
            return Ok(());
        };
        server.disk.persist(&ready);
        for OutgoingMessage { to, message } in ready.messages {
            if self.network.len() < MAX_MESSAGES {
                self.network.push(InTransit {
                    from: number,
                    to: to.incarnation as usize,
                    message,
                });
            }
        }
        server.node.persisted(server.now, ready.number);
        self.process_ready(number)
    }

    fn digest(&self) -> u64 {
        let mut hasher = DefaultHasher::new();
        for server in &self.servers {
            format!(
                "{:?}{:?}{:?}{}",
                server.node, server.disk, server.ready, server.now
            )
            .hash(&mut hasher);
        }
        format!("{:?}{:?}", self.network, self.budget).hash(&mut hasher);
        hasher.finish()
    }

    fn has_committed_command(&self) -> bool {
        self.committed
            .values()
            .any(|entry| matches!(entry.payload, Payload::Command(_)))
    }
}

/// The worlds that a number of steps leads to.
#[derive(Debug)]
struct Explored {
    worlds: usize,
    with_commands: usize,
}

fn explore(start: World, depth: usize) -> Explored {
    let mut seen = HashSet::new();
    let mut frontier = vec![(start, Vec::new())];
    let mut with_commands = 0;
    for _ in 0..depth {
        let mut next = Vec::new();
        for (world, path) in frontier {
            for step in world.steps() {
                let mut after = world.clone();
                let mut path: Vec<Step> = path.clone();
                path.push(step);
                after
                    .take(step)
                    .unwrap_or_else(|violation| panic!("{violation} after {path:?}"));
                if seen.insert(after.digest()) {
                    with_commands += usize::from(after.has_committed_command());
                    next.push((after, path));
                }
            }
        }
        frontier = next;
    }
    Explored {
        worlds: seen.len(),
        with_commands,
    }
}

fn depth(default: usize) -> usize {
    std::env::var("AGREEMENT_DEPTH").map_or(default, |text| {
        text.parse().expect("AGREEMENT_DEPTH is a number")
    })
}

/// From the very beginning: who is elected, with three timeouts and a crash.
#[test]
fn every_interleaving_of_an_election() {
    let budget = Budget {
        timeouts: 3,
        crashes: 1,
        proposals: 0,
        slow_writes: 1,
    };
    let explored = explore(World::new(budget), depth(6));
    println!("{} worlds", explored.worlds);
    assert!(explored.worlds > 2_000, "{explored:?}");
}

/// From a leader that has just been elected: proposals, a crash, a second election.
#[test]
fn every_interleaving_of_two_proposals_and_a_change_of_leader() {
    let mut world = World::new(Budget {
        timeouts: 1,
        crashes: 0,
        proposals: 0,
        slow_writes: 0,
    });
    world.take(Step::Timeout(0)).unwrap();
    while !world.servers[0].node.is_leader() {
        world.take(Step::Deliver(0)).unwrap();
    }
    world.budget = Budget {
        timeouts: 1,
        crashes: 1,
        proposals: 2,
        slow_writes: 1,
    };
    let explored = explore(world, depth(7));
    let Explored {
        worlds,
        with_commands,
    } = explored;
    println!("{worlds} worlds, {with_commands} with commands");
    assert!(worlds > 2_000 && with_commands > 20, "{explored:?}");
}
