//! Faults that tests switch on and off.

use serde::{Deserialize, Serialize};

/// What an outage looks like to callers.
#[derive(Clone, Copy, Debug, Default, Deserialize, Eq, PartialEq, Serialize)]
#[serde(rename_all = "kebab-case")]
pub enum OutageKind {
    /// There is none.
    #[default]
    None,
    /// Every call is refused with 503.
    Refuse,
    /// Every connection is closed without an answer, and nothing is done.
    Close,
    /// Calls are taken and not answered, and nothing is done.
    Silent,
}

/// The switches of `POST /control/faults`. Fields left out go back to their default.
#[derive(Clone, Copy, Debug, Default, Deserialize, Eq, PartialEq, Serialize)]
#[serde(default, deny_unknown_fields, rename_all = "camelCase")]
pub struct FaultSwitches {
    /// The outage, if any.
    pub outage: OutageKind,
    /// Milliseconds by which every call is delayed before it takes effect.
    pub slow_ms: u64,
    /// Milliseconds by which every answer is delayed after the call took effect.
    pub slow_answer_ms: u64,
    /// The number of coming writes that take effect and whose connection is closed without an answer.
    pub lose_answers: u32,
}

impl FaultSwitches {
    /// Whether the answer of a write that took effect is lost; counts it.
    pub(super) fn take_lost_answer(&mut self) -> bool {
        let lost = self.lose_answers > 0;
        self.lose_answers = self.lose_answers.saturating_sub(1);
        lost
    }
}
