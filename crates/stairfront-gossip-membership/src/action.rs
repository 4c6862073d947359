//! Outputs of the core: actions for its driver, and events for the log.
use std::net::SocketAddr;

use stairfront_common::time::Micros;

use crate::cordon_set::CordonSetFull;
use crate::packet::PacketError;
use crate::quorum::QuorumStatus;

/// An action for the driver. Actions are to be done in their order.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Action {
    /// Send a datagram.
    Send {
        /// Receiver.
        to: SocketAddr,
        /// Content.
        bytes: Vec<u8>,
    },
    /// Send a packet by stream, and hand in the reply.
    PushPull {
        /// Receiver.
        with: SocketAddr,
        /// Packet.
        bytes: Vec<u8>,
    },
    /// Send a packet by stream, without a reply.
    Stream {
        /// Receiver.
        to: SocketAddr,
        /// Packet.
        bytes: Vec<u8>,
    },
    /// Deliver a message to another part of the program.
    DeliverPayload {
        /// Member that sent the message.
        from: String,
        /// Message.
        bytes: Vec<u8>,
    },
    /// Write the record of the cordon set, before the actions that follow.
    WriteRecord,
    /// Have the engine cordon a cache host, or end its cordon; then call `cordon_applied`.
    Cordon {
        /// The cache host.
        host: String,
        /// Whether the host is to be cordoned.
        cordoned: bool,
    },
    /// Have the engine stop new requests to a host because of a drain hint, or decide by its own list again.
    DrainHint {
        /// The cache host.
        host: String,
        /// Whether new requests are to stop.
        stop: bool,
    },
    /// Ask discovery for its list at once: another member has a newer one.
    PollDiscovery,
    /// Log an event.
    Log(Event),
}

/// Origin of an assertion about a member.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Evidence {
    /// A packet of the member itself.
    OwnStatement,
    /// Gossip from another member.
    Gossip {
        /// Member that sent it.
        from: String,
    },
    /// A failed probe by this member.
    ProbeTimeout {
        /// Time since the probe was sent.
        after: Micros,
        /// Members that were asked for an indirect probe.
        helpers: Vec<String>,
    },
}

/// Kind of a transition to alive.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum AliveTransition {
    /// The member was not known.
    Joined,
    /// Another process has the member's name now.
    Restarted,
    /// The member has refuted a suspicion.
    Refuted,
    /// The member had failed or left.
    Recovered,
}

/// Change of another member's state.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum MemberChange {
    /// The member is alive.
    Alive {
        /// Its address.
        address: SocketAddr,
        /// Kind of the change.
        transition: AliveTransition,
        /// Origin of the assertion.
        evidence: Evidence,
    },
    /// The member is suspected.
    Suspect {
        /// Origin of the assertion.
        evidence: Evidence,
    },
    /// The member has failed.
    Failed {
        /// Time for which it was suspected.
        suspected_for: Micros,
        /// Members that suspected it.
        suspected_by: Vec<String>,
    },
    /// The member has left on purpose.
    Left {
        /// Origin of the assertion.
        evidence: Evidence,
    },
}

/// Change of the group's treatment of a cache host.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum HostChange {
    /// The group has cordoned the host.
    Cordoned,
    /// The group has lifted all its cordons of the host.
    Uncordoned,
    /// New requests to the host stop because another member's list says that it drains.
    DrainHint {
        /// Index of the other member's list.
        index: u64,
        /// The other member.
        by: String,
        /// Longest time for which requests stop.
        ttl: Micros,
    },
}

/// A change that operators may want to see.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Event {
    /// Another member's state has changed.
    Member {
        /// Name of the member.
        member: String,
        /// The change.
        change: MemberChange,
    },
    /// The group's treatment of a cache host has changed.
    Host {
        /// The cache host.
        host: String,
        /// The change.
        change: HostChange,
    },
    /// The quorum status has changed.
    QuorumChanged {
        /// The new status.
        status: QuorumStatus,
        /// Roster members that are alive without doubt, this one included.
        confirmed: usize,
        /// Members of the roster.
        roster: usize,
    },
    /// The process did not run for a while; its view of the group is outdated.
    Stalled {
        /// Time for which it did not run.
        duration: Micros,
    },
    /// Another process has this member's name.
    NameConflictBegan {
        /// The name.
        name: String,
        /// Address of the other process.
        other: SocketAddr,
        /// Whether the other process keeps the name, since it started first.
        other_keeps_name: bool,
    },
    /// The other process with this member's name has ended.
    NameConflictEnded {
        /// The name.
        name: String,
    },
    /// Packets of a kind that is not accepted; one event for many packets.
    PacketsRejected {
        /// The reason of the latest.
        error: PacketError,
        /// Number of packets with this kind of reason.
        count: u64,
    },
    /// A cordon of the group found no room.
    CordonRejected {
        /// The reason.
        error: CordonSetFull,
    },
}
