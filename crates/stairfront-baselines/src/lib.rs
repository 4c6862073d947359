//! Baseline policies for the lab's comparisons: what plain load balancing decides in the place of `stairfront-policy`, on
//! the same sockets, so that only the decisions differ.
//!
//! A [`Baseline`] owns its endpoint list and its requests in flight. It keeps the rules on effects and drains, forwards to
//! the origin on a miss, and retries up to the limit. It never limits concurrency, spares cold servers, shares capacity
//! between tenants or sheds load, and it is no part of the product.
mod selection;

use std::collections::{BTreeMap, BTreeSet};

use rustc_hash::FxHashMap;
use stairfront_balancer::stages::route::Decide;
use stairfront_policy::interface::{
    Action, AttemptResult, CacheId, CacheMode, Endpoint, EndpointListUpdate, EndpointState, Event,
    Idempotency, Micros, Outcome, Request, RequestId, Settings, MS,
};

pub use self::selection::SelectionPolicy;

use self::selection::{ring_owner, RandomSequence};

/// Part of a client's time that is kept for the answer to travel.
const ANSWER_TIME: Micros = 5 * MS;

/// A request without a final answer.
struct OpenRequest {
    request: Request,
    attempts: u8,
    in_flight: Option<CacheId>,
    tried: Vec<CacheId>,
    /// Whether an attempt that has ended may have been executed.
    maybe_executed: bool,
}

/// A decision module with a baseline policy.
pub struct Baseline {
    policy: SelectionPolicy,
    settings: Settings,
    random: RandomSequence,
    endpoints: BTreeMap<CacheId, Endpoint>,
    cordoned: BTreeSet<CacheId>,
    in_flight: FxHashMap<CacheId, u32>,
    open: FxHashMap<RequestId, OpenRequest>,
}

impl Baseline {
    /// A baseline without endpoints and requests.
    pub fn new(policy: SelectionPolicy, settings: Settings, seed: u64) -> Self {
        Baseline {
            policy,
            settings,
            random: RandomSequence::new(seed),
            endpoints: BTreeMap::new(),
            cordoned: BTreeSet::new(),
            in_flight: FxHashMap::default(),
            open: FxHashMap::default(),
        }
    }

    fn is_origin(&self, endpoint: &Endpoint) -> bool {
        matches!(self.settings.mode, CacheMode::Aside { origin } if origin == endpoint.kind)
    }

    fn update_endpoints(&mut self, update: EndpointListUpdate<'_>) {
        let endpoints = match update {
            EndpointListUpdate::Delta(endpoints) => endpoints,
            EndpointListUpdate::Full(endpoints) | EndpointListUpdate::Cached(endpoints) => {
                self.endpoints.clear();
                endpoints
            }
            EndpointListUpdate::Failed => return,
        };
        for endpoint in endpoints {
            self.endpoints.insert(endpoint.id, *endpoint);
        }
    }

    /// The caches that may get this request: those not tried yet, or all where each has been tried.
    fn candidates(&self, open: &OpenRequest) -> Vec<CacheId> {
        let mut caches: Vec<CacheId> = self
            .endpoints
            .values()
            .filter(|endpoint| endpoint.state == EndpointState::Ready)
            .filter(|endpoint| !self.is_origin(endpoint) && !self.cordoned.contains(&endpoint.id))
            .map(|endpoint| endpoint.id)
            .collect();
        if caches.iter().any(|cache| !open.tried.contains(cache)) {
            caches.retain(|cache| !open.tried.contains(cache));
        }
        caches
    }

    fn select_cache(&mut self, open: &OpenRequest) -> Option<CacheId> {
        let mut caches = self.candidates(open);
        match self.policy {
            SelectionPolicy::Random => {
                let position = self.random.below(caches.len());
                caches.get(position).copied()
            }
            SelectionPolicy::LeastInFlight => {
                // Of several with the fewest the first is taken, so that the order has to be random.
                let first = self.random.below(caches.len());
                caches.rotate_left(first);
                caches
                    .into_iter()
                    .min_by_key(|cache| self.in_flight.get(cache).copied().unwrap_or(0))
            }
            SelectionPolicy::ConsistentHash => {
                ring_owner(caches, open.request.key.map(|key| key.0))
            }
        }
    }

    fn select_origin(&self) -> Option<CacheId> {
        self.endpoints
            .values()
            .find(|endpoint| self.is_origin(endpoint) && endpoint.state == EndpointState::Ready)
            .map(|endpoint| endpoint.id)
    }

