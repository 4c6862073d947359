//! Every order in which messages come, clocks run out and voters crash, for three voters to a stated depth. Where the drawn
//! schedules meet a case by chance, this meets all that are short enough.
use std::collections::{BTreeMap, HashSet};
use std::hash::{DefaultHasher, Hash, Hasher};

use stairfront_raft::{
    Entry, HardState, Index, Log, Message, Micros, Node, Payload, Ready, Recovered, Settings,
    Snapshot, Voter, SECOND,
};

const VOTERS: usize = 3;
/// Messages under way at once; a further one is lost.
const MOST_MESSAGES: usize = 6;

#[derive(Clone)]
struct Place {
    now: Micros,
    node: Node,
    disk: (HardState, Log),
    /// Taken from the node and not yet stored: a crash loses it, and its messages have not gone out.
    ready: Option<Ready>,
}

#[derive(Clone)]
struct World {
    places: Vec<Place>,
    road: Vec<(usize, usize, Message)>,
    settled: BTreeMap<Index, Entry>,
    leaders: BTreeMap<u64, usize>,
    /// What may happen yet of each kind: clocks that run out, crashes, orders, stores that are slow.
    left: [u8; 4],
}

#[derive(Clone, Copy, Debug)]
enum Step {
    Deliver(usize),
    RunOut(usize),
    Crash(usize),
    Propose(usize),
    /// The disk has what the node gave; what it then says goes out.
    Store(usize),
}

fn voter(at: usize) -> Voter {
    Voter {
        name: format!("v{at}"),
        incarnation: at as u64,
    }
}

fn settings(at: usize) -> Settings {
    // The same chance at each: ties between candidates are among the orders that are tried.
    Settings::new(voter(at), 7)
}

impl World {
    fn new(left: [u8; 4]) -> World {
        let snapshot = Snapshot {
            index: 1,
            term: 1,
            voters: (0..VOTERS).map(voter).collect(),
            founding: 1,
            data: Vec::new(),
        };
        let disk = (
            HardState {
                term: 1,
                vote: None,
            },
            Log::new(snapshot, Vec::new()),
        );
        let places = (0..VOTERS).map(|at| {
            let recovered = Recovered {
                hard: disk.0.clone(),
                log: disk.1.clone(),
            };
            let node = Node::new(0, settings(at), recovered);
            Place {
                now: 0,
                node,
                disk: disk.clone(),
                ready: None,
            }
        });
        let (road, settled, leaders) = Default::default();
        World {
            places: places.collect(),
            road,
            settled,
            leaders,
            left,
        }
    }

    fn steps(&self) -> Vec<Step> {
        let mut steps: Vec<Step> = Vec::new();
        steps.extend((0..self.road.len()).map(Step::Deliver));
        for at in 0..VOTERS {
            if self.places[at].ready.is_some() {
                steps.push(Step::Store(at));
                if self.left[1] > 0 {
                    steps.push(Step::Crash(at));
                }
                continue;
            }
            if self.left[0] > 0 {
                steps.push(Step::RunOut(at));
            }
            if self.left[1] > 0 {
                steps.push(Step::Crash(at));
            }
            if self.left[2] > 0 && self.places[at].node.is_leader() {
                steps.push(Step::Propose(at));
            }
        }
        steps
    }

    fn take(&mut self, step: Step) -> Result<(), String> {
        match step {
            Step::Deliver(at) => {
                let (from, to, message) = self.road.remove(at);
                let place = &mut self.places[to];
                place.node.handle_message(place.now, &voter(from), message);
                self.pump(to)
            }
            Step::RunOut(at) => {
                self.left[0] -= 1;
                let place = &mut self.places[at];
                place.now += 3 * SECOND;
                place.node.tick(place.now);
                self.pump(at)
            }
            Step::Crash(at) => {
                self.left[1] -= 1;
                let place = &mut self.places[at];
                let recovered = Recovered {
                    hard: place.disk.0.clone(),
                    log: place.disk.1.clone(),
                };
                place.node = Node::new(place.now, settings(at), recovered);
                place.ready = None;
                self.pump(at)
            }
            Step::Propose(at) => {
                self.left[2] -= 1;
                let place = &mut self.places[at];
                let order = vec![self.left[2], place.node.term() as u8];
                // A refusal is an answer, too.
                let _ = place.node.propose(place.now, order);
                self.pump(at)
            }
            Step::Store(at) => self.store(at),
        }
    }

