//! Fleets, plans, and a log of commands that are committed one after the other.
use stairfront_maintenance::{
    AvailabilityBudget, Balancer, Command, CommandError, CommandKind, CompletedBy, Fleet, Host,
    Maintenance, Plan,
};

pub fn fleet(hosts: usize, zones: usize, balancers: usize) -> Fleet {
    let host = |i: usize| Host {
        name: format!("c{i:02}"),
        zone: format!("z{}", i % zones),
        deduplication_group: (i / 4) as u16,
        is_serving: true,
        started_ms: 0,
    };
    let balancer = |i: usize| Balancer {
        name: format!("b{i}"),
        is_present: true,
        has_left: false,
        is_voter: i < 3,
        is_leader: i == 0,
        process_id: i as u64 + 1,
    };
    Fleet {
        hosts: (0..hosts).map(host).collect(),
        balancers: (0..balancers).map(balancer).collect(),
        fault: None,
    }
}

pub fn plan(kinds: &[&str], max_out: u32) -> Plan {
    Plan {
        machines: Vec::new(),
        zones: Vec::new(),
        kinds: kinds.iter().map(|kind| kind.to_string()).collect(),
        max_out,
        availability: AvailabilityBudget {
            zone: 0.5,
            fleet: 0.6,
        },
        completed_by: CompletedBy::Operator,
        confirm_timeout_s: 60,
        drain_timeout_s: 60,
        work_timeout_s: 60,
        warm_up_timeout_s: 60,
        reason: "disks".to_string(),
        author: "ann".to_string(),
    }
}

#[derive(Clone)]
pub struct LogEntry {
    pub index: u64,
    pub term: u64,
    pub command: Vec<u8>,
}

pub struct CommandLog {
    pub index: u64,
    pub term: u64,
    last_command: u64,
    pub entries: Vec<LogEntry>,
    pub state: Maintenance,
}

impl CommandLog {
    pub fn with_fleet(fleet: Fleet) -> CommandLog {
        let mut log = CommandLog {
            index: 1,
            term: 1,
            last_command: 0,
            entries: Vec::new(),
            state: Maintenance::default(),
        };
        log.commit(CommandKind::Fleet(fleet)).unwrap();
        log
    }

    /// Commits a command of the present term: the index of its entry, or why it changed nothing.
    pub fn commit(&mut self, kind: CommandKind) -> Result<u64, CommandError> {
        self.commit_of_term(self.term, kind)
    }

    /// The same for a command that was given in some term.
    pub fn commit_of_term(&mut self, given: u64, kind: CommandKind) -> Result<u64, CommandError> {
        self.last_command += 1;
        self.index += 1;
        let command = Command {
            id: self.last_command,
            at_ms: self.index * 100,
            term: given,
            via: "b0".to_string(),
            author: "ann".to_string(),
            kind,
        };
        let bytes = command.encode();
        let applied = self.state.apply(self.index, self.term, &bytes);
        assert_eq!(applied, Some(self.last_command));
        self.entries.push(LogEntry {
            index: self.index,
            term: self.term,
            command: bytes,
        });
        let outcome = self.state.outcome(self.last_command).unwrap();
        outcome.result.clone()
    }
}
