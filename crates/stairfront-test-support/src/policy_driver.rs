//! A policy that a test drives by hand: events in, actions out, and a record of the attempts. No clock.
use std::collections::BTreeMap;

use stairfront_policy::interface::{
    Action, AttemptResult, CacheId, CacheMode, CacheStatus, Cell, Class, ClassId, DiscoveryMode,
    Endpoint, EndpointListUpdate, EndpointState, Event, Idempotency, Key, Kind, Limits, LoadReport,
    Micros, Outcome, ReportField, Request, RequestId, Rules, Settings, TailLatency, TenantId, Zone,
    MS, SECOND,
};
use stairfront_policy::Policy;

/// The origin of lists that have one.
pub const ORIGIN: CacheId = CacheId(9_000);

/// A class with a deadline of a second.
pub fn class(idempotency: Idempotency) -> Class {
    Class {
        idempotency,
        latency_objective: 500 * MS,
        deadline: 1_000 * MS,
        priority_weight: 1.0,
        late_weight: 0.0,
        stream: false,
    }
}

/// Settings with one idempotent class.
pub fn settings(mode: CacheMode) -> Settings {
    Settings {
        instance: 0,
        balancers: 3,
        zone: Zone(0),
        tick: 5 * MS,
        mode,
        discovery: DiscoveryMode::Push,
        classes: vec![class(Idempotency::Idempotent)],
        tenants: vec![],
        over_share_weight: 1.0,
        tail: TailLatency::default(),
        limits: Limits {
            max_attempts: 4,
            may_hedge: false,
            may_cancel: true,
            may_probe: true,
            may_gossip: false,
            max_retry_after: 700 * MS,
            connect_timeout: 200 * MS,
        },
        rules: Rules {
            answer_slack: 20 * MS,
            poll_interval: 10 * SECOND,
            drain_grace: 500 * MS,
            removal_is_advisory: false,
            slow_start_floor: 0.2,
            slow_start_window: 10 * SECOND,
            overload_multiple: 3.0,
            overload_window: 2 * SECOND,
        },
        report: vec![],
        sized: false,
    }
}

/// Settings for caches that fetch by themselves.
pub fn read_through() -> Settings {
    settings(CacheMode::Through)
}

/// Settings for caches that only store, beside an origin.
pub fn cache_aside() -> Settings {
    settings(CacheMode::Aside { origin: Kind(1) })
}

/// A cache, in one of two zones by its number.
pub fn endpoint(id: u64, state: EndpointState) -> Endpoint {
    let zone = Zone((id % 2) as u8);
    Endpoint {
        id: CacheId(id),
        state,
        incarnation: 0,
        zone,
        cell: Cell((id % 2) as u16),
        kind: Kind(0),
        size: 1.0,
    }
}

/// A list of caches that are ready.
pub fn ready_list(ids: impl IntoIterator<Item = u64>) -> Vec<Endpoint> {
    ids.into_iter()
        .map(|id| endpoint(id, EndpointState::Ready))
        .collect()
}

/// The list with an origin.
pub fn with_origin(mut list: Vec<Endpoint>) -> Vec<Endpoint> {
    list.push(Endpoint {
        kind: Kind(1),
        ..endpoint(ORIGIN.0, EndpointState::Ready)
    });
    list
}

/// A policy with a time and a record of what it decided.
pub struct TestBalancer {
    /// The policy.
    pub policy: Policy,
    /// The time of the next event.
    pub now: Micros,
    /// All actions so far.
    pub out: Vec<Action>,
    /// The server of each attempt, by request.
    pub sent: BTreeMap<u32, Vec<CacheId>>,
    next: u32,
}

impl TestBalancer {
    /// One with a fixed seed.
    pub fn new(settings: Settings, list: &[Endpoint]) -> TestBalancer {
        TestBalancer::seeded(settings, list, 7)
    }

    /// The same with another seed.
    pub fn seeded(settings: Settings, list: &[Endpoint], seed: u64) -> TestBalancer {
        let policy = Policy::new(settings, seed);
        let mut balancer = TestBalancer {
            policy,
            now: 100 * SECOND,
            out: vec![],
            sent: BTreeMap::new(),
            next: 0,
        };
        balancer.event(Event::EndpointList(EndpointListUpdate::Cached(list)));
        balancer
    }

