//! Frames, records and tails of the adapter protocol: little-endian, unpadded, fixed-size records.
use std::fmt;
use std::io::{self, Read};

use stairfront_policy::interface::{
    Action, AttemptResult, CacheId, CacheStatus, Cell, ClassId, Endpoint, EndpointState, Key, Kind,
    LoadReport, Micros, Outcome, Request, RequestId, TenantId, Zone,
};

pub const BATCH_HEADER: usize = 16;
pub const REPLY_HEADER: usize = 8;
pub const EVENT_SIZE: usize = 48;
pub const ACTION_SIZE: usize = 24;
const LINE_SIZE: usize = 24;
/// A frame beyond this is taken for a broken length field, not for a batch.
const MAX_FRAME: usize = 1 << 30;
const US_PER_MS: f64 = 1000.0;

#[derive(Debug)]
pub enum FrameError {
    Io(io::Error),
    /// The input ended inside a frame.
    Truncated {
        got: usize,
        wanted: usize,
    },
    Header {
        field: &'static str,
        value: u64,
    },
    Field {
        record: usize,
        field: &'static str,
        problem: String,
    },
}

impl fmt::Display for FrameError {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        match self {
            FrameError::Io(e) => write!(f, "input or output failed: {e}"),
            FrameError::Truncated { got, wanted } => {
                write!(f, "input ended inside a frame: {got} of {wanted} bytes")
            }
            FrameError::Header { field, value } => {
                write!(f, "batch header: {field} is out of range: {value}")
            }
            FrameError::Field {
                record,
                field,
                problem,
            } => write!(f, "record {record}, {field}: {problem}"),
        }
    }
}

/// Reads one frame into `frame`; false at the end of input between frames.
pub fn read_frame(input: &mut impl Read, frame: &mut Vec<u8>) -> Result<bool, FrameError> {
    frame.resize(BATCH_HEADER, 0);
    let got = read_full(input, &mut frame[..])?;
    if got == 0 {
        return Ok(false);
    }
    if got < BATCH_HEADER {
        return Err(FrameError::Truncated {
            got,
            wanted: BATCH_HEADER,
        });
    }
    let size = u32::from_le_bytes([frame[8], frame[9], frame[10], frame[11]]) as usize;
    if !(BATCH_HEADER..=MAX_FRAME).contains(&size) {
        return Err(FrameError::Header {
            field: "length",
            value: size as u64,
        });
    }
    // Grown as the bytes arrive, so that a false length cannot claim memory for nothing.
    let rest = input
        .by_ref()
        .take((size - BATCH_HEADER) as u64)
        .read_to_end(frame)
        .map_err(FrameError::Io)?;
    if BATCH_HEADER + rest < size {
        return Err(FrameError::Truncated {
            got: BATCH_HEADER + rest,
            wanted: size,
        });
    }
    Ok(true)
}

fn read_full(input: &mut impl Read, buf: &mut [u8]) -> Result<usize, FrameError> {
    let mut got = 0;
    while got < buf.len() {
        match input.read(&mut buf[got..]) {
            Ok(0) => break,
            Ok(n) => got += n,
            Err(e) if e.kind() == io::ErrorKind::Interrupted => {}
            Err(e) => return Err(FrameError::Io(e)),
        }
    }
    Ok(got)
}

/// A complete batch, checked against its own lengths.
pub struct Batch<'a> {
    pub now: Micros,
    records: &'a [u8],
    tail: &'a [u8],
}

impl<'a> Batch<'a> {
    pub fn parse(frame: &'a [u8]) -> Result<Self, FrameError> {
        if frame.len() < BATCH_HEADER {
            return Err(FrameError::Truncated {
                got: frame.len(),
                wanted: BATCH_HEADER,
            });
        }
        let header = Record {
            bytes: &frame[..BATCH_HEADER],
            index: 0,
        };
        let now = header.f64(0);
        let now = to_micros(now).ok_or(FrameError::Header {
            field: "clock",
            value: now.to_bits(),
        })?;
        let (size, count) = (header.u32(8) as usize, header.u32(12) as usize);
        if size != frame.len() {
            return Err(FrameError::Header {
                field: "length",
                value: size as u64,
            });
        }
        let end = count
            .checked_mul(EVENT_SIZE)
            .and_then(|n| n.checked_add(BATCH_HEADER));
        match end {
            Some(end) if end <= frame.len() => Ok(Batch {
                now,
                records: &frame[BATCH_HEADER..end],
                tail: &frame[end..],
            }),
            _ => Err(FrameError::Header {
                field: "number of records",
                value: count as u64,
            }),
        }
    }

