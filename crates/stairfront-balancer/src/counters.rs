//! What the balancer took in, sent and answered. Printed at the end and on `INFO`.
use std::cell::Cell;
use std::fmt;

use stairfront_policy::interface::Outcome;

macro_rules! counters {
    ($($(#[$doc:meta])* $name:ident),* $(,)?) => {
        #[derive(Debug, Default)]
        pub struct Counters { $($(#[$doc])* pub $name: Counter,)* }

        impl fmt::Display for Counters {
            /// One `name:value` a line, as `INFO` answers of this protocol go.
            fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
                $(write!(f, concat!(stringify!($name), ":{}\r\n"), self.$name.get())?;)*
                Ok(())
            }
        }
    };
}

counters! {
    /// Requests read whole from clients.
    taken_in,
    served,
    refused,
    failed,
    /// Clients that left before their answer.
    client_gone,
    /// Requests turned away before a decision: no room for one more.
    over_cap,
    /// Requests turned away since this balancer itself was behind.
    shed,
    /// The furthest that its loop was behind in the last look, in microseconds, and the part of requests that it takes,
    /// in thousandths.
    loop_behind_us,
    taking_permille,
    /// Commands answered with an error of our own, and connections ended for broken input.
    rejected,
    malformed,
    /// Attempts by how they ended.
    attempts_sent,
    attempts_served,
    attempts_missed,
    attempts_errored,
    attempts_full,
    attempts_timed_out,
    attempts_connect_failed,
    attempts_reset,
    attempts_spoilt,
    attempts_cancelled,
    attempts_moot,
    /// Large values passed on in pieces, and those that could not be brought to their end.
    streams,
    streams_broken,
    lists_heard,
    lists_failed,
    /// New configurations taken over, and those with a fault, which changed nothing.
    reloads,
    reloads_faulty,
    /// Cache hosts that operators have taken out.
    cordoned,
    decision_panics,
    client_connections_accepted,
    client_connections_open,
    /// HandedOverConnection over to the process that took over from this one.
    client_connections_handed,
    /// Closed since they brought no whole command, or none for long.
    client_connections_idled,
    server_connections_opened,
    server_connections_open,
    /// Connections to servers ended since more came than an answer.
    server_connections_surplus,
}

/// What became of attempts at the origin, for whoever takes machines out only while it is well.
#[derive(Debug, Default)]
pub struct OriginUsage {
    pub ended: Counter,
    /// Refused, failed or without an answer.
    pub unserved: Counter,
}

impl OriginUsage {
    pub fn ended(&self, outcome: Outcome) {
        match outcome {
            // Nothing was asked of it, or its answer was not waited for.
            Outcome::NeverSent | Outcome::Cancelled => return,
            Outcome::Served | Outcome::Miss => {}
            _ => self.unserved.add(),
        }
        self.ended.add();
    }
}

/// A number that one thread counts.
#[derive(Debug, Default)]
pub struct Counter(Cell<u64>);

impl Counter {
    pub fn add(&self) {
        self.0.set(self.0.get() + 1);
    }
    pub fn sub(&self) {
        self.0.set(self.0.get().saturating_sub(1));
    }
    /// For figures that are not counted but measured.
    pub fn set(&self, value: u64) {
        self.0.set(value);
    }
    pub fn get(&self) -> u64 {
        self.0.get()
    }
}

impl Counters {
    pub fn ended(&self, outcome: Outcome) {
        match outcome {
            Outcome::Served => &self.attempts_served,
            Outcome::Miss => &self.attempts_missed,
            Outcome::Errored => &self.attempts_errored,
            Outcome::Full => &self.attempts_full,
            Outcome::TimedOut => &self.attempts_timed_out,
            Outcome::ConnectFailed => &self.attempts_connect_failed,
            Outcome::Reset => &self.attempts_reset,
            Outcome::Malformed => &self.attempts_spoilt,
            Outcome::Cancelled => &self.attempts_cancelled,
            Outcome::NeverSent => &self.attempts_moot,
        }
        .add();
    }
}
