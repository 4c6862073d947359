//! What one balancer keeps in mind about servers, keys and requests: data alone, every decision on it stands in
//! `policy.rs`.
use std::collections::{BTreeMap, VecDeque};

use rustc_hash::FxHashMap;

use crate::interface::*;
use crate::measure::{Average, Majority, Random, Rate};

#[derive(Clone, Copy, Default, PartialEq, Eq)]
pub enum Role {
    #[default]
    Cache,
    Origin,
}

/// What operators have told of a cache, in whatever state discovery lists it.
#[derive(Clone, Copy, PartialEq, Eq)]
pub enum Cordon {
    On,
    /// Taken off at this time, after a restart of which discovery may never tell.
    Off(Micros),
}

#[derive(Default)]
pub struct Server {
    /// What counts, and what discovery said: they differ under a cordon and after it.
    pub member: Endpoint,
    pub listed: Endpoint,
    pub role: Role,
    /// Keys that this balancer has placed here, on this process.
    pub keys: i64,
    pub inflight: u32,
    /// The list lacks it or calls it gone, where that does not bind: its own outcomes decide.
    pub dropped: bool,
    /// Lost connections, spoilt answers and silent attempts since the last good one.
    pub faults: u32,
    /// Part of the attempts lately that ended without a word.
    pub silent: Average,
    /// Part of its cores in use, as last reported.
    pub busy: f32,
    pub window: f64,
    pub step: f64,
    pub cut_at: Micros,
    /// Smoothed answer time, and the same over what it should be.
    pub pace: Average,
    pub stress: Average,
    pub sent: Rate,
    /// What it has taken on of that.
    pub borne: Rate,
    /// Last sign of use of a connection there, 0 for none, and for how long it was idle when the last attempt went
    /// out on it; 0 for one that was new or in use.
    pub used: Micros,
    pub idle: Micros,
    pub cold_tokens: f64,
    pub cold_at: Micros,
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
}

pub type Tried = [Option<CacheId>; 2];

pub struct Pending {
    pub request: Request,
    /// What its class says and how often it may be sent, as when it was taken.
    pub class: Class,
    pub most: u8,
    pub aim_at: Micros,
    /// This balancer has seen its key served where it is placed.
    pub held: bool,
    pub stage: Stage,
    pub sent: u8,
    pub out: Option<Ran>,
    /// The earliest ended attempt that may have run.
    pub ran: Option<Ran>,
    pub tried: Tried,
}

/// One balancer: what it was told at the start and has seen since.
#[derive(Default)]
pub struct Policy {
    pub(crate) set: Settings,
    pub(crate) random: Random,
    pub(crate) servers: FxHashMap<CacheId, Server>,
    pub(crate) cordons: BTreeMap<CacheId, Cordon>,
    /// Servers in the last whole list.
    pub(crate) fleet: f64,
    /// Points of the ready caches, ascending: the design's ring.
    pub(crate) ring: Vec<(u64, CacheId)>,
    pub(crate) table: FxHashMap<Key, Placement>,
    /// Keys by the time they were last looked at, oldest first, for lapse and bound.
    pub(crate) ages: VecDeque<(Micros, Key)>,
    pub(crate) pending: FxHashMap<RequestId, Pending>,
    /// Attempts out at caches.
    pub(crate) out: u32,
    pub(crate) warm_rate: f64,
    /// What a warm cache of each kind of machine bears.
    pub(crate) kind_rates: BTreeMap<Kind, f64>,
    /// This request's draw for a part of a cold cache's token.
    pub(crate) draw: f64,
    pub(crate) looked_at: Micros,
    pub(crate) fetches: FxHashMap<Key, (RequestId, Vec<RequestId>)>,
    pub(crate) fetch_queue: VecDeque<RequestId>,
    pub(crate) retry_tokens: f64,
    /// Each tenant's part of the requests that came lately, and how many it was learned from.
    pub(crate) tenant_parts: Vec<f64>,
    pub(crate) tenant_votes: f64,
    /// The usual time left on arrival, by class.
    pub(crate) usual_left: Vec<Majority>,
    pub(crate) shed_level: f64,
    pub(crate) shedding: bool,
    pub(crate) started: bool,
    /// What the list in hand drops is judged by its own outcomes.
    pub(crate) doubting: bool,
    pub(crate) subscribed: bool,
    pub(crate) list_failures: u32,
    /// Part of the likely misses that are admitted, when it last grew and was cut, and the part of them that end late.
    pub(crate) misses: f64,
    pub(crate) misses_at: Micros,
    pub(crate) misses_cut: Micros,
    pub(crate) miss_late: Average,
    pub(crate) short: bool,
    /// Idle time after which connections are dropped unseen, when that was last seen, and losses in a row.
    pub(crate) idle_limit: Micros,
    pub(crate) idle_lost_at: Micros,
    pub(crate) idle_row: u32,
    pub(crate) log_after: Micros,
    /// When this process ends, once it has been told to.
    pub(crate) ends_by: Option<Micros>,
}
