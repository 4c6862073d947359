//! Every decision of one balancer. The types it speaks in stand in `interface.rs`.
//!
//! Ordinary path: two-point ring placement after Byers, Considine and Mitzenmacher. Everything else here
//! is what that design leaves open: list, health, time-outs, repeats, cold caches, origin, overload, fairness.
use std::collections::{BTreeMap, VecDeque};

use rustc_hash::FxHashMap;
use xxhash_rust::xxh3::xxh3_64_with_seed;

use crate::interface::*;

const MS: Micros = 1_000;
const SECOND: Micros = 1_000_000;
/// Points that a key hashes to: the design's d. A third is used only when two fall to one owner.
const POINTS: usize = 2;
const MOST_POINTS: u64 = 3;
/// Seed of a cache's ring point; keys use the seeds 1.. so that no key shares it.
const RING_SEED: u64 = 0;
/// Most keys remembered; at a few dozen bytes each this stays within some megabytes.
const TABLE_MAX: usize = 65_536;
/// A key unseen for this long is placed anew (the design's start value).
const ENTRY_AGE: Micros = 60 * SECOND;
/// In-flight margin of the design: twice the mean and at least two requests above it.
const SPILL_MULTIPLE: f64 = 2.0;
const SPILL_FLOOR: f64 = 2.0;
/// Weight of a new sample in smoothed times.
const SMOOTHING: f64 = 0.15;
/// Share of the shortest aim that a smoothed answer time may reach before a server counts as crowded:
/// the other half is left for the spread around it and for a second step.
const CROWDED_AIM: f64 = 0.5;
const CROWDED_ORIGIN: f64 = 0.5;
/// Window of own requests out at one server: start value and multiplicative cut.
/// Time after which an earlier answer time no longer counts for much.
const STALE_SPAN: f64 = 2.0 * SECOND as f64;
const WINDOW_START: f64 = 4.0;
const WINDOW_CUT: f64 = 0.8;
const WINDOW_MAX: f64 = 256.0;
const WINDOW_MIN: f64 = 0.1;
/// First absence of a suspect, doubled at each further failure up to the last.
const SUSPECT_FIRST: Micros = 400 * MS;
const SUSPECT_LAST: Micros = 6 * SECOND;
/// Time-outs in a row that make a suspect (a refused connection needs only one).
const TIMEOUTS_SUSPECT: u32 = 3;
/// Repeats earned by each first try, and the most that may be saved up: a retry budget.
const RETRY_SHARE: f64 = 0.1;
const RETRY_BURST: f64 = 10.0;
/// Share of the time left that a first attempt may take where another can follow.
const ATTEMPT_SHARE: f64 = 0.65;
/// Time over which rates are measured.
const RATE_SPAN: f64 = 4.0 * SECOND as f64;
/// Requests a second that a cold cache always gets, so that it can warm and be judged.
const COLD_TRICKLE: f64 = 0.5;
/// A tenant counts as over its share beyond this multiple of the median use of quotas here.
const FAIR_SLACK: f64 = 1.2;
/// Pressure from which all excess is shed; below, in proportion.
const PRESSURE_FULL: f64 = 0.2;
const PRESSURE_SMOOTHING: f64 = 0.03;
/// Least time between two log lines of one balancer.
const LOG_GAP: Micros = 200 * MS;
/// Most votes that the usual time left may gather, so that a change of habit is noticed.
const USUAL_VOTES: i32 = 500;
/// Timer tokens: requests use their id, the list this one.
const LIST_TOKEN: u64 = u64::MAX;

/// Whether something is the ring's or the origin.
#[derive(Clone, Copy, PartialEq, Eq)]
enum Role {
    Cache,
    Origin,
}

struct Server {
    member: Member,
    role: Role,
    /// Keys that this balancer has placed here; placements of an earlier epoch (process) are void.
    keys: i64,
    epoch: u32,
    inflight: u32,
    window: f64,
    pace: f64,
    /// Smoothed answer time over what it should be.
    stress: f64,
    cut_at: Micros,
    timed_at: Micros,
    strikes: u32,
    suspect_until: Micros,
    sent: Rate,
    cold_tokens: f64,
    cold_at: Micros,
}

/// An exponentially forgetting count of events.
#[derive(Clone, Copy, Default)]
struct Rate {
    sum: f64,
    at: Micros,
}

impl Rate {
    fn add(&mut self, now: Micros) {
        self.sum = self.faded(now) + 1.0;
        self.at = now;
    }
    fn faded(&self, now: Micros) -> f64 {
        self.sum * (-((now - self.at) as f64) / RATE_SPAN).exp()
    }
    fn per_second(&self, now: Micros) -> f64 {
        self.faded(now) * SECOND as f64 / RATE_SPAN
    }
}

