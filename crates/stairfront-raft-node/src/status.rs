//! The state of a member as operators see it: the JSON of the admin API and the fields of `INFO`.
use serde::{Deserialize, Serialize};
use stairfront_raft::{ClusterManager, LogIndex};

/// The state of a member.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct Status {
    /// `leads`, `follows`, `learns`, `begins`, or why this member takes no part.
    pub role: String,
    /// Name of the leader, if it is known.
    pub leader: Option<String>,
    /// The current term.
    pub term: u64,
    /// Index of the last entry that was applied here.
    #[serde(rename = "settled")]
    pub committed: LogIndex,
    /// Names of the voters.
    pub voters: Vec<String>,
    /// Names of the configured voters that do not vote.
    #[serde(rename = "not_in")]
    pub missing_voters: Vec<String>,
}

impl Status {
    /// The status of a member without a running state machine; the reason, if there is one.
    pub(crate) fn unavailable(reason: Option<String>) -> Self {
        Status {
            role: reason.unwrap_or_else(|| "begins".to_string()),
            ..Status::default()
        }
    }

    /// The status of a running member.
    pub(crate) fn of_member(
        manager: &ClusterManager,
        voter_names: &[String],
        applied: LogIndex,
    ) -> Self {
        let node = manager.node();
        let voters: Vec<String> = node
            .voters()
            .iter()
            .map(|voter| voter.name.clone())
            .collect();
        let missing_voters = voter_names
            .iter()
            .filter(|name| !voters.contains(name))
            .cloned()
            .collect();
        Status {
            role: role_word(manager).to_string(),
            leader: node.leader().map(|leader| leader.name.clone()),
            term: node.term(),
            committed: applied,
            voters,
            missing_voters,
        }
    }
}

fn role_word(manager: &ClusterManager) -> &'static str {
    let node = manager.node();
    if node.is_leader() {
        "leads"
    } else if node.voters().contains(manager.local()) {
        "follows"
    } else {
        "learns"
    }
}

/// The fields of `INFO`: a line `name:value` each.
pub(crate) fn info_fields(
    manager: Option<&ClusterManager>,
    applied: LogIndex,
    unreadable_frames: u64,
) -> String {
    let Some(manager) = manager else {
        return "agreement_role:out\r\n".to_string();
    };
    let node = manager.node();
    let counters = manager.counters();
    let fields = [
        ("agreement_leads", u64::from(node.is_leader())),
        ("agreement_term", node.term()),
        ("agreement_settled", applied),
        ("agreement_voters", node.voters().len() as u64),
        ("agreement_foreign_total", counters.foreign_messages),
        (
            "agreement_older_life_total",
            counters.stale_incarnation_messages,
        ),
        ("agreement_taken_in_total", counters.voters_added),
        ("agreement_taken_out_total", counters.voters_removed),
        ("agreement_given_up_total", counters.expired_proposals),
        ("agreement_unreadable_total", unreadable_frames),
    ];
    fields
        .iter()
        .map(|(name, value)| format!("{name}:{value}\r\n"))
        .collect()
}
