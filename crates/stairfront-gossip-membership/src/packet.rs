//! Packets between members: a header with the protocol version, the group and a checksum, then a sender and a body, encoded
//! by postcard, then as many gossip items as fit. A packet that cannot be decoded is an error, never part of a message.
//!
//! The checksum guards against accidents, not against an attacker who knows the group's name.
use std::net::SocketAddr;

use serde::{Deserialize, Serialize};
use xxhash_rust::xxh3::xxh3_64_with_seed;

use crate::assertion::{GossipMessage, Incarnation, StateAssertion, MAX_INCARNATION};
use crate::cordon_set::CordonEntry;
use crate::drain_hints::DrainNotice;
use crate::settings::{is_valid_name, MAX_HOST_BYTES, MAX_NAME_BYTES};

/// Protocol version; raised when members of two versions would misunderstand each other.
pub const VERSION: u8 = 1;
/// Largest datagram, in bytes: it is not fragmented on any network that carries IPv6.
pub const MAX_DATAGRAM_BYTES: usize = 1200;
/// Largest packet on a stream, in bytes: enough for the state of some thousand members and cordons.
pub const MAX_STREAM_BYTES: usize = 256 * 1024;
/// Bytes of the header: version, group id, checksum.
const HEADER_BYTES: usize = 1 + 4 + 8;

/// Sender of a packet, with digests of its view of the group.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Sender {
    /// Name of the member.
    pub name: String,
    /// Address at which others reach it.
    pub address: SocketAddr,
    /// Process that runs under the name.
    pub process_id: u64,
    /// The member's present incarnation.
    pub incarnation: Incarnation,
    /// Digest of its roster.
    pub roster_digest: u64,
    /// Digest of its view of the roster's members.
    pub view_digest: u64,
    /// Digest of its cordon set.
    pub cordon_digest: u64,
    /// Another living process has the same name.
    pub name_conflict: bool,
}

/// Purpose of a packet.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub enum Body {
    /// Direct probe of a member.
    Ping {
        /// Sequence number of the probe at the sender.
        seq: u32,
        /// Name of the probed member: another member at the same address must not answer.
        to: String,
    },
    /// Answer to a ping, or forwarded answer to a ping request.
    Ack {
        /// Sequence number of the ping or the ping request.
        seq: u32,
    },
    /// Request to probe another member (SWIM's ping-req, section 3.1).
    PingRequest {
        /// Sequence number of the probe at the sender.
        seq: u32,
        /// Name of the member to probe.
        target: String,
        /// Address of the member to probe.
        address: SocketAddr,
    },
    /// Answer to a ping request: the target has not answered yet (Lifeguard, section IV.A).
    Nack {
        /// Sequence number of the ping request.
        seq: u32,
    },
    /// Carries items alone.
    Gossip,
    /// Asks for the receiver's cordon set; sent by a process that starts.
    CordonQuery,
    /// One page of a cordon set; the entries are items.
    CordonPage {
        /// Number of the page, from 0.
        page: u16,
        /// Number of pages.
        pages: u16,
    },
    /// Asks for a confirmation once the engine has applied the cordon entries among the items.
    CordonOrder {
        /// Number of the order at the sender.
        number: u64,
    },
    /// The engine of the sender has applied an order.
    CordonAck {
        /// Number of the order at the receiver.
        number: u64,
    },
    /// Another process with the receiver's name runs at the sender.
    NameConflict {
        /// Start of the sender's process in Unix milliseconds.
        started_unix_ms: u64,
    },
    /// All assertions and cordons that the sender knows.
    PushPull {
        /// Whether this is the answer to such a packet, which has no answer itself.
        reply: bool,
    },
    /// Message of another part of the program, without an answer.
    Payload {
        /// The message.
        bytes: Vec<u8>,
    },
}

/// Unit of gossip, carried behind any body.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub enum Item {
    /// Assertion about a member.
    Member(GossipMessage),
    /// Entry of the cordon set.
    Cordon(CordonEntry),
    /// Drain of a cache host.
    Drain(DrainNotice),
}

/// A decoded packet.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Packet {
    /// Sender of the packet.
    pub from: Sender,
    /// Purpose of the packet.
    pub body: Body,
    /// Gossip behind the body.
    pub items: Vec<Item>,
}

/// Reason why a packet is not accepted.
#[derive(Clone, Copy, Debug, PartialEq, Eq, thiserror::Error)]
pub enum PacketError {
    /// The packet is shorter than a header or longer than allowed.
    #[error("size of {0} bytes")]
    Size(usize),
    /// The packet has another protocol version.
    #[error("protocol version {0}, not {VERSION}")]
    Version(u8),
    /// The packet belongs to another group.
    #[error("of another group")]
    Group,
    /// The checksum does not match.
    #[error("wrong checksum")]
    Checksum,
    /// The content cannot be decoded.
    #[error("not decodable")]
    Encoding,
    /// A name, an incarnation or an address is out of its range.
    #[error("invalid name, incarnation or address")]
    Value,
}

/// Identity of a group in the header of its packets.
#[must_use]
pub fn group_id(group: &str) -> u32 {
    xxh3_64_with_seed(group.as_bytes(), u64::from(VERSION)) as u32
}

