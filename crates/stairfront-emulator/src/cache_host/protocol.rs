//! The commands and replies of a cache host, without the form that it has on the wire.
use bytes::Bytes;

/// Id of a connection to a server.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash, PartialOrd, Ord)]
pub struct ConnectionId(pub u64);

/// A command.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Command {
    /// Whether it is a write.
    pub write: bool,
    /// Its key.
    pub key: Bytes,
    /// Its id.
    pub id: Bytes,
    /// Its list of names and values, such as `c=read,d=9`.
    pub info: Bytes,
    /// The value of a write.
    pub value: Bytes,
}

impl Command {
    /// The value of a name in the list.
    pub fn info_value(&self, name: &[u8]) -> Option<&[u8]> {
        self.info
            .split(|byte| *byte == b',')
            .find_map(|pair| pair.strip_prefix(name)?.strip_prefix(b"="))
    }
}

/// The place of a command's reply on its connection: replies are sent in the order of the commands.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash)]
pub struct ReplySlot {
    /// The connection.
    pub connection: ConnectionId,
    /// Number of the command on its connection.
    pub sequence: u64,
}

/// A reply to a command.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Reply {
    /// A value.
    Value {
        /// The value, as made by [`value_for`].
        value: Bytes,
        /// Where it came from: `hit`, `miss` (fetched for this command) or `pending` (fetched for an earlier one).
        note: &'static str,
        /// The load report, where the host sends one.
        report: Option<String>,
    },
    /// The host has no value of this key.
    Miss {
        /// The load report, where the host sends one.
        report: Option<String>,
    },
    /// An error.
    Failed,
    /// Rejected, because the queue is full or the host drains.
    Busy,
    /// Bytes that are no valid reply.
    Malformed(Bytes),
    /// A valid reply that is sent twice.
    Duplicated {
        /// The value.
        value: Bytes,
    },
    /// No reply is sent, and the next command's reply is the next one on the connection.
    Dropped,
}

/// An action of a cache host.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Action {
    /// Replies to a command.
    Reply(ReplySlot, Reply),
    /// Closes a connection.
    Close(ConnectionId),
    /// A write has taken effect: the first of its idempotency key, or one without a key.
    Effect {
        /// The command's id.
        id: Bytes,
        /// The command's key.
        key: Bytes,
    },
    /// A command missed while the host was cold.
    ColdMiss {
        /// The command's id.
        id: Bytes,
    },
    /// It was overloaded while cold, and is down until it is started again.
    Crashed,
}

/// A value that names the request and the key that it was made for, so that its receiver can check it.
pub fn value_for(id: &[u8], key: &[u8], filler: &[u8]) -> Bytes {
    let mut value = Vec::with_capacity(id.len() + key.len() + filler.len() + 2);
    for part in [id, b" ", key, b" ", filler] {
        value.extend_from_slice(part);
    }
    Bytes::from(value)
}

/// Whether a value was made for the request of this id.
pub fn is_value_for(value: &[u8], id: &[u8]) -> bool {
    value
        .strip_prefix(id)
        .is_some_and(|rest| rest.first() == Some(&b' '))
}
