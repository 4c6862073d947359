//! Discovery's agent of one balancer behind HTTP sockets.
use bytes::{Bytes, BytesMut};
use rustc_hash::FxHashMap;
use stairfront_codec::budget::Budget;
use stairfront_codec::http_server::{HttpServerCodec, Received, Reply as HttpReply};
use stairfront_emulator::agent::{self, Agent, Line, Status};
use stairfront_emulator::cache_host::{ConnId, Ticket};
use stairfront_emulator::rules::{Seen, Told};
use stairfront_emulator::time::Micros;

use super::{http_answer, SharedEventLog, UNLIMITED_BYTES};
use crate::server_host::{ServerOutput, Service};

/// Discovery's agent of one balancer.
pub struct AgentService {
    model: Agent,
    /// Positions of the hosts by name.
    hosts: FxHashMap<String, u16>,
    balancer: u16,
    event_log: SharedEventLog,
    actions: Vec<agent::Action>,
    scratch: BytesMut,
}

impl AgentService {
    /// The agent of this balancer; `hosts` gives the positions of the hosts by name.
    pub fn new(
        model: Agent,
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
    pub fn change(&mut self, now: Micros, server: Line, outputs: &mut Vec<ServerOutput>) {
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
    pub fn set_stale(&mut self, now: Micros, stale: bool, outputs: &mut Vec<ServerOutput>) {
        self.model.set_still(now, stale, &mut self.actions);
        self.apply_actions(now, outputs);
    }

    fn apply_actions(&mut self, now: Micros, outputs: &mut Vec<ServerOutput>) {
        for action in std::mem::take(&mut self.actions) {
            match action {
                agent::Action::Answer(ticket, list) => {
                    let reply = HttpReply {
                        status: 200,
                        reason: "OK",
                        headers: vec![("Content-Type", "application/json".to_string())],
                        body: Bytes::from(list),
                    };
                    outputs.push(http_answer(&mut self.scratch, ticket, reply));
                }
                agent::Action::Unknown(ticket) => {
                    let reply = HttpReply {
                        status: 404,
                        reason: "Not Found",
                        headers: vec![],
                        body: Bytes::new(),
                    };
                    outputs.push(http_answer(&mut self.scratch, ticket, reply));
                }
                agent::Action::Told { name, status } => self.record_notified(now, &name, status),
            }
        }
    }

    /// Records that the balancer was notified of a host's status.
    fn record_notified(&self, now: Micros, name: &str, status: Status) {
        let Some(host) = self.hosts.get(name).copied() else {
            return;
        };
        let told = if status == Status::Serving {
            Told::Serving
        } else {
            Told::Leaving
        };
        let seen = Seen::Said {
            balancer: self.balancer,
            host,
            told,
        };
        self.event_log.borrow_mut().record(now, seen);
    }
}

impl Service for AgentService {
    type Codec = HttpServerCodec;

    fn codec(&self) -> HttpServerCodec {
        HttpServerCodec::new(0, &Budget::new(UNLIMITED_BYTES))
    }

    fn connection_opened(&mut self, _: Micros, _: ConnId) -> bool {
        true
    }

    fn received(
        &mut self,
        now: Micros,
        ticket: Ticket,
        _: u16,
        request: Received,
        outputs: &mut Vec<ServerOutput>,
    ) {
        self.model
            .call(now, ticket, &request.target, &mut self.actions);
        self.apply_actions(now, outputs);
    }

    fn connection_closed(&mut self, _: Micros, connection: ConnId) {
        let ticket = Ticket {
            connection,
            number: 0,
        };
        self.model.forget(ticket);
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
