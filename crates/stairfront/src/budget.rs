//! Shares of the memory limit: what parts of the balancer may hold, and what each reader has claimed of its share.
use std::cell::Cell;
use std::rc::Rc;

const MIB: usize = 1024 * 1024;

/// What may be held of each kind. Together less than half of the limit: buffers that grow are copied, written values
/// stand in a write buffer as well, and the program itself takes some megabytes.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Memory {
    /// Keys and values of open requests.
    pub requests: usize,
    /// Values on their way to clients.
    pub answers: usize,
    /// Commands of clients that are not whole yet.
    pub commands: usize,
    /// Replies of servers that are not whole yet.
    pub replies: usize,
    /// The largest value that is taken from a server.
    pub largest_value: usize,
}

impl Memory {
    pub const FEWEST_MB: usize = 16;
    /// Where no limit is told.
    pub const USUAL_MB: usize = 192;
    /// Values are said to have 64 KiB at most, and servers were seen to send 400 KB. More than this is noise.
    const LARGEST_VALUE: usize = MIB;

    pub fn of(limit_mb: usize) -> Self {
        let part = limit_mb.max(Self::FEWEST_MB) * MIB / 8;
        let largest_value = (part / 4).min(Self::LARGEST_VALUE);
        Memory { requests: part / 2, answers: part, commands: part / 2, replies: part, largest_value }
    }
}

/// Bytes that readers of one kind may hold together.
#[derive(Debug)]
pub struct Budget(Cell<usize>);

impl Budget {
    pub fn new(bytes: usize) -> Rc<Self> {
        Rc::new(Budget(Cell::new(bytes)))
    }
    pub fn left(&self) -> usize {
        self.0.get()
    }
}

/// What one reader holds; given back when it is dropped. Small buffers are not claimed: each connection has one.
#[derive(Debug)]
pub struct Claim {
    budget: Rc<Budget>,
    held: usize,
}

impl Claim {
    const SMALL: usize = 16 * 1024;

    pub fn new(budget: &Rc<Budget>) -> Self {
        Claim { budget: Rc::clone(budget), held: 0 }
    }

    /// Holds so many bytes from now on; false, and nothing changed, where there are no more.
    #[must_use]
    pub fn hold(&mut self, bytes: usize) -> bool {
        let bytes = if bytes > Self::SMALL { bytes } else { 0 };
        let left = self.budget.0.get() + self.held;
        let enough = bytes <= left;
        if enough {
            self.budget.0.set(left - bytes);
            self.held = bytes;
        }
        enough
    }
}

impl Drop for Claim {
    fn drop(&mut self) {
        self.budget.0.set(self.budget.0.get() + self.held);
    }
}
