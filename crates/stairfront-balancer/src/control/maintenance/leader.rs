//! The leader's loop: observes the fleet and proposes the commands that are due.
use std::collections::{BTreeMap, BTreeSet};
use std::time::{Duration, SystemTime, UNIX_EPOCH};

use stairfront_maintenance::{
    Balancer, Command, CommandKind, Fleet, Host, LeaderObservation, MachineKey, Stage,
};
use stairfront_membership_agent::MemberState;
use stairfront_policy::interface::EndpointState;
use tokio::sync::oneshot;
use tokio::time::Instant;

use crate::control::maintenance::service_health::{ServiceCounts, ServiceFault};
use crate::control::maintenance::side_event::SideEvent;
use crate::control::maintenance::warm_up::UsageWindow;
use crate::control::maintenance::MaintenanceService;
use crate::messages::{EngineEvent, ListedHost};

/// Between two proposals of facts of the fleet, so that a state that flaps is not logged at each change.
const MIN_FLEET_REPORT_INTERVAL: Duration = Duration::from_millis(500);
/// A step that was proposed is not proposed again for this long.
const STEP_RETRY_INTERVAL: Duration = Duration::from_secs(1);
/// A proposal of the leader that is not committed by then is dropped.
const STEP_TIMEOUT: Duration = Duration::from_secs(2);
/// Reports of quiet members that the leader keeps for one host.
const MAX_QUIET_REPORTS: usize = 4096;
/// Over which the service is judged.
const HEALTH_WINDOW: Duration = Duration::from_secs(2);

/// State of the leader between two steps of its loop; empty at all other members.
#[derive(Default)]
pub(super) struct LeaderState {
    /// Numbers of the group's orders that ask members to confirm a cordon.
    confirmations: BTreeMap<MachineKey, u64>,
    /// Members that have reported that no attempt is open at the host.
    quiet: BTreeMap<MachineKey, BTreeSet<String>>,
    /// When each step was last proposed, by the text of its command.
    proposed: BTreeMap<String, Instant>,
    fleet_proposed_at: Option<Instant>,
    /// Use of the hosts while machines warm up.
    pub(super) usage: UsageWindow,
    /// Counts at the start of the window in which the service is judged.
    health_window: Option<(Instant, ServiceCounts)>,
    fault: Option<ServiceFault>,
}

impl MaintenanceService {
    /// One step of the leader's loop; at all other members it forgets what a leader keeps.
    pub(super) async fn lead(&self) {
        let raft = &self.handles.raft;
        let own_stage = raft.state_machine().0.balancer_stage(&self.handles.name);
        let Some(term) = raft.leader_term() else {
            *self.leader.borrow_mut() = LeaderState::default();
            return;
        };
        if own_stage == Some(Stage::Notified) {
            raft.transfer_leadership();
        }
        let Some(mut observation) = self.observe().await else {
            return;
        };
        self.observe_cordons(&mut observation);
        self.query_quiet_hosts(&mut observation);
        let next = raft.state_machine().0.next_commands(&observation);
        // The leadership may have been lost while this task waited for the observation.
        if raft.leader_term() != Some(term) {
            return;
        }
        for command in next.due {
            self.propose_step(term, command);
        }
        self.set_blocked(next.blocked.clone());
        if !next.blocked.is_empty() {
            let event = SideEvent::BlockedMachines(next.blocked);
            for name in self.handles.membership.roster() {
                if name != self.handles.name {
                    self.send_side_event(&name, &event);
                }
            }
        }
    }

    fn propose_step(&self, term: u64, kind: CommandKind) {
        if !self.is_due(&kind) {
            return;
        }
        let command = Command {
            term,
            ..self.command(&self.handles.name, kind)
        };
        self.handles
            .raft
            .propose(command.id, command.encode(), STEP_TIMEOUT);
    }

    /// Whether a step was not proposed lately, and records that it is proposed now.
    fn is_due(&self, kind: &CommandKind) -> bool {
        let now = Instant::now();
        let mut leader = self.leader.borrow_mut();
        if let CommandKind::Fleet(_) = kind {
            if leader
                .fleet_proposed_at
                .is_some_and(|at| now - at < MIN_FLEET_REPORT_INTERVAL)
            {
                return false;
            }
            leader.fleet_proposed_at = Some(now);
            return true;
        }
        leader
            .proposed
            .retain(|_, at| now - *at < STEP_RETRY_INTERVAL);
        let key = format!("{kind:?}");
        if leader.proposed.contains_key(&key) {
            return false;
        }
        leader.proposed.insert(key, now);
        true
    }

    /// A command of this balancer, for no term in particular.
    pub(super) fn command(&self, author: &str, kind: CommandKind) -> Command {
        let at_ms = unix_ms();
        Command {
            id: self.handles.raft.next_proposal_id(),
            at_ms,
            term: 0,
            via: self.handles.name.clone(),
            author: author.to_string(),
            kind,
        }
    }

    /// The fleet as this balancer sees it; `None` while its endpoint list is empty, since nothing can then be said of the
    /// fleet.
    async fn observe(&self) -> Option<LeaderObservation> {
        let (reply, listed) = oneshot::channel();
        self.handles
            .events
            .send(EngineEvent::ListCacheHosts(reply))
            .await
            .ok()?;
        let hosts = self.fleet_hosts(&listed.await.ok()?);
        if hosts.is_empty() {
            return None;
        }
        let balancers = self.fleet_balancers();
        let warm = self.warm_machines(&hosts, &balancers).await;
        let fault = self
            .judge_service()
            .map(|fault| fault.describe(&self.handles.name));
        Some(LeaderObservation {
            fleet: Fleet {
                hosts,
                balancers,
                fault,
            },
            leader: self.handles.name.clone(),
            now_ms: unix_ms(),
            warm,
            ..LeaderObservation::default()
        })
    }

