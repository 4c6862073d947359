//! The agent's state, and the loop that brings input to the state machine and does its actions.
use std::cell::RefCell;
use std::net::SocketAddr;
use std::rc::Rc;
use std::time::{SystemTime, UNIX_EPOCH};

use stairfront_common::time::{from_duration, Micros};
use stairfront_gossip_membership::packet::MAX_DATAGRAM_BYTES;
use stairfront_gossip_membership::{Action, Membership, Settings};
use tokio::net::UdpSocket;
use tokio::sync::Notify;
use tokio::time::Instant;
use tracing::warn;

use crate::config::MembershipSection;
use crate::cordon_file::CordonSetFile;
use crate::engine_events::{EngineEvents, MembershipEvent};
use crate::event_log;
use crate::payload_queue::PayloadQueue;
use crate::sockets::{Sockets, StreamLimits};
use crate::timers::{tick_timer, StallMonitor};

/// Datagrams that are handled between two ticks. In a group of 300, a member receives one or two in that time; a flood must
/// not take the time of the requests.
const MAX_DATAGRAMS_PER_TICK: usize = 100;

/// A member of a group, on sockets.
pub struct MembershipAgent {
    pub(crate) core: RefCell<Membership>,
    pub(crate) listen: SocketAddr,
    pub(crate) cordon_file: CordonSetFile,
    start: Instant,
    pub(crate) stalls: StallMonitor,
    pub(crate) engine_events: EngineEvents,
    /// The state machine has new actions.
    pub(crate) changed: Notify,
    /// The state machine has handled input, so that a condition that somebody waits for may hold.
    pub(crate) progressed: Notify,
    pub(crate) stream_limits: StreamLimits,
    pub(crate) payloads: PayloadQueue,
    /// None until the sockets are open.
    pub(crate) udp: RefCell<Option<Rc<UdpSocket>>>,
}

impl MembershipAgent {
    /// An agent of the balancer `name`. It opens no socket before [`MembershipAgent::run`].
    #[must_use]
    pub fn new(
        section: &MembershipSection,
        name: &str,
        seed: u64,
        cordon_file: CordonSetFile,
    ) -> Rc<Self> {
        let unix = SystemTime::now()
            .duration_since(UNIX_EPOCH)
            .unwrap_or_default();
        let process_id = seed ^ (unix.as_nanos() as u64) ^ (u64::from(std::process::id()) << 48);
        let settings = Settings {
            process_id,
            started_unix_ms: unix.as_millis() as u64,
            seed,
            ..section.settings(name)
        };
        Rc::new(MembershipAgent {
            core: RefCell::new(Membership::new(0, settings, &cordon_file.read())),
            listen: section.listen,
            cordon_file,
            start: Instant::now(),
            stalls: StallMonitor::new(),
            engine_events: EngineEvents::default(),
            changed: Notify::new(),
            progressed: Notify::new(),
            stream_limits: StreamLimits::new(),
            payloads: PayloadQueue::default(),
            udp: RefCell::new(None),
        })
    }

    /// Time since the start of the agent.
    pub(crate) fn now(&self) -> Micros {
        from_duration(self.start.elapsed())
    }

    /// Opens the sockets and serves the group for as long as the balancer runs.
    pub async fn run(self: Rc<Self>) {
        let Sockets { udp, tcp } = self.bind().await;
        self.udp.replace(Some(Rc::clone(&udp)));
        let mut ticks = tick_timer();
        let mut datagrams = 0;
        let mut buffer = vec![0; MAX_DATAGRAM_BYTES + 1];
        loop {
            tokio::select! {
                _ = ticks.tick() => {
                    datagrams = 0;
                    self.tick();
                }
                received = udp.recv_from(&mut buffer), if datagrams < MAX_DATAGRAMS_PER_TICK => {
                    datagrams += 1;
                    // An error here belongs to an earlier datagram that could not be delivered.
                    if let Ok((length, _)) = received {
                        let now = self.now();
                        self.core.borrow_mut().handle_datagram(now, &buffer[..length]);
                    }
                }
                accepted = tcp.accept(), if self.stream_limits.can_accept() => {
                    if let Ok((stream, _)) = accepted {
                        self.serve_stream(stream);
                    }
                }
                () = self.changed.notified() => {}
            }
            self.run_actions(&udp);
        }
    }

    fn tick(&self) {
        self.stalls.tick();
        self.core.borrow_mut().tick(self.now());
    }

    fn run_actions(self: &Rc<Self>, udp: &UdpSocket) {
        let actions = self.core.borrow_mut().take_actions();
        for action in actions {
            self.run_action(udp, action);
        }
        self.progressed.notify_waiters();
    }

    fn run_action(self: &Rc<Self>, udp: &UdpSocket, action: Action) {
        match action {
            // A full buffer or an unreachable member is the same as a loss in the network.
            Action::Send { to, bytes } => drop(udp.try_send_to(&bytes, to)),
            Action::PushPull { with, bytes } => self.begin_push_pull(with, bytes),
            Action::Stream { to, bytes } => self.send_by_stream(to, bytes),
            Action::DeliverPayload { from, bytes } => self.payloads.push(from, bytes),
            Action::WriteRecord => self.write_cordon_file(),
            Action::Cordon { host, cordoned } => {
                let event = MembershipEvent::Cordon { host, cordoned };
                self.engine_events.push(event);
            }
            Action::DrainHint { host, stop } => {
                let event = MembershipEvent::DrainHint { host, stop };
                self.engine_events.push(event);
            }
            Action::PollDiscovery => self.engine_events.push(MembershipEvent::PollDiscovery),
            Action::Log(event) => event_log::log(&event),
        }
    }

    fn write_cordon_file(&self) {
        if let Err(error) = self.cordon_file.write(self.core.borrow().cordons()) {
            warn!(%error, "cordons of the group not recorded; the other members have them");
        }
    }
}
