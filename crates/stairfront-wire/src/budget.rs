//! What readers of one kind may hold together, and what each has claimed of it.
use std::cell::Cell;
use std::rc::Rc;

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
