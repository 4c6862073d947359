//! The memory that the decoders of one kind may reserve together, and the reservation of each.
use std::cell::Cell;
use std::rc::Rc;

/// Bytes that the decoders of one kind may reserve together.
#[derive(Debug)]
pub struct Budget {
    available: Cell<usize>,
    total: usize,
}

impl Budget {
    /// A budget of so many bytes, none of them reserved.
    #[must_use]
    pub fn new(bytes: usize) -> Rc<Self> {
        Rc::new(Budget {
            available: Cell::new(bytes),
            total: bytes,
        })
    }

    /// Bytes that are not reserved.
    #[must_use]
    pub fn available(&self) -> usize {
        self.available.get()
    }
}

/// Bytes that one decoder has reserved. They return to the budget when it is dropped.
#[derive(Debug)]
pub struct Reservation {
    budget: Rc<Budget>,
    bytes: usize,
}

impl Reservation {
    /// Bytes that are not counted, since each connection has a buffer of this size.
    const UNCOUNTED: usize = 16 * 1024;

    /// A reservation of no bytes yet.
    #[must_use]
    pub fn new(budget: &Rc<Budget>) -> Self {
        Reservation {
            budget: Rc::clone(budget),
            bytes: 0,
        }
    }

    /// Moves the reserved bytes to a reservation of their own, for another owner; `None` if there are none.
    pub fn take(&mut self) -> Option<Reservation> {
        let bytes = std::mem::take(&mut self.bytes);
        (bytes > 0).then(|| Reservation {
            budget: Rc::clone(&self.budget),
            bytes,
        })
    }

    /// Whether so many bytes could be reserved once others have released theirs.
    #[must_use]
    pub fn fits_budget(&self, bytes: usize) -> bool {
        bytes <= self.budget.total
    }

    /// Changes the reservation to so many bytes. Returns false, and changes nothing, if fewer are available.
    #[must_use]
    pub fn try_resize(&mut self, bytes: usize) -> bool {
        let bytes = if bytes > Self::UNCOUNTED { bytes } else { 0 };
        let available = self.budget.available.get() + self.bytes;
        let is_enough = bytes <= available;
        if is_enough {
            self.budget.available.set(available - bytes);
            self.bytes = bytes;
        }
        is_enough
    }

    /// Returns the reserved bytes to the budget.
    pub fn release(&mut self) {
        let available = self.budget.available.get() + self.bytes;
        self.budget.available.set(available);
        self.bytes = 0;
    }
}

impl Drop for Reservation {
    fn drop(&mut self) {
        self.release();
    }
}
