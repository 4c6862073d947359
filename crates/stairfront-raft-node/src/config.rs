//! The section `[agreement]` of a configuration, and its errors.
use std::path::PathBuf;

use serde::{Deserialize, Serialize};

/// Numbers of voters that are allowed. Fewer than three commit nothing while one of them is out for
/// maintenance; more than seven are no safer, only slower.
const VOTERS: std::ops::RangeInclusive<usize> = 3..=7;

/// The section `[agreement]`.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct AgreementSection {
    /// Names of the balancers that vote, the same in all files; the first of them bootstraps the
    /// group.
    pub voters: Vec<String>,
    /// The file in which a voter keeps its term, vote and log; it keeps them in memory if none is
    /// named.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub store: Option<PathBuf>,
}

/// An error of the section `[agreement]`. The texts are shown to operators beside the key.
#[derive(Clone, Debug, PartialEq, Eq, thiserror::Error)]
pub enum AgreementSectionError {
    /// There is no section `[membership]`.
    #[error("need a [membership], over which they talk")]
    NoMembership,
    /// This is not an allowed number of voters.
    #[error("must be 3 to 7, not {0}")]
    VoterCount(usize),
    /// The voter of this name is not a member of the group.
    #[error("{0:?} is not in membership.roster")]
    NotInRoster(String),
    /// The voter of this name is listed more than once.
    #[error("{0:?} stands there twice")]
    DuplicateVoter(String),
    /// The path of the store is empty.
    #[error("must name a file, or be left out for a voter in memory")]
    EmptyStorePath,
}

impl AgreementSectionError {
    /// The key of the section to which the error belongs.
    #[must_use]
    pub fn key(&self) -> &'static str {
        match self {
            Self::NoMembership
            | Self::VoterCount(_)
            | Self::NotInRoster(_)
            | Self::DuplicateVoter(_) => "voters",
            Self::EmptyStorePath => "store",
        }
    }
}

impl AgreementSection {
    /// All errors of the section, for a group with these members; none if there is no group.
    #[must_use]
    pub fn errors(&self, roster: Option<&[String]>) -> Vec<AgreementSectionError> {
        let Some(roster) = roster else {
            return vec![AgreementSectionError::NoMembership];
        };
        let mut errors = Vec::new();
        if !VOTERS.contains(&self.voters.len()) {
            errors.push(AgreementSectionError::VoterCount(self.voters.len()));
        }
        for (position, name) in self.voters.iter().enumerate() {
            if !roster.contains(name) {
                errors.push(AgreementSectionError::NotInRoster(name.clone()));
            }
            if self.voters[..position].contains(name) {
                errors.push(AgreementSectionError::DuplicateVoter(name.clone()));
            }
        }
        let store = self.store.as_ref();
        if store.is_some_and(|path| path.as_os_str().is_empty()) {
            errors.push(AgreementSectionError::EmptyStorePath);
        }
        errors
    }
}
