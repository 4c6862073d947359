//! The answers of members: to polls, to orders to cordon, and to the workers' calls.
use std::net::UdpSocket;
use std::ops::Range;
use std::rc::Rc;

use stairfront_common::time::{from_ms, to_ms, Micros};
use stairfront_emulator::group_observer::{GroupEvent, MemberReport};
use stairfront_emulator::rules::Observation;
use tokio::task::spawn_local;

use super::{host_index, BalancerGroup, CpuSample, ORDERED_HOST};
use crate::admin_client::{self, AdminAnswer};
use crate::error::RunError;

const MAX_JUNK_BYTES: u64 = 1400;
/// Bursts of junk datagrams in a second.
const JUNK_BURSTS_PER_S: f64 = 100.0;
/// Part of the orders that cordon; the others uncordon.
const CORDON_PROBABILITY: f64 = 0.6;

/// A member's report of its group, and when it was polled.
pub(super) struct PolledReport {
    member: usize,
    incarnation: u64,
    at: Micros,
    report: MemberReport,
}

/// The answer to a worker's call; none where nobody answered.
pub(super) struct CallAnswer {
    pub(super) number: u64,
    pub(super) answer: Option<AdminAnswer>,
}

/// An answer from a member.
pub(super) enum MemberMessage {
    Report(PolledReport),
    OrderAnswered { accepted: bool, cordon: bool },
    CallAnswered(CallAnswer),
}

impl BalancerGroup {
    /// Samples all processes and asks the running ones for their report of the group.
    pub(super) fn poll_members(
        &mut self,
        now: Micros,
        counted: &Range<Micros>,
    ) -> Result<(), RunError> {
        let mut cpu_us = 0;
        for index in 0..self.members.len() {
            let member = &mut self.members[index];
            member.process.inspect();
            cpu_us += member.process.cpu_us();
            if !member.up {
                continue;
            }
            if !member.process.is_running() {
                self.handle_end(now, index)?;
            } else if !member.paused && self.settings.membership {
                self.request_report(index);
            }
        }
        self.count_cpu(now, cpu_us, counted);
        Ok(())
    }

    /// Handles the end of a process, which is an error unless it was told to stop.
    fn handle_end(&mut self, now: Micros, index: usize) -> Result<(), RunError> {
        let member = &mut self.members[index];
        if member.process.should_run {
            let name = format!("b{index}");
            return Err(RunError::BalancerEnded { name });
        }
        member.up = false;
        member.paused = false;
        let balancer = index as u16;
        self.event_log
            .record(now, Observation::BalancerStopped { balancer });
        self.observer
            .observe(now, GroupEvent::Stopped { member: index });
        Ok(())
    }

    fn request_report(&self, member: usize) {
        let messages = Rc::clone(&self.messages);
        let clock = self.clock;
        let incarnation = self.members[member].incarnation;
        let address = self.members[member].admin_address;
        spawn_local(async move {
            let answer = admin_client::call(address, "GET", "/admin/members", "").await;
            let Some(answer) = answer.ok().filter(|answer| answer.status == 200) else {
                return;
            };
            if let Ok(report) = serde_json::from_slice(&answer.body) {
                let message = PolledReport {
                    member,
                    incarnation,
                    at: clock.now(),
                    report,
                };
                messages
                    .borrow_mut()
                    .push_back(MemberMessage::Report(message));
            }
        });
    }

    fn count_cpu(&mut self, now: Micros, cpu_us: u64, counted: &Range<Micros>) {
        match &self.first_cpu {
            None if now >= counted.start => self.first_cpu = Some(CpuSample { at: now, cpu_us }),
            Some(first) if now <= counted.end && now > first.at => {
                let seconds = (to_ms(now - first.at) / 1e3).max(0.1);
                let used_us = cpu_us.saturating_sub(first.cpu_us) as f64;
                self.outcome.cpu_us_per_s = used_us / seconds / self.members.len() as f64;
            }
            _ => {}
        }
    }

    /// Handles what members have answered since the last turn.
    pub(super) fn handle_messages(&mut self) {
        loop {
            let Some(message) = self.messages.borrow_mut().pop_front() else {
                return;
            };
            match message {
                MemberMessage::Report(report) => self.handle_report(report),
                MemberMessage::CallAnswered(answer) => self.call_answers.push(answer),
                MemberMessage::OrderAnswered { accepted, cordon } => {
                    self.handle_order_answer(accepted, cordon);
                }
            }
        }
    }

