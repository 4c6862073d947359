//! The codecs alone: every split of the input, the limits, and arbitrary bytes.
mod arbitrary_bytes;
mod budgets;
mod http;
mod resp;
mod streaming;
mod support;
