//! Helpers of the workspace's tests; no program depends on this crate.

pub mod golden;
#[cfg(feature = "loopback")]
pub mod loopback;
#[cfg(feature = "policy")]
pub mod policy_driver;
