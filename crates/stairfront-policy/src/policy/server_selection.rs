//! Choice of the server for one request: the cache that its key is placed on, and the exceptions
//! where that one is full, cold or has been tried.
use stairfront_common::time::{Micros, SECOND};

use super::outlier_detection::{BUSY_UTILIZATION, UNKNOWN_UTILIZATION};
use super::pending_request::TriedServers;
use super::server::{Role, Server};
use super::Policy;
use crate::interface::{CacheId, Key, RequestId};

/// Multiple of the mean number of attempts in flight above which the next candidate is preferred.
const SPILL_MULTIPLE: f64 = 2.0;
/// Least distance of that limit from the mean.
const SPILL_FLOOR: f64 = 2.0;
/// Multiple of its window that requests of a higher priority may use.
const PRIORITY_WINDOW_MULTIPLE: f64 = 2.0;
/// Latency ratio below which a cache is idle enough to take over a key.
const IDLE_LATENCY_RATIO: f64 = 0.7;
/// Most that counts as the usual interval between two of this balancer's requests to one cache, in
/// microseconds.
const MAX_REQUEST_INTERVAL: f64 = 30.0 * SECOND as f64;
/// Least rate that is divided by.
const MIN_RATE: f64 = 1e-9;
/// Age of a load report, in microseconds, from which it is no longer used.
const LOAD_REPORT_TTL: f64 = 20.0 * SECOND as f64;

/// Result of a walk over the candidates of a key.
#[derive(Default)]
struct CandidateReview {
    /// The first candidate with capacity below the spill limit, or else the one with the fewest
    /// attempts in flight.
    selected: Option<CacheId>,
    /// The first full candidate that may be used beyond its window, by priority.
    over_window: Option<CacheId>,
    /// At least one candidate is warm, or the request's draw has won a token.
    any_accepts: bool,
    /// Candidates at which the draw for a token was lost.
    lost_draws: Vec<CacheId>,
}

impl Policy {
    /// The cache for a request, or `None` if no cache has capacity for it.
    pub(super) fn select_cache(&mut self, now: Micros, id: RequestId) -> Option<CacheId> {
        let pending = self.pending.get(&id)?;
        let key = pending.request.key.unwrap_or(Key(u64::from(id.0)));
        let tried = pending.tried;
        let weight = pending.class.priority_weight;
        let classes = &self.settings.classes;
        let prioritized = classes.iter().any(|class| class.priority_weight < weight);
        let placed = self.place(now, key)?;
        let review = self.review_candidates(now, key, placed, tried, prioritized);
        for cache in review.lost_draws {
            self.forfeit_tokens(now, cache);
        }
        if review.selected.is_none() {
            self.load_shedding.record(true);
        }
        if !review.any_accepts {
            // With all candidates tried or cold, the rest of the fleet can still serve the request.
            return self.next_clockwise(key, tried, |server| {
                self.accepts_requests(server, now) && self.has_capacity(server, now)
            });
        }
        review
            .selected
            .or_else(|| self.relocate_key(now, key, tried))
            .or(review.over_window)
    }

    /// Walks over the candidates of a key, the one where it is placed first.
    fn review_candidates(
        &self,
        now: Micros,
        key: Key,
        placed: CacheId,
        tried: TriedServers,
        prioritized: bool,
    ) -> CandidateReview {
        let candidates = self.ring.candidates(key);
        let others = candidates
            .indices()
            .iter()
            .map(|index| self.ring.cache(*index))
            .filter(|cache| *cache != placed);
        let spill_limit = self.spill_limit();
        let mut review = CandidateReview::default();
        let mut fewest_in_flight = u32::MAX;
        for cache in std::iter::once(placed).chain(others) {
            if tried.contains(cache) {
                continue;
            }
            let server = self.servers.get(&cache);
            let Some(server) = server.filter(|server| self.accepts_requests(server, now)) else {
                review.lost_draws.push(cache);
                continue;
            };
            review.any_accepts = true;
            let in_flight = f64::from(server.in_flight);
            if !self.has_capacity(server, now) {
                // Requests of a higher priority are rejected last: before that they may exceed the
                // window.
                if prioritized && in_flight < PRIORITY_WINDOW_MULTIPLE * server.window {
                    review.over_window = review.over_window.or(Some(cache));
                }
                continue;
            }
            if in_flight < spill_limit && !is_reported_busy(server, now) {
                review.selected = Some(cache);
                break;
            }
            if server.in_flight < fewest_in_flight {
                fewest_in_flight = server.in_flight;
                review.selected = Some(cache);
            }
        }
        review
    }

    /// Moves a key to the next idle cache clockwise, where it stays: one miss for each key.
    ///
    /// In a small fleet arcs and machines differ, so all candidates of a key can be full while
    /// other caches are idle.
    fn relocate_key(&mut self, now: Micros, key: Key, tried: TriedServers) -> Option<CacheId> {
        // Each balancer's move is a miss, and would keep an origin short that is short.
        if self.miss_admission.origin_is_short() || self.fetches.are_queued() {
            return None;
        }
        let target = self.next_clockwise(key, tried, |server| {
            self.accepts_requests(server, now) && is_idle(server)
        })?;
        self.remove_key(key);
        self.place_on(now, key, target);
        Some(target)
    }

    /// The next cache clockwise from a key's first point that was not tried and is suitable.
    fn next_clockwise(
        &self,
        key: Key,
        tried: TriedServers,
        is_suitable: impl Fn(&Server) -> bool,
    ) -> Option<CacheId> {
        self.ring
            .clockwise_from(key)
            .filter(|cache| !tried.contains(*cache))
            .find(|cache| self.servers.get(cache).is_some_and(&is_suitable))
    }

    /// The origin with the fewest attempts in flight.
    pub(super) fn select_origin(&self) -> Option<CacheId> {
        self.servers
            .values()
            .filter(|server| server.role == Role::Origin && server.is_ready())
            .min_by_key(|server| (server.in_flight, server.id()))
            .map(Server::id)
    }

    /// Whether the server's concurrency limit admits one more attempt.
    pub(super) fn has_capacity(&self, server: &Server, now: Micros) -> bool {
        server.has_capacity(now, self.request_interval())
    }

    /// Usual interval between two requests of this balancer to one cache, in microseconds.
    pub(super) fn request_interval(&self) -> f64 {
        (SECOND as f64 / self.fleet_rates.warm_rate.max(MIN_RATE)).min(MAX_REQUEST_INTERVAL)
    }

    /// Number of attempts in flight from which a cache has well over the mean.
    fn spill_limit(&self) -> f64 {
        let mean = f64::from(self.in_flight_at_caches) / self.ring.size_to_divide_by() as f64;
        (mean * SPILL_MULTIPLE).max(mean + SPILL_FLOOR)
    }
}

/// Whether its cores were in use by its last load report, unless that is too old.
///
/// Hundreds of balancers may each have one attempt in flight to a cache where many keys are hot:
/// none of them sees the queue, and all wait past their objective.
fn is_reported_busy(server: &Server, now: Micros) -> bool {
    (BUSY_UTILIZATION..UNKNOWN_UTILIZATION).contains(&server.utilization)
        && ((now - server.sent_rate.last_event_at) as f64) < LOAD_REPORT_TTL
}

fn is_idle(server: &Server) -> bool {
    server.latency_ratio.value < IDLE_LATENCY_RATIO
        && f64::from(server.in_flight) < server.window / 2.0
}
