//! Helpers of the workspace's tests; no program depends on this crate.
#![warn(missing_docs)]

pub mod golden;
