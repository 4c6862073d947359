//! Records for a balancer's log.
use std::fmt;

use stairfront_common::time::{Micros, MS};

use super::{CacheId, Outcome};

/// A log record. Its `Display` is the text of the log line, which operators' pages quote.
#[derive(Clone, Copy, Debug, PartialEq)]
pub enum LogRecord {
    /// The concurrency limit of a server fell below one or rose to it, or that of the origin was
    /// cut.
    ServerWindow {
        /// The server.
        cache: CacheId,
        /// The new limit.
        window: f64,
        /// Outcome of the attempt that changed it.
        outcome: Outcome,
    },
    /// Connections that were idle for so long turn out to be dropped unseen.
    IdleConnectionsLost {
        /// How long the last of them was idle.
        idle: Micros,
    },
    /// Load shedding of traffic beyond the tenants' shares starts or ends.
    OverShareShedding {
        /// It starts.
        active: bool,
    },
    /// Rejection of likely misses, to protect the origin, starts or ends.
    MissRejection {
        /// It starts.
        active: bool,
    },
}

impl fmt::Display for LogRecord {
    fn fmt(&self, formatter: &mut fmt::Formatter<'_>) -> fmt::Result {
        match self {
            LogRecord::ServerWindow {
                cache,
                window,
                outcome,
            } => {
                let id = cache.0;
                let change = if *window < 1.0 { "rests" } else { "is in use" };
                write!(
                    formatter,
                    "server {id:012x} {change}, window {window:.1} after {outcome:?}"
                )
            }
            LogRecord::IdleConnectionsLost { idle } => {
                write!(formatter, "connections idle for {} ms get lost", idle / MS)
            }
            LogRecord::OverShareShedding { active } => {
                let change = start_or_end(*active);
                write!(formatter, "shedding over-share traffic {change}")
            }
            LogRecord::MissRejection { active } => {
                let change = start_or_end(*active);
                write!(formatter, "refusing most likely misses {change}")
            }
        }
    }
}

fn start_or_end(active: bool) -> &'static str {
    if active {
        "starts"
    } else {
        "ends"
    }
}
