//! What the configuration's limits leave for each use: descriptors and memory.

use std::time::Duration;

use stairfront_codec::resp::MAX_VALUE_BYTES;
use stairfront_policy::interface::Settings;

use crate::clock::duration;
use crate::control::admin_server::MAX_CALLERS;

/// Connections of clients beyond their places, which are turned away; they take descriptors of the reserve.
pub const MAX_SPARE_CONNECTIONS: usize = 8;
/// Descriptors that are not connections with a place: standard streams, event queue, signals, listeners, discovery,
/// connections just accepted and some for the libraries (16 were seen), the spare connections, and operators' calls.
const RESERVE: usize = 18 + MAX_SPARE_CONNECTIONS + MAX_CALLERS;
/// The most sockets that the deployment ever grants; a larger limit is not used.
pub const MAX_SOCKETS: usize = 1024;

/// The least time in which somebody who takes or brings nothing is not given up: what a caller may need for half a call.
const MIN_READ_TIMEOUT: Duration = Duration::from_secs(5);

/// How long a client may read nothing before it counts as gone: longer than any request of these settings lasts, which
/// its pauses between two reads may take.
pub fn patience(longest_deadline: Duration) -> Duration {
    MIN_READ_TIMEOUT.max(longest_deadline + Duration::from_secs(1))
}

/// The same for either side of a large value, which has begun and is timed no more: pauses are part of it.
pub fn large_patience(patience: Duration) -> Duration {
    2 * patience
}

/// How long a server may pause in the middle of a large value.
pub fn stall_limit(settings: &Settings) -> Duration {
    let longest = settings.classes.iter().map(|class| class.deadline).max();
    large_patience(patience(duration(longest.unwrap_or(0))))
}

const MIB: usize = 1024 * 1024;

/// How the descriptors are dealt out.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Sockets {
    pub clients: usize,
    pub servers: usize,
}

impl Sockets {
    /// Fewer would leave no room for a client and a server connection at once.
    pub const MIN: usize = RESERVE + 8;

    /// Of a limit that is `MIN` at least.
    /// `aside` descriptors are others' to use.
    pub fn split(limit: usize, aside: usize) -> Self {
        let limit = limit.clamp(Self::MIN, MAX_SOCKETS);
        let limit = limit.saturating_sub(aside).max(Self::MIN);
        let free = limit - RESERVE;
        // Clients hold a third of the descriptors at most, connections that they only keep included. Danger: up to that
        // all would be kept ones, and new requests find no connection; so fewer are kept, and servers get the rest.
        let clients = (limit * 5 / 16).min(free / 2);
        Sockets {
            clients,
            servers: free - clients,
        }
    }
}

/// What may be held of each kind. Together about half of the limit: buffers that grow are copied, written values stand in
/// a write buffer as well, and the program itself takes some megabytes. One large write has room from 32 MB on.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Memory {
    /// Keys and values of open requests.
    pub requests: usize,
    /// Values on their way to clients.
    pub answers: usize,
    /// Commands of clients that are not whole yet.
    pub commands: usize,
    /// Commands with a large value, from their head to the end of their request.
    pub large_commands: usize,
    /// Replies of servers that are not whole yet.
    pub replies: usize,
    /// The largest value that is taken from a server.
    pub largest_value: usize,
}

impl Memory {
    pub const MIN_MB: usize = 16;
    /// Where no limit is told.
    pub const DEFAULT_MB: usize = 192;
    /// A command with the largest value, and what stands round it.
    const LARGE: usize = MAX_VALUE_BYTES + 16 * 1024;

    pub fn of(limit_mb: usize) -> Self {
        let part = limit_mb.max(Self::MIN_MB) * MIB / 8;
        let large = Self::LARGE.min(part + part / 4);
        Memory {
            requests: part / 2,
            answers: part,
            commands: part / 4,
            large_commands: part.max(large),
            replies: part,
            largest_value: MAX_VALUE_BYTES,
        }
    }
}
