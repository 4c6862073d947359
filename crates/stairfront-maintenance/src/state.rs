//! What is agreed of plans: the same commands in the same order make the same state at each member.
use std::collections::{BTreeMap, BTreeSet, VecDeque};

use serde::{Deserialize, Serialize};

use crate::fleet::Fleet;
use crate::order::{forbids, order, Out};
use crate::plan::{DoneBy, Machine, Plan, PlanError};

/// Plans that are not over.
const MOST_PLANS: usize = 16;
/// Lines of history kept, the oldest go first.
const MOST_HISTORY: usize = 512;
/// Numbers of commands remembered, so that one that was sent twice is done once.
const MOST_SEEN: usize = 1024;

#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Serialize, Deserialize)]
#[serde(rename_all = "lowercase")]
pub enum Stage {
    Waiting,
    /// Every member is told to send it nothing new; a balancer is told that it is its turn.
    Told,
    /// All have confirmed; what is under way ends.
    Held,
    /// Work may begin.
    Out,
    /// Back in use, and not yet what it was.
    Warming,
    Back,
    /// Passed over, by an operator.
    Skipped,
}

impl Stage {
    pub fn as_str(self) -> &'static str {
        match self {
            Stage::Waiting => "waiting",
            Stage::Told => "told",
            Stage::Held => "held",
            Stage::Out => "out",
            Stage::Warming => "warming",
            Stage::Back => "back",
            Stage::Skipped => "skipped",
        }
    }

    /// Nobody sends it anything new.
    fn is_held(self) -> bool {
        matches!(self, Stage::Told | Stage::Held | Stage::Out)
    }

    /// It counts as taken out.
    fn is_out(self) -> bool {
        self.is_held() || self == Stage::Warming
    }

    fn is_over(self) -> bool {
        matches!(self, Stage::Back | Stage::Skipped)
    }
}

#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub enum CommandKind {
    /// What the one who leads sees.
    Fleet(Fleet),
    /// A step that the one who leads has seen to be due. `entered` names the step that it follows, `by` who has said that
    /// it may (confirmed, or quiet).
    Step {
        plan: u64,
        machine: Machine,
        entered: u64,
        to: Stage,
        by: Vec<String>,
    },
    Post(Plan),
    Hold {
        plan: u64,
        why: String,
    },
    Resume {
        plan: u64,
    },
    Skip {
        plan: u64,
        machine: String,
    },
    Drop {
        plan: u64,
    },
    Done {
        plan: u64,
        machine: String,
    },
    /// Does not wait for this member's word, which may still send.
    Force {
        plan: u64,
        machine: String,
        member: String,
    },
}

#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct Command {
    /// Given to no other.
    pub id: u64,
    /// The giver's clock, in ms since 1970: for the history alone, nothing is decided by it.
    pub at_ms: u64,
    /// Of the one who led when a step was seen to be due; 0 for an operator's word.
    pub term: u64,
    /// The member that brought it.
    pub via: String,
    pub author: String,
    pub what: CommandKind,
}

impl Command {
    pub fn write(&self) -> Vec<u8> {
        // Texts, numbers and lists of them alone, which cannot fail.
        postcard::to_stdvec(self).unwrap_or_default()
    }
}

#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize, thiserror::Error)]
pub enum CommandError {
    #[error("{0}")]
    Plan(PlanError),
    #[error("plan {0} is not there, or over")]
    NoPlan(u64),
    #[error("plan {plan} does not name {machine:?}, or it is over there")]
    NoMachine { plan: u64, machine: String },
    #[error("{machine} is {at}, and that is not done then")]
    Stage { machine: String, at: String },
    #[error("{0} plans are not over; that is the most")]
    TooMany(usize),
    #[error("{0:?} is not a balancer of the group")]
    NoMember(String),
    /// Danger: one that led, slept and woke up would go on with what its successor has ended.
    #[error("given in term {given}, and settled in term {now}")]
    OldTerm { given: u64, now: u64 },
    #[error("not as it is any more: {0}")]
    Changed(String),
}

