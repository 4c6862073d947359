//! Common needs of several crates that none of them owns: the unit of time of the cores without I/O ([`time`]), the seeded
//! random numbers that make their runs repeatable ([`random`]), and JSON records that carry a version ([`record`]).
//!
//! Nothing here does input or output, reads a clock or decides anything.

pub mod random;
pub mod record;
pub mod time;
