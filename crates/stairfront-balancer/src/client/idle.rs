//! How long a connection may be without a whole command or an open request.
use std::time::Duration;

use crate::client::admission::SilentGuard;
use crate::client::connection::{CloseReason, Connection, ConnectionState};
use crate::client::permits::ClientPermit;
use crate::clock::Instant;
use crate::transport::Stream;

/// A client may take 2 s for the head of a command, and one that has sent none, or stops within one, must be closed or
/// answered within 3 s.
const SILENT_TIMEOUT: Duration = Duration::from_millis(2700);
/// The same for a connection that has carried commands: its client likely has more, and a new connection costs both sides.
const IDLE_TIMEOUT: Duration = Duration::from_secs(10);
/// A new connection does not have to make room for this long, since its first command is on its way.
const NEW_PERIOD: Duration = Duration::from_millis(200);
/// How long a spare connection may be without a command, or a part of one.
pub(super) const SPARE_TIMEOUT: Duration = Duration::from_millis(250);
/// Bytes of a large value that have to come in the time of a head. Less would let a client hold the memory of others for ever by
/// sending a few bytes now and then.
const MIN_PROGRESS_BYTES: usize = 64 * 1024;

impl<T: Stream> Connection<T> {
    /// Until when it may be without a whole command or an open request.
    pub(super) fn idle_deadline(&self) -> Instant {
        if let Some(until) = self.spare_until {
            return until;
        }
        match (&self.state, self.partial_since) {
            (ConnectionState::New, _) => self.idle_since + NEW_PERIOD,
            (ConnectionState::Silent { .. }, _) => self.idle_since + SILENT_TIMEOUT,
            (ConnectionState::Used, Some(since)) => since + SILENT_TIMEOUT,
            (ConnectionState::Used, None) => self.idle_since + IDLE_TIMEOUT,
        }
    }

    /// Handles the idle deadline. Clients do not close connections on which they send nothing, half a command or one
    /// request in a day, and those would use up the permits.
    pub(super) fn handle_idle_timeout(&mut self) {
        let read = self.partial_progress();
        let read_before = std::mem::replace(&mut self.partial_bytes, read);
        // A large value takes as long as it takes, while it goes on coming or waits for memory here.
        if read >= read_before + MIN_PROGRESS_BYTES || self.memory_wait.is_some() {
            let now = Instant::now();
            self.idle_since = now;
            self.partial_since = self.partial_since.map(|_| now);
            return;
        }
        let has_partial_command = !self.is_between_commands();
        match (&self.state, self.partial_since) {
            _ if self.spare_until.is_some() => self.end_spare(has_partial_command),
            (ConnectionState::New, _) => {
                self.state = ConnectionState::Silent {
                    _guard: SilentGuard::new(&self.context.pressure),
                };
            }
            // Nothing is read from it at present, and its client may have sent the rest.
            (ConnectionState::Used, None) if has_partial_command => {
                self.idle_since = Instant::now();
            }
            _ => self.end_idle(),
        }
    }

    fn end_idle(&mut self) {
        self.context.counters.client_connections_idled.add();
        self.closing = Some(CloseReason::Immediately);
    }

    /// Ends a spare connection, unless a command has begun to come on it and has time left.
    fn end_spare(&mut self, has_partial_command: bool) {
        if !has_partial_command {
            self.closing = Some(CloseReason::AfterPartialCommand);
            return;
        }
        let now = Instant::now();
        let command_until = self.partial_since.unwrap_or(now) + SILENT_TIMEOUT;
        if now < command_until {
            self.spare_until = Some(command_until);
        } else {
            self.end_idle();
        }
    }

    /// Measures from when a command has been read in part, while more of it would be read.
    pub(super) fn time_partial_command(&mut self, waits_for_rest: bool) {
        self.partial_since = if waits_for_rest {
            self.partial_since.or_else(|| Some(Instant::now()))
        } else {
            None
        };
    }

    /// Whether it has only a spare permit. It takes a usual one as soon as one is free.
    pub(super) fn is_spare(&mut self) -> bool {
        if self.permit.spare {
            if let Some(permit) = self.context.permits.try_acquire() {
                self.permit = ClientPermit::usual(permit);
                self.spare_until = None;
            }
        }
        self.permit.spare
    }
}