    fn send(&mut self, now: Micros, id: RequestId, to: Option<CacheId>, actions: &mut Vec<Action>) {
        let (Some(to), Some(open)) = (to, self.open.get_mut(&id)) else {
            self.give_up(id, actions);
            return;
        };
        let timeout = open.request.expires_at - now - 2 * ANSWER_TIME;
        if timeout <= 0 || open.attempts >= self.settings.limits.max_attempts {
            self.give_up(id, actions);
            return;
        }
        open.attempts += 1;
        open.in_flight = Some(to);
        open.tried.push(to);
        *self.in_flight.entry(to).or_default() += 1;
        actions.push(Action::Send {
            id,
            cache: to,
            timeout,
            send_within: None,
        });
    }

    /// Whether a repeat of the request can have no second effect.
    fn may_retry(&self, open: &OpenRequest) -> bool {
        let class = self.settings.classes.get(usize::from(open.request.class.0));
        let is_idempotent = class.is_some_and(|class| class.idempotency == Idempotency::Idempotent);
        is_idempotent || !open.maybe_executed
    }

    /// Ends a request without a value. A rejection tells the client that a retry does no harm, so that a request that may
    /// have been executed fails instead.
    fn give_up(&mut self, id: RequestId, actions: &mut Vec<Action>) {
        let Some(open) = self.open.remove(&id) else {
            return;
        };
        actions.push(if self.may_retry(&open) {
            Action::Reject { id, retry_after: 0 }
        } else {
            Action::Fail { id }
        });
    }

    fn handle_request(&mut self, now: Micros, request: Request, actions: &mut Vec<Action>) {
        let id = request.id;
        let open = OpenRequest {
            request,
            attempts: 0,
            in_flight: None,
            tried: Vec::new(),
            maybe_executed: false,
        };
        let to = match (request.write, self.select_origin()) {
            (true, Some(origin)) => Some(origin),
            _ => self.select_cache(&open),
        };
        self.open.insert(id, open);
        let delay = (request.expires_at - now - ANSWER_TIME).max(0);
        actions.push(Action::Timer {
            delay,
            token: u64::from(id.0),
        });
        self.send(now, id, to, actions);
    }

    fn handle_result(&mut self, now: Micros, result: AttemptResult, actions: &mut Vec<Action>) {
        if let Some(in_flight) = self.in_flight.get_mut(&result.cache) {
            *in_flight = in_flight.saturating_sub(1);
        }
        let id = result.id;
        let Some(mut open) = self.open.remove(&id) else {
            return;
        };
        if result.request_finished || result.outcome == Outcome::Served {
            return;
        }
        open.in_flight = None;
        open.maybe_executed |= !result.outcome.proves_no_effect();
        let may_retry = self.may_retry(&open);
        let to = match result.outcome {
            Outcome::Miss => self.select_origin(),
            _ if open.request.write => self.select_origin(),
            _ => self.select_cache(&open),
        };
        self.open.insert(id, open);
        self.send(now, id, to.filter(|_| may_retry), actions);
    }

    /// Ends a request whose client will not wait much longer.
    fn handle_timer(&mut self, now: Micros, id: RequestId, actions: &mut Vec<Action>) {
        let Some(open) = self.open.get_mut(&id) else {
            return;
        };
        // The id may have been given to a later request, which is not due yet.
        if now < open.request.expires_at - 2 * ANSWER_TIME {
            return;
        }
        open.maybe_executed |= open.in_flight.is_some();
        self.give_up(id, actions);
    }
}

impl Decide for Baseline {
    fn handle(&mut self, now: Micros, event: Event<'_>, actions: &mut Vec<Action>) {
        match event {
            Event::EndpointList(update) => self.update_endpoints(update),
            Event::Request(request) => self.handle_request(now, request, actions),
            Event::AttemptFinished(result) => self.handle_result(now, result, actions),
            Event::ClientDisconnected { id } | Event::ResponseStarted { id, .. } => {
                self.open.remove(&id);
            }
            Event::Timer { token } => self.handle_timer(now, RequestId(token as u32), actions),
            Event::SettingsChanged { settings, .. } => self.settings = settings.clone(),
            Event::Cordon { cache, on: true } => {
                self.cordoned.insert(cache);
            }
            Event::Cordon { cache, on: false } => {
                self.cordoned.remove(&cache);
            }
            Event::HealthChecked { .. }
            | Event::PeerMessage { .. }
            | Event::Inherited(_)
            | Event::ShuttingDown { .. } => {}
        }
    }
}
