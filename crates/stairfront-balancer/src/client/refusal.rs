//! The last commands of a connection that ends with the process: those that had come are refused, since a client may have
//! written them long ago, behind others that took their time, and would learn too late that nobody read them.
use std::time::Duration;

use futures_util::FutureExt;
use stairfront_codec::buffer::MAX_RETAINED_CAPACITY;
use tokio::task::yield_now;

use crate::client::connection::{Connection, MAX_OPEN};
use crate::client::ending::ConnectionEnd;
use crate::client::read::next_input;
use crate::clock::timeout;
use crate::transport::Stream;

/// How long the refusals may take in all: a client that always sends more must not keep the process from ending.
const REFUSAL_TIMEOUT: Duration = Duration::from_secs(1);
/// Bytes that are assumed to have come where the network cannot tell.
const UNKNOWN_UNREAD_BYTES: u64 = 64 * 1024;

impl<T: Stream> Connection<T> {
    /// Refuses all commands that have come and ends the connection, right behind a last look at it.
    pub(super) async fn refuse_rest(&mut self) -> ConnectionEnd {
        match timeout(REFUSAL_TIMEOUT, self.refuse_until_empty()).await {
            Ok(Err(end)) => end,
            // A client that does not read its answers in time gets no more of them.
            Ok(Ok(())) | Err(_) => self.final_end.unwrap_or_else(|| self.close()),
        }
    }

    async fn refuse_until_empty(&mut self) -> Result<(), ConnectionEnd> {
        self.refusing = true;
        // A command that waits for memory is refused like the others, and what has come of it is dropped.
        self.memory_wait = None;
        loop {
            self.refuse_available().await?;
            let written = self.write_ready(None).await;
            written.map_err(|_| ConnectionEnd::Disconnected)?;
            if self.final_end.is_some() || !self.has_unread_input() {
                return Ok(());
            }
        }
    }

    /// Refuses the commands that have come by now.
    async fn refuse_available(&mut self) -> Result<(), ConnectionEnd> {
        let unread = self.framed.get_ref().unread_bytes();
        let come = self.framed.get_ref().bytes_read() + unread.unwrap_or(UNKNOWN_UNREAD_BYTES);
        // The read buffer holds no more than this of what came later.
        let last_read = come + MAX_RETAINED_CAPACITY as u64;
        while self.final_end.is_none() && self.framed.get_ref().bytes_read() <= last_read {
            self.framed.get_ref().resume_reading();
            match next_input(&mut self.framed, &self.context.scratch).now_or_never() {
                Some(input) => self.handle_input(input).await?,
                // A task that has used up its share of a turn is told to wait although more has come.
                None if self.has_unread_input() => yield_now().await,
                None => break,
            }
            if self.pending.len() >= MAX_OPEN {
                let written = self.write_ready(None).await;
                written.map_err(|_| ConnectionEnd::Disconnected)?;
            }
        }
        Ok(())
    }
}
