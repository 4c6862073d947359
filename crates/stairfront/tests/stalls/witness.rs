//! What clients, servers and the agent of a run have seen, by one clock, and which rules that breaks.
use std::cell::{Cell, RefCell};
use std::collections::HashMap;
use std::fmt;
use std::time::Duration;

use tokio::time::Instant;

use stairfront_test_support::loopback::ms;

/// An attempt may begin so long after its client has closed its connection.
const MAX_AFTER_CLOSE: Duration = Duration::from_millis(100);
/// The time that an attempt tells its server may exceed what is left to the client by this.
const TOLD_SLACK_MS: f64 = 150.0;
/// The settings' `stop_sending_within` and the 50 ms that each limit is longer on sockets.
const DRAIN_GRACE: Duration = Duration::from_millis(250 + 50);
/// How long hosts know the key of a request that may be repeated meanwhile.
pub const KEY_TTL: Duration = Duration::from_millis(400);
/// Each limit is longer by this on sockets.
const LIMIT_SLACK: Duration = Duration::from_millis(50);
/// Half a second after its time an answer only earns nothing.
const ANSWER_SLACK: Duration = Duration::from_millis(500);

/// A request as its client knows it.
#[derive(Clone, Copy, Debug)]
pub struct SentRequest {
    pub sent_at: Instant,
    pub wait_ms: u64,
    pub answered_at: Option<Instant>,
    /// When the client closed its connection without an answer.
    pub closed_at: Option<Instant>,
    /// When the balancer ended the connection before an answer.
    pub cut_off_at: Option<Instant>,
}

/// An attempt as its server knows it.
#[derive(Clone, Debug)]
pub struct BegunAttempt {
    pub id: String,
    pub server: String,
    /// When its last byte had come.
    pub begun_at: Instant,
    /// The time that it told.
    pub told_ms: u64,
}

/// Records of one run.
#[derive(Default)]
pub struct Witness {
    pub requests: RefCell<HashMap<String, SentRequest>>,
    pub attempts: RefCell<Vec<BegunAttempt>>,
    /// When the agent had written that a host drains.
    pub drained_at: RefCell<HashMap<String, Instant>>,
    /// When the process was killed.
    pub killed_at: Cell<Option<Instant>>,
    pub served: Cell<u64>,
    pub unserved: Cell<u64>,
}

impl Witness {
    pub fn requests_left_behind(&self) -> usize {
        let requests = self.requests.borrow();
        requests.values().filter(|r| r.closed_at.is_some()).count()
    }

    pub fn begun_count(&self) -> usize {
        self.attempts.borrow().len()
    }

    /// Number of attempts whose request had waited for longer than the time that may be told too much.
    pub fn begun_after_a_wait(&self) -> usize {
        let waited = self.judge(|request, attempt| {
            let age = attempt.begun_at - request.sent_at;
            (age > ms(TOLD_SLACK_MS as u64)).then(|| format!("begun after {age:?}"))
        });
        waited.len()
    }

    /// Attempts that began more than 0.1 s after their client had closed its connection.
    pub fn sent_on_after_the_client_left(&self) -> Vec<String> {
        self.judge(|request, attempt| {
            let after = attempt
                .begun_at
                .checked_duration_since(request.closed_at?)?;
            (after > MAX_AFTER_CLOSE).then(|| format!("begun {after:?} after the close"))
        })
    }

    /// Attempts that told their server more than was left to the client.
    pub fn told_more_than_was_left(&self) -> Vec<String> {
        self.judge(|request, attempt| {
            let age = attempt.begun_at - request.sent_at;
            let left_ms = request.wait_ms as f64 - age.as_secs_f64() * 1000.0;
            let excess_ms = attempt.told_ms as f64 - left_ms.max(0.0);
            (excess_ms > TOLD_SLACK_MS).then(|| format!("told {excess_ms:.0} ms more than is left"))
        })
    }