/// What became of a command, by its number.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Outcome {
    pub index: u64,
    pub term: u64,
    pub result: Result<u64, CommandError>,
}

#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
struct Row {
    machine: Machine,
    stage: Stage,
    /// Index of the entry by which the stage began, and of the one by which it was told.
    entered: u64,
    told: u64,
    since_ms: u64,
    forced: BTreeSet<String>,
    /// Its start (cache host) or process (balancer) when work began.
    was: u64,
}

#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
struct Entry {
    number: u64,
    plan: Plan,
    via: String,
    held: Option<String>,
    /// Dropped: nothing waits any more, and what is out is given back when its work is done.
    dropped: bool,
    rows: Vec<Row>,
}

impl Entry {
    fn is_over(&self) -> bool {
        self.rows.iter().all(|row| row.stage.is_over())
    }
}

#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct HistoryEntry {
    pub index: u64,
    pub term: u64,
    pub at_ms: u64,
    pub author: String,
    pub text: String,
}

/// A cache host that is held out by a plan, and the entry by which it is: the tag of its cordon.
#[derive(Clone, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub struct Held {
    pub host: String,
    pub told: u64,
}

/// To be shown.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct MachineView {
    pub machine: String,
    pub kind: String,
    pub stage: Stage,
    pub since_ms: u64,
    pub forced: Vec<String>,
}

#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct PlanView {
    pub plan: u64,
    pub author: String,
    pub reason: String,
    pub held: Option<String>,
    pub dropped: bool,
    /// In the order in which they come.
    pub machines: Vec<MachineView>,
}

#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct View {
    /// Why nothing further is taken out, if so.
    pub trouble: Option<String>,
    pub plans: Vec<PlanView>,
    pub history: Vec<HistoryEntry>,
}

#[derive(Clone, Debug, Default, PartialEq, Serialize, Deserialize)]
pub struct Maintenance {
    fleet: Fleet,
    plans: Vec<Entry>,
    history: VecDeque<HistoryEntry>,
    seen: VecDeque<(u64, Outcome)>,
    /// Commands that could not be read: by a newer program.
    pub unread: u64,
}

impl Maintenance {
    pub fn restore(data: &[u8]) -> Option<Self> {
        postcard::from_bytes(data).ok()
    }

    pub fn snapshot(&self) -> Vec<u8> {
        // Texts, numbers and lists of them alone, which cannot fail.
        postcard::to_stdvec(self).unwrap_or_default()
    }

    /// Takes the next settled entry over: the number of its command.
    pub fn apply(&mut self, index: u64, term: u64, bytes: &[u8]) -> Option<u64> {
        let command: Command = match postcard::from_bytes(bytes) {
            Ok(command) => command,
            Err(_) => {
                self.unread += 1;
                return None;
            }
        };
        let id = command.id;
        if self.seen.iter().any(|(seen, _)| *seen == id) {
            return Some(id);
        }
        let result = self.carry_out(index, term, command);
        if self.seen.len() >= MOST_SEEN {
            self.seen.pop_front();
        }
        self.seen.push_back((
            id,
            Outcome {
                index,
                term,
                result,
            },
        ));
        Some(id)
    }

    pub fn outcome(&self, id: u64) -> Option<&Outcome> {
        self.seen
            .iter()
            .rev()
            .find(|(seen, _)| *seen == id)
            .map(|(_, outcome)| outcome)
    }

