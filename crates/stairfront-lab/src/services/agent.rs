//! Discovery's agent of one balancer behind HTTP sockets.
use bytes::{Bytes, BytesMut};
use rustc_hash::FxHashMap;
use stairfront_codec::budget::Budget;
use stairfront_codec::http_server::{HttpServerCodec, Request, Response};
use stairfront_common::time::Micros;
use stairfront_emulator::cache_host::{ConnectionId, ReplySlot};
use stairfront_emulator::discovery_agent::{self, DiscoveryAgent, EndpointRecord, EndpointStatus};
use stairfront_emulator::rules::{AnnouncedState, Observation};

use super::{http_answer, SharedEventLog, UNLIMITED_BYTES};
use crate::server_host::{ServerOutput, Service};

/// Discovery's agent of one balancer.
pub struct AgentService {
    model: DiscoveryAgent,
    /// Positions of the hosts by name.
    hosts: FxHashMap<String, u16>,
    balancer: u16,
    event_log: SharedEventLog,
    actions: Vec<discovery_agent::Action>,
    scratch: BytesMut,
}

impl AgentService {
    /// The agent of this balancer; `hosts` gives the positions of the hosts by name.
    pub fn new(
        model: DiscoveryAgent,
        hosts: FxHashMap<String, u16>,
        balancer: u16,
        event_log: SharedEventLog,
    ) -> Self {
        AgentService {
            model,
            hosts,
            balancer,
            event_log,
            actions: Vec::new(),
            scratch: BytesMut::new(),
        }
    }

    /// Changes a server of the list.
    pub fn change(&mut self, now: Micros, server: EndpointRecord, outputs: &mut Vec<ServerOutput>) {
        self.model.change(now, server);
        self.model.advance(now, &mut self.actions);
        self.apply_actions(now, outputs);
    }

    /// Stops answering, or answers again.
    pub fn set_silent(&mut self, now: Micros, silent: bool, outputs: &mut Vec<ServerOutput>) {
        self.model.set_silent(now, silent, &mut self.actions);
        self.apply_actions(now, outputs);
    }

    /// Stops taking changes into its list, or takes them again.
    pub fn set_frozen(&mut self, now: Micros, frozen: bool, outputs: &mut Vec<ServerOutput>) {
        self.model.set_frozen(now, frozen, &mut self.actions);
        self.apply_actions(now, outputs);
    }

    fn apply_actions(&mut self, now: Micros, outputs: &mut Vec<ServerOutput>) {
        for action in std::mem::take(&mut self.actions) {
            match action {
                discovery_agent::Action::Answer(slot, list) => {
                    let reply = Response {
                        status: 200,
                        reason: "OK",
                        headers: vec![("Content-Type", "application/json".to_string())],
                        body: Bytes::from(list),
                    };
                    outputs.push(http_answer(&mut self.scratch, slot, reply));
                }
                discovery_agent::Action::NotFound(slot) => {
                    let reply = Response {
                        status: 404,
                        reason: "Not Found",
                        headers: vec![],
                        body: Bytes::new(),
                    };
                    outputs.push(http_answer(&mut self.scratch, slot, reply));
                }
                discovery_agent::Action::Notified { name, status } => {
                    self.record_notified(now, &name, status)
                }
            }
        }
    }

    /// Records that the balancer was notified of a host's status.
    fn record_notified(&self, now: Micros, name: &str, status: EndpointStatus) {
        let Some(host) = self.hosts.get(name).copied() else {
            return;
        };
        let state = if status == EndpointStatus::Serving {
            AnnouncedState::Serving
        } else {
            AnnouncedState::Draining
        };
        let observation = Observation::Notified {
            balancer: self.balancer,
            host,
            state,
        };
        self.event_log.borrow_mut().record(now, observation);
    }
}

impl Service for AgentService {
    type Codec = HttpServerCodec;

    fn codec(&self) -> HttpServerCodec {
        HttpServerCodec::new(0, &Budget::new(UNLIMITED_BYTES))
    }

    fn connection_opened(&mut self, _: Micros, _: ConnectionId) -> bool {
        true
    }

    fn received(
        &mut self,
        now: Micros,
        slot: ReplySlot,
        _: u16,
        request: Request,
        outputs: &mut Vec<ServerOutput>,
    ) {
        self.model
            .handle_request(now, slot, &request.target, &mut self.actions);
        self.apply_actions(now, outputs);
    }

    fn connection_closed(&mut self, _: Micros, connection: ConnectionId) {
        let slot = ReplySlot {
            connection,
            sequence: 0,
        };
        self.model.remove_connection(slot);
    }

    fn advance(&mut self, now: Micros, outputs: &mut Vec<ServerOutput>) {
        self.model.advance(now, &mut self.actions);
        self.apply_actions(now, outputs);
    }

    fn next_due(&self) -> Option<Micros> {
        self.model.next_due()
    }

    fn resumed_after(&mut self, _: Micros) {}
}
