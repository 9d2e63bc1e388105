//! Faults that tests switch on and off through `POST /control/faults`.

use serde::{Deserialize, Serialize};

/// How calls fail during an outage.
#[derive(Clone, Copy, Debug, Default, Deserialize, Eq, PartialEq, Serialize)]
#[serde(rename_all = "kebab-case")]
pub enum OutageKind {
    /// No outage.
    #[default]
    None,
    /// Refuses every call with status 503.
    Refuse,
    /// Closes the connection of every call without an answer; the call has no effect.
    Close,
    /// Accepts calls without answering them; they have no effect.
    Silent,
}

/// Body of `POST /control/faults`; omitted fields are reset to their default.
#[derive(Clone, Copy, Debug, Default, Deserialize, Eq, PartialEq, Serialize)]
#[serde(default, deny_unknown_fields, rename_all = "camelCase")]
pub struct FaultSwitches {
    /// How calls fail, if at all.
    pub outage: OutageKind,
    /// Delay of every call before it takes effect, in milliseconds.
    pub slow_ms: u64,
    /// Delay of every answer after the call took effect, in milliseconds.
    pub slow_answer_ms: u64,
    /// Number of coming writes that take effect but whose connection is closed without an answer.
    pub lose_answers: u32,
}

impl FaultSwitches {
    /// Returns whether the answer to this write is lost, and counts the fault down.
    pub(super) fn consume_lost_answer(&mut self) -> bool {
        let lost = self.lose_answers > 0;
        self.lose_answers = self.lose_answers.saturating_sub(1);
        lost
    }
}
