//! Why a run failed.
use std::io;

/// An error that ends a run.
#[derive(Debug, thiserror::Error)]
pub enum RunError {
    /// A file, socket, thread or process could not be used.
    #[error(transparent)]
    Io(#[from] io::Error),
    /// A balancer's program could not be started.
    #[error("{program}: {source}")]
    Spawn {
        /// Path of the program.
        program: String,
        /// Why it could not be started.
        source: io::Error,
    },
    /// A balancer was not ready in time, or ended before.
    #[error("balancer {name} does not start: {last_line}")]
    BalancerNotStarted {
        /// Name of the balancer.
        name: String,
        /// Last line of its log.
        last_line: String,
    },
    /// A balancer ended without being told to.
    #[error("balancer {name} has ended by itself")]
    BalancerEnded {
        /// Name of the balancer.
        name: String,
    },
    /// A balancer that was told to stop did not end well, or not in time.
    #[error("balancer {name} did not end well when told to")]
    BalancerNotStopped {
        /// Name of the balancer.
        name: String,
    },
    /// The balancers needed longer to start than the run's delay.
    #[error("the balancers were not ready when the requests were to begin")]
    NotReady,
    /// The thread of the clients ended early.
    #[error("the clients ended")]
    ClientsEnded,
    /// The thread of the checker ended early.
    #[error("the checker ended")]
    CheckerEnded,
    /// Even the lowest rate of the search for the knee was too high.
    #[error("knee: even {rate:.0} requests a second were too much")]
    KneeBelowSearch {
        /// The lowest rate that was tried.
        rate: f64,
    },
}
