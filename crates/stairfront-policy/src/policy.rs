//! Every decision of one balancer. It speaks in the types of `interface.rs` and keeps those of `state.rs`.
//!
//! Ordinary path: two-point ring placement after Byers, Considine and Mitzenmacher. Everything else here
//! is what that design leaves open: list, health, repeats, cold caches, origin, overload, fairness.
use std::collections::{BTreeMap, BTreeSet};

use crate::interface::*;
use crate::measure::{add_part, median, point, Majority, Random};
use crate::state::*;

/// Points that a key hashes to (the design's d); one more serves when two share an owner or have no room.
const POINTS: usize = 2;
const MOST_POINTS: usize = 3;
/// Seed of the caches' own points; those of keys follow it.
const RING_SEED: u64 = 0;
/// Two counts of keys tie within this many standard deviations of their difference under chance alone.
const COUNT_CHANCE: f64 = 2.0;
/// Most keys remembered (some megabytes), and how long unseen (the design's start value).
const TABLE_MAX: usize = 65_536;
const ENTRY_AGE: Micros = 60 * SECOND;
/// In-flight margin of the design: twice the mean and at least two requests above it.
const SPILL_MULTIPLE: f64 = 2.0;
const SPILL_FLOOR: f64 = 2.0;
/// Least weight of a new answer time, and the time after which an earlier one hardly counts.
const TIME_WEIGHT: f64 = 0.15;
const TIME_SPAN: f64 = 2.0 * SECOND as f64;
/// Share of its aim that an answer may take on average: the rest is for the spread and for a second step.
const GOAL: f64 = 0.4;
/// Window of requests out at one server: first value (split by the balancers), bounds, and a cut's factor.
const WINDOW_START: f64 = 12.0;
const WINDOW_MIN: f64 = 0.1;
const WINDOW_MAX: f64 = 256.0;
const WINDOW_CUT: f64 = 0.8;
/// The least at the origin, which hundreds of balancers ask all the time.
const ORIGIN_MIN: f64 = 0.01;
/// Factor of a cut at a window of one and less, where answers are too rare for steps: a good one opens it.
const SPARSE_CUT: f64 = 0.5;
/// Stress that cuts such a window: more than the spread of single answers of a healthy cache.
const SPARSE_STRESS: f64 = 1.5;
/// Most of a window after a failed connection, or an error that is the server's own.
const WINDOW_FAILED: f64 = 0.25;
/// Lost connections and spoilt answers in a row that are chance: the network's, not the server's.
const FAULT_ROW: u32 = 2;
/// The same for attempts without an answer, and their part from which one is given up half way to its aim.
const SILENT_ROW: u32 = 8;
const SILENT_PART: f64 = 0.08;
/// Idle time from which a connection may have been dropped unseen, attempts lost so in a row that show it,
/// and how long connections idle for longer are then not used again.
const IDLE_FLOOR: Micros = 300 * MS;
const IDLE_ROW: u32 = 2;
const IDLE_MEMORY: Micros = 20 * SECOND;
/// Part of its cores from which a server counts as busy.
const BUSY: f32 = 0.9;
/// Stands for no word of them: not idle, and not known to be busy.
const UNTOLD: f32 = f32::MAX;
/// Longest pause between two requests that a window stands for.
const PAUSE_LAST: f64 = 20.0 * SECOND as f64;
/// The same in usual gaps: the balancers together then send a quarter of the usual load.
const PAUSE_GAPS: f64 = 4.0;
/// Weight of one answer in the part of errors and of attempts without an answer.
const ERROR_WEIGHT: f64 = 0.05;
/// Through mode: part of the likely misses that may end late or in error before fewer of them are admitted,
/// the weight of one, the factor of a cut, the least, and the rate of growth (a second).
const MISS_LATE: f64 = 0.15;
const MISS_WEIGHT: f64 = 0.1;
const MISS_CUT: f64 = 0.5;
const MISS_LEAST: f64 = 0.02;
const MISS_GROWTH: f64 = 0.25;
/// Part admitted under which the origin counts as short.
const MISS_SHORT: f64 = 0.45;
/// Stress up to which a cache is idle enough to take a key.
const IDLE: f64 = 0.7;
/// Repeats earned by each first try, and the most that may be saved up: a retry budget.
const RETRY_SHARE: f64 = 0.3;
const RETRY_BURST: f64 = 10.0;
/// Requests a second that a cold cache always gets from all balancers together, so that it warms.
const COLD_TRICKLE: f64 = 1.5;
/// Part of the stated budget of a cold cache that all balancers together may save up.
const COLD_SAVED: f64 = 0.3;
/// Time constant of the rate sent to a cache.
const SENT_SPAN: f64 = 4.0 * SECOND as f64;
/// Most that counts as the usual time between two own requests to a cache.
const GAP_MOST: f64 = 30.0 * SECOND as f64;
/// Time between two looks over the whole fleet, which are not taken for each request: a tenth of the span of
/// what they look at.
const LOOK_GAP: Micros = SENT_SPAN as Micros / 10;
/// Part of the time allowed without a call to discovery within which this balancer makes one.
const ASK_PART: f64 = 0.7;
/// A tenant counts as over its share beyond this multiple of the median use of quotas here.
const FAIR_SLACK: f64 = 1.2;
/// Use below this multiple of the median is chance and the spread of a day: nothing of it is shed.
const FAIR_FROM: f64 = 1.5;
/// Requests that the shares of traffic remember, and for how many the quotas stand in at the start.
const FAIR_MEMORY: f64 = 400.0;
const FAIR_PRIOR: f64 = 20.0;
/// Part of the hosts in use from which a list that drops them at once is doubted.
const DOUBTED: f64 = 0.25;
/// Part of requests that may find candidates full or end late before the shed level rises, and one's step.
const PRESSED: f64 = 0.08;
const PRESSED_STEP: f64 = 0.06;
/// Most votes that the usual time left may gather, so that a change of habit is noticed.
const USUAL_VOTES: i32 = 500;
/// Least time between two log lines of one balancer.
const LOG_GAP: Micros = 200 * MS;
const LIST_TOKEN: u64 = u64::MAX;

impl Policy {
    pub fn new(set: Settings, seed: u64) -> Self {
        let quotas: f64 = set.tenants.iter().map(|t| t.quota_per_s).sum();
        let tenant_parts = set
            .tenants
            .iter()
            .map(|t| t.quota_per_s / quotas.max(1e-9))
            .collect();
        let usual_left = vec![Majority::default(); set.classes.len()];
        let (random, retry_tokens) = (Random(seed), RETRY_BURST);
        let (tenant_votes, misses, idle_lost_at) = (FAIR_PRIOR, 1.0, -IDLE_MEMORY);
        Policy {
            set,
            random,
            retry_tokens,
            tenant_parts,
            tenant_votes,
            usual_left,
            misses,
            idle_lost_at,
            ..Policy::default()
        }
    }

