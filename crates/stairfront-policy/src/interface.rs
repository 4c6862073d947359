//! What goes into and comes out of the decision module, in the project's own words.
//! Nothing here knows a wire format; an adapter translates. All times are whole microseconds.

pub use crate::knowledge::Knowledge;

/// A point in time or a length of time, in microseconds. The clock has no meaningful start.
pub type Micros = i64;

pub const MS: Micros = 1_000;
pub const SECOND: Micros = 1_000 * MS;

macro_rules! id {
    ($(#[$doc:meta])* $name:ident($inner:ty)) => {
        $(#[$doc])*
        #[derive(Clone, Copy, Debug, Default, PartialEq, Eq, PartialOrd, Ord, Hash)]
        pub struct $name(pub $inner);
    };
}
id!(/// A client request at this balancer; never reused.
    RequestId(u32));
id!(/// A server of the list: a cache, or the origin where it is listed. Opaque.
    CacheId(u64));
id!(/// What a request is about; requests for one key belong together.
    Key(u64));
id!(/// Position in `Settings::classes`.
    ClassId(u8));
id!(/// Position in `Settings::tenants`.
    TenantId(u32));
id!(/// A zone (site of machines that can be lost together).
    Zone(u8));
id!(/// A small group of caches that know each other's keyed repeats.
    Cell(u16));
id!(/// A machine kind.
    Kind(u16));

/// What repeating a request may do.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Semantics {
    /// Safe to repeat.
    Free,
    /// Repeats are discarded inside one group for `key_ttl` from the earliest attempt that may have run.
    Guarded { group: Group, key_ttl: Micros },
    /// Must not run twice.
    SingleShot,
}

/// The set of caches that discard each other's keyed repeats.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Group {
    All,
    Zone,
    Cell,
}

impl Group {
    /// Whether two caches, by zone and cell, discard each other's repeats.
    pub fn holds_both(self, a: (Zone, Cell), b: (Zone, Cell)) -> bool {
        match self {
            Group::All => true,
            Group::Zone => a.0 == b.0,
            Group::Cell => a == b,
        }
    }
}

#[derive(Clone, Copy, Debug, PartialEq)]
pub struct Class {
    pub semantics: Semantics,
    pub aim: Micros,
    pub deadline: Micros,
    pub worth: f64,
    /// Fraction of the worth that an answer after the aim still earns.
    pub late_worth: f64,
    pub stream: bool,
}

#[derive(Clone, Debug, PartialEq)]
pub struct Tenant {
    /// Requests a second that the tenant is entitled to, summed over all balancers.
    pub quota_per_s: f64,
    pub share: f64,
}

/// Who fetches a value that a cache lacks.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub enum CacheMode {
    /// The balancer asks the listed origin, a member of this kind; writes go there too.
    Aside { origin: Kind },
    /// The cache does.
    #[default]
    Through,
}

#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub enum Discovery {
    /// Changes come unasked.
    #[default]
    Push,
    /// Changes come only to subscribers.
    Ask,
}

/// A value that a load report may hold.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum ReportField {
    Outstanding,
    Backlog,
    Utilization,
    RecentMs,
    Throughput,
    ErrorsPerS,
    Other,
}

#[derive(Clone, Debug, Default, PartialEq)]
pub struct Limits {
    pub most_attempts: u8,
    pub may_duplicate: bool,
    pub may_cancel: bool,
    pub may_probe: bool,
    pub may_tell: bool,
    /// Longest retry advice that clients honour; 0 where none is conveyed.
    pub max_retry_after: Micros,
    pub connect_timeout: Micros,
}

#[derive(Clone, Debug, Default, PartialEq)]
pub struct Rules {
    pub answer_slack: Micros,
    pub ask_every: Micros,
    pub stop_sending_within: Micros,
    /// A cold cache starts at no less than this fraction of its capacity...
    pub cold_from: f64,
    /// ...and is warm no later than this after its start.
    pub warm_up: Micros,
    pub fall_multiple: f64,
    pub fall: Micros,
}

/// What the slowest requests weigh, by class and 5 s: what was served counts in full while no more than the borne part
/// missed its aim, and for nothing at five times that. A refusal inside the aim is no miss.
#[derive(Clone, Copy, Debug, Default, PartialEq)]
pub struct Tail {
    /// Part of the result; 0 where only worth is counted.
    pub weight: f64,
    pub borne: f64,
}

#[derive(Clone, Debug, Default, PartialEq)]
pub struct Settings {
    pub me: u16,
    pub balancers: u16,
    pub zone: Zone,
    pub tick: Micros,
    pub mode: CacheMode,
    pub discovery: Discovery,
    pub classes: Vec<Class>,
    pub tenants: Vec<Tenant>,
    /// Fraction of its worth that a request beyond its tenant's share keeps.
    pub over_share_worth: f64,
    pub tail: Tail,
    pub limits: Limits,
    pub rules: Rules,
    /// Order of the values in load reports.
    pub report: Vec<ReportField>,
    /// Whether list entries carry a meaningful size figure.
    pub sized: bool,
}

