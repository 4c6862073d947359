//! The record of a cordon set, as a file keeps it between two processes of a member.
use serde::{Deserialize, Serialize};
use stairfront_common::record::{read_versioned, RecordError};

use crate::cordon_set::{CordonEntry, CordonSet};

const RECORD_VERSION: u32 = 1;

#[derive(Serialize, Deserialize)]
struct Record {
    version: u32,
    entries: Vec<CordonEntry>,
}

/// The record of a cordon set, in JSON.
#[must_use]
pub fn write_record(cordons: &CordonSet) -> String {
    let record = Record {
        version: RECORD_VERSION,
        entries: cordons.entries().collect(),
    };
    // Strings and numbers alone always have a JSON form.
    serde_json::to_string(&record).unwrap_or_default()
}

/// Reads the entries of a record.
///
/// # Errors
///
/// If the text is torn or no record, or the record has an unknown version. No part of such a record is used.
pub fn read_record(text: &str) -> Result<Vec<CordonEntry>, RecordError> {
    read_versioned::<Record>(text, RECORD_VERSION).map(|record| record.entries)
}