    fn carry_out(&mut self, index: u64, term: u64, command: Command) -> Result<u64, CommandError> {
        let Command {
            at_ms,
            term: given,
            via,
            author,
            what,
            ..
        } = command;
        let bound = matches!(what, CommandKind::Fleet(_) | CommandKind::Step { .. });
        if bound && given != term {
            return Err(CommandError::OldTerm { given, now: term });
        }
        let text = match what {
            CommandKind::Fleet(fleet) => return Ok(self.take_facts(index, fleet)),
            CommandKind::Step {
                plan,
                machine,
                entered,
                to,
                by,
            } => self.step(index, at_ms, (plan, &machine), entered, to, &by)?,
            CommandKind::Post(plan) => {
                let open = self.plans.iter().filter(|plan| !plan.is_over()).count();
                if open >= MOST_PLANS {
                    return Err(CommandError::TooMany(open));
                }
                let machines = plan.check(&self.fleet).map_err(CommandError::Plan)?;
                let text = format!(
                    "plan {index} posted: {}, {} machines",
                    plan.reason,
                    machines.len()
                );
                let rows = machines.into_iter().map(|machine| Row {
                    machine,
                    stage: Stage::Waiting,
                    entered: index,
                    told: 0,
                    since_ms: at_ms,
                    forced: BTreeSet::new(),
                    was: 0,
                });
                let rows = rows.collect();
                self.plans.retain(|plan| !plan.is_over());
                self.plans.push(Entry {
                    number: index,
                    plan,
                    via,
                    held: None,
                    dropped: false,
                    rows,
                });
                text
            }
            CommandKind::Hold { plan, why } => {
                self.plan(plan)?.held = Some(why.clone());
                format!("plan {plan} is held: {why}")
            }
            CommandKind::Resume { plan } => {
                self.plan(plan)?.held = None;
                format!("plan {plan} goes on")
            }
            CommandKind::Drop { plan } => {
                let of = self.plan(plan)?;
                of.dropped = true;
                for row in &mut of.rows {
                    match row.stage {
                        Stage::Waiting => {
                            (row.stage, row.entered, row.since_ms) = (Stage::Skipped, index, at_ms)
                        }
                        // Nobody works on it yet: it is given back.
                        Stage::Told | Stage::Held => {
                            (row.stage, row.entered, row.since_ms) = (Stage::Warming, index, at_ms);
                        }
                        // Danger: given back now, it would be used while somebody works on it.
                        Stage::Out | Stage::Warming | Stage::Back | Stage::Skipped => {}
                    }
                }
                format!("plan {plan} is dropped")
            }
            CommandKind::Skip { plan, machine } => {
                let row = self.row(plan, &machine)?;
                row.stage = match row.stage {
                    // In use again, whatever it gets.
                    Stage::Waiting | Stage::Warming => Stage::Skipped,
                    Stage::Told | Stage::Held => Stage::Warming,
                    at => {
                        return Err(CommandError::Stage {
                            machine,
                            at: at.as_str().to_string(),
                        })
                    }
                };
                (row.entered, row.since_ms) = (index, at_ms);
                format!("plan {plan}: {machine} is passed over")
            }
            CommandKind::Done { plan, machine } => {
                let row = self.row(plan, &machine)?;
                if row.stage != Stage::Out {
                    return Err(CommandError::Stage {
                        machine,
                        at: row.stage.as_str().to_string(),
                    });
                }
                (row.stage, row.entered, row.since_ms) = (Stage::Warming, index, at_ms);
                format!("plan {plan}: the work at {machine} is done")
            }
            CommandKind::Force {
                plan,
                machine,
                member,
            } => {
                if self.fleet.balancer(&member).is_none() {
                    return Err(CommandError::NoMember(member));
                }
                let row = self.row(plan, &machine)?;
                if !matches!(row.stage, Stage::Told | Stage::Held) {
                    return Err(CommandError::Stage {
                        machine,
                        at: row.stage.as_str().to_string(),
                    });
                }
                row.forced.insert(member.clone());
                format!(
                    "plan {plan}: {machine} does not wait for {member}, which may still send to it"
                )
            }
        };
        self.history.push_back(HistoryEntry {
            index,
            term,
            at_ms,
            author,
            text,
        });
        if self.history.len() > MOST_HISTORY {
            self.history.pop_front();
        }
        Ok(index)
    }

    fn take_facts(&mut self, index: u64, fleet: Fleet) -> u64 {
        self.fleet = fleet;
        index
    }

