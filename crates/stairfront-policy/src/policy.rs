//! The decisions of one balancer, and the table of its events.
//!
//! Placement is the two-choice consistent hashing of Byers, Considine and Mitzenmacher ("Geometric
//! generalizations of the power of two choices"). The other modules decide what that design leaves
//! open:
//!
//! | question | module |
//! | --- | --- |
//! | which servers exist, and which of them may be used | `endpoint_list`, `cordon` |
//! | where a key belongs | `placement` |
//! | which cache gets this request | `server_selection` |
//! | how much a cold cache gets | `slow_start` |
//! | how many attempts a server may have in flight | `concurrency_limit` |
//! | what an outcome says of its server | `outlier_detection`, `idle_connections` |
//! | whether a request is admitted | `admission`, `load_shedding`, `tenant_quota`, `miss_admission` |
//! | the course of an admitted request | `request`, `attempt` |
//! | whether it may be sent again | `idempotency`, `retry_budget` |
//! | who fetches from the origin, and when | `origin_fetch` |
//! | what the next process is given, and how an end is met | `hand_off`, `reconfiguration` |
mod admission;
mod attempt;
mod concurrency_limit;
mod cordon;
mod endpoint_list;
mod hand_off;
mod idempotency;
mod idle_connections;
mod load_shedding;
mod miss_admission;
mod origin_fetch;
mod outlier_detection;
mod pending_request;
mod placement;
mod reconfiguration;
mod request;
mod retry_budget;
mod server;
mod server_selection;
mod slow_start;
mod tenant_quota;
mod timer_token;

use rustc_hash::FxHashMap;
use stairfront_common::time::{Micros, MS};

use self::cordon::Cordons;
use self::endpoint_list::ListState;
use self::idle_connections::IdleConnections;
use self::load_shedding::LoadShedding;
use self::miss_admission::MissAdmission;
use self::origin_fetch::OriginFetches;
use self::pending_request::PendingRequest;
use self::placement::{PlacementTable, Ring};
use self::retry_budget::RetryBudget;
use self::server::Server;
use self::slow_start::FleetRates;
use self::tenant_quota::TenantUsage;
use self::timer_token::TimerToken;
use crate::interface::{Action, CacheId, CacheMode, Event, LogRecord, RequestId, Settings};
use crate::statistics::{CounterRng, MajorityVote};

/// Least time between two log records of one balancer.
const MIN_LOG_INTERVAL: Micros = 200 * MS;

/// The decisions of one balancer, with what it was given at the start and has learned since.
#[derive(Default)]
pub struct Policy {
    settings: Settings,
    rng: CounterRng,
    servers: FxHashMap<CacheId, Server>,
    list: ListState,
    cordons: Cordons,
    ring: Ring,
    placements: PlacementTable,
    pending: FxHashMap<RequestId, PendingRequest>,
    /// Number of attempts in flight to all caches.
    in_flight_at_caches: u32,
    fleet_rates: FleetRates,
    /// Random number of the current request: its draw for a fraction of a cold cache's token.
    slow_start_draw: f64,
    fetches: OriginFetches,
    retry_budget: RetryBudget,
    tenant_usage: TenantUsage,
    /// The usual time left until a client's deadline on arrival, by class.
    usual_time_left: Vec<MajorityVote>,
    load_shedding: LoadShedding,
    miss_admission: MissAdmission,
    idle_connections: IdleConnections,
    /// No log record is written before this time.
    log_after: Micros,
    /// When this process ends, once that is known.
    shutdown_at: Option<Micros>,
}

impl Policy {
    /// A balancer that knows no server yet. The seed decides its random choices.
    #[must_use]
    pub fn new(settings: Settings, seed: u64) -> Self {
        Policy {
            rng: CounterRng::new(seed),
            tenant_usage: TenantUsage::new(&settings.tenants),
            usual_time_left: vec![MajorityVote::default(); settings.classes.len()],
            settings,
            ..Policy::default()
        }
    }

    /// The same with at most so many keys remembered, for a process with little memory.
    #[must_use]
    pub fn with_max_placements(mut self, max: usize) -> Self {
        self.placements.set_max(max);
        self
    }

    /// Handles an event at the time `now` and appends what the driver is to do to `actions`.
    pub fn handle(&mut self, now: Micros, event: Event<'_>, actions: &mut Vec<Action>) {
        match event {
            Event::EndpointList(update) => self.on_endpoint_list(now, update, actions),
            Event::Request(request) => self.on_request(now, request, actions),
            Event::AttemptFinished(result) => self.on_attempt_finished(now, result, actions),
            // A streamed answer that has begun belongs to the client from here.
            Event::ClientDisconnected { id } | Event::ResponseStarted { id, .. } => {
                self.finish(now, id, false, actions)
            }
            Event::Timer { token } => self.on_timer(now, TimerToken::decode(token), actions),
            Event::Cordon { cache, on } => self.on_cordon(now, cache, on),
            Event::Inherited(snapshot) => self.inherit(now, snapshot),
            Event::SettingsChanged { settings, tenants } => {
                self.on_settings_changed(settings, tenants)
            }
            Event::ShuttingDown { by } => self.on_shutting_down(now, by, actions),
            Event::HealthChecked { .. } | Event::PeerMessage { .. } => {}
        }
    }

    fn on_timer(&mut self, now: Micros, token: TimerToken, actions: &mut Vec<Action>) {
        match token {
            TimerToken::PollList => self.on_poll_timer(actions),
            TimerToken::Deadline(id) => self.on_deadline(now, id, actions),
            TimerToken::CancelAttempt { id, attempt } => self.on_cancel_timer(id, attempt, actions),
        }
    }

    /// Whether this balancer fetches from the origin itself.
    fn is_cache_aside(&self) -> bool {
        matches!(self.settings.mode, CacheMode::Aside { .. })
    }

    /// Writes a log record unless the last one was written just before.
    fn log(&mut self, now: Micros, record: LogRecord, actions: &mut Vec<Action>) {
        if now >= self.log_after {
            self.log_after = now + MIN_LOG_INTERVAL;
            actions.push(Action::Log(record));
        }
    }
}
