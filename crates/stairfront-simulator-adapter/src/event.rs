//! Events as the simulator sends them.
use stairfront_policy::interface::{
    AttemptResult, CacheId, CacheStatus, Cell, ClassId, Endpoint, EndpointState, Key, Kind,
    LoadReport, Micros, Outcome, Request, RequestId, TenantId, Zone,
};

use crate::error::{FieldError, FrameError};
use crate::record::Record;

/// Size of one entry of a sheet, in bytes.
const ENTRY_SIZE: usize = 24;
/// Bits of a request's options.
const OPTION_RETRY: u8 = 2;
const OPTION_WRITE: u8 = 4;

/// One event of a batch.
#[derive(Clone, Debug, PartialEq)]
pub enum WireEvent<'a> {
    /// A numbered list of endpoints for all instances (`SHEET`).
    Sheet(Sheet<'a>),
    /// An event of one instance.
    Instance {
        /// Number of the instance.
        instance: u16,
        /// The event.
        event: InstanceEvent<'a>,
    },
}

/// A numbered list of endpoints, which later events refer to.
#[derive(Clone, Debug, PartialEq)]
pub struct Sheet<'a> {
    /// Its number.
    pub number: u16,
    entries: &'a [u8],
    record: usize,
}

/// How a sheet is to be taken.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum ListScope {
    /// Changed entries only.
    Delta,
    /// The complete list.
    Full,
    /// The complete list as last known.
    Cached,
    /// A poll failed; there is no list.
    Failed,
}

/// An event of one instance. The names in brackets are those of the protocol.
#[derive(Clone, Debug, PartialEq)]
pub enum InstanceEvent<'a> {
    /// The instance starts (`BOOT`).
    Start {
        /// Seed of its random numbers.
        seed: u64,
        /// Its settings, as JSON.
        settings: &'a str,
    },
    /// The instance ends without notice (`KILLED`).
    Kill,
    /// An update of the endpoint list (`ROSTER_CHANGE`).
    EndpointList {
        /// The sheet that it refers to.
        sheet: u16,
        /// Version of the list.
        version: u32,
        /// How the sheet is to be taken.
        scope: ListScope,
    },
    /// A client's request has arrived (`WORK_ITEM`).
    Request(Request),
    /// An attempt has ended (`SETTLED`).
    AttemptFinished(AttemptResult),
    /// A timer is due (`FIRED`).
    Timer {
        /// The token that it was set with.
        token: u64,
    },
    /// The client has left (`WITHDRAWN`).
    ClientDisconnected {
        /// Its request.
        id: RequestId,
    },
    /// A streamed answer has begun (`HEAD_RECEIVED`).
    ResponseStarted {
        /// The request.
        id: RequestId,
        /// Number of the attempt.
        attempt: u8,
        /// The server.
        cache: CacheId,
        /// Time since the attempt was sent.
        elapsed: Micros,
    },
    /// A health check has ended (`HEALTH_RESULT`).
    HealthChecked {
        /// The server.
        cache: CacheId,
        /// How it ended.
        outcome: Outcome,
        /// Time that it took.
        elapsed: Micros,
        /// The server's load report.
        load: LoadReport,
    },
    /// A message from another instance (`NEIGHBOUR_SAYS`).
    PeerMessage {
        /// Number of the sender.
        from: u32,
        /// The message.
        body: &'a [u8],
    },
}

impl<'a> WireEvent<'a> {
    /// Decodes the record of an event; `tail` are the bytes behind all records of its batch.
    pub(crate) fn decode(record: &Record<'a>, tail: &'a [u8]) -> Result<Self, FrameError> {
        // The number of the sheet, or of the instance.
        let number = record.u16(1);
        let code = record.u8(0);
        if code == 1 {
            return Ok(WireEvent::Sheet(Sheet {
                number,
                entries: record.tail(3, ENTRY_SIZE, tail, "lines")?,
                record: record.index,
            }));
        }
        Ok(WireEvent::Instance {
            instance: number,
            event: InstanceEvent::decode(code, record, tail)?,
        })
    }
}