    fn plan(&mut self, number: u64) -> Result<&mut Entry, CommandError> {
        let found = self
            .plans
            .iter_mut()
            .find(|plan| plan.number == number && !plan.is_over());
        found.ok_or(CommandError::NoPlan(number))
    }

    fn row(&mut self, plan: u64, machine: &str) -> Result<&mut Row, CommandError> {
        let missing = CommandError::NoMachine {
            plan,
            machine: machine.to_string(),
        };
        let mut rows = self.plan(plan)?.rows.iter_mut();
        rows.find(|row| row.machine.name() == machine && !row.stage.is_over())
            .ok_or(missing)
    }

    /// Who has to say a word before this one goes on.
    fn asked(&self, forced: &BTreeSet<String>) -> Vec<String> {
        let asked = self
            .fleet
            .balancers
            .iter()
            .filter(|one| !one.left && !forced.contains(&one.name));
        asked.map(|one| one.name.clone()).collect()
    }

    fn step(
        &mut self,
        index: u64,
        at_ms: u64,
        (plan, machine): (u64, &Machine),
        entered: u64,
        to: Stage,
        by: &[String],
    ) -> Result<String, CommandError> {
        let changed = |why: String| CommandError::Changed(why);
        let found = self
            .plans
            .iter()
            .find(|of| of.number == plan && !of.is_over());
        let of = found.ok_or(CommandError::NoPlan(plan))?;
        let row = of.rows.iter().find(|row| row.machine == *machine);
        let row = row.ok_or_else(|| CommandError::NoMachine {
            plan,
            machine: machine.name().to_string(),
        })?;
        // Danger: a step that was seen to be due from another one would leave out what came between.
        if row.entered != entered {
            return Err(changed(format!(
                "{} is {} since entry {}",
                machine.name(),
                row.stage.as_str(),
                row.entered
            )));
        }
        let said = |forced: &BTreeSet<String>| {
            self.asked(forced)
                .into_iter()
                .find(|name| !by.contains(name))
        };
        match (row.stage, to) {
            (Stage::Waiting, Stage::Told) => {
                if let Some(why) = self.waits(plan) {
                    return Err(changed(why));
                }
                if self.next_of(of).as_ref() != Some(machine) {
                    return Err(changed(format!("{} is not the next one", machine.name())));
                }
                let out = Out {
                    machines: self.out(),
                };
                if let Some(why) = forbids(machine, &of.plan, &self.fleet, &out) {
                    return Err(changed(why));
                }
            }
            (Stage::Told, Stage::Held) | (Stage::Held, Stage::Out) => {
                if let Some(name) = said(&row.forced) {
                    return Err(changed(format!("{name} has not said so")));
                }
            }
            (Stage::Out, Stage::Warming) => {
                let is = self.process_of(machine);
                let by_itself =
                    of.plan.done == DoneBy::Restart || matches!(machine, Machine::Balancer(_));
                if !by_itself || is.is_none_or(|is| is == row.was) {
                    return Err(changed(format!("{} has not started anew", machine.name())));
                }
            }
            (Stage::Warming, Stage::Back) => {}
            (at, to) => {
                return Err(changed(format!(
                    "{} is {}, not on its way to {}",
                    machine.name(),
                    at.as_str(),
                    to.as_str()
                )))
            }
        }
        let was = self.process_of(machine).unwrap_or(0);
        let Some(of) = self.plans.iter_mut().find(|of| of.number == plan) else {
            return Err(CommandError::NoPlan(plan));
        };
        if let Some(row) = of.rows.iter_mut().find(|row| row.machine == *machine) {
            (row.stage, row.entered, row.since_ms) = (to, index, at_ms);
            if to == Stage::Told {
                row.told = index;
            }
            if to == Stage::Out {
                row.was = was;
            }
        }
        Ok(format!(
            "plan {plan}: {} is {}",
            machine.name(),
            to.as_str()
        ))
    }

