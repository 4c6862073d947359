//! The memory that the buffers of one kind may take together, and what each of them has reserved.
//!
//! Memory is reserved at the capacity of a buffer before the buffer is made, and travels with its bytes as a
//! [`Reservation`] to whoever holds them: they are counted until they are dropped.
use std::cell::Cell;
use std::rc::Rc;

/// Bytes that the owners of one kind may reserve together.
#[derive(Debug)]
pub struct Budget {
    limit: Cell<usize>,
    /// The greatest limit it may ever have.
    max_limit: usize,
    reserved: Cell<usize>,
    peak: Cell<usize>,
    refusals: Cell<u64>,
    is_closed: Cell<bool>,
}

impl Budget {
    /// A budget of so many bytes, none of them reserved.
    #[must_use]
    pub fn new(bytes: usize) -> Rc<Self> {
        Rc::new(Budget {
            limit: Cell::new(bytes),
            max_limit: bytes,
            reserved: Cell::new(0),
            peak: Cell::new(0),
            refusals: Cell::new(0),
            is_closed: Cell::new(false),
        })
    }

    /// Bytes that can be reserved now.
    #[must_use]
    pub fn available(&self) -> usize {
        if self.is_closed.get() {
            return 0;
        }
        self.limit.get().saturating_sub(self.reserved.get())
    }

    /// Bytes that are reserved.
    #[must_use]
    pub fn reserved(&self) -> usize {
        self.reserved.get()
    }

    /// The most bytes that were reserved at one time.
    #[must_use]
    pub fn peak(&self) -> usize {
        self.peak.get()
    }

    /// How often a reservation was refused.
    #[must_use]
    pub fn refusals(&self) -> u64 {
        self.refusals.get()
    }

    /// The bytes that may be reserved.
    #[must_use]
    pub fn limit(&self) -> usize {
        self.limit.get()
    }

    /// Sets another limit, up to that of its creation. What is reserved beyond it stays until it is released.
    pub fn set_limit(&self, bytes: usize) {
        self.limit.set(bytes.min(self.max_limit));
    }

    /// Sets whether nothing more is reserved for now, whatever is available.
    pub fn set_closed(&self, is_closed: bool) {
        self.is_closed.set(is_closed);
    }

    /// Reserves so many bytes, if they are available.
    pub fn try_reserve(self: &Rc<Self>, bytes: usize) -> Option<Reservation> {
        let mut reservation = Reservation::new(self);
        reservation.try_resize(bytes).then_some(reservation)
    }
}

/// Bytes that one owner has reserved. They return to the budget when it is dropped.
#[derive(Debug)]
pub struct Reservation {
    budget: Rc<Budget>,
    bytes: usize,
}

impl Reservation {
    /// A reservation of no bytes yet.
    #[must_use]
    pub fn new(budget: &Rc<Budget>) -> Self {
        Reservation {
            budget: Rc::clone(budget),
            bytes: 0,
        }
    }

    /// Bytes that are reserved here.
    #[must_use]
    pub fn bytes(&self) -> usize {
        self.bytes
    }

    /// Moves the reserved bytes to a reservation of their own, for another owner; `None` if there are none.
    pub fn take(&mut self) -> Option<Reservation> {
        let bytes = std::mem::take(&mut self.bytes);
        (bytes > 0).then(|| Reservation {
            budget: Rc::clone(&self.budget),
            bytes,
        })
    }

    /// Whether so many bytes could ever be reserved.
    #[must_use]
    pub fn fits_budget(&self, bytes: usize) -> bool {
        bytes <= self.budget.max_limit
    }

    /// Changes the reservation to so many bytes. Returns false, and changes nothing, if fewer are available.
    #[must_use]
    pub fn try_resize(&mut self, bytes: usize) -> bool {
        let budget = &self.budget;
        let more = bytes.saturating_sub(self.bytes);
        if more > budget.available() {
            budget.refusals.set(budget.refusals.get() + 1);
            return false;
        }
        let reserved = budget.reserved.get() - self.bytes + bytes;
        budget.reserved.set(reserved);
        budget.peak.set(budget.peak.get().max(reserved));
        self.bytes = bytes;
        true
    }

    /// Returns the reserved bytes to the budget.
    pub fn release(&mut self) {
        let reserved = self.budget.reserved.get() - self.bytes;
        self.budget.reserved.set(reserved);
        self.bytes = 0;
    }
}

impl Drop for Reservation {
    fn drop(&mut self) {
        self.release();
    }
}
