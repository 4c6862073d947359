//! What readers of one kind may hold together, and what each has claimed of it.
use std::cell::Cell;
use std::rc::Rc;

/// Bytes that readers of one kind may hold together.
#[derive(Debug)]
pub struct Budget {
    left: Cell<usize>,
    all: usize,
}

impl Budget {
    pub fn new(bytes: usize) -> Rc<Self> {
        Rc::new(Budget {
            left: Cell::new(bytes),
            all: bytes,
        })
    }
    pub fn left(&self) -> usize {
        self.left.get()
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
        Claim {
            budget: Rc::clone(budget),
            held: 0,
        }
    }

    /// What is held, to be kept by somebody else from now on.
    pub fn take(&mut self) -> Option<Claim> {
        let held = std::mem::take(&mut self.held);
        (held > 0).then(|| Claim {
            budget: Rc::clone(&self.budget),
            held,
        })
    }

    /// Whether so many bytes could be held once others have given theirs back.
    pub fn could_hold(&self, bytes: usize) -> bool {
        bytes <= self.budget.all
    }

    /// Holds so many bytes from now on; false, and nothing changed, where there are no more.
    #[must_use]
    pub fn hold(&mut self, bytes: usize) -> bool {
        let bytes = if bytes > Self::SMALL { bytes } else { 0 };
        let left = self.budget.left.get() + self.held;
        let enough = bytes <= left;
        if enough {
            self.budget.left.set(left - bytes);
            self.held = bytes;
        }
        enough
    }
}

impl Drop for Claim {
    fn drop(&mut self) {
        self.budget.left.set(self.budget.left.get() + self.held);
    }
}