    /// Which process it is, by the facts.
    fn process_of(&self, machine: &Machine) -> Option<u64> {
        match machine {
            Machine::Cache(name) => self
                .fleet
                .host(name)
                .filter(|host| host.up)
                .map(|host| host.born_ms),
            Machine::Balancer(name) => self
                .fleet
                .balancer(name)
                .filter(|one| one.there)
                .map(|one| one.run),
        }
    }

    // --- what follows ---

    pub fn fleet(&self) -> &Fleet {
        &self.fleet
    }

    fn out(&self) -> Vec<&Machine> {
        let rows = self.plans.iter().flat_map(|plan| plan.rows.iter());
        rows.filter(|row| row.stage.is_out())
            .map(|row| &row.machine)
            .collect()
    }

    /// Cache hosts that get nothing new, whatever else is said of them.
    pub fn held(&self) -> BTreeSet<Held> {
        let rows = self.plans.iter().flat_map(|plan| plan.rows.iter());
        let held =
            rows.filter(|row| row.stage.is_held() && matches!(row.machine, Machine::Cache(_)));
        held.map(|row| Held {
            host: row.machine.name().to_string(),
            told: row.told,
        })
        .collect()
    }

    /// Cache hosts at a stage in which they are held.
    pub fn held_at(&self, stage: Stage) -> impl Iterator<Item = Held> + '_ {
        let rows = self.plans.iter().flat_map(|plan| plan.rows.iter());
        let held =
            rows.filter(move |row| row.stage == stage && matches!(row.machine, Machine::Cache(_)));
        held.map(|row| Held {
            host: row.machine.name().to_string(),
            told: row.told,
        })
    }

    pub fn at(&self, stage: Stage) -> impl Iterator<Item = &Machine> {
        let rows = self.plans.iter().flat_map(|plan| plan.rows.iter());
        rows.filter(move |row| row.stage == stage)
            .map(|row| &row.machine)
    }

    /// Whether a plan has this balancer's turn: told, or out.
    pub fn turn_of(&self, balancer: &str) -> Option<Stage> {
        let rows = self.plans.iter().flat_map(|plan| plan.rows.iter());
        let mut turns = rows.filter(|row| {
            row.stage.is_out() && row.machine == Machine::Balancer(balancer.to_string())
        });
        turns.next().map(|row| row.stage)
    }

    /// Why the whole queue waits, by the facts.
    pub fn trouble(&self) -> Option<String> {
        let out = self.out();
        let away = |name: &str| {
            out.iter()
                .any(|machine| **machine == Machine::Balancer(name.to_string()))
        };
        let lost = self
            .fleet
            .balancers
            .iter()
            .find(|one| !one.there && !one.left && !away(&one.name));
        match lost {
            Some(one) => Some(format!("balancer {} is failed or cut off", one.name)),
            None => self.fleet.trouble.clone(),
        }
    }

    /// Why a plan takes nothing further out now.
    pub fn waits(&self, number: u64) -> Option<String> {
        let of = self.plans.iter().find(|plan| plan.number == number)?;
        if let Some(why) = &of.held {
            return Some(format!("held: {why}"));
        }
        if let Some(why) = self.trouble() {
            return Some(why);
        }
        let out = of.rows.iter().filter(|row| row.stage.is_out()).count();
        (out >= of.plan.at_once as usize).then(|| format!("{out} of this plan are out"))
    }

    /// The waiting machines of a plan in their order. One that another plan has out waits for that.
    fn queue(&self, of: &Entry) -> Vec<Machine> {
        let out = self.out();
        let waiting = of
            .rows
            .iter()
            .filter(|row| row.stage == Stage::Waiting && !out.contains(&&row.machine));
        let waiting: Vec<Machine> = waiting.map(|row| row.machine.clone()).collect();
        order(&waiting, &self.fleet, &Out { machines: out })
    }

    /// The first that may be taken out; those that may not yet are passed for now.
    fn next_of(&self, of: &Entry) -> Option<Machine> {
        let out = Out {
            machines: self.out(),
        };
        let mut queue = self.queue(of).into_iter();
        queue.find(|machine| forbids(machine, &of.plan, &self.fleet, &out).is_none())
    }

    /// The machines that a plan would take out, in order, by the facts as they are.
    pub fn dry_run(&self, plan: &Plan) -> Result<Vec<Machine>, PlanError> {
        let machines = plan.check(&self.fleet)?;
        Ok(order(
            &machines,
            &self.fleet,
            &Out {
                machines: self.out(),
            },
        ))
    }

    /// Rows of open plans, for whoever leads.
    pub(crate) fn steps(&self) -> Vec<Due<'_>> {
        let mut due = Vec::new();
        for of in self.plans.iter().filter(|of| !of.is_over()) {
            let next = self.next_of(of);
            for row in &of.rows {
                let is_next = next.as_ref() == Some(&row.machine);
                let waits = if row.stage == Stage::Waiting {
                    self.waits(of.number)
                } else {
                    None
                };
                due.push(Due {
                    since_ms: row.since_ms,
                    limit_s: match row.stage {
                        Stage::Told => of.plan.confirm_s,
                        Stage::Held => of.plan.quiet_s,
                        Stage::Out => of.plan.work_s,
                        Stage::Warming => of.plan.warm_s,
                        Stage::Waiting | Stage::Back | Stage::Skipped => u32::MAX,
                    },
                    plan: of.number,
                    done: of.plan.done,
                    machine: &row.machine,
                    stage: row.stage,
                    entered: row.entered,
                    told: row.told,
                    was: row.was,
                    is: self.process_of(&row.machine),
                    is_next,
                    waits,
                    asked: self.asked(&row.forced),
                });
            }
        }
        due
    }

    pub fn view(&self) -> View {
        let plans = self.plans.iter().map(|of| {
            let place = self.queue(of);
            let mut rows: Vec<&Row> = of.rows.iter().collect();
            // Those under way, then those that wait in their order, then those that are over.
            rows.sort_by_key(|row| match row.stage {
                Stage::Waiting => (
                    1,
                    place.iter().position(|machine| *machine == row.machine),
                    row.entered,
                ),
                stage if stage.is_over() => (2, None, row.entered),
                _ => (0, None, row.entered),
            });
            let machines = rows.into_iter().map(|row| MachineView {
                machine: row.machine.name().to_string(),
                kind: if matches!(row.machine, Machine::Cache(_)) {
                    "cache"
                } else {
                    "balancer"
                }
                .to_string(),
                stage: row.stage,
                since_ms: row.since_ms,
                forced: row.forced.iter().cloned().collect(),
            });
            PlanView {
                plan: of.number,
                author: of.plan.author.clone(),
                reason: of.plan.reason.clone(),
                held: of.held.clone(),
                dropped: of.dropped,
                machines: machines.collect(),
            }
        });
        View {
            trouble: self.trouble(),
            plans: plans.collect(),
            history: self.history.iter().cloned().collect(),
        }
    }

    /// Machines by stage.
    pub fn count(&self) -> BTreeMap<&'static str, u64> {
        let mut count = BTreeMap::new();
        for row in self.plans.iter().flat_map(|plan| plan.rows.iter()) {
            *count.entry(row.stage.as_str()).or_insert(0) += 1;
        }
        count
    }
}

/// One machine of an open plan, for whoever leads.
pub(crate) struct Due<'a> {
    /// When the stage began, and how long it may take before it is called late.
    pub since_ms: u64,
    pub limit_s: u32,
    pub plan: u64,
    pub done: DoneBy,
    pub machine: &'a Machine,
    pub stage: Stage,
    pub entered: u64,
    pub told: u64,
    pub was: u64,
    pub is: Option<u64>,
    pub is_next: bool,
    /// Why a waiting one is not taken now.
    pub waits: Option<String>,
    /// Members whose word it needs.
    pub asked: Vec<String>,
}