    /// Gives the policy one event. The actions that it caused are returned and kept in `out`.
    pub fn event(&mut self, event: Event<'_>) -> Vec<Action> {
        let mut actions = vec![];
        self.policy.handle(self.now, event, &mut actions);
        for action in &actions {
            if let Action::Send { id, cache, .. } = action {
                self.sent.entry(id.0).or_default().push(*cache);
            }
        }
        self.out.extend(actions.iter().cloned());
        actions
    }

    /// Requests a key.
    pub fn request(&mut self, key: u64) -> RequestId {
        self.request_of_class(0, key, false)
    }

    /// The same for a class, to read or to write.
    pub fn request_of_class(&mut self, class: u8, key: u64, write: bool) -> RequestId {
        self.request_from(0, class, key, write)
    }

    /// The same for a tenant.
    pub fn request_from(&mut self, tenant: u32, class: u8, key: u64, write: bool) -> RequestId {
        self.next += 1;
        let id = RequestId(self.next);
        self.event(Event::Request(Request {
            id,
            class: ClassId(class),
            tenant: TenantId(tenant),
            key: Some(Key(key)),
            expires_at: self.now + 1_000 * MS,
            waited: 0,
            write,
            retry: false,
        }));
        id
    }

    /// Ends the last attempt of a request.
    ///
    /// # Panics
    ///
    /// If it has none.
    pub fn finish_attempt(&mut self, id: RequestId, outcome: Outcome) -> Vec<Action> {
        let sent = &self.sent[&id.0];
        let result = attempt_result(id, sent.len() as u8 - 1, sent[sent.len() - 1], outcome);
        self.event(Event::AttemptFinished(result))
    }

    /// Requests a key and has it served; returns the cache that served it.
    ///
    /// # Panics
    ///
    /// If it is not sent.
    pub fn serve(&mut self, key: u64) -> CacheId {
        let id = self.request(key);
        self.finish_attempt(id, Outcome::Served);
        self.last_cache(id).expect("an idle cache takes a request")
    }

    /// The server of the last attempt of a request.
    pub fn last_cache(&self, id: RequestId) -> Option<CacheId> {
        self.sent.get(&id.0).and_then(|s| s.last().copied())
    }

    /// How many final answers a request has.
    pub fn final_answers(&self, id: RequestId) -> usize {
        let is_final = |a: &&Action| matches!(a, Action::Reject { id: i, .. } | Action::Fail { id: i } if *i == id);
        self.out.iter().filter(is_final).count()
    }
}

/// The end of an attempt after 20 ms; the request is finished if it was served.
pub fn attempt_result(
    id: RequestId,
    attempt: u8,
    cache: CacheId,
    outcome: Outcome,
) -> AttemptResult {
    AttemptResult {
        id,
        attempt,
        cache,
        outcome,
        request_finished: outcome == Outcome::Served,
        elapsed: 20 * MS,
        cache_status: CacheStatus::Hit,
        load: LoadReport::default(),
    }
}

/// A load report that holds the utilization alone.
pub fn utilization_report(utilization: f32) -> LoadReport {
    LoadReport {
        len: 1,
        values: [utilization, 0.0, 0.0, 0.0],
    }
}

/// Settings in which servers report their utilization.
pub fn reporting_utilization(settings: Settings) -> Settings {
    Settings {
        report: vec![ReportField::Utilization],
        ..settings
    }
}

/// Whether a request was rejected.
pub fn has_rejection(actions: &[Action]) -> bool {
    actions.iter().any(|a| matches!(a, Action::Reject { .. }))
}

/// Whether a request has failed.
pub fn has_failure(actions: &[Action]) -> bool {
    actions.iter().any(|a| matches!(a, Action::Fail { .. }))
}

/// The servers to which requests were sent, in their order.
pub fn servers_sent_to(actions: &[Action]) -> Vec<CacheId> {
    actions
        .iter()
        .filter_map(|a| {
            if let Action::Send { cache, .. } = a {
                Some(*cache)
            } else {
                None
            }
        })
        .collect()
}