struct Placement {
    cache: CacheId,
    epoch: u32,
    seen: Micros,
}

/// The earliest attempt that may have run: what a guarded repeat is bound to.
#[derive(Clone, Copy)]
struct Ran {
    at: Micros,
    zone: Zone,
    cell: Cell,
}

#[derive(Clone, Copy)]
struct Out {
    attempt: u8,
    server: CacheId,
    ran: Ran,
}

#[derive(Clone, Copy, PartialEq, Eq)]
enum Stage {
    /// Chosen or to be chosen among caches.
    Cache,
    /// Its own fetch from the origin is out, or waits for a place.
    Fetch,
    /// Waits for another request's fetch of the same key.
    Follow,
    /// A streamed answer has begun: the client's from here.
    Streaming,
}

struct Pending {
    request: Request,
    aim_at: Micros,
    stage: Stage,
    sent: u8,
    out: Option<Out>,
    ran: Option<Ran>,
    tried: [Option<CacheId>; 2],
}

struct Fetch {
    leader: RequestId,
    followers: Vec<RequestId>,
}

pub struct Policy {
    set: Settings,
    rng: u64,
    shortest_aim: Micros,
    servers: BTreeMap<CacheId, Server>,
    /// Points of the ready caches, ascending: the design's ring.
    ring: Vec<(u64, CacheId)>,
    table: FxHashMap<Key, Placement>,
    /// Keys by the time they were last looked at, oldest first, for lapse and bound.
    ages: VecDeque<(Micros, Key)>,
    pending: FxHashMap<RequestId, Pending>,
    fetches: FxHashMap<Key, Fetch>,
    fetch_queue: VecDeque<RequestId>,
    retry_tokens: f64,
    tenant_rates: Vec<Rate>,
    /// The usual time left on arrival and the votes for it, by class: who differs came before.
    usual_left: Vec<(Micros, i32)>,
    pressure: f64,
    shedding: bool,
    subscribed: bool,
    list_failures: u32,
    started: bool,
    logged_at: Micros,
}

impl Policy {
    pub fn new(set: Settings, seed: u64) -> Self {
        Policy {
            rng: seed,
            shortest_aim: set.classes.iter().map(|c| c.aim).min().unwrap_or(SECOND),
            servers: BTreeMap::new(),
            ring: Vec::new(),
            table: FxHashMap::default(),
            ages: VecDeque::new(),
            pending: FxHashMap::default(),
            fetches: FxHashMap::default(),
            fetch_queue: VecDeque::new(),
            retry_tokens: RETRY_BURST,
            tenant_rates: vec![Rate::default(); set.tenants.len()],
            usual_left: vec![(0, 0); set.classes.len()],
            pressure: 0.0,
            shedding: false,
            subscribed: false,
            list_failures: 0,
            started: false,
            logged_at: Micros::MIN / 2,
            set,
        }
    }

    pub fn handle(&mut self, now: Micros, event: Event<'_>, actions: &mut Vec<Action>) {
        match event {
            Event::List(news) => self.on_list(now, news, actions),
            Event::Request(request) => self.on_request(now, request, actions),
            Event::Settled(settled) => self.on_settled(now, settled, actions),
            Event::Begun { id, .. } => {
                if let Some(p) = self.pending.get_mut(&id) {
                    p.stage = Stage::Streaming;
                }
            }
            Event::ClientGone { id } => self.forget(now, id, actions),
            Event::Timer { token: LIST_TOKEN } => {
                if !self.subscribed {
                    actions.push(Action::Subscribe(true));
                }
            }
            Event::Timer { token } => {
                if let Ok(id) = u32::try_from(token) {
                    self.on_give_up(now, RequestId(id), actions);
                }
            }
            Event::Probed { .. } | Event::Peer { .. } => {}
        }
    }

    // ---- the list ----

    fn on_list(&mut self, now: Micros, news: ListNews<'_>, actions: &mut Vec<Action>) {
        match news {
            ListNews::Failed => {
                self.subscribed = false;
                self.list_failures = (self.list_failures + 1).min(4);
                return self.ask_later(actions);
            }
            ListNews::Delta(lines) => {
                self.subscribed = true;
                lines.iter().for_each(|line| self.learn(now, line));
            }
            ListNews::Full(lines) | ListNews::Cached(lines) => {
                for server in self.servers.values_mut() {
                    if !lines.iter().any(|line| line.id == server.member.id) {
                        server.member.state = MemberState::Gone;
                    }
                }
                lines.iter().for_each(|line| self.learn(now, line));
                self.subscribed = !matches!(news, ListNews::Cached(_));
            }
        }
        self.list_failures = 0;
        self.servers.retain(|_, s| s.member.state != MemberState::Gone || s.inflight > 0);
        self.rebuild_ring();
        if !self.started {
            self.started = true;
            self.ask_later(actions);
        }
    }

