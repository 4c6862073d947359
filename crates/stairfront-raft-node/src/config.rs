//! `[agreement]` as it stands in a configuration, and what is wrong with it.
use std::path::PathBuf;

use serde::{Deserialize, Serialize};

/// Fewer settle nothing once one of them is out for work; more settle no better, only slower.
const VOTERS: std::ops::RangeInclusive<usize> = 3..=7;

#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct AgreementSection {
    /// The balancers that vote, the same in all files; the first of them founds the group.
    pub voters: Vec<String>,
    /// Where a voter keeps its term, vote and log; in memory where it is left out.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub store: Option<PathBuf>,
}

impl AgreementSection {
    pub fn votes(&self, me: &str) -> bool {
        self.voters.iter().any(|name| name == me)
    }

    /// By key, what cannot be.
    pub fn faults(&self, roster: Option<&[String]>) -> Vec<(&'static str, String)> {
        let mut found = Vec::new();
        let Some(roster) = roster else {
            return vec![(
                "voters",
                "need a [membership], over which they talk".to_string(),
            )];
        };
        if !VOTERS.contains(&self.voters.len()) {
            found.push((
                "voters",
                format!("must be 3 to 7, not {}", self.voters.len()),
            ));
        }
        for (at, name) in self.voters.iter().enumerate() {
            if !roster.contains(name) {
                found.push(("voters", format!("{name:?} is not in membership.roster")));
            }
            if self.voters[..at].contains(name) {
                found.push(("voters", format!("{name:?} stands there twice")));
            }
        }
        if self
            .store
            .as_ref()
            .is_some_and(|path| path.as_os_str().is_empty())
        {
            found.push((
                "store",
                "must name a file, or be left out for a voter in memory".to_string(),
            ));
        }
        found
    }
}
