//! Baselines: what plain load balancing decides in the decision module's place, on the same sockets, so that only the
//! decisions differ. They keep the rules on effects and drains, go to the origin on a miss, try again up to the limit,
//! and know nothing of windows, cold servers, fairness or shed load. For the lab alone; the product has no such choice.
use std::collections::{BTreeMap, BTreeSet};

use rustc_hash::FxHashMap;
use stairfront_balancer::stages::route::Decide;
use stairfront_policy::interface::{
    Action, AttemptResult, CacheId, CacheMode, Endpoint, EndpointListUpdate, EndpointState, Event,
    Idempotency, Micros, Outcome, Request, RequestId, Settings, MS,
};
use xxhash_rust::xxh3::xxh3_64_with_seed;

/// Which server a request goes to.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Choice {
    Random,
    /// The one with the fewest own requests out.
    LeastInFlight,
    /// The clockwise owner of the key's one point on a ring with one point for each server.
    OneChoice,
}

/// Left of a client's time for the answer to travel.
const ANSWER_TIME: Micros = 5 * MS;

struct Open {
    request: Request,
    attempts: u8,
    out: Option<CacheId>,
    tried: Vec<CacheId>,
    /// An attempt that has ended may have run.
    ran: bool,
}

pub struct Baseline {
    choice: Choice,
    set: Settings,
    draws: u64,
    members: BTreeMap<CacheId, Endpoint>,
    cordoned: BTreeSet<CacheId>,
    inflight: FxHashMap<CacheId, u32>,
    open: FxHashMap<RequestId, Open>,
}

impl Baseline {
    pub fn new(choice: Choice, set: Settings, seed: u64) -> Self {
        let (members, inflight, open) =
            (BTreeMap::new(), FxHashMap::default(), FxHashMap::default());
        Baseline {
            choice,
            set,
            draws: seed,
            members,
            cordoned: BTreeSet::new(),
            inflight,
            open,
        }
    }

    fn is_origin(&self, member: &Endpoint) -> bool {
        matches!(self.set.mode, CacheMode::Aside { origin } if origin == member.kind)
    }

    fn list(&mut self, news: EndpointListUpdate<'_>) {
        let (lines, whole) = match news {
            EndpointListUpdate::Delta(lines) => (lines, false),
            EndpointListUpdate::Full(lines) | EndpointListUpdate::Cached(lines) => (lines, true),
            EndpointListUpdate::Failed => return,
        };
        if whole {
            self.members.clear();
        }
        for line in lines {
            self.members.insert(line.id, *line);
        }
    }

    fn draw(&mut self, below: usize) -> usize {
        self.draws = self.draws.wrapping_add(0x9e37_79b9_7f4a_7c15);
        let mixed = xxh3_64_with_seed(&self.draws.to_le_bytes(), 0);
        (mixed % below.max(1) as u64) as usize
    }

    fn choose(&mut self, open: &Open) -> Option<CacheId> {
        let ready = |member: &&Endpoint| {
            let free = !self.is_origin(member) && !self.cordoned.contains(&member.id);
            member.state == EndpointState::Ready && free
        };
        let mut caches: Vec<CacheId> = self
            .members
            .values()
            .filter(ready)
            .map(|member| member.id)
            .collect();
        if caches.iter().any(|cache| !open.tried.contains(cache)) {
            caches.retain(|cache| !open.tried.contains(cache));
        }
        match self.choice {
            Choice::Random => {
                let i = self.draw(caches.len());
                caches.get(i).copied()
            }
            Choice::LeastInFlight => {
                // Ties go to whichever comes first after a random one.
                let first = self.draw(caches.len());
                caches.rotate_left(first);
                caches
                    .into_iter()
                    .min_by_key(|cache| self.inflight.get(cache).copied().unwrap_or(0))
            }
            Choice::OneChoice => {
                let point = |value: u64| xxh3_64_with_seed(&value.to_le_bytes(), 7);
                let at = open.request.key.map_or(0, |key| point(key.0));
                caches.sort_by_key(|cache| point(cache.0));
                let owner = caches
                    .iter()
                    .position(|cache| point(cache.0) >= at)
                    .unwrap_or(0);
                caches.get(owner).copied()
            }
        }
    }

