//! How the limit on descriptors is divided among its uses, and timeouts that follow from deadlines.
use std::time::Duration;

use stairfront_policy::interface::Settings;

use crate::clock::timer_duration;
use crate::control::admin_server::MAX_CALLERS;

/// Connections of clients beyond their permits, on which requests are refused; they take descriptors of the reserve.
pub const MAX_SPARE_CONNECTIONS: usize = 8;
/// Descriptors that are not connections with a permit: standard streams, event queue, signals, listeners, discovery,
/// connections just accepted and some for the libraries (16 were seen), the spare connections, and the admin API's callers.
const RESERVE: usize = 18 + MAX_SPARE_CONNECTIONS + MAX_CALLERS;
/// What a second process of this balancer takes for itself during an upgrade: 20 were seen, with its end of the handover
/// socket and the files of ids.
pub const SECOND_PROCESS_DESCRIPTORS: usize = 22;
/// The most sockets that the deployment ever grants; a larger limit is not used.
pub const MAX_SOCKETS: usize = 1024;

/// A client that reads nothing may take at least this long: what it may need for half a command.
const MIN_READ_TIMEOUT: Duration = Duration::from_secs(5);

/// How long a client may read nothing before it counts as disconnected: longer than any request of these settings lasts,
/// which it may wait for between two reads.
pub fn client_read_timeout(longest_deadline: Duration) -> Duration {
    MIN_READ_TIMEOUT.max(longest_deadline + Duration::from_secs(1))
}

/// The same for either side of a large value, which has no timeout as a whole once it has begun.
pub fn large_value_timeout(read_timeout: Duration) -> Duration {
    2 * read_timeout
}

/// How long a server may pause in the middle of a large value.
pub fn stall_timeout(settings: &Settings) -> Duration {
    let longest = settings.classes.iter().map(|class| class.deadline).max();
    large_value_timeout(client_read_timeout(timer_duration(longest.unwrap_or(0))))
}

/// How the descriptors are divided.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Sockets {
    /// For clients.
    pub clients: usize,
    /// For servers.
    pub servers: usize,
}

impl Sockets {
    /// The smallest limit; a smaller one would leave no room for a client and a server connection at once.
    pub const MIN: usize = RESERVE + 8;

    /// Divides a limit, of which `reserved` descriptors are for other uses. A limit below [`Sockets::MIN`] counts as that.
    pub fn split(limit: usize, reserved: usize) -> Self {
        let limit = limit.clamp(Self::MIN, MAX_SOCKETS);
        let limit = limit.saturating_sub(reserved).max(Self::MIN);
        let free = limit - RESERVE;
        // Clients hold a third of the descriptors at most, with those of connections that they only keep. Up to that limit
        // all could be kept ones, so that new requests find no connection; so fewer are kept, and servers get the rest.
        let clients = (limit * 5 / 16).min(free / 2);
        Sockets {
            clients,
            servers: free - clients,
        }
    }
}