    /// Danger: after a mass restart every balancer asks discovery at once and all calls fail, again and again.
    fn ask_later(&mut self, actions: &mut Vec<Action>) {
        if self.set.discovery == Discovery::Push {
            return;
        }
        let spread = Micros::from(self.set.balancers) * SECOND / 2 * (1 << self.list_failures);
        let delay = self.set.tick + (self.random() * spread as f64) as Micros;
        actions.push(Action::Timer {
            delay: delay.min(self.set.rules.ask_every.max(SECOND)),
            token: LIST_TOKEN,
        });
    }

    fn learn(&mut self, now: Micros, line: &Member) {
        let role = match self.set.mode {
            CacheMode::Aside { origin } if line.kind == origin => Role::Origin,
            _ => Role::Cache,
        };
        let mean = self.mean_keys(line.id);
        let server = self.servers.entry(line.id).or_insert_with(|| Server {
            member: *line,
            role,
            keys: mean,
            epoch: 0,
            inflight: 0,
            window: WINDOW_START,
            pace: 0.0,
            stress: 0.0,
            cut_at: now,
            timed_at: 0,
            strikes: 0,
            suspect_until: now,
            sent: Rate { sum: 0.0, at: now },
            cold_tokens: 1.0,
            cold_at: now,
        });
        // Danger: a restarted process comes back empty under its old id; steering its old keys there
        // would send a flood of misses to a cold cache.
        if line.born > server.member.born {
            server.epoch += 1;
            server.keys = mean;
            server.strikes = 0;
            server.suspect_until = now;
            server.window = WINDOW_START;
            server.pace = 0.0;
            server.stress = 0.0;
            server.cold_tokens = 1.0;
            server.cold_at = now;
        }
        server.member = *line;
    }

    fn mean_keys(&self, newcomer: CacheId) -> i64 {
        let others = self.ring.iter().filter(|(_, id)| *id != newcomer);
        let (sum, n) =
            others.fold((0, 0), |(s, n), (_, id)| (s + self.servers.get(id).map_or(0, |c| c.keys), n + 1));
        if n == 0 {
            0
        } else {
            sum / n
        }
    }

    /// Danger: a draining or gone cache must get nothing new; it leaves the ring in the same event.
    fn rebuild_ring(&mut self) {
        let ready = |s: &&Server| s.role == Role::Cache && s.member.state == MemberState::Ready;
        self.ring = self
            .servers
            .values()
            .filter(ready)
            .map(|s| (point(s.member.id.0, RING_SEED), s.member.id))
            .collect();
        self.ring.sort_unstable();
    }

    // ---- placement: the design ----

    /// Ring position of the clockwise owner of a point.
    fn owner(&self, at: u64) -> usize {
        let i = self.ring.partition_point(|(point, _)| *point < at);
        if i == self.ring.len() {
            0
        } else {
            i
        }
    }

    /// The distinct owners of a key's points, in the order of its hash functions, and how many there are.
    fn candidates(&self, key: Key) -> ([usize; MOST_POINTS as usize], usize) {
        let (mut found, mut n) = ([0; MOST_POINTS as usize], 0);
        for seed in 1..=MOST_POINTS {
            let i = self.owner(point(key.0, seed));
            if !found[..n].contains(&i) {
                found[n] = i;
                n += 1;
            }
        }
        (found, n)
    }

    fn arc(&self, i: usize) -> u64 {
        let before = if i == 0 { self.ring.len() - 1 } else { i - 1 };
        self.ring[i].0.wrapping_sub(self.ring[before].0)
    }

    /// Where the key stays: its placement, or a new one on the candidate holding fewer keys, shorter arc on ties.
    fn place(&mut self, now: Micros, key: Key) -> Option<CacheId> {
        if self.ring.is_empty() {
            return None;
        }
        if let Some(entry) = self.table.get_mut(&key) {
            let server = self.servers.get(&entry.cache);
            let ready = |s: &&Server| s.member.state == MemberState::Ready && s.epoch == entry.epoch;
            if now - entry.seen < ENTRY_AGE && server.filter(ready).is_some() {
                entry.seen = now;
                return Some(entry.cache);
            }
            self.unplace(key);
        }
        let (found, n) = self.candidates(key);
        let load = |i: &&usize| (self.servers.get(&self.ring[**i].1).map_or(0, |s| s.keys), self.arc(**i));
        let cache = self.ring[*found[..n.min(POINTS)].iter().min_by_key(load)?].1;
        let server = self.servers.get_mut(&cache)?;
        server.keys += 1;
        self.table.insert(key, Placement { cache, epoch: server.epoch, seen: now });
        self.ages.push_back((now, key));
        self.lapse(now);
        Some(cache)
    }

