//! Counters of one member.

/// Counters since the start of the process.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct Metrics {
    /// Datagrams received.
    pub datagrams_in: u64,
    /// Datagrams sent.
    pub datagrams_out: u64,
    /// Bytes received in datagrams.
    pub bytes_in: u64,
    /// Bytes sent in datagrams.
    pub bytes_out: u64,
    /// Push/pull packets received, replies included.
    pub push_pulls: u64,
    /// Push/pull exchanges that could not be made or had no reply.
    pub push_pulls_failed: u64,
    /// Packets with a wrong checksum.
    pub corrupt: u64,
    /// Packets of another group.
    pub other_group: u64,
    /// Packets of another protocol version.
    pub other_version: u64,
    /// Packets that could not be decoded or had an invalid value.
    pub undecodable: u64,
    /// Pings for another name than this member's.
    pub misdirected: u64,
    /// Probes made by this member.
    pub probes: u64,
    /// Probes without an ack.
    pub probes_failed: u64,
    /// Suspicions that began here.
    pub suspicions: u64,
    /// Members that this member declared failed.
    pub failures: u64,
    /// Assertions of this member's failure that it refuted.
    pub refutations: u64,
    /// Stalls of this process.
    pub stalls: u64,
    /// Other processes with this member's name.
    pub name_conflicts: u64,
    /// Drain hints that were applied.
    pub drain_hints_applied: u64,
    /// Drain hints beyond the largest part of the fleet.
    pub drain_hints_over_limit: u64,
}
