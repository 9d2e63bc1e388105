//! Faults that a test switches on and off through `POST /control/faults`.

use serde::{Deserialize, Serialize};

/// The faults in force.
#[derive(Clone, Debug, Deserialize, PartialEq, Serialize)]
#[serde(rename_all = "camelCase")]
pub struct FaultSwitches {
    /// Multiplies every modelled time.
    pub slow_factor: f64,
    /// Refuses reservations, prefills and streams with 503.
    pub refuse_all: bool,
    /// Takes requests and never answers; streams stop without an end.
    pub silent: bool,
    /// Ignores this many cancels, which get no answer.
    pub drop_cancels: u32,
    /// Ends the process when it prefills or streams a prompt with this text; empty for never.
    pub crash_on: String,
    /// Prefill results are lost as soon as they are made.
    pub lose_kv: bool,
    /// Transfers to other engines do not end.
    pub stall_transfers: bool,
    /// Only cancels and times to live free what a gone client held.
    pub keep_orphans: bool,
    /// Breaks each stream's connection after this many tokens; 0 for never.
    pub cut_streams_after: u32,
}

impl Default for FaultSwitches {
    fn default() -> Self {
        Self {
            slow_factor: 1.0,
            refuse_all: false,
            silent: false,
            drop_cancels: 0,
            crash_on: String::new(),
            lose_kv: false,
            stall_transfers: false,
            keep_orphans: false,
            cut_streams_after: 0,
        }
    }
}

/// The body of `POST /control/faults`: switches left out stay as they are.
#[derive(Clone, Debug, Default, Deserialize, Serialize)]
#[serde(default, deny_unknown_fields, rename_all = "camelCase")]
pub struct FaultUpdate {
    /// See [`FaultSwitches::slow_factor`].
    pub slow_factor: Option<f64>,
    /// See [`FaultSwitches::refuse_all`].
    pub refuse_all: Option<bool>,
    /// See [`FaultSwitches::silent`].
    pub silent: Option<bool>,
    /// See [`FaultSwitches::drop_cancels`].
    pub drop_cancels: Option<u32>,
    /// See [`FaultSwitches::crash_on`].
    pub crash_on: Option<String>,
    /// See [`FaultSwitches::lose_kv`].
    pub lose_kv: Option<bool>,
    /// See [`FaultSwitches::stall_transfers`].
    pub stall_transfers: Option<bool>,
    /// See [`FaultSwitches::keep_orphans`].
    pub keep_orphans: Option<bool>,
    /// See [`FaultSwitches::cut_streams_after`].
    pub cut_streams_after: Option<u32>,
    /// Takes no new work, or takes it again, as an order to the engine would.
    pub leaving: Option<bool>,
}

impl FaultSwitches {
    /// Sets the switches that an update names.
    pub fn apply(&mut self, update: &FaultUpdate) {
        set(&mut self.slow_factor, update.slow_factor);
        set(&mut self.refuse_all, update.refuse_all);
        set(&mut self.silent, update.silent);
        set(&mut self.drop_cancels, update.drop_cancels);
        set(&mut self.crash_on, update.crash_on.clone());
        set(&mut self.lose_kv, update.lose_kv);
        set(&mut self.stall_transfers, update.stall_transfers);
        set(&mut self.keep_orphans, update.keep_orphans);
        set(&mut self.cut_streams_after, update.cut_streams_after);
    }

    /// Whether a prompt ends the process.
    pub fn crashes(&self, prompt: &str) -> bool {
        !self.crash_on.is_empty() && prompt.contains(&self.crash_on)
    }
}

fn set<T>(target: &mut T, value: Option<T>) {
    if let Some(value) = value {
        *target = value;
    }
}

/// The exit status of a crash that was asked for.
const CRASH_STATUS: i32 = 70;

/// Ends the process as a crash would: nothing is answered or closed in order.
pub fn crash() -> ! {
    std::process::exit(CRASH_STATUS)
}
