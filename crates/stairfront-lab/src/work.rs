//! The people who work at machines by a plan: they post it at some balancer, work at what is said to be out, say done. What
//! they saw is judged here and by the rules: never more out than the plan allows, nothing new at a host from its out to its
//! done, each settled word in the history, the same history at all, and an end in its time.
use std::collections::{BTreeMap, BTreeSet};

use crate::by_hand::HandPlan;
use serde::{Deserialize, Serialize};
use serde_json::Value;
use stairfront_common::time::{from_ms, to_ms, Micros, MS, SECOND};

/// Between two looks at what is out.
const LOOK: Micros = 150 * MS;
/// A word that was not settled is said again, perhaps at another balancer's door.
const SAY_AGAIN: Micros = 400 * MS;
const MOST_EXAMPLES: usize = 6;
/// Disks of a majority lost within this time are more than a log survives: the rest had no time to take in new voters.
const TAKEN_IN: Micros = 25 * SECOND;

/// What an experiment says of plans.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct WorkPlan {
    /// So many of the balancers vote, the first ones.
    pub voters: usize,
    /// With a store each, that goes with a member's folder.
    #[serde(default)]
    pub disks: bool,
    pub plans: Vec<Posted>,
    /// The work at one machine.
    pub work_ms: f64,
    /// All plans are over by then, after the last trouble and the last post.
    pub ends_s: f64,
    /// The work at a cache host ends its process, which comes back cold.
    #[serde(default)]
    pub restarts: bool,
    /// For variants that do the same by hand.
    #[serde(default)]
    pub hand: Option<HandPlan>,
}

#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Posted {
    pub at_ms: f64,
    /// As it is posted; its reason and author are put in.
    pub plan: serde_json::Map<String, Value>,
}

/// Something that the people do.
#[derive(Clone, Debug, PartialEq)]
pub enum Act {
    /// A call at one balancer's door.
    CallAt {
        door: usize,
        number: u64,
        method: &'static str,
        path: String,
    },
    /// A call at some balancer's door, with a number by which its answer is known.
    Call {
        number: u64,
        method: &'static str,
        path: String,
        body: String,
    },
    /// Work at a cache host begins, or is said to be done.
    Works { host: String, on: bool },
    /// This balancer is ended on purpose and started again.
    Restart { plan: u64, balancer: String },
}

#[derive(Clone, Debug, Default, PartialEq, Serialize)]
pub struct WorkOutcome {
    pub broken: u64,
    pub examples: Vec<String>,
    /// Machines worked at, cache hosts and balancers.
    pub hosts: u64,
    pub balancers: u64,
    pub most_out: u64,
    /// Words that were settled, and refused or not known to be.
    pub settled: u64,
    pub unsettled: u64,
    /// From the first post to the end of all plans, and from the last trouble, in milliseconds.
    pub took_ms: Option<f64>,
    pub after_quiet_ms: Option<f64>,
    /// A majority of the voters' disks was lost at once: the end is not judged.
    pub log_lost: bool,
    /// By a script at every door, without plans.
    pub by_hand: bool,
}

/// Those who work at machines in a run.
pub trait Workers {
    /// Which member the next account is asked of is the caller's to draw.
    fn tick(&mut self, now: Micros, of: usize) -> Vec<Act>;
    /// What came of a call; none where nobody answered.
    fn answered(&mut self, now: Micros, number: u64, answer: Option<(u16, Vec<u8>)>) -> Vec<Act>;
    /// The last trouble is over.
    fn quiet(&mut self, now: Micros);
    /// A balancer that was to be restarted is away, or held still.
    fn not_there(&mut self, plan: u64, balancer: &str);
    /// A member's folder was emptied; where voters have no disk any end of a process is as much.
    fn wiped(&mut self, now: Micros, who: usize);
    /// A process that ends and is started again finds what it had stored.
    fn has_disks(&self) -> bool;
    /// Called once nothing more is asked.
    fn finish(self: Box<Self>, now: Micros) -> WorkOutcome;
}

#[derive(Clone, Debug)]
enum Asked {
    Post(usize),
    Done(u64, String),
    Show(usize),
}

/// What somebody does at a machine.
#[derive(Clone, Debug, PartialEq)]
enum Work {
    Until(Micros),
    /// Done is said from then on, until it is settled.
    Say(Micros),
    /// A balancer: its new process says the rest.
    Restarted,
    Over,
}

pub struct Crew {
    plan: WorkPlan,
    members: usize,
    next_look: Micros,
    calls: u64,
    asked: BTreeMap<u64, Asked>,
    posted: Vec<Option<u64>>,
    next_post: Vec<Micros>,
    works: BTreeMap<(u64, String), Work>,
    /// Indexes of settled words.
    acknowledged: BTreeSet<u64>,
    /// The last account of each member: its history, and whether all plans are over.
    shown: BTreeMap<usize, (Micros, Value, bool)>,
    first_post: Option<Micros>,
    quiet: Option<Micros>,
    over: Option<Micros>,
    wiped: Vec<(Micros, usize)>,
    pub outcome: WorkOutcome,
}

