//! Whether machines that have come back are in use at their share again.
use std::collections::BTreeMap;
use std::time::Duration;

use stairfront_maintenance::{Balancer, Host, Stage};
use tokio::time::Instant;

use crate::control::maintenance::MaintenanceService;

/// Between two counts of the use of hosts.
const USAGE_COUNT_INTERVAL: Duration = Duration::from_secs(1);
/// A host is warm from this fraction of the others' mean use on. Shares by two ring positions differ by more than the rest.
const WARM_USAGE_RATIO: f64 = 0.4;

/// Attempts sent to hosts, counted at intervals while machines warm up.
#[derive(Default)]
pub(super) struct UsageWindow {
    counted_at: Option<Instant>,
    by_host: BTreeMap<String, HostCount>,
}

#[derive(Clone, Copy)]
struct HostCount {
    sent: u64,
    /// Attempts in the last whole interval; none after the first count.
    in_interval: Option<u64>,
}

impl UsageWindow {
    fn count(&mut self, host: &str, sent: u64) {
        let before = self.by_host.get(host);
        let in_interval = before.map(|before| sent.saturating_sub(before.sent));
        let count = HostCount { sent, in_interval };
        self.by_host.insert(host.to_string(), count);
    }

    fn in_interval(&self, host: &str) -> Option<u64> {
        self.by_host.get(host).and_then(|count| count.in_interval)
    }

    /// Whether a host that warms up gets its share, measured by the mean of those that do not.
    fn is_warm(&self, host: &Host, mean: f64) -> bool {
        let in_interval = self.in_interval(&host.name);
        host.is_serving && in_interval.is_some_and(|count| count as f64 >= WARM_USAGE_RATIO * mean)
    }
}

impl MaintenanceService {
    /// The machines in the warm-up stage that are in use at their share again; a balancer is as soon as it is alive.
    pub(super) async fn warm_machines(
        &self,
        hosts: &[Host],
        balancers: &[Balancer],
    ) -> Vec<String> {
        let warming = self.warming_machines();
        if warming.is_empty() {
            self.leader.borrow_mut().usage = UsageWindow::default();
            return Vec::new();
        }
        self.count_usage(hosts).await;
        let leader = self.leader.borrow();
        let others: Vec<u64> = hosts
            .iter()
            .filter(|host| host.is_serving && !warming.contains(&host.name))
            .filter_map(|host| leader.usage.in_interval(&host.name))
            .collect();
        let mean = others.iter().sum::<u64>() as f64 / others.len().max(1) as f64;
        let is_warm = |name: &String| match hosts.iter().find(|host| host.name == *name) {
            Some(host) => leader.usage.is_warm(host, mean),
            None => balancers
                .iter()
                .any(|one| one.name == *name && one.is_present),
        };
        warming.into_iter().filter(is_warm).collect()
    }

    fn warming_machines(&self) -> Vec<String> {
        let machine = self.handles.raft.state_machine();
        let warming = machine.0.machines_at(Stage::WarmingUp);
        warming.map(|machine| machine.name().to_string()).collect()
    }

    async fn count_usage(&self, hosts: &[Host]) {
        let counted_at = self.leader.borrow().usage.counted_at;
        if counted_at.is_some_and(|at| at.elapsed() < USAGE_COUNT_INTERVAL) {
            return;
        }
        self.leader.borrow_mut().usage.counted_at = Some(Instant::now());
        for host in hosts.iter().filter(|host| host.is_serving) {
            if let Some(usage) = self.host_usage(&host.name).await {
                let mut leader = self.leader.borrow_mut();
                leader.usage.count(&host.name, usage.sent);
            }
        }
    }
}
