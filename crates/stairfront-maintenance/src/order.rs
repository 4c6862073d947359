//! Which machine comes next: a function of agreed facts alone, so that every member computes the same.
use std::collections::BTreeMap;

use crate::fleet::Fleet;
use crate::plan::{least, Machine, Plan};

/// Machines that are out, or on their way, for any plan.
pub struct Out<'a> {
    pub machines: Vec<&'a Machine>,
}

impl Out<'_> {
    fn has(&self, name: &str) -> bool {
        self.machines.iter().any(|machine| machine.name() == name)
    }

    /// Hosts of these that serve nobody: taken out, or down by themselves.
    fn away<'f>(&self, fleet: &'f Fleet, in_zone: Option<&'f str>) -> (usize, usize) {
        let hosts: Vec<_> = fleet
            .hosts
            .iter()
            .filter(|host| in_zone.is_none_or(|zone| host.zone == zone))
            .collect();
        (
            hosts
                .iter()
                .filter(|host| !host.up || self.has(&host.name))
                .count(),
            hosts.len(),
        )
    }
}

/// Why this machine may not be taken out now; none if it may.
pub fn forbids(machine: &Machine, plan: &Plan, fleet: &Fleet, out: &Out<'_>) -> Option<String> {
    match machine {
        Machine::Cache(name) => {
            // Danger: by the list of one that has just started, nothing would speak against it.
            let Some(host) = fleet.host(name) else {
                return Some("it is not listed now".to_string());
            };
            // One that is down already serves nobody: it takes nothing more away.
            let more = usize::from(host.up);
            let (away, of) = out.away(fleet, Some(&host.zone));
            if of - (away + more).min(of) < least(plan.stay.zone, of) && more > 0 {
                return Some(format!(
                    "{away} of {of} hosts of zone {:?} are away",
                    host.zone
                ));
            }
            let (away, of) = out.away(fleet, None);
            if of - (away + more).min(of) < least(plan.stay.whole, of) && more > 0 {
                return Some(format!("{away} of {of} hosts are away"));
            }
            // Danger: two that know each other's keyed repeats, out together, know them no more.
            let same = |other: &&&Machine| {
                fleet
                    .host(other.name())
                    .is_some_and(|other| other.group != 0 && other.group == host.group)
            };
            out.machines
                .iter()
                .find(same)
                .map(|other| format!("{} is out, of the same group", other.name()))
        }
        Machine::Balancer(name) => {
            let voters = fleet.balancers.iter().filter(|one| one.votes);
            let (mut all, mut stay) = (0, 0);
            for voter in voters {
                all += 1;
                stay += usize::from(voter.there && !out.has(&voter.name) && voter.name != *name);
            }
            let votes = fleet.balancer(name).is_some_and(|one| one.votes);
            (votes && stay * 2 <= all).then(|| format!("{stay} of {all} voters would stay"))
        }
    }
}

/// The waiting machines, the next in front. Cache hosts: first those that are down (nothing is lost by it), then by turns
/// over the zones, the zone with fewest out in front, and within a zone those that started last (cold: they hold least).
/// Balancers: those that only learn, then voters, and the one who leads last, since a change of the leader stops the queue
/// for a while.
pub fn order(waiting: &[Machine], fleet: &Fleet, out: &Out<'_>) -> Vec<Machine> {
    let mut left: Vec<Machine> = waiting.to_vec();
    let mut taken: BTreeMap<String, usize> = BTreeMap::new();
    for host in out
        .machines
        .iter()
        .filter_map(|machine| fleet.host(machine.name()))
    {
        *taken.entry(host.zone.clone()).or_default() += 1;
    }
    let mut sorted = Vec::new();
    while !left.is_empty() {
        let waits = |zone: &str| {
            let of = |machine: &&Machine| {
                fleet
                    .host(machine.name())
                    .is_some_and(|host| host.zone == zone)
            };
            left.iter().filter(of).count()
        };
        let place = |machine: &Machine| match machine {
            Machine::Cache(name) => match fleet.host(name) {
                Some(host) => {
                    let zone = taken.get(&host.zone).copied().unwrap_or(0);
                    (
                        u64::from(host.up),
                        zone as u64,
                        u64::MAX - waits(&host.zone) as u64,
                        u64::MAX - host.born_ms,
                    )
                }
                // It has left the list by itself.
                None => (0, 0, 0, 0),
            },
            Machine::Balancer(name) => {
                let one = fleet.balancer(name);
                let (leads, votes) = (
                    one.is_some_and(|one| one.leads),
                    one.is_some_and(|one| one.votes),
                );
                (2, u64::from(leads), u64::from(votes), 0)
            }
        };
        let Some(at) = (0..left.len()).min_by_key(|at| (place(&left[*at]), left[*at].clone()))
        else {
            break;
        };
        let machine = left.remove(at);
        if let Some(host) = fleet.host(machine.name()) {
            *taken.entry(host.zone.clone()).or_default() += 1;
        }
        sorted.push(machine);
    }
    sorted
}
