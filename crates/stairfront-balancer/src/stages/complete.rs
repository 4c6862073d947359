//! Last stage: what has ended is counted, and a request that nothing is open for leaves the table.
use stairfront_policy::interface::RequestId;

use crate::stages::admit::RequestTable;

impl RequestTable {
    /// Takes a request off once it is answered and its last attempt has ended: the only place that does.
    pub fn complete(&mut self, request: RequestId) {
        let over = |open: &super::admit::OpenRequest| {
            open.answer.is_none() && open.out.is_empty() && open.deferred.is_none()
        };
        if self.open.get(&request).is_some_and(over) {
            if let Some(open) = self.open.remove(&request) {
                self.bytes -= open.bytes;
                self.ids.remove(&open.command.id);
            }
        }
    }
}
