//! Errors of an experiment's values.
use stairfront_emulator::faults::FaultScriptError;
use stairfront_emulator::settings_error::SettingsError;

use crate::load::BehaviorError;

/// A value of an experiment that cannot be used.
#[derive(Debug, thiserror::Error)]
pub enum InvalidSetting {
    /// The value is out of range, or does not go together with others.
    #[error("{key}: {reason}")]
    Value {
        /// Path of the key.
        key: String,
        /// The rule that it breaks.
        reason: &'static str,
    },
    /// A value of a server's or the traffic's model is out of range.
    #[error("{table}.{source}")]
    Model {
        /// Path of the model's table.
        table: &'static str,
        /// The key and the rule that it breaks.
        source: SettingsError,
    },
    /// A value of the clients' behavior is out of range.
    #[error("clients.habits.{0}")]
    Behavior(#[source] BehaviorError),
    /// The faults cannot be laid out.
    #[error(transparent)]
    Faults(#[from] FaultScriptError),
    /// A fault has a key that no kind of fault has.
    #[error("faults[{index}].{key}: unknown key")]
    UnknownFaultKey {
        /// Index of the fault.
        index: usize,
        /// The key.
        key: String,
    },
}

/// All errors as text, a line each, with the path of the file.
pub(super) fn lines(path: &str, errors: &[InvalidSetting]) -> String {
    let lines = errors.iter().map(|error| format!("{path}: {error}"));
    lines.collect::<Vec<String>>().join("\n")
}
