//! The error of settings that are out of their range.
use thiserror::Error;

/// A setting that is out of its range.
#[derive(Clone, Debug, PartialEq, Eq, Error)]
#[error("{key}: {reason}")]
pub struct SettingsError {
    /// The key within its table of the experiment file.
    pub key: String,
    /// The error of its value.
    pub reason: String,
}

impl SettingsError {
    /// An error of this key.
    pub fn new(key: impl Into<String>, reason: impl Into<String>) -> Self {
        SettingsError {
            key: key.into(),
            reason: reason.into(),
        }
    }
}

/// Checks times of a settings table, given as key and milliseconds.
///
/// # Errors
///
/// Names the first that is negative, longer than a day or not a number.
pub(crate) fn validate_times(times: &[(&'static str, f64)]) -> Result<(), SettingsError> {
    for (key, ms) in times {
        if !(0.0..=86_400_000.0).contains(ms) {
            let reason = "must be a time in milliseconds, a day at most";
            return Err(SettingsError::new(*key, reason));
        }
    }
    Ok(())
}
