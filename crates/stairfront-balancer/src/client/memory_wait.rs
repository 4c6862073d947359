//! Commands for which there is no memory: one with a large value waits for a part of its own time, and then it is refused like
//! any other, and dropped as it comes.
use std::time::Duration;

use stairfront_codec::resp::UnreservedCommand;
use tracing::debug;

use crate::arrival::ArrivalTime;
use crate::client::connection::{Connection, ConnectionState, PendingReply};
use crate::client::ending::ConnectionEnd;
use crate::client::read::is_between_commands;
use crate::clock::Instant;
use crate::messages::Answer;
use crate::transport::Stream;

/// Between two checks whether there is memory for a command.
const MEMORY_CHECK_INTERVAL: Duration = Duration::from_millis(20);
/// Part of a request's time for which it may wait for memory: the rest is for its value to come, and for the server.
const MEMORY_WAIT_DIVISOR: u32 = 2;

/// A command at the front of the read buffer that waits for memory.
#[derive(Debug)]
pub(super) struct MemoryWait {
    command: UnreservedCommand,
    until: Instant,
}

impl<T: Stream> Connection<T> {
    /// Whether a command at the front waits for memory.
    pub(super) fn waits_for_memory(&self) -> bool {
        self.memory_wait.as_ref().is_some_and(|wait| {
            let account = self
                .context
                .memory
                .account_of_command(wait.command.is_large);
            account.available() < wait.command.bytes
        })
    }

    /// Until when to wait before the next check.
    pub(super) fn next_memory_check(&self) -> Instant {
        let next = Instant::now() + MEMORY_CHECK_INTERVAL;
        self.memory_wait
            .as_ref()
            .map_or(next, |wait| wait.until.min(next))
    }

    /// Has a command wait for memory, or refuses it at once. What comes behind it stays with the client.
    pub(super) fn handle_unreserved(&mut self, command: UnreservedCommand) {
        // Another command may have taken the memory for which it had waited.
        if self.memory_wait.is_some() {
            return;
        }
        let arrival = ArrivalTime::between(self.framed.get_ref().arrived_after(), Instant::now());
        let patience = self.context.parser.patience(&command.words);
        // Behind a usual command there may be others, whose time would go by with its own.
        let waits = command.is_large && !command.exceeds_limit && !self.refusing;
        match patience {
            // Its end is not known, nor where the commands behind it begin.
            Err(_) if command.words.is_empty() => {
                let answer = Answer::Error("ERR Protocol error");
                self.pending.push_back(PendingReply::Ready(answer));
                self.final_end = Some(ConnectionEnd::AfterAnswer);
            }
            Err(text) => {
                self.context.counters.rejected.add();
                self.drop_unreserved(&command, Answer::Error(text));
            }
            Ok(_) if !waits || self.is_spare() => self.refuse_unreserved(&command),
            Ok(patience) => {
                let until = arrival.counted_from() + patience / MEMORY_WAIT_DIVISOR;
                debug!(
                    connection = self.number,
                    bytes = command.bytes,
                    wait_ms = until.saturating_duration_since(Instant::now()).as_millis() as u64,
                    "command waits for memory"
                );
                self.memory_wait = Some(MemoryWait { command, until });
            }
        }
    }

    /// Refuses a command that has waited for its time, or has memory now and is read on.
    pub(super) fn check_memory_wait(&mut self) {
        let is_over = |wait: &mut MemoryWait| Instant::now() >= wait.until;
        if !self.waits_for_memory() {
            return;
        }
        if let Some(wait) = self.memory_wait.take_if(is_over) {
            self.refuse_unreserved(&wait.command);
        }
    }

    fn refuse_unreserved(&mut self, command: &UnreservedCommand) {
        debug!(
            connection = self.number,
            request = command
                .words
                .get(2)
                .map(|id| tracing::field::display(id.escape_ascii())),
            bytes = command.bytes,
            "command refused for want of memory"
        );
        self.context.counters.over_cap.add();
        self.drop_unreserved(command, Answer::Busy { after_ms: None });
    }

    /// Answers a command that is dropped as it comes. Commands behind it are read as usual.
    fn drop_unreserved(&mut self, command: &UnreservedCommand, answer: Answer) {
        self.state = ConnectionState::Used;
        self.closing = None;
        self.idle_since = Instant::now();
        self.framed.codec_mut().skip(command);
        self.pending.push_back(PendingReply::Ready(answer));
    }

    /// Bytes of a command that has begun to come, also of one that is dropped.
    pub(super) fn partial_progress(&self) -> usize {
        self.framed.read_buffer().len() + self.framed.codec().skipped_bytes()
    }

    /// Whether nothing of a further command has been read.
    pub(super) fn is_between_commands(&self) -> bool {
        is_between_commands(&self.framed)
    }
}