#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub enum MemberState {
    #[default]
    Ready,
    Draining,
    Gone,
}

/// One line of the server list.
#[derive(Clone, Copy, Debug, Default, PartialEq)]
pub struct Member {
    pub id: CacheId,
    pub state: MemberState,
    /// When its process last started; 0 for long ago.
    pub born: Micros,
    pub zone: Zone,
    pub cell: Cell,
    pub kind: Kind,
    pub size: f32,
}

#[derive(Clone, Copy, Debug, PartialEq)]
pub enum ListNews<'a> {
    /// Changed lines only.
    Delta(&'a [Member]),
    /// The complete list; who is missing is gone.
    Full(&'a [Member]),
    /// The complete list as last held, perhaps out of date.
    Cached(&'a [Member]),
    /// A call failed or a subscription broke; the list in hand stands.
    Failed,
}

#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Outcome {
    Served,
    /// No value for the key there; proves that nothing ran.
    Miss,
    Errored,
    Full,
    TimedOut,
    ConnectFailed,
    Reset,
    /// An answer in none of the forms that there are. It may have run.
    Spoilt,
    Cancelled,
    /// Never issued.
    Moot,
}

impl Outcome {
    /// Proves that the attempt had no effect.
    pub fn never_ran(self) -> bool {
        matches!(self, Outcome::Miss | Outcome::Full | Outcome::ConnectFailed | Outcome::Moot)
    }
}

/// What the answering cache said about the key.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Note {
    None,
    Hit,
    Fetched,
    FetchPending,
}

/// A cache's load report: up to four values in the order of `Settings::report`.
#[derive(Clone, Copy, Debug, PartialEq, Default)]
pub struct Load {
    pub len: u8,
    pub values: [f32; 4],
}

impl Load {
    /// What is reported under a name, in the order that the settings tell.
    pub fn value(&self, report: &[ReportField], field: ReportField) -> Option<f32> {
        let i = report.iter().position(|name| *name == field)?;
        self.values.get(i).copied().filter(|_| i < usize::from(self.len))
    }
}

#[derive(Clone, Copy, Debug, PartialEq)]
pub struct Request {
    pub id: RequestId,
    pub class: ClassId,
    pub tenant: TenantId,
    pub key: Option<Key>,
    /// When the client abandons this try.
    pub expires: Micros,
    pub write: bool,
    /// Marked by the client as a repetition, where clients do so.
    pub repeat: bool,
}

#[derive(Clone, Copy, Debug, PartialEq)]
pub struct Settled {
    pub id: RequestId,
    pub attempt: u8,
    pub cache: CacheId,
    pub outcome: Outcome,
    /// The request is over, by this outcome or earlier.
    pub closed: bool,
    pub elapsed: Micros,
    pub note: Note,
    pub load: Load,
}

#[derive(Clone, Copy, Debug, PartialEq)]
pub enum Event<'a> {
    List(ListNews<'a>),
    Request(Request),
    Settled(Settled),
    /// A streamed answer has begun; the attempt belongs to the client from here.
    Begun {
        id: RequestId,
        attempt: u8,
    },
    ClientGone {
        id: RequestId,
    },
    Timer {
        token: u64,
    },
    Probed {
        cache: CacheId,
        outcome: Outcome,
        elapsed: Micros,
        load: Load,
    },
    Peer {
        from: u32,
        body: &'a [u8],
    },
    /// What the process before this one knew; told after the first list, which goes before it.
    Inherited(&'a Knowledge),
    /// Other settings from now on. Classes keep their positions; `tenants` tells for each of the new ones which position
    /// it had before. What is open keeps the class and the number of attempts that it was taken with.
    Retuned {
        settings: &'a Settings,
        tenants: &'a [Option<usize>],
    },
    /// This balancer ends: what it has taken and will still take has to be answered by then.
    Ending {
        by: Micros,
    },
    /// Operators take a cache out, whatever the list says of it, or give it back after its restart.
    Cordon {
        cache: CacheId,
        on: bool,
    },
}

#[derive(Clone, Debug, PartialEq)]
pub enum Action {
    /// `lapses`: the whole command has to be at the server within this time, or it may not go there at all. Told for a
    /// guarded repeat, whose first byte may wait for a connection until its window has closed.
    Send {
        id: RequestId,
        cache: CacheId,
        timeout: Micros,
        lapses: Option<Micros>,
    },
    Refuse {
        id: RequestId,
        retry_after: Micros,
    },
    Fail {
        id: RequestId,
    },
    Cancel {
        id: RequestId,
        attempt: u8,
    },
    Timer {
        delay: Micros,
        token: u64,
    },
    Probe {
        cache: CacheId,
    },
    Disconnect {
        cache: CacheId,
    },
    Tell {
        peer: Option<u16>,
        body: Vec<u8>,
    },
    Subscribe(bool),
    FetchList,
    Log(String),
}
