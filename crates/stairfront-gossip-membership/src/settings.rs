//! What a member is told at its start, and the times by which the group goes.
use std::net::SocketAddr;

/// Microseconds of a clock that only goes forward.
pub type Micros = i64;
pub const MS: Micros = 1000;
pub const SECOND: Micros = 1_000_000;

/// Members that a roster may name. A full table then takes some 30 KB in an exchange.
pub const MAX_ROSTER: usize = 512;
/// Members known beside the roster: those of a configuration that differs.
pub const MAX_OTHERS: usize = 64;
/// A member's name, and a cache host's, in bytes; a datagram has room for some of them.
pub const MAX_NAME_BYTES: usize = 64;
pub const MAX_HOST_BYTES: usize = 255;

/// Lengths of time. The defaults together have a killed one of 60 members called failed within 5 s by all of them.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Timing {
    /// Between two probes of a member's own (SWIM's protocol period).
    pub probe: Micros,
    /// For a direct answer, before others are asked to probe; what is left of the period is theirs. It has to hold
    /// there and back, with jitter.
    pub answer: Micros,
    /// Least time between suspicion and failure in a group of one; half as much more for each tenfold.
    pub suspicion: Micros,
    /// Between two full exchanges with a member by chance.
    pub exchange: Micros,
    /// How long hearsay of a drain keeps new work from a host that one's own list says nothing of.
    pub hearsay: Micros,
    /// After it a member that the roster does not name, and that has failed or left, is forgotten.
    pub forget: Micros,
}

impl Default for Timing {
    fn default() -> Self {
        Timing {
            probe: 400 * MS,
            answer: 150 * MS,
            suspicion: 1000 * MS,
            exchange: 10 * SECOND,
            hearsay: 5 * SECOND,
            forget: 600 * SECOND,
        }
    }
}

#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Settings {
    pub group: String,
    pub me: String,
    /// Where the others reach this one.
    pub advertise: SocketAddr,
    /// Where some of the others are reached, to begin with.
    pub seeds: Vec<SocketAddr>,
    /// The members that there are to be, this one among them; the same in all files.
    pub roster: Vec<String>,
    pub times: Timing,
    /// Of this process alone: tells it from the one before it, and from another of its name.
    pub run: u64,
    /// Unix time of the start in milliseconds: the first incarnation.
    pub born_ms: u64,
    pub seed: u64,
}

/// What is wrong with a configuration, by key.
pub type SettingsFault = (&'static str, String);

impl Settings {
    pub fn faults(&self) -> Vec<SettingsFault> {
        let mut found = Vec::new();
        let mut must = |good: bool, key: &'static str, problem: &str| {
            if !good {
                found.push((key, problem.to_string()));
            }
        };
        let fit = |name: &String| is_name(name, MAX_NAME_BYTES);
        must(
            fit(&self.group),
            "group",
            "must be a name of 1 to 64 bytes without control characters",
        );
        let good = (1..=MAX_ROSTER).contains(&self.roster.len()) && self.roster.iter().all(fit);
        must(
            good,
            "roster",
            "must be 1 to 512 names of 1 to 64 bytes each",
        );
        let mut sorted = self.roster.clone();
        sorted.sort();
        let twice = sorted.windows(2).find(|pair| pair[0] == pair[1]);
        must(
            twice.is_none(),
            "roster",
            &format!("names {:?} twice", twice.map_or("", |pair| &pair[0])),
        );
        let named = self.roster.contains(&self.me);
        must(
            named,
            "roster",
            &format!("does not name this balancer ({:?})", self.me),
        );
        must(self.seeds.len() <= 64, "seeds", "64 at most");
        must(
            self.seeds.iter().all(|seed| seed.port() > 0),
            "seeds",
            "an address with port 0 reaches nobody",
        );
        let reached = self.advertise.port() > 0 && !self.advertise.ip().is_unspecified();
        must(
            reached,
            "advertise",
            "must be an address and a port that the others can reach",
        );
        let Timing {
            probe,
            answer,
            suspicion,
            exchange,
            hearsay,
            forget,
        } = self.times;
        must(
            (100 * MS..=60 * SECOND).contains(&probe),
            "probe_ms",
            "must be between 100 and 60,000",
        );
        must(
            answer >= 20 * MS && answer * 2 <= probe,
            "answer_ms",
            "must be from 20 to half of probe_ms",
        );
        must(
            suspicion >= probe && suspicion <= 600 * SECOND,
            "suspicion_ms",
            "must be from probe_ms to 600,000",
        );
        must(
            (SECOND..=3600 * SECOND).contains(&exchange),
            "exchange_ms",
            "must be between 1,000 and an hour",
        );
        must(
            (100 * MS..=60 * SECOND).contains(&hearsay),
            "hearsay_ms",
            "must be between 100 and 60,000",
        );
        let good = (10 * SECOND..=30 * 86_400 * SECOND).contains(&forget);
        must(good, "forget_ms", "must be from 10,000 up");
        found
    }
}

/// Danger: a line break in a name would forge a line of the log.
pub fn is_name(name: &str, longest: usize) -> bool {
    (1..=longest).contains(&name.len()) && !name.chars().any(char::is_control)
}
