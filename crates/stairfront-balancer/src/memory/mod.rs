//! The memory that peers can have this process hold: what is reserved for them, by account, and what the kernel counts.
//!
//! [`ledger`] bounds the one and [`resident`] the other, independently: reservations are made at the capacity of each buffer
//! before it is read into, and add up to the limit together with what the program needs; resident memory is measured, and
//! near the limit accounts are closed step by step, whatever is available in them.
pub mod ledger;
pub mod resident;