    fn unplace(&mut self, key: Key) {
        if let Some(old) = self.table.remove(&key) {
            if let Some(server) = self.servers.get_mut(&old.cache).filter(|s| s.epoch == old.epoch) {
                server.keys -= 1;
            }
        }
    }

    /// Drops entries unseen for too long, and the oldest ones while the table is over its bound.
    fn lapse(&mut self, now: Micros) {
        while let Some(&(looked, key)) = self.ages.front() {
            let over = self.table.len() > TABLE_MAX || self.ages.len() > 2 * TABLE_MAX;
            if !over && now - looked < ENTRY_AGE {
                return;
            }
            self.ages.pop_front();
            match self.table.get(&key) {
                Some(entry) if entry.seen > looked => {
                    let seen = entry.seen;
                    self.ages.push_back((seen, key));
                    if over && self.ages.front().is_some_and(|(at, _)| *at >= seen) {
                        return;
                    }
                }
                Some(_) => self.unplace(key),
                None => {}
            }
        }
    }

    // ---- choice of a cache for one request ----

    fn mean_inflight(&self) -> f64 {
        let sum: u32 = self.ring.iter().filter_map(|(_, id)| self.servers.get(id)).map(|s| s.inflight).sum();
        f64::from(sum) / self.ring.len().max(1) as f64
    }

    /// The cache for this request: where its key is placed, unless an exception of `docs/design.md` holds.
    fn choose(&mut self, now: Micros, id: RequestId) -> Option<CacheId> {
        let p = self.pending.get(&id)?;
        let (key, tried) = (p.request.key.unwrap_or(Key(u64::from(id.0))), p.tried);
        let placed = match p.request.key {
            Some(key) => self.place(now, key)?,
            None => self.ring.get(self.candidates(key).0[0])?.1,
        };
        let mean = self.mean_inflight();
        let (found, n) = self.candidates(key);
        let mut options = vec![placed];
        options.extend(found[..n].iter().map(|i| self.ring[*i].1).filter(|c| *c != placed));
        let fresh = |c: &CacheId| !tried.contains(&Some(*c));
        let crowded = |s: &Server| {
            let own = f64::from(s.inflight);
            own >= (mean * SPILL_MULTIPLE).max(mean + SPILL_FLOOR) || !s.has_room(now)
        };
        let mut pick = None;
        let mut least = u32::MAX;
        let mut crowd = false;
        for cache in options.iter().filter(|c| fresh(c)) {
            let Some(server) = self.servers.get(cache).filter(|s| self.open(s, now)) else { continue };
            crowd = crowded(server);
            if !crowd {
                pick = Some(*cache);
                break;
            }
            if server.inflight < least && server.has_room(now) {
                (pick, least) = (Some(*cache), server.inflight);
            }
        }
        let pressed = crowd || pick.is_none();
        self.pressure += PRESSURE_SMOOTHING * (f64::from(u8::from(pressed)) - self.pressure);
        if pick.is_none()
            && options.iter().all(|c| !fresh(c) || !self.servers.get(c).is_some_and(|s| self.open(s, now)))
        {
            pick = self.next_clockwise(now, key, &tried);
        }
        pick
    }

    /// Danger: with every candidate suspect, draining or out of its cold budget a request would have nowhere
    /// to go although the rest of the ring can serve it.
    fn next_clockwise(&self, now: Micros, key: Key, tried: &[Option<CacheId>]) -> Option<CacheId> {
        let start = self.owner(point(key.0, 1));
        (1..self.ring.len()).map(|step| self.ring[(start + step) % self.ring.len()].1).find(|c| {
            !tried.contains(&Some(*c))
                && self.servers.get(c).is_some_and(|s| self.open(s, now) && s.has_room(now))
        })
    }

    /// May an ordinary request go there now?
    fn open(&self, server: &Server, now: Micros) -> bool {
        server.member.state == MemberState::Ready
            && self.trusted(server, now)
            && self.cold_allows(server, now)
    }

    /// Danger: ejecting on little evidence must not take away most of the fleet: past half, suspicion is ignored.
    fn trusted(&self, server: &Server, now: Micros) -> bool {
        if server.strikes == 0
            || (server.suspect_until <= now && (server.inflight == 0 || !server.suspected()))
        {
            return true;
        }
        if !server.suspected() {
            return true;
        }
        let suspects =
            self.ring.iter().filter(|(_, id)| self.servers.get(id).is_some_and(Server::suspected)).count();
        2 * suspects > self.ring.len()
    }

    /// Fraction of its capacity that a cache surely has by its stated warm-up.
    fn warmth(&self, server: &Server, now: Micros) -> f64 {
        let (rules, age) = (&self.set.rules, now - server.member.born);
        if server.member.born <= 0 || age >= rules.warm_up {
            return 1.0;
        }
        rules.cold_from + (1.0 - rules.cold_from) * (age.max(0) as f64 / rules.warm_up as f64)
    }

