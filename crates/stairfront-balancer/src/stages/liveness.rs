//! Whether a request is still wanted: it has no answer yet, and its client is connected.
use std::cell::Cell;
use std::fmt;
use std::rc::Weak;

use crate::transport::Peer;

/// The state of one request that its client's connection, the table of open requests and its attempts share.
///
/// The flag is set by whoever answers the request or reads the end of the client's connection. It waits for that task to
/// run; the network knows of an end at once, so an attempt asks it directly before its first byte.
#[derive(Default)]
pub struct RequestLiveness {
    finished: Cell<bool>,
    /// Whether a part of the attempt that is out was written to a server.
    begun: Cell<bool>,
    /// The client's connection; `None` where there is none to ask.
    client: Option<Weak<dyn Peer>>,
}

impl RequestLiveness {
    /// The state of a request from this connection.
    pub fn of(client: Weak<dyn Peer>) -> Self {
        RequestLiveness {
            finished: Cell::new(false),
            begun: Cell::new(false),
            client: Some(client),
        }
    }

    /// Records that the first bytes of an attempt were written.
    pub fn note_begun(&self) {
        self.begun.set(true);
    }

    /// Whether the first bytes of the attempt that has ended were written; the next attempt has not begun.
    pub fn take_begun(&self) -> bool {
        self.begun.take()
    }

    /// Records that the request is answered, or that its client has left.
    pub fn finish(&self) {
        self.finished.set(true);
    }

    /// Whether the request is known to be answered, or its client to have left.
    pub fn is_finished(&self) -> bool {
        self.finished.get()
    }

    /// Asks the network whether the client has left; if so, the request is finished from here on.
    pub fn client_has_left(&self) -> bool {
        let has_left = self
            .client
            .as_ref()
            .is_some_and(|client| client.upgrade().is_none_or(|client| client.has_ended()));
        if has_left {
            self.finish();
        }
        has_left
    }
}

impl fmt::Debug for RequestLiveness {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.debug_struct("RequestLiveness")
            .field("finished", &self.finished)
            .finish_non_exhaustive()
    }
}
