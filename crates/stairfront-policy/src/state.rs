//! What one balancer keeps in mind about servers, keys and requests: data alone, every decision on it stands in
//! `policy.rs`.
use crate::interface::*;
use crate::measure::{Average, Rate};

#[derive(Clone, Copy, Default, PartialEq, Eq)]
pub enum Role {
    #[default]
    Cache,
    Origin,
}

#[derive(Default)]
pub struct Server {
    pub member: Member,
    pub role: Role,
    /// Keys that this balancer has placed here, on this process.
    pub keys: i64,
    pub inflight: u32,
    pub window: f64,
    pub step: f64,
    pub cut_at: Micros,
    /// Smoothed answer time, and the same over what it should be.
    pub pace: Average,
    pub stress: Average,
    pub strikes: u32,
    pub suspect_until: Micros,
    pub sent: Rate,
    pub cold_tokens: f64,
    pub cold_at: Micros,
    /// When another key may move away for want of room.
    pub move_at: Micros,
}

pub struct Placement {
    pub cache: CacheId,
    /// Start of the process it was placed on: void when that is over, also if it left the list meanwhile.
    pub born: Micros,
    pub seen: Micros,
    /// Its cache has served it since, so it likely holds it.
    pub held: bool,
}

/// An attempt that may have run: what a guarded repeat is bound to.
#[derive(Clone, Copy)]
pub struct Ran {
    pub attempt: u8,
    pub at: Micros,
    pub zone: Zone,
    pub cell: Cell,
}

#[derive(Clone, Copy, PartialEq, Eq)]
pub enum Stage {
    Cache,
    /// Its own fetch from the origin is out, or waits for its turn.
    Fetch,
    /// Waits for another request's fetch of the same key.
    Follow,
    /// A streamed answer has begun: the client's from here.
    Streaming,
}

pub type Tried = [Option<CacheId>; 2];

pub struct Pending {
    pub request: Request,
    pub aim_at: Micros,
    pub stage: Stage,
    pub sent: u8,
    pub out: Option<Ran>,
    /// The earliest ended attempt that may have run.
    pub ran: Option<Ran>,
    pub tried: Tried,
}