    pub fn handle(&mut self, now: Micros, event: Event<'_>, actions: &mut Vec<Action>) {
        match event {
            Event::EndpointList(news) => self.on_list(now, news, actions),
            Event::Request(request) => self.on_request(now, request, actions),
            Event::AttemptFinished(settled) => self.on_settled(now, settled, actions),
            // A streamed answer that has begun is the client's from here.
            Event::ClientDisconnected { id } | Event::ResponseStarted { id, .. } => {
                self.conclude(now, id, false, actions)
            }
            Event::Timer { token: LIST_TOKEN } if self.subscribed => {}
            Event::Timer { token: LIST_TOKEN } => actions.push(Action::Watch(true)),
            Event::Timer { token } if token > u64::from(u32::MAX) => {
                let (id, attempt) = (RequestId(token as u32), (token >> 32) as u8 - 1);
                let out = self
                    .pending
                    .get(&id)
                    .and_then(|p| p.out)
                    .filter(|out| out.attempt == attempt);
                actions.extend(out.map(|_| Action::Cancel { id, attempt }));
            }
            Event::Timer { token } => self.on_give_up(now, RequestId(token as u32), actions),
            Event::Cordon { cache, on } => self.on_cordon(now, cache, on),
            Event::Inherited(known) => self.inherit(now, known),
            Event::SettingsChanged { settings, tenants } => self.on_retuned(settings, tenants),
            Event::ShuttingDown { by } => self.on_ending(now, by, actions),
            Event::HealthChecked { .. } | Event::PeerMessage { .. } => {}
        }
    }

    /// Danger: an open request that took on the rules of a changed class could have its effect twice. What is
    /// open keeps its own; windows, placements and what tenants used lately stay.
    fn on_retuned(&mut self, set: &Settings, tenants: &[Option<usize>]) {
        let quotas: f64 = set.tenants.iter().map(|t| t.quota_per_s).sum();
        let parts = set.tenants.iter().zip(tenants).map(|(tenant, before)| {
            let used = before.and_then(|before| self.tenant_parts.get(before).copied());
            used.unwrap_or(tenant.quota_per_s / quotas.max(1e-9))
        });
        self.tenant_parts = parts.collect();
        self.usual_left
            .resize(set.classes.len(), Majority::default());
        self.set = set.clone();
    }

    /// Danger: a request whose client waits longer than this process lives would end with it, unanswered.
    fn on_ending(&mut self, now: Micros, by: Micros, actions: &mut Vec<Action>) {
        self.ends_by = Some(by);
        // In the order of their ids, so that the same events give the same actions.
        let mut late: Vec<_> = self
            .pending
            .values_mut()
            .filter(|p| p.request.expires_at > by)
            .collect();
        late.sort_unstable_by_key(|p| p.request.id);
        for p in late {
            (p.request.expires_at, p.aim_at) = (by, p.aim_at.min(by));
            let delay = (by - 2 * self.set.tick - now).max(0);
            actions.push(Action::Timer {
                delay,
                token: u64::from(p.request.id.0),
            });
        }
    }

    fn on_list(&mut self, now: Micros, news: EndpointListUpdate<'_>, actions: &mut Vec<Action>) {
        let lines = match news {
            EndpointListUpdate::Failed => {
                self.subscribed = false;
                self.list_failures = (self.list_failures + 1).min(4);
                return self.ask_later(actions);
            }
            EndpointListUpdate::Delta(lines) => {
                let gone = lines
                    .iter()
                    .filter(|line| line.state == EndpointState::Removed);
                self.doubts(&gone.map(|line| line.id).collect::<Vec<_>>());
                lines
            }
            EndpointListUpdate::Full(lines) | EndpointListUpdate::Cached(lines) => {
                self.fleet = lines.len() as f64;
                let named: BTreeSet<CacheId> = lines.iter().map(|line| line.id).collect();
                let missing = |s: &&Server| !named.contains(&s.member.id);
                let lacking: Vec<CacheId> = self
                    .servers
                    .values()
                    .filter(missing)
                    .map(|s| s.member.id)
                    .collect();
                self.doubts(&lacking);
                lacking.iter().for_each(|id| self.delist(*id));
                lines
            }
        };
        lines.iter().for_each(|line| self.learn(now, line));
        self.subscribed = !matches!(news, EndpointListUpdate::Cached(_));
        self.list_failures = 0;
        self.servers
            .retain(|_, s| s.member.state != EndpointState::Removed || s.inflight > 0);
        self.rebuild_ring();
        self.looked_at = now - LOOK_GAP;
        if !self.started {
            self.started = true;
            self.ask_later(actions);
        }
    }

    /// Danger: a list that calls much of the fleet gone sends all to the few that are left, which fall one
    /// by one. Where only draining binds such a list is doubted: so many do not die in one change of it, and
    /// whoever has died is found out by attempts. A few at once likely have, and come back cold.
    fn doubts(&mut self, leaving: &[CacheId]) {
        let ready = |s: &&Server| s.member.state == EndpointState::Ready;
        let leave = leaving
            .iter()
            .filter_map(|id| self.servers.get(id))
            .filter(ready)
            .count();
        let all = self.servers.values().filter(ready).count();
        self.doubting = self.set.rules.removal_is_advisory && leave as f64 >= DOUBTED * all as f64;
    }

    /// Who drains, or is taken out, has left for good, doubted or not.
    fn delist(&mut self, id: CacheId) {
        let Some(server) = self.servers.get_mut(&id) else {
            return;
        };
        server.dropped =
            (self.doubting || server.dropped) && server.member.state == EndpointState::Ready;
        if !server.dropped {
            (server.member.state, server.listed.state) =
                (EndpointState::Removed, EndpointState::Removed);
        }
    }

    /// Danger: after a mass restart every balancer asks discovery at once and all calls fail, over and over.
    fn ask_later(&mut self, actions: &mut Vec<Action>) {
        if self.set.discovery == DiscoveryMode::Poll {
            let spread =
                Micros::from(self.set.balancers) * (SECOND / 2) * (1 << self.list_failures);
            // Danger: past the stated time without a call the balancer counts as told what its list lacks.
            let most = ASK_PART * self.set.rules.poll_interval.max(SECOND) as f64;
            let delay = self.set.tick + (self.random.unit() * most.min(spread as f64)) as Micros;
            actions.push(Action::Timer {
                delay,
                token: LIST_TOKEN,
            });
        }
    }

