//! Work at machines as it is done without plans: a script that calls at every balancer's door, waits a fixed time, works,
//! calls again and waits again. It looks at no answer and knows nothing of who is there; what that comes to is judged by the
//! rules, as it is for plans (`work.rs`).
use std::collections::BTreeSet;

use serde::{Deserialize, Serialize};
use stairfront_common::time::{from_ms, to_ms, Micros};

use crate::work::{Act, WorkOutcome, WorkPlan, Workers};

/// What the script is given.
#[derive(Clone, Copy, Debug, PartialEq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct HandPlan {
    /// From the calls that take a machine out until the work, and from the calls that give it back until the next one.
    pub wait_ms: f64,
}

/// One machine at a time of one place in the script.
enum Step {
    Next,
    Out(Micros),
    Work(Micros),
    Back(Micros),
}

/// Hosts or balancers that one loop of the script goes through.
struct Place {
    begins: Micros,
    step: Step,
    machine: usize,
}

pub struct HandCrew {
    plan: WorkPlan,
    wait: Micros,
    members: usize,
    /// Cache hosts yet to come, and the loops over them; then the balancers, one at a time.
    hosts: std::ops::Range<usize>,
    balancers: std::ops::Range<usize>,
    places: Vec<Place>,
    rolling: Place,
    calls: u64,
    open: BTreeSet<u64>,
    quiet: Option<Micros>,
    first: Option<Micros>,
    over: bool,
    outcome: WorkOutcome,
}

impl HandCrew {
    pub fn new(plan: WorkPlan, hand: HandPlan, members: usize, caches: usize) -> Self {
        let posted = |kind: &str| {
            plan.plans.iter().find(|posted| {
                let kinds = posted.plan.get("kinds").and_then(|kinds| kinds.as_array());
                kinds.is_some_and(|kinds| kinds.iter().any(|of| of == kind))
            })
        };
        let place = |at_ms: f64| Place {
            begins: from_ms(at_ms),
            step: Step::Next,
            machine: 0,
        };
        let at_once =
            |posted: &crate::work::Posted| posted.plan.get("at_once").and_then(|n| n.as_u64());
        let caches_at = posted("caches").map(|posted| (posted.at_ms, at_once(posted).unwrap_or(1)));
        let balancers_at = posted("balancers").map(|posted| posted.at_ms);
        HandCrew {
            wait: from_ms(hand.wait_ms),
            members,
            hosts: 0..if caches_at.is_some() { caches } else { 0 },
            balancers: 0..if balancers_at.is_some() { members } else { 0 },
            places: caches_at.map_or(Vec::new(), |(at, n)| (0..n).map(|_| place(at)).collect()),
            rolling: place(balancers_at.unwrap_or(0.0)),
            calls: 0,
            open: BTreeSet::new(),
            quiet: None,
            first: None,
            over: false,
            outcome: WorkOutcome::default(),
            plan,
        }
    }

    fn at_every_door(&mut self, verb: &str, host: usize, acts: &mut Vec<Act>) {
        for door in 0..self.members {
            self.calls += 1;
            self.open.insert(self.calls);
            let path = format!("/admin/{verb}/c{host}");
            acts.push(Act::CallAt {
                door,
                number: self.calls,
                method: "POST",
                path,
            });
        }
    }

    fn roll(&mut self, now: Micros, acts: &mut Vec<Act>) {
        match self.rolling.step {
            Step::Next if self.rolling.begins <= now => {
                let Some(next) = self.balancers.next() else {
                    return;
                };
                self.outcome.balancers += 1;
                acts.push(Act::Restart {
                    plan: 0,
                    balancer: format!("b{next}"),
                });
                // A restart takes its time before the wait.
                self.rolling.step = Step::Back(now + self.wait * 2);
            }
            Step::Back(until) if until <= now => self.rolling.step = Step::Next,
            _ => {}
        }
    }
}

impl Workers for HandCrew {
    fn tick(&mut self, now: Micros, _: usize) -> Vec<Act> {
        let mut acts = Vec::new();
        let mut places = std::mem::take(&mut self.places);
        for place in places.iter_mut().filter(|place| place.begins <= now) {
            match place.step {
                Step::Next => {
                    let Some(host) = self.hosts.next() else {
                        continue;
                    };
                    self.first.get_or_insert(now);
                    place.machine = host;
                    self.at_every_door("cordon", host, &mut acts);
                    place.step = Step::Out(now + self.wait);
                }
                Step::Out(until) if until <= now => {
                    self.outcome.hosts += 1;
                    acts.push(Act::Works {
                        host: format!("c{}", place.machine),
                        on: true,
                    });
                    place.step = Step::Work(now + from_ms(self.plan.work_ms));
                }
                Step::Work(until) if until <= now => {
                    acts.push(Act::Works {
                        host: format!("c{}", place.machine),
                        on: false,
                    });
                    self.at_every_door("uncordon", place.machine, &mut acts);
                    place.step = Step::Back(now + self.wait);
                }
                Step::Back(until) if until <= now => place.step = Step::Next,
                Step::Out(_) | Step::Work(_) | Step::Back(_) => {}
            }
        }
        let working = places
            .iter()
            .filter(|place| matches!(place.step, Step::Work(_)))
            .count() as u64;
        self.outcome.most_out = self.outcome.most_out.max(working);
        self.places = places;
        self.roll(now, &mut acts);
        let idle = |place: &Place| matches!(place.step, Step::Next);
        let done = self.hosts.is_empty() && self.balancers.is_empty();
        if done && !self.over && self.places.iter().all(idle) && idle(&self.rolling) {
            self.over = true;
            self.outcome.took_ms = self.first.map(|first| to_ms(now - first));
            self.outcome.after_quiet_ms = self
                .quiet
                .map_or(Some(0.0), |quiet| Some(to_ms(now - quiet)));
        }
        acts
    }

    fn answered(&mut self, _: Micros, number: u64, answer: Option<(u16, Vec<u8>)>) -> Vec<Act> {
        if self.open.remove(&number) {
            match answer {
                Some((200, _)) => self.outcome.settled += 1,
                _ => self.outcome.unsettled += 1,
            }
        }
        Vec::new()
    }

    fn quiet(&mut self, now: Micros) {
        self.quiet = Some(now);
    }

    /// The script has ended a process that was away, or held still: it does not notice.
    fn not_there(&mut self, _: u64, _: &str) {}

    fn wiped(&mut self, _: Micros, _: usize) {}

    fn has_disks(&self) -> bool {
        true
    }

    fn finish(mut self: Box<Self>, _: Micros) -> WorkOutcome {
        self.outcome.by_hand = true;
        self.outcome
    }
}