fn checksum(group_id: u32, content: &[u8]) -> u64 {
    xxh3_64_with_seed(content, u64::from(group_id))
}

/// Encoder of one packet.
pub struct PacketWriter {
    group_id: u32,
    bytes: Vec<u8>,
    max_bytes: usize,
}

impl PacketWriter {
    /// Begins a packet of at most `max_bytes`.
    #[must_use]
    pub fn new(group_id: u32, from: &Sender, body: &Body, max_bytes: usize) -> Self {
        let mut bytes = vec![0; HEADER_BYTES];
        // Strings, numbers and lists always have a postcard form.
        bytes.extend(postcard::to_stdvec(&(from, body)).unwrap_or_default());
        PacketWriter {
            group_id,
            bytes,
            max_bytes,
        }
    }

    /// Adds an item; false, and no change, if it does not fit.
    pub fn add(&mut self, item: &Item) -> bool {
        let Ok(bytes) = postcard::to_stdvec(item) else {
            return false;
        };
        let fits = self.bytes.len() + bytes.len() <= self.max_bytes;
        if fits {
            self.bytes.extend(bytes);
        }
        fits
    }

    /// Whether the packet so far is within its size.
    #[must_use]
    pub fn fits(&self) -> bool {
        self.bytes.len() <= self.max_bytes
    }

    /// The packet's bytes.
    #[must_use]
    pub fn finish(mut self) -> Vec<u8> {
        let checksum = checksum(self.group_id, &self.bytes[HEADER_BYTES..]);
        self.bytes[0] = VERSION;
        self.bytes[1..5].copy_from_slice(&self.group_id.to_le_bytes());
        self.bytes[5..HEADER_BYTES].copy_from_slice(&checksum.to_le_bytes());
        self.bytes
    }
}

impl Packet {
    /// Decodes a packet of this group.
    ///
    /// # Errors
    ///
    /// If the packet belongs to another group or version, is corrupt, or has a value out of its range.
    pub fn read(group_id: u32, bytes: &[u8], max_bytes: usize) -> Result<Packet, PacketError> {
        let content = check_header(group_id, bytes, max_bytes)?;
        // Postcard compares a string's length with the remaining bytes before it allocates.
        let ((from, body), mut rest) = postcard::take_from_bytes::<(Sender, Body)>(content)
            .map_err(|_| PacketError::Encoding)?;
        let mut items = Vec::new();
        while !rest.is_empty() {
            let (item, remaining) =
                postcard::take_from_bytes::<Item>(rest).map_err(|_| PacketError::Encoding)?;
            items.push(item);
            rest = remaining;
        }
        let packet = Packet { from, body, items };
        if packet.is_valid() {
            Ok(packet)
        } else {
            Err(PacketError::Value)
        }
    }

    fn is_valid(&self) -> bool {
        self.from.is_valid() && self.body.is_valid() && self.items.iter().all(Item::is_valid)
    }
}

/// Checks the header; returns the content behind it.
fn check_header(group_id: u32, bytes: &[u8], max_bytes: usize) -> Result<&[u8], PacketError> {
    if !(HEADER_BYTES..=max_bytes).contains(&bytes.len()) {
        return Err(PacketError::Size(bytes.len()));
    }
    if bytes[0] != VERSION {
        return Err(PacketError::Version(bytes[0]));
    }
    if bytes[1..5] != group_id.to_le_bytes() {
        return Err(PacketError::Group);
    }
    let (header, content) = bytes.split_at(HEADER_BYTES);
    if header[5..] != checksum(group_id, content).to_le_bytes() {
        return Err(PacketError::Checksum);
    }
    Ok(content)
}

fn is_member_name(name: &str) -> bool {
    is_valid_name(name, MAX_NAME_BYTES)
}

fn is_host_name(name: &str) -> bool {
    is_valid_name(name, MAX_HOST_BYTES)
}

fn is_reachable_address(address: &SocketAddr) -> bool {
    address.port() > 0 && !address.ip().is_unspecified()
}

impl Sender {
    fn is_valid(&self) -> bool {
        is_member_name(&self.name)
            && is_reachable_address(&self.address)
            && self.incarnation < MAX_INCARNATION
    }
}

impl Body {
    fn is_valid(&self) -> bool {
        match self {
            Body::Ping { to, .. } => is_member_name(to),
            Body::PingRequest {
                target, address, ..
            } => is_member_name(target) && is_reachable_address(address),
            _ => true,
        }
    }
}

impl Item {
    fn is_valid(&self) -> bool {
        match self {
            Item::Member(message) => message.is_valid(),
            Item::Cordon(entry) => is_member_name(&entry.tag.author) && is_host_name(&entry.host),
            Item::Drain(notice) => is_member_name(&notice.by) && is_host_name(&notice.host),
        }
    }
}

impl GossipMessage {
    fn is_valid(&self) -> bool {
        let is_valid_assertion = match &self.assertion {
            StateAssertion::Alive { address, .. } => is_reachable_address(address),
            StateAssertion::Suspect { by } | StateAssertion::Failed { by } => is_member_name(by),
            StateAssertion::Left => true,
        };
        is_valid_assertion && is_member_name(&self.member) && self.incarnation < MAX_INCARNATION
    }
}
