//! Last stage: a request that is answered and has no attempt in flight leaves the table.
use stairfront_policy::interface::RequestId;

use crate::stages::admit::RequestTable;
use crate::stages::used_ids::IdHash;

impl RequestTable {
    /// Removes a request once it is answered and its last attempt has ended. No other code removes one.
    pub fn complete(&mut self, request: RequestId) {
        let Some(open) = self.open.get(&request) else {
            return;
        };
        if open.answer.is_some() || !open.outstanding.is_empty() || open.deferred.is_some() {
            return;
        }
        if let Some(open) = self.open.remove(&request) {
            if open.may_have_run && !open.command.idempotent {
                self.used_ids.insert(IdHash::of(&open.command.id));
            }
        }
    }
}
