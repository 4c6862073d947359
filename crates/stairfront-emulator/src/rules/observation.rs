//! Observations of clients, servers and the experiment's driver, from which the checker judges.
use stairfront_common::time::Micros;

/// An answer as a client sees it.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum ClientAnswer {
    /// A value.
    Value {
        /// Whether it was made for this request.
        own: bool,
    },
    /// Rejected.
    Rejected,
    /// An error.
    Failed,
}

/// The state of a host as discovery announces it.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum AnnouncedState {
    /// It takes requests.
    Serving,
    /// It drains, or is not in the list any more.
    Draining,
}

/// One observation. Requests and attempts have ids, hosts and balancers are positions.
#[derive(Clone, Copy, Debug, PartialEq)]
pub enum Observation {
    /// A client sent a request to a balancer.
    RequestSent {
        /// The request.
        id: u64,
        /// Position of its class.
        class: u8,
        /// The balancer.
        balancer: u16,
        /// Until when the client waits.
        deadline: Micros,
    },
    /// A client received an answer completely.
    Answered {
        /// The request.
        id: u64,
        /// The answer.
        answer: ClientAnswer,
    },
    /// A client received a complete answer on a connection that had no unanswered request.
    UnsolicitedAnswer {
        /// The balancer.
        balancer: u16,
    },
    /// A connection ended without an answer.
    ConnectionLost {
        /// The request.
        id: u64,
    },
    /// The client closed the connection.
    ClientClosed {
        /// The request.
        id: u64,
    },
    /// A server received an attempt completely.
    AttemptStarted {
        /// The attempt.
        attempt: u64,
        /// Its request.
        id: u64,
        /// The server.
        host: u16,
        /// The balancer that sent it.
        balancer: u16,
    },
    /// A server answered an attempt, or the balancer closed its connection.
    AttemptEnded {
        /// The attempt.
        attempt: u64,
        /// Its request.
        id: u64,
        /// Whether the server executed it.
        executed: bool,
    },
    /// A request took effect; a repeat that was dropped under its idempotency key does not.
    EffectApplied {
        /// The request.
        id: u64,
    },
    /// Discovery's agent sent a host's state to a balancer.
    Notified {
        /// The balancer.
        balancer: u16,
        /// The host.
        host: u16,
        /// The host's state.
        state: AnnouncedState,
    },
    /// A host crashed because it was overloaded while cold.
    HostCrashed {
        /// The host.
        host: u16,
    },
    /// A cold host had no value for a request.
    ColdMiss {
        /// The request.
        id: u64,
    },
    /// The origin stopped because it was overloaded. The checker finds out which fraction of its requests came from cold
    /// misses.
    OriginStopped,
    /// The group confirmed the cordon of a host, or its removal began.
    Cordoned {
        /// The host.
        host: u16,
        /// The balancer that may send it nothing new; none for all balancers.
        balancer: Option<u16>,
        /// Whether the host is cordoned now.
        cordoned: bool,
    },
    /// A balancer's process was paused or resumed. A request that it holds meanwhile is excused.
    BalancerPaused {
        /// The balancer.
        balancer: u16,
        /// Whether it is paused now.
        paused: bool,
    },
    /// A balancer was killed, or has ended as ordered. A request that it held is excused.
    BalancerStopped {
        /// The balancer.
        balancer: u16,
    },
}