    /// Danger: discovery knows nothing of cordons. Its news would lift one, or a cache that was restarted
    /// under it would look warm.
    fn cordoned(&self, listed: &Endpoint) -> Endpoint {
        match (self.cordons.get(&listed.id), listed.state) {
            (Some(Cordon::On), EndpointState::Ready) => Endpoint {
                state: EndpointState::Draining,
                ..*listed
            },
            (Some(Cordon::Off(at)), _) => Endpoint {
                incarnation: listed.incarnation.max(*at),
                ..*listed
            },
            _ => *listed,
        }
    }

    fn on_cordon(&mut self, now: Micros, cache: CacheId, on: bool) {
        let warm_up = self.set.rules.slow_start_window;
        self.cordons
            .retain(|_, cordon| !matches!(cordon, Cordon::Off(at) if now - *at > warm_up));
        // Danger: the call back may be repeated, and would make a cache cold that has been in use since.
        if !on && self.cordons.get(&cache) != Some(&Cordon::On) {
            return;
        }
        self.cordons
            .insert(cache, if on { Cordon::On } else { Cordon::Off(now) });
        if let Some(listed) = self.servers.get(&cache).map(|s| s.listed) {
            self.learn(now, &listed);
            self.rebuild_ring();
        }
    }

    pub(crate) fn learn(&mut self, now: Micros, listed: &Endpoint) {
        let line = &self.cordoned(listed);
        let origin = matches!(self.set.mode, CacheMode::Aside { origin } if origin == line.kind);
        // An origin is as strong as the fleet that it stands behind is large; a cache is not.
        let scale = if origin {
            (self.fleet / WINDOW_START).max(1.0)
        } else {
            1.0
        };
        // A walk over all of them, for a newcomer alone.
        let known = self
            .servers
            .get(&line.id)
            .is_some_and(|s| line.incarnation <= s.member.incarnation);
        let mean = if known { 0 } else { self.mean_keys(line.id) };
        let step = scale / f64::from(self.set.balancers);
        let role = if origin { Role::Origin } else { Role::Cache };
        let (member, window, cold_at) = (*line, (WINDOW_START * step).max(1.0), now);
        let blank = Server {
            member,
            role,
            window,
            step,
            cold_at,
            ..Server::default()
        };
        let fresh = |inflight| Server {
            keys: mean,
            inflight,
            ..blank
        };
        let server = self.servers.entry(line.id).or_insert_with(|| fresh(0));
        if line.state == EndpointState::Removed {
            return self.delist(listed.id);
        }
        // Danger: a restarted process comes back empty under its old id; its old keys would flood it.
        if line.incarnation > server.member.incarnation {
            *server = fresh(server.inflight);
        }
        (server.member, server.listed, server.dropped) = (*line, *listed, false);
    }

    fn mean_keys(&self, newcomer: CacheId) -> i64 {
        let others = self
            .ring_servers()
            .filter(|s| s.member.id != newcomer)
            .map(|s| s.keys);
        let (sum, n) = others.fold((0, 0), |(sum, n), keys| (sum + keys, n + 1));
        sum / i64::max(n, 1)
    }

    fn ring_servers(&self) -> impl Iterator<Item = &Server> {
        self.ring.iter().filter_map(|(_, id)| self.servers.get(id))
    }

    /// Danger: a draining or gone cache must get nothing new; it leaves the ring in the same event.
    fn rebuild_ring(&mut self) {
        let ready = |s: &&Server| s.role == Role::Cache && s.member.state == EndpointState::Ready;
        let ids = self.servers.values().filter(ready).map(|s| s.member.id);
        self.ring = ids.map(|id| (point(id.0, RING_SEED), id)).collect();
        self.ring.sort_unstable();
    }

    // ---- placement: the design ----

    /// Ring position of the clockwise owner of a point.
    fn owner(&self, at: u64) -> usize {
        self.ring.partition_point(|(point, _)| *point < at) % self.ring.len().max(1)
    }

    /// The distinct owners of a key's points, in the order of its hash functions, and how many there are.
    fn candidates(&self, key: Key) -> ([usize; MOST_POINTS], usize) {
        let (mut found, mut n) = ([0; MOST_POINTS], 0);
        for seed in 1..=MOST_POINTS as u64 {
            let i = self.owner(point(key.0, seed));
            if !found[..n].contains(&i) && !self.ring.is_empty() {
                found[n] = i;
                n += 1;
            }
        }
        (found, n)
    }

    fn arc(&self, i: usize) -> u64 {
        self.ring[i]
            .0
            .wrapping_sub(self.ring[(i + self.ring.len() - 1) % self.ring.len()].0)
    }

    /// Where the key stays: its placement, or the candidate with fewer keys, shorter arc on ties.
    fn place(&mut self, now: Micros, key: Key) -> Option<CacheId> {
        if let Some(entry) = self.table.get_mut(&key) {
            let server = self.servers.get(&entry.cache);
            let stands = |s: &Server| {
                s.member.state == EndpointState::Ready && s.member.incarnation == entry.born
            };
            if now - entry.seen < ENTRY_AGE && server.is_some_and(stands) {
                entry.seen = now;
                return Some(entry.cache);
            }
            self.unplace(key);
        }
        self.lapse(now);
        let (found, n) = self.candidates(key);
        let cache = self.ring[self.lesser(
            *found[..n].first()?,
            found[..n.min(POINTS)][n.min(POINTS) - 1],
        )]
        .1;
        self.put(now, key, cache);
        Some(cache)
    }

    /// The owner with fewer keys, shorter arc on ties. Danger: few keys differ by chance, and each of many
    /// balancers would choose another cache; within chance counts are a tie.
    fn lesser(&self, a: usize, b: usize) -> usize {
        let keys = |i: usize| {
            self.servers
                .get(&self.ring[i].1)
                .map_or(0, |s| s.keys.max(0)) as f64
        };
        let chance = COUNT_CHANCE * (keys(a) + keys(b)).sqrt();
        let tie = (keys(a) - keys(b)).abs() <= chance;
        let a_first = if tie {
            self.arc(a) <= self.arc(b)
        } else {
            keys(a) < keys(b)
        };
        [b, a][usize::from(a_first)]
    }

    fn put(&mut self, now: Micros, key: Key, cache: CacheId) {
        if let Some(server) = self.servers.get_mut(&cache) {
            server.keys += 1;
            self.table.insert(
                key,
                Placement {
                    cache,
                    born: server.member.incarnation,
                    seen: now,
                    held: false,
                },
            );
            self.ages.push_back((now, key));
        }
    }

    fn unplace(&mut self, key: Key) {
        let Some(old) = self.table.remove(&key) else {
            return;
        };
        if let Some(server) = self
            .servers
            .get_mut(&old.cache)
            .filter(|s| s.member.incarnation == old.born)
        {
            server.keys -= 1;
        }
    }