impl Crew {
    pub fn new(plan: WorkPlan, members: usize) -> Crew {
        let count = plan.plans.len();
        let next_post = plan
            .plans
            .iter()
            .map(|posted| from_ms(posted.at_ms))
            .collect();
        Crew {
            plan,
            members,
            next_look: 0,
            calls: 0,
            asked: BTreeMap::new(),
            posted: vec![None; count],
            next_post,
            works: BTreeMap::new(),
            acknowledged: BTreeSet::new(),
            shown: BTreeMap::new(),
            first_post: None,
            quiet: None,
            over: None,
            wiped: Vec::new(),
            outcome: WorkOutcome::default(),
        }
    }

    pub fn voters(&self) -> Vec<String> {
        (0..self.plan.voters).map(|who| format!("b{who}")).collect()
    }

    fn call(&mut self, asked: Asked, method: &'static str, path: String, body: String) -> Act {
        self.calls += 1;
        self.asked.insert(self.calls, asked);
        Act::Call {
            number: self.calls,
            method,
            path,
            body,
        }
    }

    fn breach(&mut self, now: Micros, what: String) {
        self.outcome.broken += 1;
        if self.outcome.examples.len() < MOST_EXAMPLES {
            self.outcome
                .examples
                .push(format!("{:.0} ms: {what}", to_ms(now)));
        }
    }

    fn hear(&mut self, now: Micros, of: usize, shown: &Value) -> Vec<Act> {
        let mut acts = Vec::new();
        let (mut any, mut all_over) = (BTreeSet::new(), true);
        let empty = Vec::new();
        for plan in shown["plans"].as_array().unwrap_or(&empty) {
            let Some(number) = plan["plan"].as_u64() else {
                continue;
            };
            let words = plan["reason"].as_str().unwrap_or_default();
            if let Some(at) = (0..self.posted.len()).find(|at| words == reason(*at)) {
                // Settled though nobody was told so.
                self.posted[at].get_or_insert(number);
                any.insert(at);
            }
            for row in plan["machines"].as_array().unwrap_or(&empty) {
                let (Some(machine), Some(stage)) = (row["machine"].as_str(), row["stage"].as_str())
                else {
                    continue;
                };
                all_over &= matches!(stage, "back" | "skipped");
                let key = (number, machine.to_string());
                if stage != "out" || self.works.contains_key(&key) {
                    continue;
                }
                if row["kind"] == "balancer" {
                    self.outcome.balancers += 1;
                    self.works.insert(key, Work::Restarted);
                    acts.push(Act::Restart {
                        plan: number,
                        balancer: machine.to_string(),
                    });
                } else {
                    self.outcome.hosts += 1;
                    self.works
                        .insert(key, Work::Until(now + from_ms(self.plan.work_ms)));
                    acts.push(Act::Works {
                        host: machine.to_string(),
                        on: true,
                    });
                }
            }
        }
        self.judge_count(now);
        let over = all_over && any.len() == self.posted.len();
        if over && self.over.is_none() {
            self.over = Some(now);
            let since = |at: Option<Micros>| at.map(|at| to_ms((now - at).max(0)));
            self.outcome.took_ms = since(self.first_post);
            self.outcome.after_quiet_ms = since(self.quiet).or(Some(0.0));
        }
        self.shown.insert(of, (now, shown["history"].clone(), over));
        acts
    }

    /// Of each plan, by what is being worked at now.
    fn judge_count(&mut self, now: Micros) {
        let mut out: BTreeMap<u64, u64> = BTreeMap::new();
        for ((plan, _), work) in &self.works {
            *out.entry(*plan).or_default() += u64::from(matches!(work, Work::Until(_)));
        }
        for (plan, count) in out {
            self.outcome.most_out = self.outcome.most_out.max(count);
            let Some(at) = self.posted.iter().position(|posted| *posted == Some(plan)) else {
                continue;
            };
            let most = self.plan.plans[at]
                .plan
                .get("at_once")
                .and_then(Value::as_u64)
                .unwrap_or(1);
            if count > most {
                self.breach(
                    now,
                    format!("{count} of plan {plan} are worked at, and {most} may be"),
                );
            }
        }
    }
}

impl Workers for Crew {
    /// A member's folder was emptied; where voters have no disk any end of a process is as much.
    fn wiped(&mut self, now: Micros, who: usize) {
        if who < self.plan.voters {
            self.wiped.push((now, who));
        }
        let lately: BTreeSet<usize> = self
            .wiped
            .iter()
            .filter(|(at, _)| now - at < TAKEN_IN)
            .map(|(_, who)| *who)
            .collect();
        self.outcome.log_lost |= lately.len() * 2 > self.plan.voters;
    }

    /// A balancer that was to be restarted is away, or held still: looked at again.
    fn not_there(&mut self, plan: u64, balancer: &str) {
        let known = self.works.remove(&(plan, balancer.to_string())).is_some();
        self.outcome.balancers -= u64::from(known);
    }

    fn quiet(&mut self, now: Micros) {
        self.quiet = Some(now);
    }