    /// Danger: a cold cache sent a multiple of its present capacity falls over and stays down. What this
    /// balancer sends to a warm cache stands for its part of the capacity, so no other balancer is asked.
    fn cold_rate(&self, server: &Server, now: Micros) -> f64 {
        let warm = |id: &CacheId| self.servers.get(id).filter(|s| self.warmth(s, now) >= 1.0);
        let rates = self.ring.iter().filter_map(|(_, id)| warm(id)).map(|s| s.sent.per_second(now));
        let (sum, n) = rates.fold((0.0, 0), |(sum, n), r| (sum + r, n + 1));
        (sum / f64::from(n.max(1)) * self.warmth(server, now)).max(COLD_TRICKLE)
    }

    fn cold_tokens(&self, server: &Server, now: Micros) -> f64 {
        let rate = self.cold_rate(server, now);
        (server.cold_tokens + rate * (now - server.cold_at) as f64 / SECOND as f64).min((rate / 2.0).max(1.0))
    }

    fn cold_allows(&self, server: &Server, now: Micros) -> bool {
        self.warmth(server, now) >= 1.0 || self.cold_tokens(server, now) >= 1.0
    }

    // ---- requests ----

    fn on_request(&mut self, now: Micros, request: Request, actions: &mut Vec<Action>) {
        self.retry_tokens = (self.retry_tokens + RETRY_SHARE).min(RETRY_BURST);
        if let Some(rate) = self.tenant_rates.get_mut(request.tenant.0 as usize) {
            rate.add(now);
        }
        let aim_at = self.aim_at(now, &request);
        let p =
            Pending { request, aim_at, stage: Stage::Cache, sent: 0, out: None, ran: None, tried: [None; 2] };
        let give_up = self.give_up_at(&p);
        self.pending.insert(request.id, p);
        if give_up <= now || self.shed(now, &request, actions) {
            return self.finish(now, request.id, actions);
        }
        actions.push(Action::Timer { delay: give_up - now, token: u64::from(request.id.0) });
        self.dispatch(now, request.id, actions);
    }

    fn class(&self, request: &Request) -> Option<&Class> {
        self.set.classes.get(usize::from(request.class.0))
    }

    /// When an answer stops being in time. A client's repeat counts from its first try, which shows in the time left.
    fn aim_at(&mut self, now: Micros, request: &Request) -> Micros {
        let (left, slack) = (request.expires - now, 4 * self.set.tick);
        let Some(class) = self.class(request) else { return request.expires };
        let (aim, deadline) = (class.aim, class.deadline);
        let (usual, votes) = &mut self.usual_left[usize::from(request.class.0)];
        let near = (left - *usual).abs() <= slack;
        *votes += if near { 1 } else { -1 };
        if *votes < 0 {
            (*usual, *votes) = (left, 1);
        }
        *votes = (*votes).min(USUAL_VOTES);
        let spent = if near || *usual == left { 0 } else { (deadline - left).max(0) };
        (now + aim - spent).min(request.expires)
    }

    /// The time of the final answer at the latest: while it earns something, and two ticks before the client leaves.
    fn give_up_at(&self, p: &Pending) -> Micros {
        let last = p.request.expires - 2 * self.set.tick;
        let late_earns = self.class(&p.request).is_some_and(|c| c.late_worth > 0.0);
        // A fetch goes on past the aim: its value is stored for the next reader only while its own waits.
        if late_earns || p.stage == Stage::Fetch {
            last
        } else {
            last.min(p.aim_at)
        }
    }

    fn dispatch(&mut self, now: Micros, id: RequestId, actions: &mut Vec<Action>) {
        let Some(p) = self.pending.get_mut(&id) else { return };
        p.stage = Stage::Cache;
        let aside = matches!(self.set.mode, CacheMode::Aside { .. });
        if aside && p.request.write {
            return match self.origin() {
                Some(origin) if self.may_send(now, id, origin) => self.send(now, id, origin, actions),
                _ => self.finish(now, id, actions),
            };
        }
        if aside && self.follow(id) {
            return;
        }
        match self.choose(now, id) {
            Some(cache) if self.may_send(now, id, cache) => self.send(now, id, cache, actions),
            _ => self.finish(now, id, actions),
        }
    }

    /// Singleflight. Danger: a popular key that went void would otherwise be fetched once per reader.
    fn follow(&mut self, id: RequestId) -> bool {
        let Some(p) = self.pending.get_mut(&id) else { return false };
        match p.request.key.and_then(|key| self.fetches.get_mut(&key)) {
            Some(fetch) if fetch.leader != id => {
                p.stage = Stage::Follow;
                fetch.followers.push(id);
                true
            }
            _ => false,
        }
    }

