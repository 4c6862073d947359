//! Which machine comes next, and whether it may: functions of agreed facts alone, so that every member computes the same.
use std::collections::BTreeMap;

use crate::fleet::{Fleet, Host};
use crate::plan::{Machine, Plan};

/// Tolerance for fractions that are not exact in binary: 0.1 of 10 hosts is 1 host.
const ROUNDING: f64 = 1e-9;

/// Machines that any plan has out.
pub(crate) struct OutOfService<'a> {
    pub machines: Vec<&'a Machine>,
}

/// Hosts that serve nobody, out of all.
struct Unavailable {
    hosts: usize,
    of: usize,
}

impl OutOfService<'_> {
    fn contains(&self, name: &str) -> bool {
        self.machines.iter().any(|machine| machine.name() == name)
    }

    /// Hosts that are taken out, or down by themselves; of one zone, or of all.
    fn unavailable(&self, fleet: &Fleet, zone: Option<&str>) -> Unavailable {
        let counted = || {
            fleet
                .hosts
                .iter()
                .filter(|host| zone.is_none_or(|zone| host.zone == zone))
        };
        let is_unavailable = |host: &&Host| !host.is_serving || self.contains(&host.name);
        Unavailable {
            hosts: counted().filter(is_unavailable).count(),
            of: counted().count(),
        }
    }
}

impl Unavailable {
    /// Whether fewer hosts than the fraction asks for would stay in service with one more out.
    fn leaves_too_few(&self, fraction: f64) -> bool {
        let unavailable = (self.hosts + 1).min(self.of);
        self.of - unavailable < min_in_service(fraction, self.of)
    }
}

/// Hosts that must stay in service of a number, by the fraction that must; at least one.
pub(crate) fn min_in_service(fraction: f64, of: usize) -> usize {
    (fraction * of as f64 - ROUNDING).ceil().max(1.0) as usize
}

/// Why a machine may not be taken out now; `None` if it may.
pub(crate) fn out_of_service_reason(
    machine: &Machine,
    plan: &Plan,
    fleet: &Fleet,
    out: &OutOfService<'_>,
) -> Option<String> {
    match machine {
        // The list of a leader that has just started may lack the host, and nothing would speak against it then.
        Machine::Cache(name) => match fleet.host(name) {
            Some(host) => cache_reason(host, plan, fleet, out),
            None => Some("it is not listed now".to_string()),
        },
        Machine::Balancer(name) => balancer_reason(name, fleet, out),
    }
}

fn cache_reason(host: &Host, plan: &Plan, fleet: &Fleet, out: &OutOfService<'_>) -> Option<String> {
    // A host that is down already serves nobody, so taking it out takes nothing away.
    if host.is_serving {
        let in_zone = out.unavailable(fleet, Some(&host.zone));
        if in_zone.leaves_too_few(plan.availability.zone) {
            let Unavailable { hosts, of } = in_zone;
            return Some(format!(
                "{hosts} of {of} hosts of zone {:?} are away",
                host.zone
            ));
        }
        let in_fleet = out.unavailable(fleet, None);
        if in_fleet.leaves_too_few(plan.availability.fleet) {
            return Some(format!(
                "{} of {} hosts are away",
                in_fleet.hosts, in_fleet.of
            ));
        }
    }
    // Hosts of one group discard each other's keyed repeats; two of them out together no longer do.
    let shares_group = |other: &Host| {
        other.deduplication_group != 0 && other.deduplication_group == host.deduplication_group
    };
    let mut machines = out.machines.iter();
    let same = machines.find(|machine| fleet.host(machine.name()).is_some_and(shares_group));
    same.map(|other| format!("{} is out, of the same group", other.name()))
}

fn balancer_reason(name: &str, fleet: &Fleet, out: &OutOfService<'_>) -> Option<String> {
    let is_voter = fleet
        .balancer(name)
        .is_some_and(|balancer| balancer.is_voter);
    let voters = || fleet.balancers.iter().filter(|balancer| balancer.is_voter);
    let all = voters().count();
    let remaining = voters()
        .filter(|voter| voter.is_present && !out.contains(&voter.name) && voter.name != name);
    let remaining = remaining.count();
    let has_majority = remaining * 2 > all;
    (is_voter && !has_majority).then(|| format!("{remaining} of {all} voters would stay"))
}

/// Position of a machine in the queue; the smallest comes first.
#[derive(PartialEq, Eq, PartialOrd, Ord)]
struct Rank([u64; 4]);

/// The waiting machines, the next one first.
///
/// Cache hosts: first those that are down, since nothing is lost by it; then by turns over the zones, the zone with the
/// fewest out first and of equal ones the one with the most that wait; within a zone those that started last, which hold
/// the least. Balancers: learners, then voters, and the leader last, since a change of the leader stops the queue.
pub(crate) fn order(waiting: &[Machine], fleet: &Fleet, out: &OutOfService<'_>) -> Vec<Machine> {
    let mut remaining: Vec<Machine> = waiting.to_vec();
    let mut out_by_zone: BTreeMap<String, usize> = BTreeMap::new();
    for machine in &out.machines {
        count_zone(&mut out_by_zone, fleet, machine);
    }
    let mut ordered = Vec::new();
    while let Some(next) = first_by_rank(&remaining, fleet, &out_by_zone) {
        let machine = remaining.remove(next);
        count_zone(&mut out_by_zone, fleet, &machine);
        ordered.push(machine);
    }
    ordered
}

fn count_zone(out_by_zone: &mut BTreeMap<String, usize>, fleet: &Fleet, machine: &Machine) {
    if let Some(host) = fleet.host(machine.name()) {
        *out_by_zone.entry(host.zone.clone()).or_default() += 1;
    }
}

fn first_by_rank(
    remaining: &[Machine],
    fleet: &Fleet,
    out_by_zone: &BTreeMap<String, usize>,
) -> Option<usize> {
    let rank = |machine: &Machine| match machine {
        Machine::Cache(name) => cache_rank(name, remaining, fleet, out_by_zone),
        Machine::Balancer(name) => balancer_rank(name, fleet),
    };
    (0..remaining.len()).min_by_key(|at| (rank(&remaining[*at]), remaining[*at].clone()))
}

fn cache_rank(
    name: &str,
    remaining: &[Machine],
    fleet: &Fleet,
    out_by_zone: &BTreeMap<String, usize>,
) -> Rank {
    // A host that has left the list by itself comes first.
    let Some(host) = fleet.host(name) else {
        return Rank([0; 4]);
    };
    let in_zone = |machine: &&Machine| {
        let other = fleet.host(machine.name());
        other.is_some_and(|other| other.zone == host.zone)
    };
    let waiting_in_zone = remaining.iter().filter(in_zone).count();
    Rank([
        u64::from(host.is_serving),
        out_by_zone.get(&host.zone).copied().unwrap_or(0) as u64,
        u64::MAX - waiting_in_zone as u64,
        u64::MAX - host.started_ms,
    ])
}

fn balancer_rank(name: &str, fleet: &Fleet) -> Rank {
    const BEHIND_CACHES: u64 = 2;
    let balancer = fleet.balancer(name);
    let is_leader = balancer.is_some_and(|balancer| balancer.is_leader);
    let is_voter = balancer.is_some_and(|balancer| balancer.is_voter);
    Rank([BEHIND_CACHES, u64::from(is_leader), u64::from(is_voter), 0])
}
