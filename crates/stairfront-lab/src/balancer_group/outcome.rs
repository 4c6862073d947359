//! The figures of a group's run.
use serde::Serialize;
use stairfront_emulator::group_observer::GroupReport;

use crate::maintenance::MaintenanceOutcome;

/// The observer's report, and further figures of a group's run.
#[derive(Clone, Debug, Default, Serialize)]
pub struct GroupOutcome {
    /// The observer's report.
    #[serde(flatten)]
    pub report: GroupReport,
    /// The faults in words.
    pub script: Vec<String>,
    /// From a kill to each other member's own verdict, by that member's account of its age, in milliseconds.
    pub detected_ms: Vec<f64>,
    /// Verdicts that took over 5 s, in words.
    #[serde(rename = "slow_verdicts")]
    pub slow_detections: Vec<String>,
    /// From a kill until the last of the others had detected it, in milliseconds.
    pub detected_by_all_ms: Vec<f64>,
    /// From a resume until another member has the resumed one alive, in milliseconds.
    #[serde(rename = "woken_ms")]
    pub resume_detected_ms: Vec<f64>,
    /// Cordon orders that were accepted.
    #[serde(rename = "orders_yes")]
    pub orders_accepted: u64,
    /// Cordon orders that were rejected or not answered.
    #[serde(rename = "orders_no")]
    pub orders_rejected: u64,
    /// Datagrams over the relay, a second and a member.
    pub datagrams_per_s: f64,
    /// Bytes over the relay, a second and a member.
    pub bytes_per_s: f64,
    /// Processor time of all processes, in microseconds a second and a process.
    pub cpu_us_per_s: f64,
    /// The outcome of the maintenance.
    #[serde(rename = "work")]
    pub maintenance: Option<MaintenanceOutcome>,
}
