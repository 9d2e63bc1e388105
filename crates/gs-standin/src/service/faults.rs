//! Faults that tests switch on and off through `POST /control/faults`.

use serde::{Deserialize, Serialize};

/// The faults that are switched on.
#[derive(Clone, Copy, Debug, Default, Deserialize, Eq, PartialEq, Serialize)]
#[serde(rename_all = "camelCase")]
pub struct FaultSwitches {
    /// Additional duration of each run, in milliseconds.
    pub slow_ms: u64,
    /// Accepts requests without running or answering them.
    pub silent: bool,
    /// Refuses requests with status 503 and the not-run header, without running them.
    pub not_run: bool,
    /// Number of coming requests that run but whose connection is closed without an answer.
    pub drop_answer_after_run: u32,
    /// Closes the connection without running the request or answering it.
    pub refuse: bool,
}

/// Body of `POST /control/faults`; omitted switches keep their value.
#[derive(Clone, Copy, Debug, Default, Deserialize, Serialize)]
#[serde(default, deny_unknown_fields, rename_all = "camelCase")]
pub struct FaultUpdate {
    /// See [`FaultSwitches::slow_ms`].
    pub slow_ms: Option<u64>,
    /// See [`FaultSwitches::silent`].
    pub silent: Option<bool>,
    /// See [`FaultSwitches::not_run`].
    pub not_run: Option<bool>,
    /// See [`FaultSwitches::drop_answer_after_run`].
    pub drop_answer_after_run: Option<u32>,
    /// See [`FaultSwitches::refuse`].
    pub refuse: Option<bool>,
}

impl FaultSwitches {
    /// Sets the switches present in an update.
    pub fn apply(&mut self, update: FaultUpdate) {
        self.slow_ms = update.slow_ms.unwrap_or(self.slow_ms);
        self.silent = update.silent.unwrap_or(self.silent);
        self.not_run = update.not_run.unwrap_or(self.not_run);
        self.refuse = update.refuse.unwrap_or(self.refuse);
        self.drop_answer_after_run = update
            .drop_answer_after_run
            .unwrap_or(self.drop_answer_after_run);
    }
}