    /// Drops entries unseen for too long, and at the bound the one looked at longest ago.
    fn lapse(&mut self, now: Micros) {
        while let Some(&(looked, key)) = self.ages.front() {
            let over = self.table.len() >= TABLE_MAX;
            if !over && now - looked < ENTRY_AGE {
                return;
            }
            self.ages.pop_front();
            match self.table.get(&key).map(|entry| entry.seen) {
                Some(seen) if seen > looked && !(over && seen == now) => {
                    self.ages.push_back((seen, key))
                }
                Some(_) => self.unplace(key),
                None => {}
            }
        }
    }

    // ---- choice of a cache for one request ----

    /// The cache for this request: where its key is placed, unless an exception of `docs/design.md` holds.
    fn choose(&mut self, now: Micros, id: RequestId) -> Option<CacheId> {
        let p = self.pending.get(&id)?;
        let (key, tried) = (p.request.key.unwrap_or(Key(u64::from(id.0))), p.tried);
        // What is worth more than another class is refused last: before that it may use twice the window.
        let worth = p.class.priority_weight;
        let (favoured, mut resort) = (
            self.set.classes.iter().any(|c| c.priority_weight < worth),
            None,
        );
        let placed = self.place(now, key)?;
        let (found, n) = self.candidates(key);
        let others = found[..n]
            .iter()
            .map(|i| self.ring[*i].1)
            .filter(|c| *c != placed);
        let margin = self.spill_margin();
        let (mut pick, mut least, mut usable, mut lost) = (None, u32::MAX, false, Vec::new());
        for cache in std::iter::once(placed)
            .chain(others)
            .filter(|c| !tried.contains(&Some(*c)))
        {
            let Some(server) = self.servers.get(&cache).filter(|s| self.open(s, now)) else {
                lost.push(cache);
                continue;
            };
            usable = true;
            if !server.has_room(now, self.gap()) {
                let borrows = favoured && f64::from(server.inflight) < 2.0 * server.window;
                resort = resort.or(Some(cache).filter(|_| borrows));
                continue;
            }
            if f64::from(server.inflight) < margin && !self.reports_busy(server, now) {
                pick = Some(cache);
                break;
            }
            if server.inflight < least {
                (pick, least) = (Some(cache), server.inflight);
            }
        }
        lost.into_iter().for_each(|cache| self.forgo(now, cache));
        if pick.is_none() {
            self.press(true);
        }
        if !usable {
            return self.next_clockwise(key, &tried, |s| {
                self.open(s, now) && s.has_room(now, self.gap())
            });
        }
        pick.or_else(|| self.relieve(now, key, &tried)).or(resort)
    }

    /// Its cores were in use by its last answer, unless that is too long ago. Danger: of hundreds of
    /// balancers each has one request out at a cache where many keys are hot, and all wait past their aim.
    fn reports_busy(&self, server: &Server, now: Micros) -> bool {
        (BUSY..UNTOLD).contains(&server.busy) && ((now - server.sent.at) as f64) < PAUSE_LAST
    }

    /// Shedding rises as long as more than a small part of the requests find candidates full or end late.
    fn press(&mut self, pressed: bool) {
        let step = f64::from(u8::from(pressed)) - PRESSED;
        self.shed_level = (self.shed_level + PRESSED_STEP * step).clamp(0.0, 1.0);
    }

    /// Danger: few caches own unequal arcs and are unequal machines, so all candidates of a key can be full
    /// while others idle. One key at a time moves to the next clockwise idle cache and stays: one miss each.
    fn relieve(&mut self, now: Micros, key: Key, tried: &Tried) -> Option<CacheId> {
        // Danger: each balancer's move is a miss, and would keep a short origin short.
        if self.misses < MISS_SHORT || !self.fetch_queue.is_empty() {
            return None;
        }
        let idle = |s: &Server| s.stress.value < IDLE && f64::from(s.inflight) < s.window / 2.0;
        let to = self.next_clockwise(key, tried, |s| self.open(s, now) && idle(s))?;
        self.unplace(key);
        self.put(now, key, to);
        Some(to)
    }

    /// Usual time between two requests of this balancer to one cache.
    fn gap(&self) -> f64 {
        (SECOND as f64 / self.warm_rate.max(1e-9)).min(GAP_MOST)
    }

    /// The design's in-flight margin: from here on a cache holds well over the mean.
    fn spill_margin(&self) -> f64 {
        let mean = f64::from(self.out) / self.ring.len().max(1) as f64;
        (mean * SPILL_MULTIPLE).max(mean + SPILL_FLOOR)
    }

    /// Danger: with all candidates tried or cold a request has nowhere to go though the rest can serve it.
    fn next_clockwise(
        &self,
        key: Key,
        tried: &Tried,
        fit: impl Fn(&Server) -> bool,
    ) -> Option<CacheId> {
        let start = self.owner(point(key.0, 1));
        let steps = (1..self.ring.len()).map(|step| self.ring[(start + step) % self.ring.len()].1);
        steps
            .filter(|c| !tried.contains(&Some(*c)))
            .find(|c| self.servers.get(c).is_some_and(&fit))
    }

    fn warm(&self, server: &Server, now: Micros) -> bool {
        server.member.state == EndpointState::Ready && self.warmth(server, now) >= 1.0
    }

    /// May an ordinary request go there now?
    fn open(&self, server: &Server, now: Micros) -> bool {
        let drawn = || self.cold_tokens(server, now) > self.draw;
        self.warm(server, now) || server.member.state == EndpointState::Ready && drawn()
    }

    /// The mean rate sent to a warm cache, and the mean that one of each kind bears: they need a walk over
    /// all of them. A kind of which none is warm keeps what it bore last.
    fn look_over(&mut self, now: Micros) {
        if now - self.looked_at < LOOK_GAP {
            return;
        }
        self.looked_at = now;
        let (mut kinds, mut sum, mut n) = (BTreeMap::<Kind, (f64, f64)>::new(), 0.0, 0.0);
        for s in self.ring_servers().filter(|s| self.warmth(s, now) >= 1.0) {
            (sum, n) = (sum + s.sent.per_second(now, SENT_SPAN), n + 1.0);
            let of = kinds.entry(s.member.kind).or_default();
            *of = (of.0 + s.borne.per_second(now, SENT_SPAN), of.1 + 1.0);
        }
        self.warm_rate = sum / f64::max(n, 1.0);
        self.kind_rates
            .extend(kinds.into_iter().map(|(kind, (sum, n))| (kind, sum / n)));
    }

