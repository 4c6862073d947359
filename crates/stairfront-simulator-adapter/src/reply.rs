//! Replies: how actions are written for the simulator.
use stairfront_common::time::to_ms;
use stairfront_policy::interface::{Action, CacheId, Micros, RequestId};

use crate::record::CACHE_ID_SIZE;

/// Size of the header of a reply, in bytes: number of records, length.
const REPLY_HEADER_SIZE: usize = 8;
/// Size of the record of an action, in bytes.
const ACTION_SIZE: usize = 24;
/// Code of the action that reports a panic of an instance.
const PANIC: u8 = 10;

/// The reply under construction; its buffers are kept from batch to batch.
#[derive(Default)]
pub struct Reply {
    records: Vec<u8>,
    tail: Vec<u8>,
    frame: Vec<u8>,
}

impl Reply {
    /// Drops all actions.
    pub fn clear(&mut self) {
        self.records.clear();
        self.tail.clear();
    }

    /// Appends an action of an instance.
    pub fn push(&mut self, instance: u16, action: &Action) {
        let mut record = ActionRecord::new(instance);
        match action {
            Action::Send {
                id, cache, timeout, ..
            } => {
                record.put_request(1, *id);
                record.put_cache(7, *cache);
                record.put_ms(13, *timeout);
            }
            Action::Reject { id, retry_after } => {
                record.put_request(2, *id);
                record.put_ms(7, *retry_after);
            }
            Action::Fail { id } => record.put_request(3, *id),
            Action::Cancel { id, attempt } => {
                record.put_request(4, *id);
                record.put(7, &[*attempt]);
            }
            Action::Timer { delay, token } => {
                record.put_code(5);
                record.put_ms(3, *delay);
                record.put(11, &token.to_le_bytes());
            }
            Action::HealthCheck { cache } => {
                record.put_code(6);
                record.put_cache(3, *cache);
            }
            Action::Disconnect { cache } => {
                record.put_code(7);
                record.put_cache(3, *cache);
            }
            Action::SendToPeer { peer, body } => {
                record.put_code(8);
                record.put(3, &peer.unwrap_or(u16::MAX).to_le_bytes());
                self.put_tail(&mut record, 5, body);
            }
            Action::Log(log_record) => {
                record.put_code(9);
                self.put_tail(&mut record, 3, log_record.to_string().as_bytes());
            }
            Action::WatchList(on) => {
                record.put_code(11);
                record.put(3, &[u8::from(*on)]);
            }
            Action::PollList => record.put_code(12),
        }
        self.records.extend_from_slice(&record.0);
    }

    /// Reports that the decision code of an instance has panicked.
    pub fn push_panic(&mut self, instance: u16, text: &str) {
        let mut record = ActionRecord::new(instance);
        record.put_code(PANIC);
        self.put_tail(&mut record, 3, text.as_bytes());
        self.records.extend_from_slice(&record.0);
    }

    /// Appends bytes to the tail, and a reference to them to the record.
    fn put_tail(&mut self, record: &mut ActionRecord, offset: usize, bytes: &[u8]) {
        record.put(offset, &(self.tail.len() as u32).to_le_bytes());
        record.put(offset + 4, &(bytes.len() as u32).to_le_bytes());
        self.tail.extend_from_slice(bytes);
    }

    /// The complete frame, ready to write.
    pub fn finish(&mut self) -> &[u8] {
        let count = (self.records.len() / ACTION_SIZE) as u32;
        let size = (REPLY_HEADER_SIZE + self.records.len() + self.tail.len()) as u32;
        self.frame.clear();
        self.frame.extend_from_slice(&count.to_le_bytes());
        self.frame.extend_from_slice(&size.to_le_bytes());
        self.frame.extend_from_slice(&self.records);
        self.frame.extend_from_slice(&self.tail);
        &self.frame
    }
}

/// The record of one action.
struct ActionRecord([u8; ACTION_SIZE]);

impl ActionRecord {
    fn new(instance: u16) -> Self {
        let mut record = ActionRecord([0; ACTION_SIZE]);
        record.put(1, &instance.to_le_bytes());
        record
    }

    fn put_code(&mut self, code: u8) {
        self.put(0, &[code]);
    }

    /// Sets the code of an action on a request, and the request.
    fn put_request(&mut self, code: u8, id: RequestId) {
        self.put_code(code);
        self.put(3, &id.0.to_le_bytes());
    }

    fn put(&mut self, offset: usize, bytes: &[u8]) {
        self.0[offset..offset + bytes.len()].copy_from_slice(bytes);
    }

    fn put_ms(&mut self, offset: usize, time: Micros) {
        self.put(offset, &to_ms(time).to_le_bytes());
    }

    fn put_cache(&mut self, offset: usize, cache: CacheId) {
        self.put(offset, &cache.0.to_le_bytes()[..CACHE_ID_SIZE]);
    }
}
