//! Faults that tests switch on and off through `POST /control/faults`.

use serde::{Deserialize, Serialize};

/// The faults that are switched on.
#[derive(Clone, Debug, Deserialize, PartialEq, Serialize)]
#[serde(rename_all = "camelCase")]
pub struct FaultSwitches {
    /// Factor applied to every modelled duration.
    pub slow_factor: f64,
    /// Refuses reservations, prefills and streams with 503.
    pub refuse_all: bool,
    /// Accepts requests without answering them; streams stop without an end event.
    pub silent: bool,
    /// Number of coming cancels that are ignored and get no answer.
    pub drop_cancels: u32,
    /// Crashes the process when it prefills or streams a prompt that contains this text; empty for
    /// never.
    pub crash_on: String,
    /// Crashes the process when it streams a request for at least this many tokens; 0 for never.
    pub crash_from_tokens: u32,
    /// Discards prefill results as soon as they are computed.
    pub lose_kv: bool,
    /// Stalls transfers to other engines before their body is sent.
    pub stall_transfers: bool,
    /// Keeps the resources of disconnected clients until a cancel or their time to live frees them.
    pub keep_orphans: bool,
    /// Cuts each stream's connection after this many tokens; 0 for never.
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
            crash_from_tokens: 0,
            lose_kv: false,
            stall_transfers: false,
            keep_orphans: false,
            cut_streams_after: 0,
        }
    }
}

/// Body of `POST /control/faults`; omitted switches keep their value.
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
    /// See [`FaultSwitches::crash_from_tokens`].
    pub crash_from_tokens: Option<u32>,
    /// See [`FaultSwitches::lose_kv`].
    pub lose_kv: Option<bool>,
    /// See [`FaultSwitches::stall_transfers`].
    pub stall_transfers: Option<bool>,
    /// See [`FaultSwitches::keep_orphans`].
    pub keep_orphans: Option<bool>,
    /// See [`FaultSwitches::cut_streams_after`].
    pub cut_streams_after: Option<u32>,
    /// Stops or resumes admitting new work, as a [`SetLeaving`] order does.
    ///
    /// [`SetLeaving`]: gs_protocol::engine::OrderKind::SetLeaving
    pub leaving: Option<bool>,
}

impl FaultSwitches {
    /// Sets the switches present in an update.
    pub fn apply(&mut self, update: &FaultUpdate) {
        set(&mut self.slow_factor, update.slow_factor);
        set(&mut self.refuse_all, update.refuse_all);
        set(&mut self.silent, update.silent);
        set(&mut self.drop_cancels, update.drop_cancels);
        set(&mut self.crash_on, update.crash_on.clone());
        set(&mut self.crash_from_tokens, update.crash_from_tokens);
        set(&mut self.lose_kv, update.lose_kv);
        set(&mut self.stall_transfers, update.stall_transfers);
        set(&mut self.keep_orphans, update.keep_orphans);
        set(&mut self.cut_streams_after, update.cut_streams_after);
    }

    /// Returns whether a prompt triggers the `crash_on` fault.
    pub fn crashes_on(&self, prompt: &str) -> bool {
        !self.crash_on.is_empty() && prompt.contains(&self.crash_on)
    }

    /// Returns whether a stream of at most `max_tokens` triggers the `crash_from_tokens` fault.
    pub fn crashes_from(&self, max_tokens: u32) -> bool {
        self.crash_from_tokens > 0 && max_tokens >= self.crash_from_tokens
    }
}

fn set<T>(target: &mut T, value: Option<T>) {
    if let Some(value) = value {
        *target = value;
    }
}

/// Exit status of a process crashed by the `crash_on` fault.
const CRASH_STATUS: i32 = 70;

/// Exits the process as a crash does, without answering requests or closing connections properly.
pub fn crash() -> ! {
    std::process::exit(CRASH_STATUS)
}
