//! How clients use connections.
use serde::{Deserialize, Serialize};

const MAX_CONNECTIONS: usize = 100_000;
const MAX_PIPELINING: usize = 10_000;

/// How clients use connections.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
#[serde(deny_unknown_fields, default)]
pub struct ClientBehavior {
    /// Largest number of kept connections to each balancer.
    pub connections: usize,
    /// Largest number of open requests on one of them; above 1 they are pipelined.
    pub pipelining: usize,
    /// Part of the requests on a connection of their own.
    pub one_shot: f64,
    /// Number of connections that are opened and send nothing.
    pub idle: usize,
    /// Number of connections that request much and read little of it.
    pub slow_readers: usize,
}

impl Default for ClientBehavior {
    fn default() -> Self {
        ClientBehavior {
            connections: 64,
            pipelining: 1,
            one_shot: 0.0,
            idle: 0,
            slow_readers: 0,
        }
    }
}

/// A value out of its range.
#[derive(Clone, Copy, Debug, PartialEq, Eq, thiserror::Error)]
pub enum BehaviorError {
    /// `connections` is out of range.
    #[error("connections: must be between 1 and 100,000")]
    Connections,
    /// `pipelining` is out of range.
    #[error("pipelining: must be between 1 and 10,000")]
    Pipelining,
    /// `one_shot` is out of range.
    #[error("one_shot: must be between 0 and 1")]
    OneShot,
}

impl ClientBehavior {
    /// Checks the values.
    ///
    /// # Errors
    ///
    /// The first value that is out of its range.
    pub fn validate(&self) -> Result<(), BehaviorError> {
        if !(1..=MAX_CONNECTIONS).contains(&self.connections) {
            return Err(BehaviorError::Connections);
        }
        if !(1..=MAX_PIPELINING).contains(&self.pipelining) {
            return Err(BehaviorError::Pipelining);
        }
        if !(0.0..=1.0).contains(&self.one_shot) {
            return Err(BehaviorError::OneShot);
        }
        Ok(())
    }
}
