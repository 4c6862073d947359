//! The messages and their packets: a byte for the kind, then the fields as JSON, or bytes as they are.
use serde::{Deserialize, Serialize};
use serde_json::json;
use stairfront_admin_api::{OperatorOrder, OrderOutcome, OrderSource};

/// Version of the packets. It is raised when two versions would misunderstand each other; the new process then starts as
/// if there were no old one.
const VERSION: u32 = 1;
/// Revision of this build within the version. Messages of a revision are sent only to a process that has it or a later one;
/// builds before revisions were told count as 0.
///
/// 1: permits for client connections are given to the successor one by one, which accepts alone
/// ([`Message::AcceptsClients`], [`Message::Permits`], [`Message::PermitWanted`]), and connections to servers as the old
/// process needs them no more ([`Message::ServerConnections`]).
pub const REVISION: u32 = 1;
/// Largest part of a state, and most bytes that a connection may have read ahead, in one packet.
pub const MAX_PART_BYTES: usize = 32 * 1024;
/// Largest packet, well below what a local socket takes in one piece.
pub const MAX_PACKET_BYTES: usize = MAX_PART_BYTES + 64;

/// A message between the two processes.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Message {
    /// The new process asks the old one to hand over.
    Hello {
        /// Name of the balancer, the same at both.
        name: String,
        /// Revision of the new process's build.
        revision: u32,
    },
    /// The old process agrees; the listener for clients comes beside the packet. It tells what it keeps until its end.
    Welcome {
        /// Revision of the old process's build.
        revision: u32,
        /// Places of client connections that it keeps.
        clients: usize,
        /// Connections to servers that it keeps.
        servers: usize,
    },
    /// A part of the state that is handed over, in order.
    StatePart {
        /// Its bytes.
        part: Vec<u8>,
        /// Whether it is the last one.
        last: bool,
    },
    /// A client's connection comes beside the packet; no request on it is in progress.
    Connection {
        /// Whether the connection has ever carried a command.
        used: bool,
        /// Bytes that were read from it and not handled.
        unread: Vec<u8>,
    },
    /// The new process can serve: it accepts clients from here on, and asks for the permits that are free.
    AcceptsClients,
    /// The old process gives permits for client connections away, and accepts none.
    Permits {
        /// How many; the first such message may give none.
        count: usize,
    },
    /// The new process has a client and no permit for it: the old one closes an idle connection if it has one.
    PermitWanted,
    /// The old process, which is told to end, leaves connections to servers to the new one.
    ServerConnections {
        /// How many more the new one may have.
        count: usize,
    },
    /// An order of an operator to one process, which the other one carries out too.
    Order {
        /// Number of the order, for its result.
        number: u32,
        /// The order.
        order: OperatorOrder,
        /// Who vouches for the name in it.
        source: OrderSource,
    },
    /// The outcome of an order at the other process.
    OrderResult {
        /// Number of the order.
        number: u32,
        /// Its outcome.
        outcome: OrderOutcome,
    },
}