    pub fn events(&self) -> impl Iterator<Item = Result<WireEvent<'a>, FrameError>> + '_ {
        let tail = self.tail;
        self.records
            .chunks_exact(EVENT_SIZE)
            .enumerate()
            .map(move |(index, bytes)| Record { bytes, index }.event(tail))
    }
}

#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Scope {
    Delta,
    Full,
    Cached,
    Failed,
}

#[derive(Clone, Debug, PartialEq)]
pub enum WireEvent<'a> {
    Sheet {
        sheet: u16,
        lines: &'a [u8],
        record: usize,
    },
    WorkItem {
        instance: u16,
        request: Request,
    },
    Settled {
        instance: u16,
        settled: AttemptResult,
    },
    Fired {
        instance: u16,
        nonce: u64,
    },
    Withdrawn {
        instance: u16,
        id: RequestId,
    },
    RosterChange {
        instance: u16,
        sheet: u16,
        version: u32,
        scope: Scope,
    },
    Boot {
        instance: u16,
        seed: u64,
        params: &'a str,
    },
    HeadReceived {
        instance: u16,
        id: RequestId,
        attempt: u8,
        cache: CacheId,
        elapsed: Micros,
    },
    HealthResult {
        instance: u16,
        cache: CacheId,
        outcome: Outcome,
        elapsed: Micros,
        load: LoadReport,
    },
    Killed {
        instance: u16,
    },
    NeighbourSays {
        instance: u16,
        author: u32,
        content: &'a [u8],
    },
}

impl WireEvent<'_> {
    /// The instance concerned; a `SHEET` belongs to the process.
    pub fn instance(&self) -> Option<u16> {
        match *self {
            WireEvent::Sheet { .. } => None,
            WireEvent::WorkItem { instance, .. }
            | WireEvent::Settled { instance, .. }
            | WireEvent::Fired { instance, .. }
            | WireEvent::Withdrawn { instance, .. }
            | WireEvent::RosterChange { instance, .. }
            | WireEvent::Boot { instance, .. }
            | WireEvent::HeadReceived { instance, .. }
            | WireEvent::HealthResult { instance, .. }
            | WireEvent::Killed { instance }
            | WireEvent::NeighbourSays { instance, .. } => Some(instance),
        }
    }
}

struct Record<'a> {
    bytes: &'a [u8],
    index: usize,
}