    fn pump(&mut self, at: usize) -> Result<(), String> {
        while self.places[at].ready.is_none() {
            let Some(mut ready) = self.places[at].node.ready() else {
                break;
            };
            for (index, entry) in std::mem::take(&mut ready.committed) {
                match self.settled.get(&index) {
                    Some(known) if *known != entry => {
                        return Err(format!("entry {index} is {known:?} and {entry:?}"))
                    }
                    _ => drop(self.settled.insert(index, entry)),
                }
            }
            let keeps =
                ready.hard.is_some() || ready.truncate.is_some() || !ready.append.is_empty();
            let slow = keeps && self.left[3] > 0;
            self.places[at].ready = Some(ready);
            if slow {
                self.left[3] -= 1;
            } else {
                self.store(at)?;
            }
        }
        if self.places[at].node.is_leader() {
            let term = self.places[at].node.term();
            let known = *self.leaders.entry(term).or_insert(at);
            if known != at {
                return Err(format!("v{known} and v{at} both lead in term {term}"));
            }
        }
        Ok(())
    }

    fn store(&mut self, at: usize) -> Result<(), String> {
        let place = &mut self.places[at];
        let Some(ready) = place.ready.take() else {
            return Ok(());
        };
        let (hard, log) = &mut place.disk;
        *hard = ready.hard.clone().unwrap_or(hard.clone());
        ready
            .snapshot
            .iter()
            .for_each(|snapshot| log.compact(snapshot.clone()));
        ready.truncate.iter().for_each(|from| log.truncate(*from));
        for (_, entry) in &ready.append {
            log.push(entry.clone());
        }
        for (to, message) in ready.send {
            if self.road.len() < MOST_MESSAGES {
                self.road.push((at, to.incarnation as usize, message));
            }
        }
        place.node.persisted(place.now, ready.number);
        self.pump(at)
    }

    fn digest(&self) -> u64 {
        let mut hasher = DefaultHasher::new();
        for place in &self.places {
            format!(
                "{:?}{:?}{:?}{}",
                place.node, place.disk, place.ready, place.now
            )
            .hash(&mut hasher);
        }
        format!("{:?}{:?}", self.road, self.left).hash(&mut hasher);
        hasher.finish()
    }
}

/// All worlds that so many steps lead to: how many there are, and whether some of them have settled an order.
fn explore(start: World, depth: usize) -> (usize, usize) {
    let mut seen = HashSet::new();
    let mut front = vec![(start, Vec::new())];
    let mut with_orders = 0;
    for _ in 0..depth {
        let mut next = Vec::new();
        for (world, path) in front {
            for step in world.steps() {
                let mut after = world.clone();
                let mut path: Vec<Step> = path.clone();
                path.push(step);
                after
                    .take(step)
                    .unwrap_or_else(|fault| panic!("{fault} after {path:?}"));
                if seen.insert(after.digest()) {
                    with_orders += usize::from(
                        after
                            .settled
                            .values()
                            .any(|entry| matches!(entry.payload, Payload::Order(_))),
                    );
                    next.push((after, path));
                }
            }
        }
        front = next;
    }
    (seen.len(), with_orders)
}

fn depth(usual: usize) -> usize {
    std::env::var("AGREEMENT_DEPTH").map_or(usual, |text| {
        text.parse().expect("AGREEMENT_DEPTH is a number")
    })
}

/// From the very beginning: who is elected, with two clocks that run out and a crash.
#[test]
fn every_order_of_an_election() {
    let (worlds, _) = explore(World::new([3, 1, 0, 1]), depth(6));
    println!("{worlds} worlds");
    assert!(worlds > 2_000, "{worlds}");
}

/// From a leader that has just been elected: orders, a crash, a second election.
#[test]
fn every_order_of_two_orders_and_a_change_of_the_leader() {
    let mut world = World::new([0; 4]);
    world.left[0] = 1;
    world.take(Step::RunOut(0)).unwrap();
    while !world.places[0].node.is_leader() {
        world.take(Step::Deliver(0)).unwrap();
    }
    world.left = [1, 1, 2, 1];
    let (worlds, with_orders) = explore(world, depth(7));
    println!("{worlds} worlds, {with_orders} with orders");
    assert!(worlds > 2_000 && with_orders > 20, "{worlds} {with_orders}");
}