    fn fleet_hosts(&self, listed: &[ListedHost]) -> Vec<Host> {
        let zone_name = |zone: usize| {
            let known = self.handles.zones.get(zone).cloned();
            known.unwrap_or_else(|| format!("zone {zone}"))
        };
        let hosts = listed.iter().map(|ListedHost { name, endpoint }| Host {
            name: name.clone(),
            zone: zone_name(usize::from(endpoint.zone.0)),
            deduplication_group: endpoint.cell.0,
            is_serving: endpoint.state == EndpointState::Ready,
            started_ms: u64::try_from(endpoint.incarnation).unwrap_or(0) / 1000,
        });
        let mut hosts: Vec<Host> = hosts.collect();
        hosts.sort_by(|a, b| a.name.cmp(&b.name));
        hosts
    }

    fn fleet_balancers(&self) -> Vec<Balancer> {
        let report = self.handles.membership.report();
        let roster: BTreeSet<String> = self.handles.membership.roster().into_iter().collect();
        let members = report
            .members
            .iter()
            .filter(|member| roster.contains(&member.name));
        members
            .map(|member| Balancer {
                name: member.name.clone(),
                is_present: matches!(member.state, MemberState::Alive | MemberState::Suspect),
                has_left: member.state == MemberState::Left,
                is_voter: self.handles.voters.contains(&member.name),
                is_leader: member.name == self.handles.name,
                process_id: member.process_id,
            })
            .collect()
    }

    /// The fault of the service, if there is one: judged anew at the end of each window, and unchanged until the end of the next.
    fn judge_service(&self) -> Option<ServiceFault> {
        let now = Instant::now();
        let counts = self.service_counts();
        let mut leader = self.leader.borrow_mut();
        let (began, before) = *leader.health_window.get_or_insert((now, counts));
        if now - began >= HEALTH_WINDOW {
            leader.fault = counts.fault_since(before);
            leader.health_window = Some((now, counts));
        }
        leader.fault
    }

    fn service_counts(&self) -> ServiceCounts {
        let counters = &self.handles.counters;
        let served = counters.served.get();
        ServiceCounts {
            served,
            all: served + counters.refused.get() + counters.failed.get() + counters.shed.get(),
            at_origin: self.handles.origin.ended.get(),
            unserved_at_origin: self.handles.origin.unserved.get(),
        }
    }

    /// Asks the members to confirm the cordons of machines that are about to be taken out, and notes who has.
    fn observe_cordons(&self, observation: &mut LeaderObservation) {
        let notified = self.hosts_at(Stage::Notified);
        let mut leader = self.leader.borrow_mut();
        leader.retain_only(&notified, &self.hosts_at(Stage::Draining));
        for key in notified {
            let order = leader.confirmations.get(&key);
            let progress = order.and_then(|order| self.handles.membership.progress(*order));
            if let Some(progress) = progress {
                observation.confirmed.insert(key, progress.confirmed);
                continue;
            }
            // An order that is refused, because too many are open, is given again at the next step.
            if let Ok(order) = self
                .handles
                .membership
                .confirm_planned_cordon(&key.host, key.notified)
            {
                leader.confirmations.insert(key, order);
            }
        }
    }

    /// Asks the members whether attempts are open at hosts that are held out, and notes who has none.
    fn query_quiet_hosts(&self, observation: &mut LeaderObservation) {
        let mut leader = self.leader.borrow_mut();
        for key in self.hosts_at(Stage::Draining) {
            let quiet = leader.quiet.entry(key.clone()).or_default();
            let query = SideEvent::QuietQuery {
                host: key.host.clone(),
                entry: key.notified,
            };
            for name in self.handles.membership.roster() {
                if !quiet.contains(&name) {
                    self.send_side_event(&name, &query);
                }
            }
            observation
                .drained
                .insert(key, quiet.iter().cloned().collect());
        }
    }

    fn hosts_at(&self, stage: Stage) -> Vec<MachineKey> {
        let machine = self.handles.raft.state_machine();
        let held = machine.0.hosts_at(stage);
        held.map(|held| MachineKey {
            host: held.host,
            notified: held.notified,
        })
        .collect()
    }
}

impl LeaderState {
    /// Keeps the report that no attempt of `member` is open at a host, if it was asked for.
    pub(super) fn add_quiet(&mut self, key: &MachineKey, member: &str) {
        let Some(quiet) = self.quiet.get_mut(key) else {
            return;
        };
        if quiet.len() < MAX_QUIET_REPORTS {
            quiet.insert(member.to_string());
        }
    }

    /// Drops what is known of hosts that are no longer being taken out.
    fn retain_only(&mut self, notified: &[MachineKey], draining: &[MachineKey]) {
        let wanted: BTreeSet<&MachineKey> = notified.iter().chain(draining).collect();
        self.confirmations.retain(|key, _| wanted.contains(key));
        self.quiet.retain(|key, _| wanted.contains(key));
    }
}

/// Unix time in milliseconds, for people alone.
fn unix_ms() -> u64 {
    SystemTime::now()
        .duration_since(UNIX_EPOCH)
        .unwrap_or_default()
        .as_millis() as u64
}
