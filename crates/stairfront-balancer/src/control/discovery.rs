//! The watch on discovery: HTTP long polls to the agent on this machine, which answers with the changes of the endpoint
//! list since the version in hand.
use std::io;
use std::net::SocketAddr;
use std::rc::Rc;
use std::time::Duration;

use bytes::Bytes;
use futures_util::{SinkExt, StreamExt};
use stairfront_codec::budget::Budget;
use stairfront_codec::http::HttpError;
use stairfront_codec::http_client::{HttpClientCodec, Request, RequestBody, Response};
use stairfront_settings::Names;
use tokio::sync::{mpsc, watch, Notify};
use tokio_util::codec::Framed;
use tracing::{info, warn};
use xxhash_rust::xxh3::xxh3_64;

use crate::arrival::PollClock;
use crate::clock::{sleep, timeout, Instant};
use crate::control::answer_timeout::AnswerTimeout;
use crate::control::server_list::{ListError, RawList, ServerList};
use crate::counters::Counters;
use crate::list_freshness::{ListFreshness, ListInTransit};
use crate::messages::{EngineEvent, ReceivedList};
use crate::shared_stream::SharedStream;
use crate::transport::{Network, Unread};

/// How long a poll that the agent may hold until there is a change is out at most; the agent allows 60 s. While discovery is
/// down its changes count as notified 2 s after the hold is over, so a short hold would have this balancer send to caches that
/// drain.
const WATCH_TIMEOUT: Duration = Duration::from_secs(51);
/// Time that a connection to the agent may take, which is on this machine.
const CONNECT_TIMEOUT: Duration = Duration::from_secs(1);
/// Largest list that is read; room for some thousand servers.
const MAX_LIST_BYTES: usize = 2 * 1024 * 1024;
/// Buffers of a list that comes in chunks: its content, the next chunk, and a greater buffer that takes the place of one.
const MAX_BUFFER_BYTES: usize = 4 * MAX_LIST_BYTES;
/// One log line for this many failed polls in a row.
const POLLS_PER_LOG_LINE: u32 = 50;

/// An exponential backoff: each further failure in a row doubles the pause.
#[derive(Clone, Copy)]
struct Backoff {
    first: Duration,
    max: Duration,
}

/// After a poll without an answer. The agent is on this machine, so that polls load no other one.
const UNREACHABLE_BACKOFF: Backoff = Backoff {
    first: Duration::from_millis(100),
    max: Duration::from_millis(400),
};
/// After a refusal, or a list that cannot be read. The longest is short because what discovery has to notify counts as
/// notified some seconds later, whether it was received or not.
const REFUSED_BACKOFF: Backoff = Backoff {
    first: Duration::from_millis(500),
    max: Duration::from_millis(1600),
};

