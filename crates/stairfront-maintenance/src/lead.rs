//! What the one who leads makes of what it sees: the steps that are due, and why the others are not.
use std::collections::BTreeMap;

use serde::{Deserialize, Serialize};

use crate::fleet::Fleet;
use crate::plan::{DoneBy, Machine};
use crate::state::{CommandKind, Maintenance, Stage};

/// What the one who leads has seen, by cache host where it is of one.
#[derive(Clone, Debug, Default)]
pub struct LeaderObservation {
    pub fleet: Fleet,
    /// Who it is, and its clock in ms since 1970: for what is said to people alone.
    pub me: String,
    pub now_ms: u64,
    /// Members that hold the host out, at the entry by which it was told.
    pub confirmed: BTreeMap<(String, u64), Vec<String>>,
    /// Members that have nothing open there.
    pub quiet: BTreeMap<(String, u64), Vec<String>>,
    /// Hosts that are in use at their share again, and balancers that are.
    pub warm: Vec<String>,
}

/// Why a machine does not go on.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct BlockedMachine {
    pub plan: u64,
    pub machine: String,
    pub why: String,
}

impl Maintenance {
    /// The commands that are due, and why the rest waits. Facts go first; a step that rests on them follows once they are
    /// agreed.
    pub fn next_commands(
        &self,
        seen: &LeaderObservation,
    ) -> (Vec<CommandKind>, Vec<BlockedMachine>) {
        if seen.fleet != *self.fleet() {
            return (vec![CommandKind::Fleet(seen.fleet.clone())], Vec::new());
        }
        let (mut due, mut waits) = (Vec::new(), Vec::new());
        let mut told = false;
        for row in self.steps() {
            let name = row.machine.name().to_string();
            let key = (name.clone(), row.told);
            let none = Vec::new();
            let missing = |said: &Vec<String>, what: &str| {
                let missing: Vec<&str> = row
                    .asked
                    .iter()
                    .filter(|name| !said.contains(*name))
                    .map(String::as_str)
                    .collect();
                (!missing.is_empty()).then(|| format!("{what}: {}", missing.join(", ")))
            };
            let is_cache = matches!(row.machine, Machine::Cache(_));
            let everybody = row.asked.clone();
            let (to, by, why) = match row.stage {
                Stage::Waiting => match row.waits {
                    None if row.is_next && !told => (Stage::Told, Vec::new(), None),
                    None => (Stage::Told, Vec::new(), Some("not its turn".to_string())),
                    why => (Stage::Told, Vec::new(), why),
                },
                Stage::Told if is_cache => {
                    let said = seen.confirmed.get(&key).unwrap_or(&none);
                    (Stage::Held, said.clone(), missing(said, "not confirmed by"))
                }
                // One that leads hands that over first.
                Stage::Told => {
                    let leads = name == seen.me;
                    (
                        Stage::Held,
                        everybody,
                        leads.then(|| "it leads, and hands that over".to_string()),
                    )
                }
                Stage::Held if is_cache => {
                    let said = seen.quiet.get(&key).unwrap_or(&none);
                    (Stage::Out, said.clone(), missing(said, "not quiet at"))
                }
                Stage::Held => (Stage::Out, everybody, None),
                Stage::Out => {
                    let anew = row.is.is_some_and(|is| is != row.was);
                    let by_itself = row.done == DoneBy::Restart || !is_cache;
                    let why = match (by_itself, anew) {
                        (true, true) => None,
                        (true, false) => Some("work goes on: it has not started anew".to_string()),
                        (false, _) => Some("work goes on: nobody has said done".to_string()),
                    };
                    (Stage::Warming, Vec::new(), why)
                }
                Stage::Warming => {
                    let why = (!seen.warm.contains(&name))
                        .then(|| "not in use at its share yet".to_string());
                    (Stage::Back, Vec::new(), why)
                }
                Stage::Back | Stage::Skipped => continue,
            };
            match why {
                Some(why) => {
                    let took_s = seen.now_ms.saturating_sub(row.since_ms) / 1000;
                    let late = took_s > u64::from(row.limit_s);
                    let why = if late {
                        format!("late, {took_s} s of {}: {why}", row.limit_s)
                    } else {
                        why
                    };
                    waits.push(BlockedMachine {
                        plan: row.plan,
                        machine: name,
                        why,
                    });
                }
                None => {
                    told |= to == Stage::Told;
                    let (plan, machine, entered) = (row.plan, row.machine.clone(), row.entered);
                    due.push(CommandKind::Step {
                        plan,
                        machine,
                        entered,
                        to,
                        by,
                    });
                }
            }
        }
        (due, waits)
    }
}