    /// Attempts that began at a host after the grace behind the news that it drains.
    pub fn begun_at_drained_hosts(&self) -> Vec<String> {
        let drained_at = self.drained_at.borrow();
        self.judge(|_, attempt| {
            let told_at = drained_at.get(&attempt.server)?;
            let after = attempt.begun_at.checked_duration_since(*told_at)?;
            (after > DRAIN_GRACE).then(|| format!("begun {after:?} after the drain was told"))
        })
    }

    /// Requests that were begun again although they may never be repeated, or after the hosts have forgotten their key.
    pub fn begun_twice(&self) -> Vec<String> {
        let attempts = self.attempts.borrow();
        let mut first = HashMap::<&str, Instant>::new();
        let mut broken = Vec::new();
        for attempt in attempts.iter() {
            let begun_at = *first.entry(&attempt.id).or_insert(attempt.begun_at);
            let after = attempt.begun_at - begun_at;
            let is_again = !after.is_zero();
            if is_again && attempt.id.ends_with("hold")
                || attempt.id.ends_with("keyed") && after > KEY_TTL + LIMIT_SLACK
            {
                broken.push(format!("{} was begun again after {after:?}", attempt.id));
            }
        }
        broken
    }

    /// Requests whose client, still there, had no answer or one long after its time; the process has stood still for so
    /// long in all. One that was cut off is lost if it was begun at a server, or by the kill.
    pub fn lost(&self, stalled: Duration) -> Vec<String> {
        let limit =
            |request: &SentRequest| (ms(request.wait_ms) + ANSWER_SLACK).saturating_add(stalled);
        let why = |id: &str, request: &SentRequest| match (request.answered_at, request.cut_off_at)
        {
            (Some(at), _) => {
                let after = at - request.sent_at;
                (after > limit(request)).then(|| format!("answered after {after:?}"))
            }
            (None, Some(at)) if self.killed_at.get().is_some_and(|kill| at >= kill) => {
                Some("found unanswered by the kill".to_string())
            }
            (None, Some(_)) => self.is_begun(id).then(|| "begun and cut off".to_string()),
            (None, None) => None,
        };
        let requests = self.requests.borrow();
        let lost = requests
            .iter()
            .filter_map(|(id, request)| Some(format!("{id}: {}", why(id, request)?)));
        lost.collect()
    }

    fn is_begun(&self, id: &str) -> bool {
        self.attempts
            .borrow()
            .iter()
            .any(|attempt| attempt.id == id)
    }

    /// All that breaks a rule.
    pub fn broken_rules(&self, stalled: Duration) -> Vec<String> {
        let mut broken = self.sent_on_after_the_client_left();
        broken.extend(self.told_more_than_was_left());
        broken.extend(self.begun_at_drained_hosts());
        broken.extend(self.begun_twice());
        broken.extend(self.lost(stalled));
        broken
    }

    fn judge(&self, rule: impl Fn(&SentRequest, &BegunAttempt) -> Option<String>) -> Vec<String> {
        let requests = self.requests.borrow();
        let broken = |attempt: &BegunAttempt| {
            let request = requests.get(&attempt.id)?;
            let what = rule(request, attempt)?;
            Some(format!("{} at {}: {what}", attempt.id, attempt.server))
        };
        self.attempts.borrow().iter().filter_map(broken).collect()
    }
}

impl fmt::Display for Witness {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(
            f,
            "{} requests, {} left behind, {} served, {} unserved, {} attempts; {} sent on after the client left, {} told too much, {} at drained hosts, {} begun twice",
            self.requests.borrow().len(),
            self.requests_left_behind(),
            self.served.get(),
            self.unserved.get(),
            self.begun_count(),
            self.sent_on_after_the_client_left().len(),
            self.told_more_than_was_left().len(),
            self.begun_at_drained_hosts().len(),
            self.begun_twice().len(),
        )
    }
}