/// Why a packet cannot be read.
#[derive(Debug, thiserror::Error)]
pub enum PacketError {
    /// It has no bytes.
    #[error("an empty packet")]
    Empty,
    /// Its kind is not known.
    #[error("unknown message {0}")]
    UnknownKind(u8),
    /// The other process uses another version of the packets.
    #[error("version {0}, not {VERSION}")]
    Version(u32),
    /// Its fields cannot be read.
    #[error("fields not readable: {0}")]
    Fields(#[from] serde_json::Error),
}

/// The first byte of each packet.
mod kind {
    pub(super) const HELLO: u8 = b'H';
    pub(super) const WELCOME: u8 = b'W';
    pub(super) const STATE_PART: u8 = b'K';
    pub(super) const LAST_STATE_PART: u8 = b'L';
    pub(super) const NEW_CONNECTION: u8 = b'N';
    pub(super) const USED_CONNECTION: u8 = b'U';
    pub(super) const ACCEPTS_CLIENTS: u8 = b'A';
    pub(super) const PERMITS: u8 = b'P';
    pub(super) const PERMIT_WANTED: u8 = b'M';
    pub(super) const SERVER_CONNECTIONS: u8 = b'S';
    pub(super) const ORDER: u8 = b'O';
    pub(super) const ORDER_RESULT: u8 = b'D';
}

#[derive(Serialize, Deserialize)]
struct HelloFields {
    name: String,
    #[serde(default, skip_serializing_if = "is_first_revision")]
    revision: u32,
}

#[derive(Serialize, Deserialize)]
struct WelcomeFields {
    clients: usize,
    servers: usize,
    #[serde(default, skip_serializing_if = "is_first_revision")]
    revision: u32,
}

#[derive(Deserialize)]
struct CountFields {
    count: usize,
}

/// The fields of a message, with the version.
#[derive(Serialize)]
struct Versioned<T> {
    #[serde(flatten)]
    fields: T,
    version: u32,
}

/// Builds before revisions were told do not name one.
fn is_first_revision(revision: &u32) -> bool {
    *revision == 0
}

/// The field that is read before any other, since another version's fields mean something else.
#[derive(Deserialize)]
struct VersionField {
    version: u32,
}

impl Message {
    /// The packet of this message.
    #[must_use]
    pub fn encode(&self) -> Vec<u8> {
        match self {
            Message::Hello { name, revision } => {
                let name = name.clone();
                let revision = *revision;
                versioned_packet(kind::HELLO, HelloFields { name, revision })
            }
            Message::Welcome {
                revision,
                clients,
                servers,
            } => {
                let fields = WelcomeFields {
                    clients: *clients,
                    servers: *servers,
                    revision: *revision,
                };
                versioned_packet(kind::WELCOME, fields)
            }
            Message::StatePart { part, last: false } => packet(kind::STATE_PART, part),
            Message::StatePart { part, last: true } => packet(kind::LAST_STATE_PART, part),
            Message::Connection {
                used: false,
                unread,
            } => packet(kind::NEW_CONNECTION, unread),
            Message::Connection { used: true, unread } => packet(kind::USED_CONNECTION, unread),
            Message::AcceptsClients => packet(kind::ACCEPTS_CLIENTS, &[]),
            Message::Permits { count } => json_packet(kind::PERMITS, &json!({ "count": count })),
            Message::PermitWanted => packet(kind::PERMIT_WANTED, &[]),
            Message::ServerConnections { count } => {
                json_packet(kind::SERVER_CONNECTIONS, &json!({ "count": count }))
            }
            Message::Order {
                number,
                order,
                source,
            } => json_packet(kind::ORDER, &json!([number, order, source])),
            Message::OrderResult { number, outcome } => {
                json_packet(kind::ORDER_RESULT, &json!([number, outcome]))
            }
        }
    }

    /// The message of a packet.
    ///
    /// # Errors
    ///
    /// If the packet is empty, of an unknown kind or another version, or its fields cannot be read.
    pub fn decode(packet: &[u8]) -> Result<Message, PacketError> {
        let (kind, body) = packet.split_first().ok_or(PacketError::Empty)?;
        Ok(match *kind {
            kind::HELLO => {
                let HelloFields { name, revision } = read_versioned(body)?;
                Message::Hello { name, revision }
            }
            kind::WELCOME => {
                let fields: WelcomeFields = read_versioned(body)?;
                Message::Welcome {
                    revision: fields.revision,
                    clients: fields.clients,
                    servers: fields.servers,
                }
            }
            kind::STATE_PART => Message::StatePart {
                part: body.to_vec(),
                last: false,
            },
            kind::LAST_STATE_PART => Message::StatePart {
                part: body.to_vec(),
                last: true,
            },
            kind::NEW_CONNECTION => Message::Connection {
                used: false,
                unread: body.to_vec(),
            },
            kind::USED_CONNECTION => Message::Connection {
                used: true,
                unread: body.to_vec(),
            },
            kind::ACCEPTS_CLIENTS => Message::AcceptsClients,
            kind::PERMITS => {
                let CountFields { count } = serde_json::from_slice(body)?;
                Message::Permits { count }
            }
            kind::PERMIT_WANTED => Message::PermitWanted,
            kind::SERVER_CONNECTIONS => {
                let CountFields { count } = serde_json::from_slice(body)?;
                Message::ServerConnections { count }
            }
            kind::ORDER => {
                let (number, order, source) = serde_json::from_slice(body)?;
                Message::Order {
                    number,
                    order,
                    source,
                }
            }
            kind::ORDER_RESULT => {
                let (number, outcome) = serde_json::from_slice(body)?;
                Message::OrderResult { number, outcome }
            }
            other => return Err(PacketError::UnknownKind(other)),
        })
    }
}

fn packet(kind: u8, body: &[u8]) -> Vec<u8> {
    let mut packet = Vec::with_capacity(body.len() + 1);
    packet.push(kind);
    packet.extend_from_slice(body);
    packet
}

fn json_packet(kind: u8, fields: &serde_json::Value) -> Vec<u8> {
    packet(kind, fields.to_string().as_bytes())
}

fn versioned_packet<T: Serialize>(kind: u8, fields: T) -> Vec<u8> {
    let version = VERSION;
    json_packet(kind, &json!(Versioned { fields, version }))
}

fn read_versioned<T: serde::de::DeserializeOwned>(body: &[u8]) -> Result<T, PacketError> {
    let VersionField { version } = serde_json::from_slice(body)?;
    if version != VERSION {
        return Err(PacketError::Version(version));
    }
    Ok(serde_json::from_slice(body)?)
}
