//! The findings of an observer of a group.
use serde::Serialize;

/// How much was judged, and the times that were measured.
#[derive(Clone, Debug, Default, PartialEq, Serialize)]
pub struct GroupMetrics {
    /// Reports of processes.
    #[serde(rename = "accounts")]
    pub reports: u64,
    /// Judgements of a live member's reported state. A check that could never be made finds no violation, so that these
    /// numbers have to be looked at too.
    pub judged_alive: u64,
    /// Judgements of an ended process's reported state.
    pub judged_dead: u64,
    /// Judgements of a reported quorum status.
    #[serde(rename = "judged_standing")]
    pub judged_quorum: u64,
    /// Judgements of attempts at a cordoned host.
    pub judged_attempts: u64,
    /// Cordons that the group confirmed.
    #[serde(rename = "yes")]
    pub confirmed_cordons: u64,
    /// Time from the end of the last fault until all processes reported a complete group and agreed, in milliseconds.
    #[serde(rename = "whole_after_ms")]
    pub complete_after_ms: Option<f64>,
}

/// The findings of an observer in a run.
#[derive(Clone, Debug, Default, PartialEq, Serialize)]
pub struct GroupReport {
    /// Number of violations.
    #[serde(rename = "broken")]
    pub violations: u64,
    /// The first violations, each with the events before it.
    pub examples: Vec<String>,
    /// How much was judged.
    #[serde(rename = "figures")]
    pub metrics: GroupMetrics,
}
