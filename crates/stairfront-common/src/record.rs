//! JSON records that outlive a process and name the version of their form in a field `version`.
use serde::de::DeserializeOwned;
use serde::Deserialize;

/// Why a record cannot be read.
#[derive(Debug, thiserror::Error)]
pub enum RecordError {
    /// The text is no JSON, is torn, or lacks a field.
    #[error("not a record of this kind: {0}")]
    Json(#[from] serde_json::Error),
    /// Another version has written it.
    #[error("version {found} is not known here, {known} is")]
    Version {
        /// The version that the record names.
        found: u32,
        /// The version that can be read.
        known: u32,
    },
}

/// The part of a record that is read first: whether the rest can be read depends on the version alone.
#[derive(Deserialize)]
struct Versioned {
    version: u32,
}

/// Reads a record of the version `known`; other fields than those of `T` are ignored.
///
/// # Errors
///
/// [`RecordError::Json`] for a text that is no record of this kind, [`RecordError::Version`] for one of another version.
/// A torn record is an error, never part of one.
pub fn read_versioned<T: DeserializeOwned>(text: &str, known: u32) -> Result<T, RecordError> {
    let Versioned { version: found } = serde_json::from_str(text)?;
    if found != known {
        return Err(RecordError::Version { found, known });
    }
    Ok(serde_json::from_str(text)?)
}