    /// Fraction of its capacity that a cache surely has by its stated warm-up.
    fn warmth(&self, server: &Server, now: Micros) -> f64 {
        let (rules, age) = (&self.set.rules, now - server.member.incarnation);
        if server.role == Role::Origin
            || server.member.incarnation <= 0
            || age >= rules.slow_start_window
        {
            return 1.0;
        }
        rules.slow_start_floor
            + (1.0 - rules.slow_start_floor) * (age.max(0) as f64 / rules.slow_start_window as f64)
    }

    /// Danger: a cold cache sent a multiple of its present capacity falls over and stays down. What this
    /// balancer sends to a warm cache stands for its part of the capacity, so no other balancer is asked.
    fn cold_tokens(&self, server: &Server, now: Micros) -> f64 {
        let trickle = COLD_TRICKLE / f64::from(self.set.balancers);
        // Danger: the mean of all machines is a multiple of what the weakest kind can do, and what a full one
        // turned away is no work that it can bear.
        let usual = self
            .kind_rates
            .get(&server.member.kind)
            .copied()
            .unwrap_or(self.warm_rate);
        let rate = (usual * self.warmth(server, now)).max(trickle) / SECOND as f64;
        // Danger: whole tokens, saved up by each of hundreds of balancers, all go out in one burst. What may
        // be saved is a part of the budget; where that is below one, a request draws for it.
        let (multiple, span) = (
            self.set.rules.overload_multiple.max(1.0),
            self.set.rules.overload_window.max(SECOND),
        );
        let most =
            (COLD_SAVED * multiple * rate * span as f64).min((rate * SECOND as f64 / 2.0).max(1.0));
        (server.cold_tokens + rate * (now - server.cold_at) as f64).min(most)
    }

    /// A draw that was lost spends what it was drawn for, or asking often enough would always win.
    fn forgo(&mut self, now: Micros, cache: CacheId) {
        let lost = |s: &&Server| self.warmth(s, now) < 1.0 && self.cold_tokens(s, now) < 1.0;
        if self.servers.get(&cache).filter(lost).is_some() {
            self.servers
                .entry(cache)
                .and_modify(|s| (s.cold_tokens, s.cold_at) = (0.0, now));
        }
    }

    fn on_request(&mut self, now: Micros, request: Request, actions: &mut Vec<Action>) {
        let expires = self
            .ends_by
            .map_or(request.expires_at, |by| request.expires_at.min(by));
        let request = Request {
            expires_at: expires,
            ..request
        };
        self.look_over(now);
        self.draw = self.random.unit();
        self.retry_tokens = (self.retry_tokens + RETRY_SHARE).min(RETRY_BURST);
        // Danger: who sees few requests has none of most tenants for seconds. So parts, not rates.
        self.tenant_votes = (self.tenant_votes + 1.0).min(FAIR_MEMORY);
        add_part(
            &mut self.tenant_parts,
            request.tenant.0 as usize,
            self.tenant_votes,
        );
        // Danger: a short origin holds up caches with fetches that fail, and with them what they still hold.
        let held = request
            .key
            .and_then(|k| self.table.get(&k))
            .is_some_and(|entry| entry.held);
        let grown = (MISS_GROWTH * (now - self.misses_at) as f64 / SECOND as f64).exp();
        (self.misses, self.misses_at) = ((self.misses * grown).clamp(MISS_LEAST, 1.0), now);
        if self.short != (self.misses < MISS_SHORT) {
            self.short = !self.short;
            let turn = ["ends", "starts"][usize::from(self.short)];
            self.log(now, actions, || {
                format!("refusing most likely misses {turn}")
            });
        }
        let miss = !held && self.misses < 1.0 && self.random.unit() > self.misses;
        let Some(class) = self.set.classes.get(usize::from(request.class.0)).copied() else {
            return actions.push(Action::Fail { id: request.id });
        };
        let (aim_at, most) = (
            self.aim_at(now, &request, &class),
            self.set.limits.max_attempts,
        );
        let (stage, out, ran, tried) = (Stage::Cache, None, None, [None; 2]);
        let p = Pending {
            request,
            class,
            most,
            aim_at,
            held,
            stage,
            sent: 0,
            out,
            ran,
            tried,
        };
        let give_up = self.give_up_at(&p);
        self.pending.insert(request.id, p);
        if miss || give_up <= now || self.shed(now, &request, actions) {
            return self.finish(now, request.id, actions);
        }
        actions.push(Action::Timer {
            delay: give_up - now,
            token: u64::from(request.id.0),
        });
        self.dispatch(now, request.id, actions);
    }

    fn aside(&self) -> bool {
        matches!(self.set.mode, CacheMode::Aside { .. })
    }

    /// When an answer stops being in time; a client's repeat, with other time left, counts from the first.
    fn aim_at(&mut self, now: Micros, request: &Request, class: &Class) -> Micros {
        let (left, slack) = (request.expires_at - now, 4 * self.set.tick);
        let (aim, deadline) = (class.latency_objective, class.deadline);
        let usual = self.usual_left[usize::from(request.class.0)].vote(left, slack, USUAL_VOTES);
        let spent = if usual { 0 } else { (deadline - left).max(0) };
        (now + aim - spent).min(request.expires_at)
    }

    /// The final answer comes at the latest while it earns something, and two ticks before the client leaves.
    /// A fetch goes on past the aim: its value is stored for the next reader only while its own waits.
    fn give_up_at(&self, p: &Pending) -> Micros {
        let last = p.request.expires_at - 2 * self.set.tick;
        let late = p.class.late_weight > 0.0 && self.set.tail.weight <= 0.0;
        last.min(if late || p.stage == Stage::Fetch {
            last
        } else {
            p.aim_at
        })
    }

    fn dispatch(&mut self, now: Micros, id: RequestId, actions: &mut Vec<Action>) {
        let Some(p) = self.pending.get_mut(&id) else {
            return;
        };
        p.stage = Stage::Cache;
        let to_origin = p.request.write && self.aside();
        if !to_origin && self.follow(id) {
            return;
        }
        match if to_origin {
            self.origin()
        } else {
            self.choose(now, id)
        } {
            Some(server) if self.may_send(now, id, server) => self.send(now, id, server, actions),
            _ => self.finish(now, id, actions),
        }
    }

    /// Singleflight. Danger: a popular key that went void would otherwise be fetched once per reader.
    fn follow(&mut self, id: RequestId) -> bool {
        let Some(p) = self.pending.get_mut(&id) else {
            return false;
        };
        let fetch = p.request.key.and_then(|key| self.fetches.get_mut(&key));
        let Some((_, followers)) = fetch.filter(|(leader, _)| *leader != id) else {
            return false;
        };
        p.stage = Stage::Follow;
        followers.push(id);
        true
    }