impl<'a> Record<'a> {
    fn array<const N: usize>(&self, at: usize) -> [u8; N] {
        let mut out = [0; N];
        out.copy_from_slice(&self.bytes[at..at + N]);
        out
    }
    fn u8(&self, at: usize) -> u8 {
        self.bytes[at]
    }
    fn u16(&self, at: usize) -> u16 {
        u16::from_le_bytes(self.array(at))
    }
    fn u32(&self, at: usize) -> u32 {
        u32::from_le_bytes(self.array(at))
    }
    fn u64(&self, at: usize) -> u64 {
        u64::from_le_bytes(self.array(at))
    }
    fn f32(&self, at: usize) -> f32 {
        f32::from_le_bytes(self.array(at))
    }
    fn f64(&self, at: usize) -> f64 {
        f64::from_le_bytes(self.array(at))
    }
    fn cache(&self, at: usize) -> CacheId {
        let mut raw = [0; 8];
        raw[..6].copy_from_slice(&self.bytes[at..at + 6]);
        CacheId(u64::from_le_bytes(raw))
    }
    fn error(&self, field: &'static str, problem: impl Into<String>) -> FrameError {
        FrameError::Field {
            record: self.index,
            field,
            problem: problem.into(),
        }
    }
    fn time(&self, at: usize, field: &'static str) -> Result<Micros, FrameError> {
        let ms = self.f64(at);
        to_micros(ms).ok_or_else(|| self.error(field, format!("not a time: {ms}")))
    }
    fn tail(
        &self,
        at: usize,
        unit: usize,
        tail: &'a [u8],
        field: &'static str,
    ) -> Result<&'a [u8], FrameError> {
        let (offset, len) = (self.u32(at) as usize, self.u32(at + 4) as usize);
        len.checked_mul(unit)
            .and_then(|len| offset.checked_add(len))
            .and_then(|end| tail.get(offset..end))
            .ok_or_else(|| {
                let room = tail.len();
                self.error(
                    field,
                    format!("offset {offset}, length {len} outside a tail of {room} bytes"),
                )
            })
    }
    fn load(&self, at: usize) -> Result<LoadReport, FrameError> {
        let len = self.u8(at);
        if len > 4 {
            return Err(self.error("feedback", format!("{len} values, 4 at most")));
        }
        let mut values = [0.0; 4];
        for (i, value) in values.iter_mut().enumerate().take(len as usize) {
            *value = self.f32(at + 1 + 4 * i);
        }
        Ok(LoadReport { len, values })
    }
    fn outcome(&self, at: usize) -> Result<Outcome, FrameError> {
        Ok(match self.u8(at) {
            0 => Outcome::Served,
            1 => Outcome::Miss,
            249 => Outcome::NeverSent,
            250 => Outcome::Cancelled,
            251 => Outcome::Reset,
            252 => Outcome::ConnectFailed,
            253 => Outcome::TimedOut,
            254 => Outcome::Full,
            255 => Outcome::Errored,
            other => return Err(self.error("rc", format!("unknown outcome {other}"))),
        })
    }
    fn event(&self, tail: &'a [u8]) -> Result<WireEvent<'a>, FrameError> {
        let instance = self.u16(1);
        Ok(match self.u8(0) {
            1 => WireEvent::Sheet {
                sheet: instance,
                lines: self.tail(3, LINE_SIZE, tail, "lines")?,
                record: self.index,
            },
            2 => WireEvent::WorkItem {
                instance,
                request: self.request()?,
            },
            3 => WireEvent::Settled {
                instance,
                settled: self.settled()?,
            },
            4 => WireEvent::Fired {
                instance,
                nonce: self.u64(3),
            },
            5 => WireEvent::Withdrawn {
                instance,
                id: RequestId(self.u32(3)),
            },
            6 => WireEvent::RosterChange {
                instance,
                sheet: self.u16(3),
                version: self.u32(5),
                scope: match self.u8(9) {
                    0 => Scope::Delta,
                    1 => Scope::Full,
                    2 => Scope::Cached,
                    3 => Scope::Failed,
                    other => return Err(self.error("scope", format!("unknown kind {other}"))),
                },
            },
            7 => WireEvent::Boot {
                instance,
                seed: self.u64(3),
                params: std::str::from_utf8(self.tail(11, 1, tail, "params")?)
                    .map_err(|e| self.error("params", e.to_string()))?,
            },
            8 => WireEvent::HeadReceived {
                instance,
                id: RequestId(self.u32(3)),
                attempt: self.u8(7),
                cache: self.cache(8),
                elapsed: self.time(14, "time_taken")?,
            },
            9 => WireEvent::HealthResult {
                instance,
                cache: self.cache(3),
                outcome: self.outcome(9)?,
                elapsed: self.time(10, "time_taken")?,
                load: self.load(18)?,
            },
            10 => WireEvent::Killed { instance },
            11 => WireEvent::NeighbourSays {
                instance,
                author: self.u32(3),
                content: self.tail(7, 1, tail, "content")?,
            },
            other => return Err(self.error("code", format!("unknown event {other}"))),
        })
    }
    fn request(&self) -> Result<Request, FrameError> {
        let (key, options) = (self.u64(12), self.u8(40));
        Ok(Request {
            id: RequestId(self.u32(3)),
            class: ClassId(self.u8(7)),
            tenant: TenantId(self.u32(8)),
            key: (key != 0).then_some(Key(key)),
            expires_at: self.time(20, "expires")?,
            retry: options & 2 != 0,
            write: options & 4 != 0,
        })
    }
    fn settled(&self) -> Result<AttemptResult, FrameError> {
        Ok(AttemptResult {
            id: RequestId(self.u32(3)),
            elapsed: self.time(7, "time_taken")?,
            request_finished: self.u8(15) != 0,
            attempt: self.u8(16),
            cache_status: match self.u8(17) {
                0 => CacheStatus::None,
                1 => CacheStatus::Hit,
                2 => CacheStatus::Fetched,
                3 => CacheStatus::FetchPending,
                other => return Err(self.error("info", format!("unknown note {other}"))),
            },
            outcome: self.outcome(18)?,
            cache: self.cache(19),
            load: self.load(25)?,
        })
    }
}

/// Decodes the lines of a `SHEET`.
pub fn members(lines: &[u8], record: usize, out: &mut Vec<Endpoint>) -> Result<(), FrameError> {
    out.clear();
    for bytes in lines.chunks_exact(LINE_SIZE) {
        let line = Record {
            bytes,
            index: record,
        };
        out.push(Endpoint {
            size: line.f32(0),
            id: line.cache(4),
            incarnation: line.time(10, "born")?,
            zone: Zone(line.u8(18)),
            state: match line.u8(19) {
                0 => EndpointState::Removed,
                1 => EndpointState::Ready,
                2 => EndpointState::Draining,
                other => return Err(line.error("mode", format!("unknown state {other}"))),
            },
            cell: Cell(line.u16(20)),
            kind: Kind(line.u16(22)),
        });
    }
    Ok(())
}

