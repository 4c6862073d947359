//! Errors of the adapter protocol, each with the place of the fault.
use std::io;
use std::str::Utf8Error;

use stairfront_settings::SettingsError;

/// Why a batch cannot be read, handled or answered.
#[derive(Debug, thiserror::Error)]
pub enum FrameError {
    /// Reading the input or writing the output failed.
    #[error("input or output failed: {0}")]
    Io(#[from] io::Error),
    /// The input ended inside a frame.
    #[error("input ended inside a frame: {received} of {expected} bytes")]
    Truncated {
        /// Bytes received.
        received: usize,
        /// Bytes that the frame should have.
        expected: usize,
    },
    /// A field of the batch header is out of its range.
    #[error("batch header: {field} is out of range: {value}")]
    Header {
        /// The field.
        field: &'static str,
        /// Its value.
        value: u64,
    },
    /// A field of a record is wrong.
    #[error("record {record}, {field}: {error}")]
    Field {
        /// Number of the record in its batch, from 0.
        record: usize,
        /// The field, by its name in the protocol.
        field: &'static str,
        /// The fault.
        #[source]
        error: FieldError,
    },
}

/// The fault of a field of a record.
#[derive(Debug, thiserror::Error)]
pub enum FieldError {
    /// No event has this code.
    #[error("unknown event {0}")]
    UnknownEvent(u8),
    /// No outcome of an attempt has this code.
    #[error("unknown outcome {0}")]
    UnknownOutcome(u8),
    /// No cache status has this code.
    #[error("unknown note {0}")]
    UnknownCacheStatus(u8),
    /// No kind of list update has this code.
    #[error("unknown kind {0}")]
    UnknownScope(u8),
    /// No state of an endpoint has this code.
    #[error("unknown state {0}")]
    UnknownState(u8),
    /// The number is no time, in milliseconds.
    #[error("not a time: {0}")]
    InvalidTime(f64),
    /// A reference points outside the tail of the batch.
    #[error("offset {offset}, length {length} outside a tail of {available} bytes")]
    OutsideTail {
        /// First byte of the reference.
        offset: usize,
        /// Its length, in the units of the field.
        length: usize,
        /// Bytes that the tail has.
        available: usize,
    },
    /// A load report has too many values.
    #[error("{0} values, 4 at most")]
    TooManyValues(u8),
    /// A text is not UTF-8.
    #[error(transparent)]
    Utf8(#[from] Utf8Error),
    /// The settings of an instance are wrong.
    #[error(transparent)]
    Settings(#[from] SettingsError),
    /// A list update refers to a sheet that was not sent.
    #[error("no SHEET {0} came before")]
    UnknownSheet(u16),
    /// An event is for an instance that does not run.
    #[error("instance {0} was never started")]
    UnknownInstance(u16),
}
