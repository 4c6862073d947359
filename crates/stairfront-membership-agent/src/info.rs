//! The agent's fields of the `INFO` command.
use std::fmt::Write as _;

use stairfront_common::time::MS;
use stairfront_gossip_membership::{MemberState, Membership};

use crate::agent::MembershipAgent;

impl MembershipAgent {
    /// The fields of `INFO`: one line `name:value` each.
    #[must_use]
    pub fn render_info(&self) -> String {
        let core = self.core.borrow();
        let mut text = format!("group_standing:{}\r\n", core.quorum_status().as_str());
        let divergence_ms = (core.longest_divergence(self.now()) / MS) as u64;
        let fields = state_fields(&core, divergence_ms)
            .into_iter()
            .chain(traffic_counters(&core))
            .chain(protocol_counters(&core));
        for (name, value) in fields {
            // Writing to a string cannot fail.
            let _ = write!(text, "{name}:{value}\r\n");
        }
        text
    }
}

type Field = (&'static str, u64);

fn state_fields(core: &Membership, divergence_ms: u64) -> [Field; 6] {
    let count = |state| core.count(state) as u64;
    let cordons = core.cordons().cordoned_hosts().count() as u64;
    [
        ("group_alive", count(MemberState::Alive)),
        ("group_suspect", count(MemberState::Suspect)),
        ("group_failed", count(MemberState::Failed)),
        ("group_left", count(MemberState::Left)),
        ("group_disagree_ms", divergence_ms),
        ("group_cordons", cordons),
    ]
}

fn traffic_counters(core: &Membership) -> [Field; 11] {
    let counters = core.counters();
    [
        ("group_datagrams_in_total", counters.datagrams_in),
        ("group_datagrams_out_total", counters.datagrams_out),
        ("group_in_bytes_total", counters.bytes_in),
        ("group_out_bytes_total", counters.bytes_out),
        ("group_exchanges_total", counters.push_pulls),
        ("group_exchanges_failed_total", counters.push_pulls_failed),
        ("group_spoilt_total", counters.corrupt),
        ("group_other_group_total", counters.other_group),
        ("group_other_version_total", counters.other_version),
        ("group_unreadable_total", counters.undecodable),
        ("group_misdirected_total", counters.misdirected),
    ]
}

fn protocol_counters(core: &Membership) -> [Field; 9] {
    let counters = core.counters();
    [
        ("group_probes_total", counters.probes),
        ("group_probes_failed_total", counters.probes_failed),
        ("group_suspicions_total", counters.suspicions),
        ("group_failures_total", counters.failures),
        ("group_refutations_total", counters.refutations),
        ("group_sleeps_total", counters.stalls),
        ("group_namesakes_total", counters.name_conflicts),
        ("group_hearsay_held_total", counters.drain_hints_applied),
        (
            "group_hearsay_over_part_total",
            counters.drain_hints_over_limit,
        ),
    ]
}