    fn send(&mut self, now: Micros, id: RequestId, to: CacheId, actions: &mut Vec<Action>) {
        let timeout = self.attempt_timeout(now, id);
        let warmth = self.servers.get(&to).map_or(1.0, |s| self.warmth(s, now));
        let tokens = self.servers.get(&to).map_or(1.0, |s| self.cold_tokens(s, now));
        let (Some(p), Some(server)) = (self.pending.get_mut(&id), self.servers.get_mut(&to)) else { return };
        server.inflight += 1;
        server.sent.add(now);
        if warmth < 1.0 {
            server.cold_tokens = tokens - 1.0;
            server.cold_at = now;
        }
        let ran = Ran { at: now, zone: server.member.zone, cell: server.member.cell };
        p.out = Some(Out { attempt: p.sent, server: to, ran });
        p.sent += 1;
        if server.role == Role::Cache {
            p.tried = [Some(to), p.tried[0]];
        }
        actions.push(Action::Send { id, cache: to, timeout });
    }

    /// Danger: work that is cut short here still runs there. While it is out it counts against the server's window.
    fn attempt_timeout(&self, now: Micros, id: RequestId) -> Micros {
        let left = self.pending.get(&id).map_or(0, |p| p.request.expires - 2 * self.set.tick - now);
        left.max(self.set.tick)
    }

    fn on_settled(&mut self, now: Micros, s: Settled, actions: &mut Vec<Action>) {
        self.observe(now, &s, actions);
        let mut origin = false;
        if let Some(server) = self.servers.get_mut(&s.cache) {
            server.inflight = server.inflight.saturating_sub(1);
            origin = server.role == Role::Origin;
        }
        if let Some(p) = self.pending.get_mut(&s.id) {
            if let Some(out) = p.out.filter(|out| out.attempt == s.attempt) {
                p.out = None;
                if !never_ran(s.outcome) {
                    p.ran = p.ran.or(Some(out.ran));
                }
            }
            if s.closed {
                self.conclude(now, s.id, s.outcome == Outcome::Served, actions);
            } else {
                self.carry_on(now, s.id, s.outcome, actions);
            }
        }
        if origin {
            self.start_fetches(now, actions);
        }
    }

    /// An attempt ended without an answer: fetch, try again, or end it.
    fn carry_on(&mut self, now: Micros, id: RequestId, outcome: Outcome, actions: &mut Vec<Action>) {
        let Some(p) = self.pending.get(&id) else { return };
        let aside = matches!(self.set.mode, CacheMode::Aside { .. });
        if p.sent >= self.set.limits.most_attempts || self.give_up_at(p) <= now + self.set.tick {
            return self.finish(now, id, actions);
        }
        if outcome == Outcome::Miss && aside {
            if !self.follow(id) {
                self.lead(now, id, actions);
            }
            return;
        }
        // Danger: repeats of failures multiply the load that made them fail.
        if self.retry_tokens < 1.0 {
            return self.finish(now, id, actions);
        }
        self.retry_tokens -= 1.0;
        if p.stage == Stage::Fetch {
            self.fetch(now, id, actions);
        } else {
            self.dispatch(now, id, actions);
        }
    }

    // ---- the origin ----

    fn origin(&self) -> Option<CacheId> {
        let listed =
            self.servers.values().filter(|s| s.role == Role::Origin && s.member.state == MemberState::Ready);
        listed.min_by_key(|s| s.inflight).map(|s| s.member.id)
    }

    fn lead(&mut self, now: Micros, id: RequestId, actions: &mut Vec<Action>) {
        let Some(p) = self.pending.get_mut(&id) else { return };
        p.stage = Stage::Fetch;
        if let Some(key) = p.request.key {
            self.fetches.insert(key, Fetch { leader: id, followers: Vec::new() });
        }
        self.fetch(now, id, actions);
    }

    /// Danger: past what the origin can do, every fetch is late. A bounded window is out, the rest waits its turn.
    fn fetch(&mut self, now: Micros, id: RequestId, actions: &mut Vec<Action>) {
        self.fetch_queue.push_back(id);
        self.start_fetches(now, actions);
    }

    fn start_fetches(&mut self, now: Micros, actions: &mut Vec<Action>) {
        while let Some(origin) = self.origin() {
            let Some(server) = self.servers.get(&origin) else { return };
            if !server.has_room(now) {
                return;
            }
            let pace = server.pace as Micros;
            let Some(id) = self.fetch_queue.pop_front() else { return };
            let Some(p) = self.pending.get(&id).filter(|p| p.stage == Stage::Fetch && p.out.is_none()) else {
                continue;
            };
            // Nothing is sent that cannot return in time.
            if now + pace / 2 > p.aim_at.max(self.give_up_at(p)) || !self.may_send(now, id, origin) {
                self.finish(now, id, actions);
                continue;
            }
            self.send(now, id, origin, actions);
        }
    }

