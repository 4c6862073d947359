//! The watch on discovery's agent.
use std::io;
use std::net::SocketAddr;
use std::rc::Rc;
use std::time::Duration;

use bytes::Bytes;
use futures_util::{SinkExt, StreamExt};
use stairfront_codec::budget::Budget;
use stairfront_codec::http::HttpError;
use stairfront_codec::http_client::{HttpClientCodec, Request, RequestBody};
use stairfront_settings::Names;
use tokio::sync::{mpsc, watch, Notify};
use tokio_util::codec::Framed;
use tracing::{info, warn};
use xxhash_rust::xxh3::xxh3_64;

use crate::clock::{sleep, timeout};
use crate::control::server_list::{ListError, RawList, ServerList};
use crate::counters::Counters;
use crate::messages::EngineEvent;
use crate::transport::Network;

/// How long the agent may hold a watch for news; 60 s is the most. Danger: while discovery is down its changes count
/// as told 2 s after the hold is over, heard or not, so a short hold has this balancer send to caches that drain.
const HOLD: Duration = Duration::from_secs(50);
/// What an answer may take beyond the hold before the agent counts as dead: it is on this machine.
const ANSWER_LIMIT: Duration = Duration::from_secs(1);
/// Pause after a failed call; each further one in a row doubles it. Half of each is drawn. Danger: balancers that were
/// started together would call together, be turned away together, and come back together.
const RETRY: Duration = Duration::from_millis(100);
/// The longest where nobody answers: the agent is on this machine, and its calls cost nobody else anything.
const LONGEST_RETRY: Duration = Duration::from_millis(400);
/// Pause after a refusal, or a list that made no sense.
const REFUSED_PAUSE: Duration = Duration::from_millis(500);
/// The longest after refusals. What discovery has to tell counts as told some seconds later, heard or not.
const LONGEST_REFUSED: Duration = Duration::from_millis(1600);
/// Some thousand servers.
const MAX_LIST_BYTES: usize = 2 * 1024 * 1024;
/// One line in the log for so many failed calls in a row.
const LOG_EVERY: u32 = 50;

