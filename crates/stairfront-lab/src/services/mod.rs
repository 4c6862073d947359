//! The models of servers behind sockets: how a cache host, the origin and discovery's agent are spoken to, and what the
//! checker is notified of.
mod agent;
mod attempts;
mod cache;
mod origin;

pub use agent::AgentService;
pub use cache::CacheService;
pub use origin::OriginService;

use std::cell::RefCell;
use std::rc::Rc;

use bytes::{Bytes, BytesMut};
use stairfront_codec::budget::Budget;
use stairfront_codec::http_server::{HttpServerCodec, Response};
use stairfront_emulator::cache_host::ReplySlot;
use tokio_util::codec::Encoder;

use crate::event_log::EventLog;
use crate::server_host::ServerOutput;

/// Each stand-in has all the memory that it wants, since the balancer is measured and not the servers.
const UNLIMITED_BYTES: usize = 1 << 30;

/// An event log that the stand-ins of one thread share.
pub type SharedEventLog = Rc<RefCell<EventLog>>;

/// A notification from the origin to the caches.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum OriginNotification {
    /// The origin has answered this request: caches that missed for it store the value.
    Filled {
        /// Id of the request.
        id: Bytes,
    },
    /// The origin has accepted a write of this key: copies are void.
    Written {
        /// The key.
        key: Bytes,
    },
}

/// Passes the origin's notifications on to caches.
pub type Notifier = Rc<dyn Fn(OriginNotification)>;

/// The counts of a server, for the table of a run.
#[derive(Clone, Copy, Debug, Default, serde::Serialize)]
pub struct ServerCounts {
    /// Commands, or requests at the origin.
    pub commands: u64,
    /// Answers from the store.
    pub hits: u64,
    /// Answers without it.
    pub misses: u64,
    /// Commands that were rejected.
    #[serde(rename = "turned_away")]
    pub rejected: u64,
    /// Largest number of open connections.
    #[serde(rename = "most_connections")]
    pub max_connections: u64,
    /// Most work within a window of the fall-over rule while cold, over what the rule allows.
    pub worst_cold: f64,
}

/// A request's id as a number: its 16 hexadecimal digits, as the clients here send them, or an FNV hash of anything else.
pub fn id_number(id: &[u8]) -> u64 {
    const FNV_OFFSET: u64 = 0xcbf2_9ce4_8422_2325;
    const FNV_PRIME: u64 = 0x0000_0100_0000_01b3;
    let text = std::str::from_utf8(id).ok().filter(|_| id.len() == 16);
    let number = text.and_then(|text| u64::from_str_radix(text, 16).ok());
    let fold = |hash: u64, byte: &u8| (hash ^ u64::from(*byte)).wrapping_mul(FNV_PRIME);
    number.unwrap_or_else(|| id.iter().fold(FNV_OFFSET, fold))
}

/// Encodes an HTTP answer.
fn http_answer(scratch: &mut BytesMut, slot: ReplySlot, reply: Response) -> ServerOutput {
    scratch.clear();
    let mut codec = HttpServerCodec::new(0, &Budget::new(0));
    match codec.encode(reply, scratch) {
        Ok(()) => ServerOutput::Answer(slot, scratch.to_vec()),
        // Only a header with a line break cannot be encoded, and no header here has one.
        Err(_) => ServerOutput::Reset(slot.connection),
    }
}
