//! The counters of a balancer: what it has read, sent and answered. They are printed at the end of the process and on
//! `INFO`; the names of the fields are those of the `INFO` lines.
use std::cell::Cell;
use std::fmt;

use stairfront_policy::interface::Outcome;

macro_rules! counters {
    ($($(#[$doc:meta])* $name:ident),* $(,)?) => {
        /// All counters of one process.
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
    /// Requests read as a whole from clients.
    taken_in,
    /// Requests answered with a value.
    served,
    /// Requests that the decision module has refused.
    refused,
    /// Requests answered with a failure.
    failed,
    /// Requests whose client left before the answer.
    client_gone,
    /// Requests refused before a decision, for want of memory or of a permit for their connection.
    over_cap,
    /// Requests refused because this balancer itself was behind.
    shed,
    /// The longest delay of the event loop in the last measurement, in microseconds.
    loop_behind_us,
    /// The fraction of requests that is admitted, in thousandths.
    taking_permille,
    /// Commands answered with an error of this balancer's own.
    rejected,
    /// Connections ended for malformed input.
    malformed,
    /// Attempts that were dispatched.
    attempts_sent,
    /// Attempts that ended with a value.
    attempts_served,
    /// Attempts that ended with a miss.
    attempts_missed,
    /// Attempts that ended with an error of the server.
    attempts_errored,
    /// Attempts that the server refused.
    attempts_full,
    /// Attempts that timed out.
    attempts_timed_out,
    /// Attempts for which no connection could be made.
    attempts_connect_failed,
    /// Attempts whose connection ended before the reply.
    attempts_reset,
    /// Attempts whose reply was malformed.
    attempts_spoilt,
    /// Attempts that were cancelled.
    attempts_cancelled,
    /// Attempts of which nothing was sent.
    attempts_moot,
    /// Large values that were forwarded in chunks.
    streams,
    /// Large values that could not be completed.
    streams_broken,
    /// Endpoint lists from discovery.
    lists_heard,
    /// Calls to discovery that brought no list.
    lists_failed,
    /// New configurations that were taken over.
    reloads,
    /// New configurations with an error, which changed nothing.
    reloads_faulty,
    /// Cache hosts that are cordoned.
    cordoned,
    /// Panics of the decision module.
    decision_panics,
    /// Client connections accepted in all.
    client_connections_accepted,
    /// Client connections open now.
    client_connections_open,
    /// Client connections handed over to the process that took over from this one.
    client_connections_handed,
    /// Client connections closed because they brought no whole command, or none for long.
    client_connections_idled,
    /// Connections to servers opened in all.
    server_connections_opened,
    /// Connections to servers open now.
    server_connections_open,
    /// Connections to servers ended because more came on them than an answer.
    server_connections_surplus,
}

/// Ends of attempts at the origin. Maintenance continues only while the origin serves well.
#[derive(Debug, Default)]
pub struct OriginUsage {
    /// Attempts that have ended, but for those never sent or cancelled.
    pub ended: Counter,
    /// Attempts that were refused, failed or brought no answer.
    pub unserved: Counter,
}

impl OriginUsage {
    /// Counts the end of an attempt at the origin.
    pub fn count_end(&self, outcome: Outcome) {
        match outcome {
            // The origin was not asked, or its answer was not waited for.
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
    /// Adds one.
    pub fn add(&self) {
        self.0.set(self.0.get() + 1);
    }

    /// Takes one off.
    pub fn sub(&self) {
        self.0.set(self.0.get().saturating_sub(1));
    }

    /// Sets a value that is measured and not counted.
    pub fn set(&self, value: u64) {
        self.0.set(value);
    }

    /// The value.
    pub fn get(&self) -> u64 {
        self.0.get()
    }
}

impl Counters {
    /// Counts the end of an attempt.
    pub fn count_end(&self, outcome: Outcome) {
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
