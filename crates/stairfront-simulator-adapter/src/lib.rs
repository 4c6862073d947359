//! Runs many decision modules on the simulator's adapter protocol: the program reads batches of events on standard input,
//! and writes one reply of actions for each on standard output.
//!
//! The crate owns the decoding of events ([`frame`], [`event`]), the encoding of actions ([`reply`]) and the table of
//! running instances ([`host`]). It decides nothing, reads no clock, and opens no socket. Fields are little-endian and
//! unpadded; records have a fixed size and refer to a tail of bytes behind them. The names in [`error::FieldError`] texts
//! and fields are those of the protocol page.
pub mod error;
pub mod event;
pub mod frame;
pub mod host;
mod record;
pub mod reply;