    // ---- effects: may it be sent again, may it be refused ----

    fn may_send(&self, now: Micros, id: RequestId, to: CacheId) -> bool {
        let (Some(p), Some(server)) = (self.pending.get(&id), self.servers.get(&to)) else { return false };
        if p.out.is_some() || p.sent >= self.set.limits.most_attempts {
            return false;
        }
        let Some(ran) = p.ran else { return true };
        match self.class(&p.request).map(|c| c.semantics) {
            Some(Semantics::Free) => true,
            // Danger: a keyed request outside its group or window would take effect twice.
            Some(Semantics::Guarded { group, key_ttl }) => {
                let same = match group {
                    Group::All => true,
                    Group::Zone => server.member.zone == ran.zone,
                    Group::Cell => server.member.cell == ran.cell && server.member.zone == ran.zone,
                };
                same && now + self.set.tick < ran.at + key_ttl
            }
            Some(Semantics::SingleShot) | None => false,
        }
    }

    /// Danger: a refusal tells the client that a repeat is harmless.
    fn may_refuse(&self, p: &Pending) -> bool {
        let clean = p.ran.is_none() && p.out.is_none();
        match self.class(&p.request).map(|c| c.semantics) {
            Some(Semantics::Free) | Some(Semantics::Guarded { group: Group::All, .. }) => true,
            _ => clean,
        }
    }

    /// The final answer where no server gave one.
    fn finish(&mut self, now: Micros, id: RequestId, actions: &mut Vec<Action>) {
        let Some(p) = self.pending.get(&id) else { return };
        if self.may_refuse(p) {
            actions.push(Action::Refuse { id, retry_after: self.set.limits.max_retry_after });
        } else {
            actions.push(Action::Fail { id });
        }
        self.forget(now, id, actions);
    }

    /// Ends the balancer's own work for a request that is over.
    fn forget(&mut self, now: Micros, id: RequestId, actions: &mut Vec<Action>) {
        self.conclude(now, id, false, actions);
    }

    /// Followers of a fetch read what it stored; if it failed, the next of them fetches.
    fn conclude(&mut self, now: Micros, id: RequestId, stored: bool, actions: &mut Vec<Action>) {
        let Some(key) = self.pending.remove(&id).and_then(|p| p.request.key) else { return };
        if self.fetches.get(&key).is_none_or(|f| f.leader != id) {
            return;
        }
        let Some(fetch) = self.fetches.remove(&key) else { return };
        let mut waiting = fetch.followers;
        let pending = &self.pending;
        waiting.retain(|f| pending.get(f).is_some_and(|p| p.stage == Stage::Follow));
        if stored {
            waiting.iter().for_each(|f| self.dispatch(now, *f, actions));
        } else if let Some((next, rest)) = waiting.split_first() {
            self.lead(now, *next, actions);
            if let Some(fetch) = self.fetches.get_mut(&key) {
                fetch.followers.extend_from_slice(rest);
            } else {
                rest.iter().for_each(|f| self.dispatch(now, *f, actions));
            }
        }
    }

    /// Danger: a request nobody answers is lost. Its timer ends it whatever became of its attempts.
    fn on_give_up(&mut self, now: Micros, id: RequestId, actions: &mut Vec<Action>) {
        let Some(p) = self.pending.get(&id).filter(|p| p.stage != Stage::Streaming) else { return };
        let last = self.give_up_at(p);
        if last > now && p.out.is_some() {
            actions.push(Action::Timer { delay: last - now, token: u64::from(id.0) });
        } else {
            self.finish(now, id, actions);
        }
    }

    // ---- health and windows ----

    fn observe(&mut self, now: Micros, s: &Settled, actions: &mut Vec<Action>) {
        let aim =
            self.pending.get(&s.id).and_then(|p| self.class(&p.request)).map_or(self.shortest_aim, |c| c.aim);
        let Some(server) = self.servers.get_mut(&s.cache) else { return };
        let goal = aim as f64 * if server.role == Role::Origin { CROWDED_ORIGIN } else { CROWDED_AIM };
        let was = server.suspected();
        match s.outcome {
            Outcome::Served | Outcome::Miss => {
                if server.suspected() {
                    server.window = 1.0;
                }
                server.strikes = 0;
                // A cache's own fetch says nothing of how crowded the cache is.
                if s.outcome == Outcome::Served && s.note != Note::Fetched {
                    server.timed(now, s.elapsed as f64, goal);
                }
            }
            Outcome::ConnectFailed | Outcome::Reset => server.strike(now, TIMEOUTS_SUSPECT),
            Outcome::TimedOut => {
                server.timed(now, s.elapsed as f64, goal);
                server.strike(now, 1);
            }
            Outcome::Full | Outcome::Errored => server.cut(now, goal),
            Outcome::Cancelled => server.timed(now, (s.elapsed as f64).max(server.pace), goal),
            Outcome::Moot => {}
        }
        let is = server.suspected();
        if was != is && server.role == Role::Cache {
            let text = format!(
                "cache {:012x} {} after {:?}",
                s.cache.0,
                if is { "suspect" } else { "cleared" },
                s.outcome
            );
            self.log(now, text, actions);
        }
    }

