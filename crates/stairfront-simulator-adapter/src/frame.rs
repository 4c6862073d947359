//! Frames: how a batch is read from the input and cut into records.
use std::io::{self, Read};

use stairfront_policy::interface::Micros;

use crate::error::FrameError;
use crate::event::WireEvent;
use crate::record::{to_micros, Record};

/// Size of the header of a batch, in bytes: clock, length, number of records.
pub const BATCH_HEADER_SIZE: usize = 16;
/// Size of the record of an event, in bytes.
pub const EVENT_SIZE: usize = 48;
/// A longer frame is a broken length field and not a batch.
const MAX_FRAME_SIZE: usize = 1 << 30;
/// Offset of the frame's length in the header.
const LENGTH_OFFSET: usize = 8;

/// Reads one frame into `frame`; false at the end of input between frames.
///
/// # Errors
///
/// If reading fails, the input ends inside the frame, or its length is out of range.
pub fn read_frame(input: &mut impl Read, frame: &mut Vec<u8>) -> Result<bool, FrameError> {
    frame.resize(BATCH_HEADER_SIZE, 0);
    let received = read_up_to(input, &mut frame[..])?;
    if received == 0 {
        return Ok(false);
    }
    if received < BATCH_HEADER_SIZE {
        return Err(FrameError::Truncated {
            received,
            expected: BATCH_HEADER_SIZE,
        });
    }
    let size = header_of(frame).u32(LENGTH_OFFSET) as usize;
    if !(BATCH_HEADER_SIZE..=MAX_FRAME_SIZE).contains(&size) {
        return Err(FrameError::Header {
            field: "length",
            value: size as u64,
        });
    }
    // The buffer grows as the bytes arrive, so a wrong length does not claim memory.
    let rest = input
        .by_ref()
        .take((size - BATCH_HEADER_SIZE) as u64)
        .read_to_end(frame)?;
    if BATCH_HEADER_SIZE + rest < size {
        return Err(FrameError::Truncated {
            received: BATCH_HEADER_SIZE + rest,
            expected: size,
        });
    }
    Ok(true)
}

/// Reads until the buffer is full or the input ends; returns the number of bytes read.
fn read_up_to(input: &mut impl Read, buffer: &mut [u8]) -> Result<usize, FrameError> {
    let mut received = 0;
    while received < buffer.len() {
        match input.read(&mut buffer[received..]) {
            Ok(0) => break,
            Ok(count) => received += count,
            Err(error) if error.kind() == io::ErrorKind::Interrupted => {}
            Err(error) => return Err(error.into()),
        }
    }
    Ok(received)
}

fn header_of(frame: &[u8]) -> Record<'_> {
    Record {
        bytes: &frame[..BATCH_HEADER_SIZE],
        index: 0,
    }
}

/// A complete batch of events, checked against its own lengths.
pub struct Batch<'a> {
    /// The time of all its events.
    pub now: Micros,
    records: &'a [u8],
    tail: &'a [u8],
}

impl<'a> Batch<'a> {
    /// Cuts a frame into its records and its tail.
    ///
    /// # Errors
    ///
    /// If the frame is shorter than its header, or a field of the header is out of range.
    pub fn parse(frame: &'a [u8]) -> Result<Self, FrameError> {
        if frame.len() < BATCH_HEADER_SIZE {
            return Err(FrameError::Truncated {
                received: frame.len(),
                expected: BATCH_HEADER_SIZE,
            });
        }
        let header = header_of(frame);
        let clock_ms = header.f64(0);
        let now = to_micros(clock_ms).ok_or(FrameError::Header {
            field: "clock",
            value: clock_ms.to_bits(),
        })?;
        let size = header.u32(LENGTH_OFFSET) as usize;
        if size != frame.len() {
            return Err(FrameError::Header {
                field: "length",
                value: size as u64,
            });
        }
        let count = header.u32(12) as usize;
        let end = count
            .checked_mul(EVENT_SIZE)
            .and_then(|length| length.checked_add(BATCH_HEADER_SIZE))
            .filter(|end| *end <= frame.len())
            .ok_or(FrameError::Header {
                field: "number of records",
                value: count as u64,
            })?;
        Ok(Batch {
            now,
            records: &frame[BATCH_HEADER_SIZE..end],
            tail: &frame[end..],
        })
    }

    /// The events in their order.
    pub fn events(&self) -> impl Iterator<Item = Result<WireEvent<'a>, FrameError>> + '_ {
        let tail = self.tail;
        self.records
            .chunks_exact(EVENT_SIZE)
            .enumerate()
            .map(move |(index, bytes)| WireEvent::decode(&Record { bytes, index }, tail))
    }
}
