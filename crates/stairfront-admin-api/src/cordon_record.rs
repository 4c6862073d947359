//! The record of cordons that outlives a process: a small JSON text, `{"cordoned":["s-1","s-2"],"version":1}`.
use serde::{Deserialize, Serialize};
use stairfront_common::record::{read_versioned, RecordError};

const VERSION: u32 = 1;

/// The fields in the order in which they have always been written.
#[derive(Serialize, Deserialize)]
struct CordonRecord {
    cordoned: Vec<String>,
    version: u32,
}

/// The record of these cordoned hosts.
#[must_use]
pub fn write<'a>(hosts: impl Iterator<Item = &'a str>) -> String {
    let record = CordonRecord {
        cordoned: hosts.map(str::to_string).collect(),
        version: VERSION,
    };
    // A list of texts and a number cannot fail to be written.
    serde_json::to_string(&record).unwrap_or_default()
}

/// The cordoned hosts of a record.
///
/// # Errors
///
/// If the text is torn, is no record of cordons or is of another version; never a part of a record.
pub fn read(text: &str) -> Result<Vec<String>, RecordError> {
    let record: CordonRecord = read_versioned(text, VERSION)?;
    Ok(record.cordoned)
}
