//! The simulator's wire (`wire`), the settings text (`settings`) and the host of many
//! decision modules (`host`). Nothing here decides anything.
pub mod host;
pub mod wire;