    /// Danger: work cut short still runs there. An attempt stays out and counts until the client leaves, but
    /// where answers get lost and cores idle: waiting takes all the time that another attempt would need.
    fn send(&mut self, now: Micros, id: RequestId, to: CacheId, actions: &mut Vec<Action>) {
        let Some(tokens) = self.servers.get(&to).map(|s| self.cold_tokens(s, now)) else {
            return;
        };
        let may_cut = self.set.limits.may_cancel;
        let lapses = self.pending.get(&id).and_then(|p| self.lapses(now, p));
        let (Some(p), Some(server)) = (self.pending.get_mut(&id), self.servers.get_mut(&to)) else {
            return;
        };
        (server.cold_tokens, server.cold_at) = ((tokens - 1.0).max(0.0), now);
        // Danger: something on the way drops idle connections and tells nobody; what is sent on one is lost.
        server.idle = if server.inflight > 0 || server.used == 0 {
            0
        } else {
            now - server.used
        };
        if now - self.idle_lost_at < IDLE_MEMORY && server.idle >= self.idle_limit {
            actions.push(Action::Disconnect { cache: to });
            server.idle = 0;
        }
        (server.inflight, server.used) = (server.inflight + 1, now);
        self.out += u32::from(server.role == Role::Cache);
        server.sent.add(now, SENT_SPAN);
        p.out = Some(Ran {
            attempt: p.sent,
            at: now,
            zone: server.member.zone,
            cell: server.member.cell,
        });
        p.sent += 1;
        p.tried = [Some(to), p.tried[0]];
        let timeout = (p.request.expires_at - 2 * self.set.tick - now).max(self.set.tick);
        actions.push(Action::Send {
            id,
            cache: to,
            timeout,
            send_within: lapses,
        });
        let delay = (p.aim_at - now) / 2;
        let cut = may_cut && p.class.idempotency == Idempotency::Idempotent;
        if cut
            && server.silent.value > SILENT_PART
            && server.busy < BUSY
            && delay as f64 > server.pace.value
        {
            actions.push(Action::Timer {
                delay,
                token: u64::from(p.sent) << 32 | u64::from(id.0),
            });
        }
    }

    fn on_settled(&mut self, now: Micros, s: AttemptResult, actions: &mut Vec<Action>) {
        self.observe(now, &s, actions);
        self.confirm_delisted(s.cache);
        let noise = self
            .servers
            .get(&s.cache)
            .is_some_and(|server| server.faults <= FAULT_ROW);
        if let Some(p) = self.pending.get_mut(&s.id) {
            if let Some(out) = p.out.take_if(|out| out.attempt == s.attempt) {
                p.ran = p
                    .ran
                    .or(Some(out).filter(|_| !s.outcome.proves_no_effect()));
            }
            // The cache has what was spoilt or lost: asked again it need not fetch, as another would.
            let lost = matches!(
                s.outcome,
                Outcome::Malformed | Outcome::Reset | Outcome::Cancelled
            );
            p.tried = if lost && noise {
                [p.tried[1], None]
            } else {
                p.tried
            };
            if s.outcome == Outcome::Served || s.outcome == Outcome::Errored {
                let entry = p.request.key.and_then(|key| self.table.get_mut(&key));
                if let Some(entry) = entry.filter(|entry| entry.cache == s.cache) {
                    entry.held = s.outcome == Outcome::Served && !p.request.write;
                }
            }
            let late = now > p.aim_at;
            if s.request_finished {
                self.press(late || s.outcome != Outcome::Served);
                self.conclude(now, s.id, s.outcome == Outcome::Served, actions);
            } else {
                self.carry_on(now, s.id, s.outcome, actions);
            }
        }
        self.start_fetches(now, actions);
    }

    fn carry_on(
        &mut self,
        now: Micros,
        id: RequestId,
        outcome: Outcome,
        actions: &mut Vec<Action>,
    ) {
        let Some(p) = self.pending.get(&id) else {
            return;
        };
        if p.sent >= p.most || self.give_up_at(p) <= now + self.set.tick {
            return self.finish(now, id, actions);
        }
        if outcome == Outcome::Miss && self.aside() {
            if !self.follow(id) {
                self.lead(now, id, actions);
            }
            return;
        }
        // Danger: repeats of failures multiply the load that made them fail.
        let paid = f64::from(u8::from(outcome != Outcome::Cancelled));
        if self.retry_tokens < paid || outcome == Outcome::Errored && self.misses < MISS_SHORT {
            return self.finish(now, id, actions);
        }
        self.retry_tokens -= paid;
        if p.stage == Stage::Fetch {
            self.fetch_queue.push_back(id);
        } else {
            self.dispatch(now, id, actions);
        }
    }

    fn origin(&self) -> Option<CacheId> {
        let ready = |s: &&Server| s.role == Role::Origin && s.member.state == EndpointState::Ready;
        let least = self
            .servers
            .values()
            .filter(ready)
            .min_by_key(|s| (s.inflight, s.member.id));
        least.map(|s| s.member.id)
    }

    fn lead(&mut self, now: Micros, id: RequestId, actions: &mut Vec<Action>) {
        let Some(p) = self.pending.get_mut(&id) else {
            return;
        };
        p.stage = Stage::Fetch;
        if let Some(key) = p.request.key {
            self.fetches.insert(key, (id, Vec::new()));
        }
        self.fetch_queue.push_back(id);
        self.start_fetches(now, actions);
    }

    /// Danger: past what the origin can do, every fetch is late. A window of them is out, the rest wait.
    fn start_fetches(&mut self, now: Micros, actions: &mut Vec<Action>) {
        while let Some(origin) = self.origin() {
            let Some(server) = self
                .servers
                .get(&origin)
                .filter(|s| s.has_room(now, self.gap()))
            else {
                return;
            };
            let pace = server.pace.value as Micros;
            let Some(id) = self.fetch_queue.pop_front() else {
                return;
            };
            let waits = |p: &&Pending| p.stage == Stage::Fetch && p.out.is_none();
            let Some(p) = self.pending.get(&id).filter(waits) else {
                continue;
            };
            // Danger: served in turn, a long queue has every reader answered too late.
            let late = if self.fetch_queue.is_empty() {
                self.give_up_at(p)
            } else {
                p.aim_at
            };
            if now + pace > late || !self.may_send(now, id, origin) {
                self.finish(now, id, actions);
            } else {
                self.send(now, id, origin, actions);
            }
        }
    }