    fn handle_report(&mut self, message: PolledReport) {
        let PolledReport {
            member: index,
            incarnation,
            at,
            report,
        } = message;
        let member = &self.members[index];
        // The report of a member that was paused or killed since the request is of an earlier time.
        if !member.up || member.paused || member.incarnation != incarnation {
            return;
        }
        self.detection
            .update(at, index, &report, &self.members, &mut self.outcome);
        if self.cordoned && report.cordons.iter().any(|host| host == ORDERED_HOST.name) {
            self.record_cordon(at, ORDERED_HOST.index, Some(index), true);
        }
        let under_maintenance = self.hosts_under_maintenance.iter();
        let known: Vec<u16> = under_maintenance
            .filter(|host| report.cordons.contains(host))
            .filter_map(|host| host_index(host))
            .collect();
        for host in known {
            self.record_cordon(at, host, Some(index), true);
        }
        self.observer.observe(
            at,
            GroupEvent::Reported {
                member: index,
                report,
            },
        );
    }

    fn handle_order_answer(&mut self, accepted: bool, cordon: bool) {
        self.outcome.orders_accepted += u64::from(accepted);
        self.outcome.orders_rejected += u64::from(!accepted);
        if accepted && cordon {
            let now = self.clock.now();
            let host = ORDERED_HOST.name.to_string();
            self.cordoned = true;
            self.observer.observe(now, GroupEvent::Cordoned { host });
            self.record_cordon(now, ORDERED_HOST.index, None, true);
        }
    }

    /// Time of the next order; none if the run has no orders.
    pub(super) fn next_order(&mut self, now: Micros) -> Option<Micros> {
        let interval_s = self.settings.order_interval_s;
        (interval_s > 0.0 && self.settings.membership)
            .then(|| now + from_ms(interval_s * 1e3 * (0.5 + self.rng.unit())))
    }

    /// Sends an operator's order for the group to some member: to cordon the ordered host, or to uncordon it.
    pub(super) fn send_order(&mut self) {
        let members = 0..self.members.len();
        let up: Vec<usize> = members.filter(|member| self.members[*member].up).collect();
        if up.is_empty() {
            return;
        }
        let member = up[self.rng.below(up.len() as u64) as usize];
        let cordon = self.rng.happens(CORDON_PROBABILITY);
        let verb = if cordon { "cordon" } else { "uncordon" };
        let path = format!("/admin/{verb}/{}?scope=group", ORDERED_HOST.name);
        if !cordon {
            self.uncordon_ordered_host(self.clock.now());
        }
        let messages = Rc::clone(&self.messages);
        let address = self.members[member].admin_address;
        spawn_local(async move {
            let answer = admin_client::call(address, "POST", &path, "").await;
            let accepted = answer.is_ok_and(|answer| answer.status == 200);
            let message = MemberMessage::OrderAnswered { accepted, cordon };
            messages.borrow_mut().push_back(message);
        });
    }

    /// From now on the ordered host may be used again, whatever becomes of the order.
    pub(super) fn uncordon_ordered_host(&mut self, now: Micros) {
        self.cordoned = false;
        let host = ORDERED_HOST.name.to_string();
        self.observer.observe(now, GroupEvent::Uncordoned { host });
        self.record_cordon(now, ORDERED_HOST.index, None, false);
    }

    /// Sends a burst of random datagrams to every member's own address, past the relay.
    pub(super) fn send_junk(&mut self, socket: &UdpSocket) {
        let each = (self.settings.junk_datagrams_per_s / JUNK_BURSTS_PER_S).ceil() as usize;
        for member in 0..self.members.len() {
            for _ in 0..each {
                let length = self.rng.below(MAX_JUNK_BYTES) as usize;
                let bytes: Vec<u8> = (0..length).map(|_| self.rng.below(256_u64) as u8).collect();
                // A datagram that cannot be sent is no loss: there are many more.
                let _ = socket.send_to(&bytes, self.relay.process_address(member));
            }
        }
    }
}