fn to_micros(ms: f64) -> Option<Micros> {
    // Far inside the range of both types; a clock past this is a broken field.
    (ms.is_finite() && ms.abs() < 1e15).then(|| (ms * US_PER_MS).round() as Micros)
}

fn to_ms(us: Micros) -> f64 {
    us as f64 / US_PER_MS
}

/// The reply under construction; its buffers are kept from batch to batch.
#[derive(Default)]
pub struct Reply {
    records: Vec<u8>,
    tail: Vec<u8>,
    frame: Vec<u8>,
}

impl Reply {
    pub fn clear(&mut self) {
        self.records.clear();
        self.tail.clear();
    }

    pub fn push(&mut self, instance: u16, action: &Action) {
        let mut record = [0; ACTION_SIZE];
        record[1..3].copy_from_slice(&instance.to_le_bytes());
        record[0] = match action {
            Action::Send {
                id, cache, timeout, ..
            } => {
                record[3..7].copy_from_slice(&id.0.to_le_bytes());
                put_cache(&mut record, 7, *cache);
                put_ms(&mut record, 13, *timeout);
                1
            }
            Action::Reject { id, retry_after } => {
                record[3..7].copy_from_slice(&id.0.to_le_bytes());
                put_ms(&mut record, 7, *retry_after);
                2
            }
            Action::Fail { id } => {
                record[3..7].copy_from_slice(&id.0.to_le_bytes());
                3
            }
            Action::Cancel { id, attempt } => {
                record[3..7].copy_from_slice(&id.0.to_le_bytes());
                record[7] = *attempt;
                4
            }
            Action::Timer { delay, token } => {
                put_ms(&mut record, 3, *delay);
                record[11..19].copy_from_slice(&token.to_le_bytes());
                5
            }
            Action::HealthCheck { cache } => {
                put_cache(&mut record, 3, *cache);
                6
            }
            Action::Disconnect { cache } => {
                put_cache(&mut record, 3, *cache);
                7
            }
            Action::SendToPeer { peer, body } => {
                record[3..5].copy_from_slice(&peer.unwrap_or(u16::MAX).to_le_bytes());
                self.put_tail(&mut record, 5, body);
                8
            }
            Action::Log(log_record) => {
                self.put_tail(&mut record, 3, log_record.to_string().as_bytes());
                9
            }
            Action::WatchList(on) => {
                record[3] = u8::from(*on);
                11
            }
            Action::PollList => 12,
        };
        self.records.extend_from_slice(&record);
    }

    /// Declares an instance's decision code broken.
    pub fn push_panic(&mut self, instance: u16, text: &str) {
        let mut record = [0; ACTION_SIZE];
        record[0] = 10;
        record[1..3].copy_from_slice(&instance.to_le_bytes());
        self.put_tail(&mut record, 3, text.as_bytes());
        self.records.extend_from_slice(&record);
    }

    fn put_tail(&mut self, record: &mut [u8; ACTION_SIZE], at: usize, bytes: &[u8]) {
        record[at..at + 4].copy_from_slice(&(self.tail.len() as u32).to_le_bytes());
        record[at + 4..at + 8].copy_from_slice(&(bytes.len() as u32).to_le_bytes());
        self.tail.extend_from_slice(bytes);
    }

    /// The whole frame, ready to write.
    pub fn finish(&mut self) -> &[u8] {
        let count = (self.records.len() / ACTION_SIZE) as u32;
        let size = (REPLY_HEADER + self.records.len() + self.tail.len()) as u32;
        self.frame.clear();
        self.frame.extend_from_slice(&count.to_le_bytes());
        self.frame.extend_from_slice(&size.to_le_bytes());
        self.frame.extend_from_slice(&self.records);
        self.frame.extend_from_slice(&self.tail);
        &self.frame
    }
}

fn put_ms(record: &mut [u8; ACTION_SIZE], at: usize, time: Micros) {
    record[at..at + 8].copy_from_slice(&to_ms(time).to_le_bytes());
}

fn put_cache(record: &mut [u8; ACTION_SIZE], at: usize, cache: CacheId) {
    record[at..at + 6].copy_from_slice(&cache.0.to_le_bytes()[..6]);
}