    fn may_send(&self, now: Micros, id: RequestId, to: CacheId) -> bool {
        let (Some(p), Some(server)) = (self.pending.get(&id), self.servers.get(&to)) else {
            return false;
        };
        if p.out.is_some() || p.sent >= p.most {
            return false;
        }
        let Some(ran) = p.ran else { return true };
        match p.class.idempotency {
            Idempotency::Idempotent => true,
            // Danger: a keyed request outside its group or window would take effect twice.
            Idempotency::Keyed { scope, key_ttl } => {
                scope.covers(
                    (server.member.zone, server.member.cell),
                    (ran.zone, ran.cell),
                ) && now + self.set.tick < ran.at + key_ttl
            }
            Idempotency::NotIdempotent => false,
        }
    }

    /// Danger: decided inside its window, a guarded repeat may wait for a connection and go out after it.
    fn lapses(&self, now: Micros, p: &Pending) -> Option<Micros> {
        match (p.class.idempotency, p.ran) {
            (Idempotency::Keyed { key_ttl, .. }, Some(ran)) => {
                Some(ran.at + key_ttl - self.set.tick - now)
            }
            _ => None,
        }
    }

    /// Danger: a refusal tells the client that a repeat is harmless.
    fn may_refuse(&self, p: &Pending) -> bool {
        match p.class.idempotency {
            Idempotency::Idempotent
            | Idempotency::Keyed {
                scope: DeduplicationScope::All,
                ..
            } => true,
            _ => p.ran.is_none() && p.out.is_none(),
        }
    }

    /// The final answer where no server gave one.
    fn finish(&mut self, now: Micros, id: RequestId, actions: &mut Vec<Action>) {
        let Some(p) = self.pending.get(&id) else {
            return;
        };
        let refusal = Action::Reject {
            id,
            retry_after: self.set.limits.max_retry_after,
        };
        actions.push(if self.may_refuse(p) {
            refusal
        } else {
            Action::Fail { id }
        });
        self.conclude(now, id, false, actions);
    }

    /// Followers of a fetch that is over read what it stored; if it failed, the next of them fetches.
    fn conclude(&mut self, now: Micros, id: RequestId, stored: bool, actions: &mut Vec<Action>) {
        let Some(key) = self.pending.remove(&id).and_then(|p| p.request.key) else {
            return;
        };
        if self
            .fetches
            .get(&key)
            .is_none_or(|(leader, _)| *leader != id)
        {
            return;
        }
        let mut waiting = self
            .fetches
            .remove(&key)
            .map_or(Vec::new(), |(_, followers)| followers);
        waiting.retain(|f| {
            self.pending
                .get(f)
                .is_some_and(|p| p.stage == Stage::Follow)
        });
        if let (false, Some(next)) = (stored, waiting.first().copied()) {
            self.lead(now, next, actions);
        }
        waiting
            .iter()
            .skip(usize::from(!stored))
            .for_each(|f| self.dispatch(now, *f, actions));
    }

    /// Danger: a request nobody answers is lost. Its timer ends it whatever became of its attempts.
    fn on_give_up(&mut self, now: Micros, id: RequestId, actions: &mut Vec<Action>) {
        let Some(p) = self.pending.get(&id) else {
            return;
        };
        let last = self.give_up_at(p);
        if last > now && p.out.is_some() {
            actions.push(Action::Timer {
                delay: last - now,
                token: u64::from(id.0),
            });
        } else {
            // Danger: caches that answer everybody too late turn nobody away.
            self.press(true);
            self.finish(now, id, actions);
        }
    }

    fn observe(&mut self, now: Micros, s: &AttemptResult, actions: &mut Vec<Action>) {
        let shortest = self
            .set
            .classes
            .iter()
            .map(|c| c.latency_objective)
            .min()
            .unwrap_or(SECOND);
        let aim = self
            .pending
            .get(&s.id)
            .map_or(shortest, |p| p.class.latency_objective);
        let (goal, aside) = (GOAL * aim as f64, self.aside());
        let rare = self.gap() > goal / GOAL;
        let idle = self.servers.get(&s.cache).map_or(0, |server| server.idle);
        let stale = self.learn_idle(now, idle, s.outcome, actions);
        let Some(server) = self.servers.get_mut(&s.cache) else {
            return;
        };
        // Where one was lost the next attempt has a new one, whose answer tells nothing of idle ones.
        server.used = if stale { 0 } else { now };
        actions.extend(stale.then_some(Action::Disconnect { cache: s.cache }));
        let (before, error, again) = (server.window, s.outcome == Outcome::Errored, s.attempt > 0);
        // Danger: a cache that errs at once looks idle and draws requests. Where it fetches, the origin errs.
        if error && aside {
            server.fault(now, 0);
        }
        if !matches!(
            s.outcome,
            Outcome::Full | Outcome::ConnectFailed | Outcome::NeverSent
        ) {
            server.borne.add(now, SENT_SPAN);
        }
        // Danger: fetches past what the origin can do hold up caches, and what they still have. Keys that
        // this balancer has not seen served are likely misses; their late answers show it.
        let answered = !s.outcome.proves_no_effect() && s.outcome != Outcome::Reset;
        if !aside && answered && self.pending.get(&s.id).is_some_and(|p| !p.held) {
            let bad = error || s.outcome != Outcome::Served || s.elapsed > aim;
            self.miss_late
                .add(now, f64::from(u8::from(bad)), MISS_WEIGHT, TIME_SPAN);
            if bad && self.miss_late.value > MISS_LATE && now - self.misses_cut > aim {
                (self.misses, self.misses_cut) = ((self.misses * MISS_CUT).max(MISS_LEAST), now);
            }
        }
        match s.outcome {
            Outcome::Served | Outcome::Miss => {
                // It has failed and is back: one at a time shows how well.
                server.window = if server.faults > FAULT_ROW {
                    server.window.max(1.0)
                } else {
                    server.window
                };
                server.faults = 0;
                server.busy = s
                    .load
                    .value(&self.set.report, ReportField::Utilization)
                    .unwrap_or(UNTOLD);
                server.silent.add(now, 0.0, ERROR_WEIGHT, TIME_SPAN);
                // A cache's own fetch says nothing of how crowded the cache is.
                let own_fetch =
                    s.cache_status == CacheStatus::Fetched && server.role == Role::Cache;
                if s.outcome == Outcome::Served && !own_fetch {
                    server.timed(now, s.elapsed as f64, goal);
                }
            }
            // Danger: a bad request is spoilt at each repeat, and any connection breaks now and then.
            Outcome::Malformed if again => {}
            // The way there lost it, not the server.
            Outcome::TimedOut | Outcome::Cancelled | Outcome::Reset if stale => {}
            Outcome::ConnectFailed | Outcome::Reset | Outcome::Malformed => {
                server.fault(now, FAULT_ROW)
            }
            // Danger: who asks a cache once in seconds would lose a request each to find out.
            Outcome::TimedOut if rare => server.timed(now, s.elapsed as f64, goal),
            Outcome::TimedOut | Outcome::Cancelled => {
                server.silent.add(now, 1.0, ERROR_WEIGHT, TIME_SPAN);
                server.fault(now, SILENT_ROW);
            }
            Outcome::Full | Outcome::Errored => server.cut(now, goal),
            Outcome::NeverSent => {}
        }
        server.inflight = server.inflight.saturating_sub(1);
        self.out = self
            .out
            .saturating_sub(u32::from(server.role == Role::Cache));
        let (window, id) = (server.window, s.cache.0);
        if (window < 1.0) != (before < 1.0) || server.role == Role::Origin && window < before {
            let turn = if window < 1.0 { "rests" } else { "is in use" };
            self.log(now, actions, || {
                format!(
                    "server {id:012x} {turn}, window {window:.1} after {:?}",
                    s.outcome
                )
            });
        }
    }