#[derive(Debug, thiserror::Error)]
enum PollError {
    #[error("{0}")]
    Http(#[from] HttpError),
    #[error("no answer in time")]
    Late,
    #[error("the connection ended")]
    Ended,
    #[error("status {0}")]
    Status(u16),
    #[error("not a list: {0}")]
    Json(#[from] serde_path_to_error::Error<serde_json::Error>),
    #[error("version {received} for a list of version {index}")]
    Outdated { index: u64, received: u64 },
    #[error("not a list: {0}")]
    List(#[from] ListError),
}

impl From<io::Error> for PollError {
    fn from(error: io::Error) -> Self {
        PollError::Http(error.into())
    }
}

/// Settings of a watch.
pub struct DiscoverySettings {
    /// Address of the agent; a new configuration may name another.
    pub agent: watch::Receiver<Option<SocketAddr>>,
    /// Zones and kinds by which lists are read.
    pub names: Names,
    /// Version of the list that the balancer starts with.
    pub known_index: u64,
    /// Seed of the random part of pauses.
    pub seed: u64,
    /// Notified when another member has a newer list: the agent is polled at once.
    pub poll_now: Rc<Notify>,
    /// Gets to know of lists on their way.
    pub lists: Rc<ListFreshness>,
    /// When the event loop has polled the network.
    pub polls: Rc<PollClock>,
}

/// Watches the agent for as long as the balancer runs and passes on every change. A failed agent costs nothing but these
/// polls; requests are served by the list in hand.
pub struct DiscoveryWatch<N: Network> {
    network: N,
    agent: watch::Receiver<Option<SocketAddr>>,
    names: Names,
    events: mpsc::Sender<EngineEvent>,
    connection: Option<Framed<SharedStream<N::Stream>, HttpClientCodec>>,
    lists: Rc<ListFreshness>,
    polls: Rc<PollClock>,
    /// The version in hand; `None` asks for the whole list.
    index: Option<u64>,
    /// Whether the agent may hold the next poll: not until one was answered, so that a start or a return of the agent does
    /// not wait for the next change.
    may_hold: bool,
    answer_timeout: AnswerTimeout,
    poll_now: Rc<Notify>,
    /// State of this balancer's own random numbers.
    random_state: u64,
    counters: Rc<Counters>,
}

impl<N: Network> DiscoveryWatch<N> {
    /// A watch that has not polled yet.
    pub fn new(
        network: N,
        settings: DiscoverySettings,
        events: mpsc::Sender<EngineEvent>,
        counters: Rc<Counters>,
    ) -> Self {
        DiscoveryWatch {
            network,
            agent: settings.agent,
            names: settings.names,
            events,
            connection: None,
            lists: settings.lists,
            polls: settings.polls,
            index: Some(settings.known_index),
            may_hold: false,
            answer_timeout: AnswerTimeout::default(),
            poll_now: settings.poll_now,
            random_state: settings.seed,
            counters,
        }
    }

    /// Runs until the engine has ended. A new address of the agent drops the poll that is held, for up to a minute, by the
    /// old one, and asks the new agent for the whole list, since versions of two agents cannot be compared.
    pub async fn run(mut self) {
        let mut agent = self.agent.clone();
        let poll_now = Rc::clone(&self.poll_now);
        loop {
            tokio::select! {
                biased;
                changed = agent.changed() => {
                    if changed.is_err() {
                        return;
                    }
                    self.drop_connection();
                    self.index = None;
                    self.answer_timeout = AnswerTimeout::default();
                }
                // The poll that is held is dropped: the next one brings what it would have brought.
                () = poll_now.notified() => self.drop_connection(),
                () = self.keep_polling() => return,
            }
        }
    }

    fn drop_connection(&mut self) {
        self.connection = None;
        self.may_hold = false;
    }

    async fn keep_polling(&mut self) {
        let Some(address) = *self.agent.borrow() else {
            return std::future::pending().await;
        };
        let mut failures = 0;
        loop {
            match self.poll(address).await {
                Ok((list, in_transit)) => {
                    if failures > 0 {
                        info!("discovery answers again");
                    }
                    failures = 0;
                    // This future may be dropped at any await. If the version were recorded before the list is passed on,
                    // its changes would never be asked for again.
                    let Ok(permit) = self.events.reserve().await else {
                        return;
                    };
                    self.may_hold = true;
                    self.index = Some(list.index);
                    let in_transit = Some(in_transit);
                    permit.send(EngineEvent::EndpointList(ReceivedList { list, in_transit }));
                }
                Err(error) => {
                    if failures % POLLS_PER_LOG_LINE == 0 {
                        warn!(%address, %error, "discovery poll failed");
                    }
                    failures += 1;
                    let backoff = self.handle_failure(&error);
                    sleep(self.pause(backoff, failures)).await;
                }
            }
        }
    }

    /// Decides what the next poll asks for, and the backoff until then.
    fn handle_failure(&mut self, error: &PollError) -> Backoff {
        self.counters.lists_failed.add();
        self.drop_connection();
        match error {
            // The poll was refused and the list in hand is still right. Balancers that asked for the whole list instead
            // would be refused all the more.
            PollError::Status(429 | 503) => REFUSED_BACKOFF,
            // The changes are lost, and only the whole list brings them.
            PollError::Json(_)
            | PollError::List(_)
            | PollError::Outdated { .. }
            | PollError::Status(_) => {
                self.index = None;
                REFUSED_BACKOFF
            }
            PollError::Late => {
                self.answer_timeout.note_late();
                UNREACHABLE_BACKOFF
            }
            PollError::Http(_) | PollError::Ended => UNREACHABLE_BACKOFF,
        }
    }

    /// The pause after so many failures in a row. Half of it is drawn at random, so that balancers which were started
    /// together are not refused together and then come back together.
    fn pause(&mut self, backoff: Backoff, failures: u32) -> Duration {
        self.random_state = self.random_state.wrapping_add(1);
        let draw = xxh3_64(&self.random_state.to_le_bytes()) as f64 / u64::MAX as f64;
        let whole = backoff
            .first
            .saturating_mul(1 << failures.saturating_sub(1).min(8))
            .min(backoff.max);
        whole.mul_f64(0.5 + draw / 2.0)
    }

    async fn poll(
        &mut self,
        address: SocketAddr,
    ) -> Result<(ServerList, ListInTransit), PollError> {
        // What has come between two polls answers neither.
        self.connection = self.connection.take().filter(|connection| {
            connection.read_buffer().is_empty() && connection.get_ref().unread() == Unread::Nothing
        });
        let is_first_poll = self.connection.is_none();
        let response = self.exchange(address).await;
        self.lists.note_poll_ended();
        let response = response?;
        let in_transit = self.lists.receive();
        if response.closes_connection {
            self.connection = None;
        }
        if response.status != 200 {
            return Err(PollError::Status(response.status));
        }
        let mut deserializer = serde_json::Deserializer::from_slice(&response.body);
        let raw: RawList = serde_path_to_error::deserialize(&mut deserializer)?;
        let list = raw.read(&self.names)?;
        match self.index {
            // Changes between versions older than the list in hand say nothing about it. A whole list that is older is that of
            // an agent that counts anew, or the answer to an earlier poll for a second time: on the first poll of a connection
            // it can only be the former.
            Some(index) if list.index < index && !(list.full && is_first_poll) => {
                Err(PollError::Outdated {
                    index,
                    received: list.index,
                })
            }
            _ => Ok((list, in_transit)),
        }
    }

    async fn exchange(&mut self, address: SocketAddr) -> Result<Response, PollError> {
        let answer_timeout = self.answer_timeout.get();
        let hold = self.hold();
        let target = match self.index {
            Some(index) => format!("/api/targets?from={index}&hold_ms={}", hold.as_millis()),
            None => "/api/targets".to_string(),
        };
        let request = Request {
            method: "GET",
            target,
            headers: vec![("Host", Bytes::from(address.to_string()))],
            body: RequestBody::Empty,
        };
        let connection = match &mut self.connection {
            Some(connection) => {
                self.lists
                    .note_poll(connection.get_ref().arrived_after().elapsed());
                connection
            }
            none => {
                let connected = timeout(CONNECT_TIMEOUT, self.network.connect(address));
                let socket = connected.await.map_err(|_| PollError::Late)??;
                let socket = SharedStream::new(socket, &self.polls, Instant::now());
                self.lists.set_agent(socket.peer());
                let codec = HttpClientCodec::new(MAX_LIST_BYTES, &Budget::new(MAX_BUFFER_BYTES));
                none.insert(Framed::new(socket, codec))
            }
        };
        connection.get_ref().resume_reading();
        let sent_at = Instant::now();
        connection.send(request).await?;
        let answer = timeout(hold + answer_timeout, connection.next())
            .await
            .map_err(|_| PollError::Late)?;
        let response = answer.ok_or(PollError::Ended)??;
        if hold.is_zero() {
            self.answer_timeout.note_answer(sent_at.elapsed());
        }
        Ok(response)
    }

    /// How long the agent may hold the next poll.
    fn hold(&self) -> Duration {
        if self.may_hold && self.index.is_some() {
            WATCH_TIMEOUT - self.answer_timeout.get()
        } else {
            Duration::ZERO
        }
    }
}
