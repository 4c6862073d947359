//! Fields of one record at their offsets.
use stairfront_common::time::{from_ms, Micros};
use stairfront_policy::interface::{CacheId, LoadReport, Outcome};

use crate::error::{FieldError, FrameError};

/// Bytes of a server's id on the wire.
pub(crate) const CACHE_ID_SIZE: usize = 6;
/// A time of this many milliseconds or more is a broken field; it is well within the range of both types.
const MAX_TIME_MS: f64 = 1e15;

/// A time on the wire, in milliseconds, if it is one.
pub(crate) fn to_micros(ms: f64) -> Option<Micros> {
    (ms.is_finite() && ms.abs() < MAX_TIME_MS).then(|| from_ms(ms))
}

/// A record of fixed size, and its number in the batch for errors.
pub(crate) struct Record<'a> {
    pub(crate) bytes: &'a [u8],
    pub(crate) index: usize,
}

impl<'a> Record<'a> {
    fn array<const N: usize>(&self, offset: usize) -> [u8; N] {
        let mut array = [0; N];
        array.copy_from_slice(&self.bytes[offset..offset + N]);
        array
    }

    pub(crate) fn u8(&self, offset: usize) -> u8 {
        self.bytes[offset]
    }

    pub(crate) fn u16(&self, offset: usize) -> u16 {
        u16::from_le_bytes(self.array(offset))
    }

    pub(crate) fn u32(&self, offset: usize) -> u32 {
        u32::from_le_bytes(self.array(offset))
    }

    pub(crate) fn u64(&self, offset: usize) -> u64 {
        u64::from_le_bytes(self.array(offset))
    }

    pub(crate) fn f32(&self, offset: usize) -> f32 {
        f32::from_le_bytes(self.array(offset))
    }

    pub(crate) fn f64(&self, offset: usize) -> f64 {
        f64::from_le_bytes(self.array(offset))
    }

    pub(crate) fn cache(&self, offset: usize) -> CacheId {
        let mut id = [0; 8];
        id[..CACHE_ID_SIZE].copy_from_slice(&self.bytes[offset..offset + CACHE_ID_SIZE]);
        CacheId(u64::from_le_bytes(id))
    }

    /// An error at a field of this record, named as in the protocol.
    pub(crate) fn error(&self, field: &'static str, error: impl Into<FieldError>) -> FrameError {
        FrameError::Field {
            record: self.index,
            field,
            error: error.into(),
        }
    }

    pub(crate) fn time(&self, offset: usize, field: &'static str) -> Result<Micros, FrameError> {
        let ms = self.f64(offset);
        to_micros(ms).ok_or_else(|| self.error(field, FieldError::InvalidTime(ms)))
    }

    /// The part of the tail that a reference at this offset names, in units of `unit_size` bytes.
    pub(crate) fn tail(
        &self,
        offset: usize,
        unit_size: usize,
        tail: &'a [u8],
        field: &'static str,
    ) -> Result<&'a [u8], FrameError> {
        let start = self.u32(offset) as usize;
        let length = self.u32(offset + 4) as usize;
        let end = length
            .checked_mul(unit_size)
            .and_then(|size| start.checked_add(size));
        end.and_then(|end| tail.get(start..end)).ok_or_else(|| {
            let error = FieldError::OutsideTail {
                offset: start,
                length,
                available: tail.len(),
            };
            self.error(field, error)
        })
    }

    pub(crate) fn load_report(&self, offset: usize) -> Result<LoadReport, FrameError> {
        let mut report = LoadReport {
            len: self.u8(offset),
            ..LoadReport::default()
        };
        let len = usize::from(report.len);
        if len > report.values.len() {
            return Err(self.error("feedback", FieldError::TooManyValues(report.len)));
        }
        for (i, value) in report.values.iter_mut().enumerate().take(len) {
            *value = self.f32(offset + 1 + 4 * i);
        }
        Ok(report)
    }

    pub(crate) fn outcome(&self, offset: usize) -> Result<Outcome, FrameError> {
        Ok(match self.u8(offset) {
            0 => Outcome::Served,
            1 => Outcome::Miss,
            249 => Outcome::NeverSent,
            250 => Outcome::Cancelled,
            251 => Outcome::Reset,
            252 => Outcome::ConnectFailed,
            253 => Outcome::TimedOut,
            254 => Outcome::Full,
            255 => Outcome::Errored,
            code => return Err(self.error("rc", FieldError::UnknownOutcome(code))),
        })
    }
}
