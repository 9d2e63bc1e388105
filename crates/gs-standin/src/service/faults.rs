//! Faults that a test switches on and off through `POST /control/faults`.

use serde::{Deserialize, Serialize};

/// The faults in force.
#[derive(Clone, Copy, Debug, Default, Deserialize, Eq, PartialEq, Serialize)]
#[serde(rename_all = "camelCase")]
pub struct ServiceFaults {
    /// Milliseconds added to each run.
    pub slow_ms: u64,
    /// Takes requests and neither runs nor answers them.
    pub silent: bool,
    /// Says that it did not run, and does not run.
    pub not_run: bool,
    /// Runs, then closes the connection without an answer, this many times.
    pub drop_answer_after_run: u32,
    /// Closes the connection before running, without an answer.
    pub refuse: bool,
}

/// The body of `POST /control/faults`: switches left out stay as they are.
#[derive(Clone, Copy, Debug, Default, Deserialize, Serialize)]
#[serde(default, deny_unknown_fields, rename_all = "camelCase")]
pub struct ServiceUpdate {
    /// See [`ServiceFaults::slow_ms`].
    pub slow_ms: Option<u64>,
    /// See [`ServiceFaults::silent`].
    pub silent: Option<bool>,
    /// See [`ServiceFaults::not_run`].
    pub not_run: Option<bool>,
    /// See [`ServiceFaults::drop_answer_after_run`].
    pub drop_answer_after_run: Option<u32>,
    /// See [`ServiceFaults::refuse`].
    pub refuse: Option<bool>,
}

impl ServiceFaults {
    /// Sets the switches that an update names.
    pub fn apply(&mut self, update: ServiceUpdate) {
        self.slow_ms = update.slow_ms.unwrap_or(self.slow_ms);
        self.silent = update.silent.unwrap_or(self.silent);
        self.not_run = update.not_run.unwrap_or(self.not_run);
        self.refuse = update.refuse.unwrap_or(self.refuse);
        self.drop_answer_after_run = update
            .drop_answer_after_run
            .unwrap_or(self.drop_answer_after_run);
    }
}