    /// What a doubted list has dropped goes as its own attempts fail. Holds for any list that lacks hosts
    /// that serve, and for hosts that have left for good; it hurts by a few failed attempts at each of those.
    fn confirm_delisted(&mut self, cache: CacheId) {
        let left = |s: &&mut Server| s.dropped && s.faults > FAULT_ROW;
        if let Some(server) = self.servers.get_mut(&cache).filter(left) {
            (server.dropped, self.doubting) = (false, false);
            self.delist(cache);
            self.rebuild_ring();
        }
    }

    /// Learns after what idle time connections are dropped unseen; whether this attempt may be lost so.
    fn learn_idle(
        &mut self,
        now: Micros,
        idle: Micros,
        outcome: Outcome,
        actions: &mut Vec<Action>,
    ) -> bool {
        let lost = matches!(
            outcome,
            Outcome::TimedOut | Outcome::Cancelled | Outcome::Reset
        );
        if idle < IDLE_FLOOR || outcome == Outcome::NeverSent {
            return false;
        }
        self.idle_row = if lost { self.idle_row + 1 } else { 0 };
        if lost && (self.idle_row >= IDLE_ROW || now - self.idle_lost_at < IDLE_MEMORY) {
            // The limit lies anywhere below what was lost.
            let anew = now - self.idle_lost_at >= IDLE_MEMORY;
            let known = if anew { idle } else { self.idle_limit };
            (self.idle_limit, self.idle_lost_at) = (known.min(idle / 2).max(IDLE_FLOOR), now);
            if anew {
                self.log(now, actions, || {
                    format!("connections idle for {} ms get lost", idle / MS)
                });
            }
        }
        lost
    }

    /// Refuses, under pressure alone, what a tenant sends beyond its share, by the median use of quotas here.
    fn shed(&mut self, now: Micros, request: &Request, actions: &mut Vec<Action>) -> bool {
        let level = self.shed_level;
        if self.shedding != (level > 0.5) {
            self.shedding = level > 0.5;
            let turn = ["ends", "starts"][usize::from(self.shedding)];
            self.log(now, actions, || {
                format!("shedding over-share traffic {turn}")
            });
        }
        let excess = self.excess(request.tenant);
        excess > 0.0 && self.set.over_share_weight < 1.0 && self.random.unit() < excess * level
    }

    fn excess(&self, tenant: TenantId) -> f64 {
        let quotas: f64 = self.set.tenants.iter().map(|t| t.quota_per_s).sum();
        let uses = self.tenant_parts.iter().zip(&self.set.tenants);
        let uses: Vec<f64> = uses
            .map(|(part, t)| part * quotas / t.quota_per_s.max(1e-9))
            .collect();
        let Some(own) = uses
            .get(tenant.0 as usize)
            .copied()
            .filter(|own| *own > 0.0)
        else {
            return 0.0;
        };
        let median = median(uses);
        // Danger: of two tenants the median is the lesser's; the greater would be refused in its share.
        let beyond = own >= FAIR_FROM * median.max(1.0);
        f64::from(u8::from(beyond)) * (1.0 - FAIR_SLACK * median / own)
    }

    fn log(&mut self, now: Micros, actions: &mut Vec<Action>, text: impl Fn() -> String) {
        if now >= self.log_after {
            self.log_after = now + LOG_GAP;
            actions.push(Action::Log(text()));
        }
    }
}

impl Server {
    /// Danger: many balancers with one request each crowd a server. A window below one is part of the `gap`.
    fn has_room(&self, now: Micros, gap: f64) -> bool {
        if self.window >= 1.0 || self.inflight > 0 {
            return f64::from(self.inflight) < self.window;
        }
        let unit = if self.role == Role::Origin {
            self.pace.value
        } else {
            gap.max(self.pace.value)
        };
        (now - self.sent.at) as f64 >= (unit / self.window).min(PAUSE_LAST.max(PAUSE_GAPS * gap))
    }

    /// Danger: a dead or broken server answers at once; a failed connection says more than a slow answer.
    fn fault(&mut self, now: Micros, row: u32) {
        self.faults += 1;
        if self.faults > row {
            self.cut_at = now;
            self.window = (self.window * SPARSE_CUT).clamp(WINDOW_MIN, WINDOW_FAILED);
        }
    }

    /// Additive increase while answers come in good time, multiplicative decrease when they do not.
    fn timed(&mut self, now: Micros, elapsed: f64, goal: f64) {
        self.pace.add(now, elapsed, TIME_WEIGHT, TIME_SPAN);
        self.stress.add(now, elapsed / goal, TIME_WEIGHT, TIME_SPAN);
        // Danger: an origin slow by nature, held to a cache's times, fetches little, and all is missed again.
        let unhurried = self.role == Role::Origin && self.busy < BUSY;
        let most = if unhurried {
            2.0
        } else {
            [1.0, SPARSE_STRESS][usize::from(self.window <= 1.0)]
        };
        if self.stress.value > most {
            self.cut(now, goal);
        } else if f64::from(self.inflight) >= self.window / 2.0 {
            let more = self.window + self.step / self.window;
            self.window = if self.window < 1.0 {
                1.0
            } else {
                more.min(WINDOW_MAX)
            };
        }
    }

    fn cut(&mut self, now: Micros, goal: f64) {
        if now - self.cut_at > goal.max(self.pace.value) as Micros {
            self.cut_at = now;
            let least = if self.role == Role::Origin {
                ORIGIN_MIN
            } else {
                WINDOW_MIN
            };
            let factor = if self.window > 1.0 {
                WINDOW_CUT
            } else {
                SPARSE_CUT
            };
            self.window = (self.window * factor).max(least);
        }
    }
}