#[derive(Debug, thiserror::Error)]
enum CallError {
    #[error("{0}")]
    Http(#[from] HttpError),
    #[error("no answer in time")]
    Late,
    #[error("the connection ended")]
    Ended,
    #[error("status {0}")]
    Status(u16),
    #[error("not a list: {0}")]
    Json(String),
    #[error("changes up to version {told} for one that has {index}")]
    Back { index: u64, told: u64 },
    #[error("not a list: {0}")]
    List(#[from] ListError),
}

impl From<io::Error> for CallError {
    fn from(error: io::Error) -> Self {
        CallError::Http(error.into())
    }
}

/// Keeps a watch on the agent for as long as the balancer runs and passes on all that changes. A dead agent costs
/// nothing but these calls: serving goes on with the list in hand.
pub struct DiscoveryWatch<N: Network> {
    network: N,
    /// Where the agent is; a new configuration may name another.
    agents: watch::Receiver<Option<SocketAddr>>,
    names: Names,
    inbox: mpsc::Sender<EngineEvent>,
    wire: Option<Framed<N::Stream, HttpClientCodec>>,
    /// The version in hand; none asks for the whole list.
    index: Option<u64>,
    /// How long the next call may be held: not at all until one was answered, so that a start or a return of the
    /// agent does not wait for news to come.
    hold: Duration,
    /// Somebody has newer news: the agent is to be asked now.
    ask_now: Rc<Notify>,
    /// This balancer's own random numbers.
    draws: u64,
    counters: Rc<Counters>,
}

impl<N: Network> DiscoveryWatch<N> {
    pub fn new(
        network: N,
        agents: watch::Receiver<Option<SocketAddr>>,
        names: Names,
        known: u64,
        seed: u64,
        inbox: mpsc::Sender<EngineEvent>,
        counters: Rc<Counters>,
    ) -> Self {
        DiscoveryWatch {
            network,
            agents,
            names,
            inbox,
            wire: None,
            index: Some(known),
            hold: Duration::ZERO,
            ask_now: Rc::default(),
            draws: seed,
            counters,
        }
    }

    /// The agent is asked at once whenever this is told.
    pub fn asked_by(self, ask_now: Rc<Notify>) -> Self {
        DiscoveryWatch { ask_now, ..self }
    }

    /// Danger: a call to the agent of an old configuration may be held for most of a minute, and its versions mean
    /// nothing to another agent. The call is dropped, and the new agent asked at once for the whole list.
    pub async fn run(mut self) {
        let mut agents = self.agents.clone();
        let ask_now = Rc::clone(&self.ask_now);
        loop {
            tokio::select! {
                biased;
                changed = agents.changed() => {
                    if changed.is_err() {
                        return;
                    }
                    (self.wire, self.index, self.hold) = (None, None, Duration::ZERO);
                }
                // The held call is dropped: what it would have brought, the next one does.
                () = ask_now.notified() => (self.wire, self.hold) = (None, Duration::ZERO),
                () = self.keep() => return,
            }
        }
    }

    async fn keep(&mut self) {
        let Some(address) = *self.agents.borrow() else {
            return std::future::pending().await;
        };
        let mut failures = 0;
        loop {
            match self.call(address).await {
                Ok(list) => {
                    if failures > 0 {
                        info!("discovery answers again");
                    }
                    failures = 0;
                    // Danger: this may be dropped at any wait, for other news or another agent. With the version put
                    // down before the list is handed on, nobody would ever ask for what it had.
                    let Ok(room) = self.inbox.reserve().await else {
                        return;
                    };
                    (self.hold, self.index) = (HOLD, Some(list.index));
                    room.send(EngineEvent::List(list));
                }
                Err(problem) => {
                    if failures % LOG_EVERY == 0 {
                        warn!("discovery at {address}: {problem}");
                    }
                    failures += 1;
                    self.counters.lists_failed.add();
                    self.wire = None;
                    self.hold = Duration::ZERO;
                    let (first, longest) = match problem {
                        // Rejection away: it has told nothing, and the list in hand stands. Danger: balancers that ask for
                        // the whole list instead are turned away all the more.
                        CallError::Status(429 | 503) => (REFUSED_PAUSE, LONGEST_REFUSED),
                        // What it was to tell is not known: only the whole list mends that.
                        CallError::Json(_)
                        | CallError::List(_)
                        | CallError::Back { .. }
                        | CallError::Status(_) => {
                            self.index = None;
                            (REFUSED_PAUSE, LONGEST_REFUSED)
                        }
                        _ => (RETRY, LONGEST_RETRY),
                    };
                    sleep(self.pause(first, longest, failures)).await;
                }
            }
        }
    }

    /// The pause after so many failures in a row: half of it fixed, half by this balancer's own draw.
    fn pause(&mut self, first: Duration, longest: Duration, failures: u32) -> Duration {
        self.draws = self.draws.wrapping_add(1);
        let draw = xxh3_64(&self.draws.to_le_bytes()) as f64 / u64::MAX as f64;
        let whole = first
            .saturating_mul(1 << failures.saturating_sub(1).min(8))
            .min(longest);
        whole.mul_f64(0.5 + draw / 2.0)
    }

    async fn call(&mut self, address: SocketAddr) -> Result<ServerList, CallError> {
        let wire = match &mut self.wire {
            Some(wire) => wire,
            none => {
                let connected = timeout(ANSWER_LIMIT, self.network.connect(address));
                let socket = connected.await.map_err(|_| CallError::Late)??;
                none.insert(Framed::new(
                    socket,
                    HttpClientCodec::new(MAX_LIST_BYTES, &Budget::new(MAX_LIST_BYTES)),
                ))
            }
        };
        let (target, limit) = match self.index {
            Some(index) => {
                let target = format!(
                    "/api/targets?from={index}&hold_ms={}",
                    self.hold.as_millis()
                );
                (target, self.hold + ANSWER_LIMIT)
            }
            None => ("/api/targets".to_string(), ANSWER_LIMIT),
        };
        let host = Bytes::from(address.to_string());
        wire.send(Request {
            method: "GET",
            target,
            headers: vec![("Host", host)],
            body: RequestBody::Empty,
        })
        .await?;
        let answer = timeout(limit, wire.next())
            .await
            .map_err(|_| CallError::Late)?;
        let response = answer.ok_or(CallError::Ended)??;
        if response.closes_connection {
            self.wire = None;
        }
        if response.status != 200 {
            return Err(CallError::Status(response.status));
        }
        let raw: RawList = serde_path_to_error::deserialize(
            &mut serde_json::Deserializer::from_slice(&response.body),
        )
        .map_err(|e| CallError::Json(e.to_string()))?;
        let list = raw.read(&self.names)?;
        match self.index {
            // Changes of versions that are older than the list in hand say nothing of it.
            Some(index) if !list.full && list.index < index => Err(CallError::Back {
                index,
                told: list.index,
            }),
            _ => Ok(list),
        }
    }
}
