//! The stages of a machine in a plan.
use serde::{Deserialize, Serialize};

/// How far a machine is. The JSON words are those that operators have always seen.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Serialize, Deserialize)]
pub enum Stage {
    /// In service; its turn has not come.
    #[serde(rename = "waiting")]
    Waiting,
    /// Every member is notified to send it nothing new; a balancer is notified that it is its turn.
    #[serde(rename = "told")]
    Notified,
    /// All have confirmed; attempts in flight end.
    #[serde(rename = "held")]
    Draining,
    /// Work may begin.
    #[serde(rename = "out")]
    Out,
    /// Back in service, and not yet at its usual share of the traffic.
    #[serde(rename = "warming")]
    WarmingUp,
    /// Back in service.
    #[serde(rename = "back")]
    Returned,
    /// Passed over by an operator.
    #[serde(rename = "skipped")]
    Skipped,
}

impl Stage {
    /// The word for it in JSON and in texts for operators.
    #[must_use]
    pub fn as_str(self) -> &'static str {
        match self {
            Stage::Waiting => "waiting",
            Stage::Notified => "told",
            Stage::Draining => "held",
            Stage::Out => "out",
            Stage::WarmingUp => "warming",
            Stage::Returned => "back",
            Stage::Skipped => "skipped",
        }
    }

    /// Nobody sends the machine anything new.
    pub(crate) fn is_cordoned(self) -> bool {
        matches!(self, Stage::Notified | Stage::Draining | Stage::Out)
    }

    /// The machine counts as taken out.
    pub(crate) fn is_out(self) -> bool {
        self.is_cordoned() || self == Stage::WarmingUp
    }

    /// The plan has nothing more to do with the machine.
    pub(crate) fn is_finished(self) -> bool {
        matches!(self, Stage::Returned | Stage::Skipped)
    }
}
