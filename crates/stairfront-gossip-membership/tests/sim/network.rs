//! Delivery of packets in the simulation, and the other actions of members.
use std::net::SocketAddr;

use stairfront_common::time::{Micros, MS};
use stairfront_emulator::links::{Delivery, StreamDelivery};
use stairfront_gossip_membership::Action;

use super::{member_at, LogContent, LogEntry, Process, Sim, SimEvent, SOCKET_BUFFER};

/// Largest datagram that goes unfragmented on any network that carries IPv6.
const MAX_DATAGRAM_BYTES: usize = 1200;
/// Time after which a push/pull exchange without a reply has failed.
const PUSH_PULL_TIMEOUT: Micros = 1500 * MS;

impl Sim {
    fn process_at(&self, address: SocketAddr) -> Option<Process> {
        let (member, is_second_address) = member_at(address)?;
        let node = self.nodes.get(member)?;
        Some(Process {
            member,
            is_duplicate: is_second_address ^ node.moved,
        })
    }

    pub(super) fn run_actions(&mut self, process: Process) {
        let node = &mut self.nodes[process.member];
        let Some(core) = node.process_mut(process.is_duplicate) else {
            return;
        };
        for action in core.take_actions() {
            self.run_action(process, action);
        }
    }

    fn run_action(&mut self, process: Process, action: Action) {
        let Process {
            member,
            is_duplicate,
        } = process;
        match action {
            Action::Send { to, bytes } => self.send_datagram(member, to, &bytes),
            Action::PushPull { with, bytes } => self.begin_push_pull(process, with, bytes),
            Action::WriteRecord if !is_duplicate => {
                if let Some(core) = &self.nodes[member].core {
                    self.nodes[member].disk = core.cordons().entries().collect();
                }
            }
            Action::Cordon { host, cordoned } if !is_duplicate => {
                let node = &mut self.nodes[member];
                let starts = node.starts;
                node.pending.insert(host.clone(), cordoned);
                let event = SimEvent::CordonApplied {
                    member,
                    starts,
                    host,
                };
                self.schedule(self.now + MS, event);
            }
            Action::Log(event) => self.log.push(LogEntry {
                at: self.now,
                member,
                content: LogContent::Event(event),
            }),
            _ => {}
        }
    }

    fn send_datagram(&mut self, from: usize, to: SocketAddr, bytes: &[u8]) {
        assert!(bytes.len() <= MAX_DATAGRAM_BYTES, "{}", bytes.len());
        let node = &mut self.nodes[from];
        node.datagrams += 1;
        node.bytes += bytes.len() as u64;
        let Some(to) = self.process_at(to) else {
            return;
        };
        for Delivery { delay, bytes } in self.links.send_datagram(self.now, from, to.member, bytes)
        {
            self.schedule(self.now + delay, SimEvent::Datagram { to, bytes });
        }
    }

    fn begin_push_pull(&mut self, from: Process, with: SocketAddr, bytes: Vec<u8>) {
        let Some(to) = self.process_at(with) else {
            return;
        };
        let member = from.member;
        match self
            .links
            .send_stream(self.now, member, to.member, bytes.len())
        {
            StreamDelivery::Delayed(delay) => {
                let request = SimEvent::PushPullRequest { from, to, bytes };
                self.schedule(self.now + delay * 2, request);
            }
            _ => self.schedule(
                self.now + PUSH_PULL_TIMEOUT,
                SimEvent::PushPullFailed { member },
            ),
        }
    }

    pub(super) fn receive_datagram(&mut self, to: Process, bytes: Vec<u8>) {
        let node = &mut self.nodes[to.member];
        if !node.paused || to.is_duplicate {
            self.handle_datagram(to, &bytes);
        } else if node.unread.len() < SOCKET_BUFFER {
            node.unread.push_back(bytes);
        }
    }

    pub(super) fn handle_datagram(&mut self, to: Process, bytes: &[u8]) {
        if let Some(core) = self.nodes[to.member].process_mut(to.is_duplicate) {
            core.handle_datagram(self.now, bytes);
            self.run_actions(to);
        }
    }

    pub(super) fn receive_push_pull(&mut self, from: Process, to: Process, bytes: &[u8]) {
        let now = self.now;
        let node = &mut self.nodes[to.member];
        let is_running = to.is_duplicate || !node.paused;
        let core = node.process_mut(to.is_duplicate).as_mut();
        let reply = core
            .filter(|_| is_running)
            .and_then(|core| core.handle_stream_packet(now, bytes));
        self.run_actions(to);
        let member = from.member;
        let failure = SimEvent::PushPullFailed { member };
        let Some(bytes) = reply else {
            return self.schedule(now + PUSH_PULL_TIMEOUT, failure);
        };
        match self.links.send_stream(now, to.member, member, bytes.len()) {
            StreamDelivery::Delayed(delay) => {
                let reply = SimEvent::PushPullReply { to: from, bytes };
                self.schedule(now + delay, reply);
            }
            _ => self.schedule(now + PUSH_PULL_TIMEOUT, failure),
        }
    }

    pub(super) fn receive_push_pull_reply(&mut self, to: Process, bytes: &[u8]) {
        let node = &mut self.nodes[to.member];
        let is_running = to.is_duplicate || !node.paused;
        let core = node.process_mut(to.is_duplicate).as_mut();
        if let Some(core) = core.filter(|_| is_running) {
            core.handle_stream_packet(self.now, bytes);
            self.run_actions(to);
        }
    }
}