    fn origin(&self) -> Option<CacheId> {
        let serves =
            |member: &&Endpoint| self.is_origin(member) && member.state == EndpointState::Ready;
        self.members.values().find(serves).map(|member| member.id)
    }

    fn send(&mut self, now: Micros, id: RequestId, to: Option<CacheId>, actions: &mut Vec<Action>) {
        let (Some(to), Some(open)) = (to, self.open.get_mut(&id)) else {
            return self.give_up(id, actions);
        };
        let timeout = open.request.expires_at - now - 2 * ANSWER_TIME;
        if timeout <= 0 || open.attempts >= self.set.limits.max_attempts {
            return self.give_up(id, actions);
        }
        open.attempts += 1;
        open.out = Some(to);
        open.tried.push(to);
        *self.inflight.entry(to).or_default() += 1;
        actions.push(Action::Send {
            id,
            cache: to,
            timeout,
            send_within: None,
        });
    }

    /// A refusal says that a retry is harmless, so it is one only where nothing may have run.
    fn give_up(&mut self, id: RequestId, actions: &mut Vec<Action>) {
        let Some(open) = self.open.remove(&id) else {
            return;
        };
        let free = self.set.classes.get(usize::from(open.request.class.0));
        let free = free.is_some_and(|class| class.idempotency == Idempotency::Idempotent);
        actions.push(match free || !open.ran {
            true => Action::Reject { id, retry_after: 0 },
            false => Action::Fail { id },
        });
    }

    fn request(&mut self, now: Micros, request: Request, actions: &mut Vec<Action>) {
        let id = request.id;
        let open = Open {
            request,
            attempts: 0,
            out: None,
            tried: Vec::new(),
            ran: false,
        };
        let to = match (request.write, self.origin()) {
            (true, Some(origin)) => Some(origin),
            _ => self.choose(&open),
        };
        self.open.insert(id, open);
        let delay = (request.expires_at - now - ANSWER_TIME).max(0);
        actions.push(Action::Timer {
            delay,
            token: u64::from(id.0),
        });
        self.send(now, id, to, actions);
    }

    fn settled(&mut self, now: Micros, settled: AttemptResult, actions: &mut Vec<Action>) {
        if let Some(inflight) = self.inflight.get_mut(&settled.cache) {
            *inflight = inflight.saturating_sub(1);
        }
        let id = settled.id;
        if settled.request_finished || settled.outcome == Outcome::Served {
            self.open.remove(&id);
            return;
        }
        let Some(mut open) = self.open.remove(&id) else {
            return;
        };
        open.out = None;
        open.ran |= !settled.outcome.proves_no_effect();
        let free = self.set.classes.get(usize::from(open.request.class.0));
        let may_repeat =
            !open.ran || free.is_some_and(|class| class.idempotency == Idempotency::Idempotent);
        let to = match settled.outcome {
            Outcome::Miss => self.origin(),
            _ if open.request.write => self.origin(),
            _ => self.choose(&open),
        };
        self.open.insert(id, open);
        self.send(now, id, to.filter(|_| may_repeat), actions);
    }
}

impl Decide for Baseline {
    fn handle(&mut self, now: Micros, event: Event<'_>, actions: &mut Vec<Action>) {
        match event {
            Event::EndpointList(news) => self.list(news),
            Event::Request(request) => self.request(now, request, actions),
            Event::AttemptFinished(settled) => self.settled(now, settled, actions),
            Event::ClientDisconnected { id } | Event::ResponseStarted { id, .. } => {
                self.open.remove(&id);
            }
            Event::Timer { token } => {
                let id = RequestId(token as u32);
                let due = |open: &Open| now >= open.request.expires_at - 2 * ANSWER_TIME;
                if self.open.get(&id).is_some_and(due) {
                    // What is out may have run.
                    if let Some(open) = self.open.get_mut(&id) {
                        open.ran |= open.out.is_some();
                    }
                    self.give_up(id, actions);
                }
            }
            Event::SettingsChanged { settings, .. } => self.set = settings.clone(),
            Event::Cordon { cache, on: true } => drop(self.cordoned.insert(cache)),
            Event::Cordon { cache, on: false } => drop(self.cordoned.remove(&cache)),
            Event::HealthChecked { .. }
            | Event::PeerMessage { .. }
            | Event::Inherited(_)
            | Event::ShuttingDown { .. } => {}
        }
    }
}
