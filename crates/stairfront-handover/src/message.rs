//! One message to a packet: a byte that says which, then its fields as JSON, or bytes as they are.
use serde::{Deserialize, Serialize};
use stairfront_admin_api::{OperatorOrder, OrderOutcome, OrderSource};

/// Raised when old and new would misunderstand each other; the new one then starts as if there were no old one.
const VERSION: u32 = 1;
/// Largest part of a knowledge, or of what a connection had brought unread.
pub const MAX_PART_BYTES: usize = 32 * 1024;
/// No packet is larger; well below what a local socket takes in one piece.
pub const MAX_PACKET_BYTES: usize = MAX_PART_BYTES + 64;

#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Message {
    /// The new process asks the old one of the same name for what it has.
    Hello {
        name: String,
    },
    /// The old one agrees; the listener for clients comes beside it. What it keeps for itself until its end: places of
    /// clients and connections to servers.
    Welcome {
        clients: usize,
        servers: usize,
    },
    /// A part of what the decision module knows, in order.
    Knowledge {
        part: Vec<u8>,
        last: bool,
    },
    /// A client's connection comes beside it; no request on it is open. `unread` had been read from it already, and
    /// `used` says whether it has ever brought a command.
    Connection {
        used: bool,
        unread: Vec<u8>,
    },
    /// What operators have asked of one process; the other one carries it out too and says what became of it.
    Order {
        number: u32,
        order: OperatorOrder,
        word: OrderSource,
    },
    Done {
        number: u32,
        done: OrderOutcome,
    },
}

#[derive(Debug, thiserror::Error)]
pub enum PacketError {
    #[error("an empty packet")]
    Empty,
    #[error("unknown message {0}")]
    Unknown(u8),
    #[error("version {0}, not {VERSION}")]
    Version(u32),
    #[error("{0}")]
    Fields(#[from] serde_json::Error),
}

const HELLO: u8 = b'H';
const WELCOME: u8 = b'W';
const KNOWLEDGE: u8 = b'K';
const LAST_KNOWLEDGE: u8 = b'L';
const NEW_CONNECTION: u8 = b'N';
const USED_CONNECTION: u8 = b'U';
const ORDER: u8 = b'O';
const DONE: u8 = b'D';

#[derive(Serialize, Deserialize)]
struct Hello {
    version: u32,
    name: String,
}

#[derive(Serialize, Deserialize)]
struct Welcome {
    version: u32,
    clients: usize,
    servers: usize,
}

/// Looked at before anything else, since another version's fields mean something else.
#[derive(Deserialize)]
struct Versioned {
    version: u32,
}

fn known_version(text: &[u8]) -> Result<(), PacketError> {
    let Versioned { version } = serde_json::from_slice(text)?;
    (version == VERSION)
        .then_some(())
        .ok_or(PacketError::Version(version))
}

impl Message {
    pub fn encode(&self) -> Vec<u8> {
        let json = |kind, fields: serde_json::Value| (kind, fields.to_string().into_bytes());
        let (kind, body) = match self {
            Message::Hello { name } => json(
                HELLO,
                serde_json::json!({ "version": VERSION, "name": name }),
            ),
            Message::Welcome { clients, servers } => {
                let fields = serde_json::json!({ "version": VERSION, "clients": clients, "servers": servers });
                json(WELCOME, fields)
            }
            Message::Knowledge { part, last: false } => (KNOWLEDGE, part.clone()),
            Message::Knowledge { part, last: true } => (LAST_KNOWLEDGE, part.clone()),
            Message::Connection {
                used: false,
                unread,
            } => (NEW_CONNECTION, unread.clone()),
            Message::Connection { used: true, unread } => (USED_CONNECTION, unread.clone()),
            Message::Order {
                number,
                order,
                word,
            } => json(ORDER, serde_json::json!([number, order, word])),
            Message::Done { number, done } => json(DONE, serde_json::json!([number, done])),
        };
        let mut packet = Vec::with_capacity(body.len() + 1);
        packet.push(kind);
        packet.extend_from_slice(&body);
        packet
    }

    pub fn decode(packet: &[u8]) -> Result<Message, PacketError> {
        let (kind, body) = packet.split_first().ok_or(PacketError::Empty)?;
        Ok(match *kind {
            HELLO => {
                known_version(body)?;
                let Hello { name, .. } = serde_json::from_slice(body)?;
                Message::Hello { name }
            }
            WELCOME => {
                known_version(body)?;
                let Welcome {
                    clients, servers, ..
                } = serde_json::from_slice(body)?;
                Message::Welcome { clients, servers }
            }
            KNOWLEDGE => Message::Knowledge {
                part: body.to_vec(),
                last: false,
            },
            LAST_KNOWLEDGE => Message::Knowledge {
                part: body.to_vec(),
                last: true,
            },
            NEW_CONNECTION => Message::Connection {
                used: false,
                unread: body.to_vec(),
            },
            USED_CONNECTION => Message::Connection {
                used: true,
                unread: body.to_vec(),
            },
            ORDER => {
                let (number, order, word) = serde_json::from_slice(body)?;
                Message::Order {
                    number,
                    order,
                    word,
                }
            }
            DONE => {
                let (number, done) = serde_json::from_slice(body)?;
                Message::Done { number, done }
            }
            other => return Err(PacketError::Unknown(other)),
        })
    }
}
