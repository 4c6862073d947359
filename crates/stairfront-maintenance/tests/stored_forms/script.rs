//! A fixed script of commands after which plans are in all stages.
use std::collections::BTreeMap;

use stairfront_maintenance::{
    Command, CommandError, CommandKind, CompletedBy, Fleet, Machine, Maintenance, Plan, Stage,
};

use crate::{fleet, plan, strings};

const TERM: u64 = 17;

struct Script {
    state: Maintenance,
    index: u64,
    /// The entry by which a machine of a plan came to its stage.
    entered: BTreeMap<(u64, String), u64>,
}

impl Script {
    fn commit(&mut self, kind: CommandKind) -> Result<u64, CommandError> {
        self.index += 1;
        let id = 7000 + self.index;
        let command = Command {
            id,
            at_ms: 90_000 + self.index,
            term: TERM,
            via: "b3".to_string(),
            author: "bob".to_string(),
            kind,
        };
        let applied = self.state.apply(self.index, TERM, &command.encode());
        assert_eq!(applied, Some(id));
        self.state.outcome(id).unwrap().result.clone()
    }

    fn submit(&mut self, plan: Plan) -> u64 {
        self.commit(CommandKind::Submit(plan)).unwrap()
    }

    fn step(&mut self, plan: u64, machine: &Machine, to: Stage) -> Result<u64, CommandError> {
        let key = (plan, machine.name().to_string());
        let entered = *self.entered.get(&key).unwrap_or(&plan);
        let index = self.commit(CommandKind::Step {
            plan,
            machine: machine.clone(),
            entered,
            to,
            confirmed_by: strings(&["b0", "b1", "b2", "b3"]),
        })?;
        self.entered.insert(key, index);
        Ok(index)
    }

    /// Takes the next cache host of a plan out, up to a stage.
    fn take_out(&mut self, plan: u64, machines: &[&str], stages: &[Stage]) -> String {
        let next = machines.iter().find(|name| {
            let machine = Machine::Cache(name.to_string());
            self.step(plan, &machine, Stage::Notified).is_ok()
        });
        let next = next.expect("one of them may be taken out").to_string();
        let machine = Machine::Cache(next.clone());
        for stage in stages {
            self.step(plan, &machine, *stage).unwrap();
        }
        next
    }

    fn complete(&mut self, plan: u64, machine: &str) -> u64 {
        let machine = machine.to_string();
        self.commit(CommandKind::Done { plan, machine }).unwrap()
    }

    fn force(&mut self, plan: u64, machine: &str, member: &str) {
        let command = CommandKind::Force {
            plan,
            machine: machine.to_string(),
            member: member.to_string(),
        };
        self.commit(command).unwrap();
    }

    /// A plan with machines in each stage.
    fn first_plan(&mut self) {
        let machines = ["c00", "c01", "c02", "c03", "c04", "c05", "c06", "c07"];
        let number = self.submit(plan(&machines, &[], &[]));
        let until_out = [Stage::Draining, Stage::Out];
        let returned = self.take_out(number, &machines, &until_out);
        let index = self.complete(number, &returned);
        self.entered.insert((number, returned.clone()), index);
        self.step(number, &Machine::Cache(returned), Stage::Returned)
            .unwrap();
        let warming_up = self.take_out(number, &machines, &until_out);
        self.complete(number, &warming_up);
        self.take_out(number, &machines, &until_out);
        let draining = self.take_out(number, &machines, &[Stage::Draining]);
        self.force(number, &draining, "b2");
        let notified = self.take_out(number, &machines, &[]);
        self.force(number, &notified, "b1");
        self.force(number, &notified, "b2");
        self.skip_last_waiting(number);
    }

    fn skip_last_waiting(&mut self, plan: u64) {
        let view = self.state.view();
        let mut machines = view.plans[0].machines.iter().rev();
        let waiting = machines.find(|machine| machine.stage == Stage::Waiting);
        let machine = waiting.unwrap().machine.clone();
        self.commit(CommandKind::Skip { plan, machine }).unwrap();
    }

    /// A plan that an operator holds.
    fn held_plan(&mut self) {
        let number = self.submit(Plan {
            max_out: 1,
            completed_by: CompletedBy::Restart,
            ..plan(&["b3"], &["z1"], &[])
        });
        self.commit(CommandKind::Hold {
            plan: number,
            reason: "lunch".to_string(),
        })
        .unwrap();
    }

    /// A plan that an operator drops while a machine is draining.
    fn dropped_plan(&mut self) {
        let machines = ["c08", "c10", "c12"];
        let number = self.submit(Plan {
            max_out: 2,
            ..plan(&machines, &[], &[])
        });
        self.take_out(number, &machines, &[Stage::Draining]);
        self.commit(CommandKind::Drop { plan: number }).unwrap();
    }

    /// A plan with a balancer that is out.
    fn balancer_plan(&mut self) {
        let number = self.submit(plan(&["b3"], &[], &[]));
        let machine = Machine::Balancer("b3".to_string());
        for stage in [Stage::Notified, Stage::Draining, Stage::Out] {
            self.step(number, &machine, stage).unwrap();
        }
    }

    fn unreadable_command(&mut self) {
        self.index += 1;
        assert_eq!(self.state.apply(self.index, TERM, &[255]), None);
    }
}

/// Plans in all stages, one of them held and one dropped.
pub fn plans_in_all_stages() -> Maintenance {
    let mut script = Script {
        state: Maintenance::default(),
        index: 100,
        entered: BTreeMap::new(),
    };
    script.commit(CommandKind::Fleet(fleet())).unwrap();
    script.first_plan();
    script.held_plan();
    script.dropped_plan();
    script.balancer_plan();
    script
        .commit(CommandKind::Resume { plan: 9999 })
        .unwrap_err();
    script.unreadable_command();
    let faulty_fleet = Fleet {
        fault: Some("queues grow".to_string()),
        ..fleet()
    };
    script.commit(CommandKind::Fleet(faulty_fleet)).unwrap();
    assert_has_all_stages(&script.state);
    script.state
}

fn assert_has_all_stages(state: &Maintenance) {
    let stages = [
        "waiting", "told", "held", "out", "warming", "back", "skipped",
    ];
    let count = state.count_by_stage();
    assert!(
        stages.iter().all(|stage| count.contains_key(stage)),
        "{count:?}"
    );
}
