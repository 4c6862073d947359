//! Packets between members: a head that tells version, group and spoilt bytes, a body by postcard, and items behind it
//! for as far as they fit. What cannot be read is an error, never a part of a message.
//!
//! The check guards against accidents, not against somebody who knows the group's name.
use std::net::SocketAddr;

use serde::{Deserialize, Serialize};
use xxhash_rust::xxh3::xxh3_64_with_seed;

use crate::claim::{GossipMessage, Incarnation, StateAssertion, MAX_INCARNATION};
use crate::cordons::CordonEntry;
use crate::news::DrainNews;
use crate::settings::{is_name, MAX_HOST_BYTES, MAX_NAME_BYTES};

/// Raised when members would misunderstand each other.
pub const VERSION: u8 = 1;
/// A datagram goes in one piece on any network that carries IPv6.
pub const MAX_DATAGRAM_BYTES: usize = 1200;
/// A full exchange: some thousand members and cordons.
pub const MAX_EXCHANGE_BYTES: usize = 256 * 1024;
/// Version, group, check.
const HEAD: usize = 1 + 4 + 8;

/// Who sends, and what its view is, in every packet.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Sender {
    pub name: String,
    pub address: SocketAddr,
    pub run: u64,
    pub incarnation: Incarnation,
    /// Digests of its roster, of its view of the roster's members, and of its ledger of cordons.
    pub roster: u64,
    pub view: u64,
    pub ledger: u64,
    /// Another living process has its name.
    pub namesake: bool,
}

#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub enum Body {
    /// Are you there? To the member of this name, not to whoever has its address now.
    Ping {
        seq: u32,
        to: String,
    },
    Ack {
        seq: u32,
    },
    /// Probe this member for me (SWIM section 3.1).
    Probe {
        seq: u32,
        target: String,
        address: SocketAddr,
    },
    /// It does not answer me either, but I do (Lifeguard section IV.A).
    Nack {
        seq: u32,
    },
    /// Items alone.
    Gossip,
    /// What is held for the group? A start does not serve before it has heard, or for long.
    Ask,
    /// One page of a ledger; each says how many there are.
    Ledger {
        page: u16,
        pages: u16,
    },
    /// Hold what stands in the items, and say so.
    Order {
        number: u64,
    },
    /// It is held here: by the engine, not on paper alone.
    Done {
        number: u64,
    },
    /// I have your name, and was started then.
    Namesake {
        born_ms: u64,
    },
    /// The whole table and ledger; a reply is owed unless it is one.
    Exchange {
        reply: bool,
    },
    /// For another part of the program at the member; nothing is owed.
    Carried {
        bytes: Vec<u8>,
    },
}

/// What travels behind any body.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub enum Item {
    Member(GossipMessage),
    Cordon(CordonEntry),
    Drain(DrainNews),
}

#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Packet {
    pub from: Sender,
    pub body: Body,
    pub items: Vec<Item>,
}

#[derive(Clone, Copy, Debug, PartialEq, Eq, thiserror::Error)]
pub enum PacketError {
    #[error("of {0} bytes")]
    Size(usize),
    #[error("of protocol version {0}, not {VERSION}")]
    Version(u8),
    #[error("of another group")]
    Group,
    #[error("spoilt on its way")]
    Check,
    #[error("not readable")]
    Form,
    #[error("with a name, an incarnation or an address that cannot be")]
    Value,
}

/// Marks a group's packets.
pub fn group_mark(group: &str) -> u32 {
    xxh3_64_with_seed(group.as_bytes(), u64::from(VERSION)) as u32
}

fn check_of(mark: u32, rest: &[u8]) -> u64 {
    xxh3_64_with_seed(rest, u64::from(mark))
}

/// One packet under way to its form.
pub struct Writer {
    mark: u32,
    bytes: Vec<u8>,
    most: usize,
}

impl Writer {
    pub fn new(mark: u32, from: &Sender, body: &Body, most: usize) -> Self {
        let mut bytes = vec![0; HEAD];
        // Names, numbers and lists of them alone, which cannot fail.
        bytes.extend(postcard::to_stdvec(&(from, body)).unwrap_or_default());
        Writer { mark, bytes, most }
    }

    /// False if it does not fit; nothing of it is written then.
    pub fn add(&mut self, item: &Item) -> bool {
        let Ok(bytes) = postcard::to_stdvec(item) else {
            return false;
        };
        let fits = self.bytes.len() + bytes.len() <= self.most;
        if fits {
            self.bytes.extend(bytes);
        }
        fits
    }

    /// Whether what is written so far is within its size.
    pub fn fits(&self) -> bool {
        self.bytes.len() <= self.most
    }

    pub fn finish(mut self) -> Vec<u8> {
        let check = check_of(self.mark, &self.bytes[HEAD..]);
        self.bytes[0] = VERSION;
        self.bytes[1..5].copy_from_slice(&self.mark.to_le_bytes());
        self.bytes[5..HEAD].copy_from_slice(&check.to_le_bytes());
        self.bytes
    }
}

impl Packet {
    pub fn read(mark: u32, bytes: &[u8], most: usize) -> Result<Packet, PacketError> {
        if !(HEAD..=most).contains(&bytes.len()) {
            return Err(PacketError::Size(bytes.len()));
        }
        if bytes[0] != VERSION {
            return Err(PacketError::Version(bytes[0]));
        }
        if bytes[1..5] != mark.to_le_bytes() {
            return Err(PacketError::Group);
        }
        let (head, rest) = bytes.split_at(HEAD);
        if head[5..] != check_of(mark, rest).to_le_bytes() {
            return Err(PacketError::Check);
        }
        // A string's length is held against what is left before anything is allocated for it.
        let read = postcard::take_from_bytes::<(Sender, Body)>(rest);
        let ((from, body), mut rest) = read.map_err(|_| PacketError::Form)?;
        let mut items = Vec::new();
        while !rest.is_empty() {
            let (item, left) =
                postcard::take_from_bytes::<Item>(rest).map_err(|_| PacketError::Form)?;
            items.push(item);
            rest = left;
        }
        let packet = Packet { from, body, items };
        if packet.can_be() {
            Ok(packet)
        } else {
            Err(PacketError::Value)
        }
    }

    fn can_be(&self) -> bool {
        let address = |address: &SocketAddr| address.port() > 0 && !address.ip().is_unspecified();
        let name = |name: &str| is_name(name, MAX_NAME_BYTES);
        let from = name(&self.from.name)
            && address(&self.from.address)
            && self.from.incarnation < MAX_INCARNATION;
        let body = match &self.body {
            Body::Ping { to, .. } => name(to),
            Body::Probe {
                target,
                address: at,
                ..
            } => name(target) && address(at),
            _ => true,
        };
        let item = |item: &Item| match item {
            Item::Member(rumour) => {
                let claim = match &rumour.assertion {
                    StateAssertion::Alive { address: at, .. } => address(at),
                    StateAssertion::Suspect { by } | StateAssertion::Failed { by } => name(by),
                    StateAssertion::Left => true,
                };
                claim && name(&rumour.member) && rumour.incarnation < MAX_INCARNATION
            }
            Item::Cordon(entry) => name(&entry.tag.author) && is_name(&entry.host, MAX_HOST_BYTES),
            Item::Drain(news) => name(&news.by) && is_name(&news.host, MAX_HOST_BYTES),
        };
        from && body && self.items.iter().all(item)
    }
}