    // ---- fairness ----

    /// Refuses, under pressure alone, what its tenant sends beyond its share. This balancer sees only its slice,
    /// so shares are judged by the median use of quotas here, not by the quotas themselves.
    fn shed(&mut self, now: Micros, request: &Request, actions: &mut Vec<Action>) -> bool {
        let level = (self.pressure / PRESSURE_FULL).min(1.0);
        if self.shedding != (level > 0.5) {
            self.shedding = level > 0.5;
            let text =
                format!("shedding over-share traffic {}", if self.shedding { "starts" } else { "ends" });
            self.log(now, text, actions);
        }
        let excess = self.excess(now, request.tenant);
        excess > 0.0 && self.set.over_share_worth < 1.0 && self.random() < excess * level
    }

    fn excess(&self, now: Micros, tenant: TenantId) -> f64 {
        let uses = self.tenant_rates.iter().zip(&self.set.tenants);
        let mut uses: Vec<f64> = uses.map(|(r, t)| r.per_second(now) / t.quota_per_s.max(1e-9)).collect();
        let Some(own) = uses.get(tenant.0 as usize).copied().filter(|own| *own > 0.0) else { return 0.0 };
        uses.sort_unstable_by(f64::total_cmp);
        let median = uses[(uses.len() - 1) / 2];
        (1.0 - FAIR_SLACK * median / own).max(0.0)
    }

    fn random(&mut self) -> f64 {
        self.rng = self.rng.wrapping_add(1);
        (point(self.rng, RING_SEED) >> 11) as f64 / (1u64 << 53) as f64
    }

    fn log(&mut self, now: Micros, text: String, actions: &mut Vec<Action>) {
        if now - self.logged_at >= LOG_GAP {
            self.logged_at = now;
            actions.push(Action::Log(text));
        }
    }
}

impl Server {
    /// Danger: many balancers with one request each can still crowd a server. A window below one stands for
    /// that part of the time: the next request goes after a pause.
    fn has_room(&self, now: Micros) -> bool {
        if self.window >= 1.0 || self.inflight > 0 {
            return f64::from(self.inflight) < self.window;
        }
        (now - self.sent.at) as f64 >= self.pace / self.window
    }

    fn suspected(&self) -> bool {
        self.strikes >= TIMEOUTS_SUSPECT
    }

    fn strike(&mut self, now: Micros, weight: u32) {
        self.strikes = (self.strikes + weight).min(64);
        if self.suspected() {
            let doublings = (self.strikes / TIMEOUTS_SUSPECT - 1).min(8);
            self.suspect_until = now + (SUSPECT_FIRST << doublings).min(SUSPECT_LAST);
        }
    }

    /// Additive increase while answers come in good time, multiplicative decrease when they do not.
    fn timed(&mut self, now: Micros, elapsed: f64, goal: f64) {
        // Danger: a server seldom asked would be judged for long by what it was before its window closed.
        let stale = 1.0 - (-((now - self.timed_at) as f64) / STALE_SPAN).exp();
        let weight = stale.max(SMOOTHING);
        self.timed_at = now;
        self.pace += weight * (elapsed - self.pace);
        self.stress += weight * (elapsed / goal - self.stress);
        if self.stress > 1.0 {
            self.cut(now, goal);
        } else if f64::from(self.inflight) >= self.window / 2.0 {
            self.window = (self.window + 1.0 / self.window.max(1.0)).min(WINDOW_MAX);
        }
    }

    fn cut(&mut self, now: Micros, goal: f64) {
        if now - self.cut_at > goal.max(self.pace) as Micros {
            self.cut_at = now;
            self.window = (self.window * WINDOW_CUT).max(WINDOW_MIN);
        }
    }
}

fn never_ran(outcome: Outcome) -> bool {
    matches!(outcome, Outcome::Miss | Outcome::Full | Outcome::ConnectFailed | Outcome::Moot)
}

/// A fixed hash, the same at every balancer.
fn point(value: u64, seed: u64) -> u64 {
    xxh3_64_with_seed(&value.to_le_bytes(), seed)
}
