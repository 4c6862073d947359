//! The record of cordons that outlives a process: a small JSON text, `{"version":1,"cordoned":["s-1","s-2"]}`.
use serde::{Deserialize, Serialize};

const VERSION: u32 = 1;

#[derive(Debug, thiserror::Error)]
pub enum RecordError {
    #[error("not a record of cordons: {0}")]
    Json(#[from] serde_json::Error),
    #[error("version {0} is not known here, {VERSION} is")]
    Version(u32),
}

#[derive(Serialize, Deserialize)]
struct Record {
    version: u32,
    cordoned: Vec<String>,
}

/// Whether a record can be read depends on its version alone; what a later one adds must not be guessed.
#[derive(Deserialize)]
struct Versioned {
    version: u32,
}

pub fn write<'a>(names: impl Iterator<Item = &'a str>) -> String {
    let cordoned: Vec<&str> = names.collect();
    serde_json::json!({ "version": VERSION, "cordoned": cordoned }).to_string()
}

/// The names in a record. A torn one is an error, never part of a record.
pub fn read(text: &str) -> Result<Vec<String>, RecordError> {
    let Versioned { version } = serde_json::from_str(text)?;
    if version != VERSION {
        return Err(RecordError::Version(version));
    }
    let Record { cordoned, .. } = serde_json::from_str(text)?;
    Ok(cordoned)
}