impl<'a> InstanceEvent<'a> {
    fn decode(code: u8, record: &Record<'a>, tail: &'a [u8]) -> Result<Self, FrameError> {
        Ok(match code {
            2 => InstanceEvent::Request(request(record)?),
            3 => InstanceEvent::AttemptFinished(attempt_result(record)?),
            4 => InstanceEvent::Timer {
                token: record.u64(3),
            },
            5 => InstanceEvent::ClientDisconnected {
                id: RequestId(record.u32(3)),
            },
            6 => InstanceEvent::EndpointList {
                sheet: record.u16(3),
                version: record.u32(5),
                scope: list_scope(record)?,
            },
            7 => InstanceEvent::Start {
                seed: record.u64(3),
                settings: std::str::from_utf8(record.tail(11, 1, tail, "params")?)
                    .map_err(|error| record.error("params", error))?,
            },
            8 => InstanceEvent::ResponseStarted {
                id: RequestId(record.u32(3)),
                attempt: record.u8(7),
                cache: record.cache(8),
                elapsed: record.time(14, "time_taken")?,
            },
            9 => InstanceEvent::HealthChecked {
                cache: record.cache(3),
                outcome: record.outcome(9)?,
                elapsed: record.time(10, "time_taken")?,
                load: record.load_report(18)?,
            },
            10 => InstanceEvent::Kill,
            11 => InstanceEvent::PeerMessage {
                from: record.u32(3),
                body: record.tail(7, 1, tail, "content")?,
            },
            code => return Err(record.error("code", FieldError::UnknownEvent(code))),
        })
    }
}

fn request(record: &Record<'_>) -> Result<Request, FrameError> {
    let key = record.u64(12);
    let options = record.u8(40);
    Ok(Request {
        id: RequestId(record.u32(3)),
        class: ClassId(record.u8(7)),
        tenant: TenantId(record.u32(8)),
        key: (key != 0).then_some(Key(key)),
        expires_at: record.time(20, "expires")?,
        waited: 0,
        retry: options & OPTION_RETRY != 0,
        write: options & OPTION_WRITE != 0,
    })
}

fn attempt_result(record: &Record<'_>) -> Result<AttemptResult, FrameError> {
    Ok(AttemptResult {
        id: RequestId(record.u32(3)),
        elapsed: record.time(7, "time_taken")?,
        request_finished: record.u8(15) != 0,
        attempt: record.u8(16),
        cache_status: cache_status(record)?,
        outcome: record.outcome(18)?,
        cache: record.cache(19),
        load: record.load_report(25)?,
    })
}

fn cache_status(record: &Record<'_>) -> Result<CacheStatus, FrameError> {
    Ok(match record.u8(17) {
        0 => CacheStatus::None,
        1 => CacheStatus::Hit,
        2 => CacheStatus::Fetched,
        3 => CacheStatus::FetchPending,
        code => return Err(record.error("info", FieldError::UnknownCacheStatus(code))),
    })
}

fn list_scope(record: &Record<'_>) -> Result<ListScope, FrameError> {
    Ok(match record.u8(9) {
        0 => ListScope::Delta,
        1 => ListScope::Full,
        2 => ListScope::Cached,
        3 => ListScope::Failed,
        code => return Err(record.error("scope", FieldError::UnknownScope(code))),
    })
}

impl Sheet<'_> {
    /// Decodes the entries into `endpoints`, whose former content is dropped.
    ///
    /// # Errors
    ///
    /// If a field of an entry is wrong; the entries before it are then in `endpoints`.
    pub fn decode_into(&self, endpoints: &mut Vec<Endpoint>) -> Result<(), FrameError> {
        endpoints.clear();
        for bytes in self.entries.chunks_exact(ENTRY_SIZE) {
            let entry = Record {
                bytes,
                index: self.record,
            };
            endpoints.push(endpoint(&entry)?);
        }
        Ok(())
    }
}

fn endpoint(entry: &Record<'_>) -> Result<Endpoint, FrameError> {
    Ok(Endpoint {
        size: entry.f32(0),
        id: entry.cache(4),
        incarnation: entry.time(10, "born")?,
        zone: Zone(entry.u8(18)),
        state: match entry.u8(19) {
            0 => EndpointState::Removed,
            1 => EndpointState::Ready,
            2 => EndpointState::Draining,
            code => return Err(entry.error("mode", FieldError::UnknownState(code))),
        },
        cell: Cell(entry.u16(20)),
        kind: Kind(entry.u16(22)),
    })
}