    fn tick(&mut self, now: Micros, of: usize) -> Vec<Act> {
        let mut acts = Vec::new();
        for at in 0..self.plan.plans.len() {
            if self.posted[at].is_none() && self.next_post[at] <= now {
                self.next_post[at] = now + SAY_AGAIN * 2;
                let mut plan = self.plan.plans[at].plan.clone();
                plan.insert("reason".to_string(), reason(at).into());
                plan.insert("author".to_string(), "crew".into());
                let body = Value::Object(plan).to_string();
                acts.push(self.call(
                    Asked::Post(at),
                    "POST",
                    "/admin/maintenance".to_string(),
                    body,
                ));
                self.first_post.get_or_insert(now);
            }
        }
        let mut say = Vec::new();
        for (key, work) in &mut self.works {
            if matches!(work, Work::Until(until) if *until <= now) {
                *work = Work::Say(now);
                acts.push(Act::Works {
                    host: key.1.clone(),
                    on: false,
                });
            }
            if let Work::Say(at) = work {
                if *at <= now {
                    *at = now + SAY_AGAIN;
                    say.push(key.clone());
                }
            }
        }
        for (plan, machine) in say {
            let path = format!("/admin/maintenance/done?plan={plan}&machine={machine}&author=crew");
            acts.push(self.call(Asked::Done(plan, machine), "POST", path, String::new()));
        }
        if self.next_look <= now {
            self.next_look = now + LOOK;
            acts.push(self.call(
                Asked::Show(of),
                "GET",
                "/admin/maintenance".to_string(),
                String::new(),
            ));
        }
        acts
    }

    fn answered(&mut self, now: Micros, number: u64, answer: Option<(u16, Vec<u8>)>) -> Vec<Act> {
        let Some(asked) = self.asked.remove(&number) else {
            return Vec::new();
        };
        let (status, body) = answer.unwrap_or_default();
        let value: Value = serde_json::from_slice(&body).unwrap_or_default();
        let index = value["index"].as_u64();
        match (asked, status) {
            (Asked::Show(of), 200) => return self.hear(now, of, &value),
            (Asked::Show(_), _) => {}
            (Asked::Post(at), 200) => {
                self.outcome.settled += 1;
                // Danger: posted again since its answer was lost, it would stand there twice; the first counts.
                self.posted[at] = self.posted[at].or(index);
                self.acknowledged.extend(index);
            }
            (Asked::Post(at), 409) => {
                let text = String::from_utf8_lossy(&body).trim().to_string();
                self.outcome.unsettled += 1;
                // The plan may be refused for what has just failed, and is tried again.
                if self.quiet.is_some_and(|quiet| now - quiet > 10 * SECOND) {
                    self.breach(now, format!("plan {at} refused: {text}"));
                }
            }
            (Asked::Done(plan, machine), 200) => {
                self.outcome.settled += 1;
                self.acknowledged.extend(index);
                self.works.insert((plan, machine), Work::Over);
            }
            // Said before, and settled without this one hearing it.
            (Asked::Done(plan, machine), 409) => {
                self.works.insert((plan, machine), Work::Over);
            }
            (Asked::Post(_) | Asked::Done(..), _) => self.outcome.unsettled += 1,
        }
        Vec::new()
    }

    /// Called once nothing more is asked: what the members said last is held against each other.
    fn finish(mut self: Box<Self>, now: Micros) -> WorkOutcome {
        if self.outcome.log_lost {
            return self.outcome;
        }
        let last = self
            .quiet
            .unwrap_or(now)
            .max(self.next_post.iter().copied().max().unwrap_or(0));
        match self.over {
            None => self.breach(now, format!("plans not over: {:?}", self.works)),
            Some(over) if over - last > from_ms(self.plan.ends_s * 1e3) => {
                self.breach(
                    over,
                    format!(
                        "plans over {:.0} ms after the last trouble",
                        to_ms(over - last)
                    ),
                );
            }
            Some(_) => {}
        }
        let late: Vec<(usize, Value)> = self
            .shown
            .iter()
            .filter(|(_, (.., over))| *over)
            .map(|(who, (_, lines, _))| (*who, lines.clone()))
            .collect();
        if self.over.is_some() && late.len() < self.members {
            let who: Vec<usize> = (0..self.members)
                .filter(|who| late.iter().all(|(of, _)| of != who))
                .collect();
            self.breach(
                now,
                format!("b{who:?} had not heard of the end when the run ended"),
            );
        }
        if let Some((first, lines)) = late.first().cloned() {
            for (who, other) in &late {
                if *other != lines {
                    self.breach(now, format!("b{first} and b{who} have unlike histories"));
                }
            }
            let indexes: BTreeSet<u64> = lines
                .as_array()
                .into_iter()
                .flatten()
                .filter_map(|line| line["index"].as_u64())
                .collect();
            let lost: Vec<u64> = self.acknowledged.difference(&indexes).copied().collect();
            if !lost.is_empty() {
                self.breach(now, format!("settled words that no history has: {lost:?}"));
            }
        }
        self.outcome
    }

    fn has_disks(&self) -> bool {
        self.plan.disks
    }
}

fn reason(at: usize) -> String {
    format!("work {at}")
}
