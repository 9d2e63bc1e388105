//! Holds requests to the quotas of their workspaces.

use std::cell::Cell;
use std::collections::BTreeMap;
use std::rc::Rc;
use std::sync::Arc;
use std::time::{Duration, Instant};

use gs_control::forwarding::{
    QuotaDecision, QuotaRefusal, QuotaSettings, QuotaTracker, RequestCaller, RouteTable,
    WorkspaceSpec,
};
use gs_protocol::ids::EntryName;
use hyper::StatusCode;

use crate::answer::{ClientAnswer, local_answer};
use crate::gateway::Gateway;
use crate::wire::RequestMetadata;

/// Interval at which the tracker is told which entries are listed.
const PEERS_INTERVAL: Duration = Duration::from_millis(250);

/// Minimum time between two early reports because of the quotas. A relay in a fleet of 75 passes the reports of 19
/// entries to six relays: ten reports a second of 900 bytes each would take 8 of the 10 Mbit/s of its link.
const MIN_REPORT_INTERVAL: Duration = Duration::from_millis(300);

/// Time without a report, in the usual intervals, after which a peer is assumed to spend its part of a
/// quota unheard. One report may be lost.
const MAX_SILENCE_INTERVALS: f64 = 2.2;

/// Maximum number of log lines about refused requests of a workspace in a second.
const REFUSAL_LINES_PER_SECOND: u32 = 5;

/// Time without a refusal after which a workspace is within its quota again.
const REFUSAL_PERIOD: Duration = Duration::from_secs(5);

/// Refused requests of a workspace, for the logs.
#[derive(Debug)]
struct RefusalCount {
    /// Requests refused since the workspace reached its quota.
    total: u64,
    last_at: Instant,
    second_began: Instant,
    lines: u32,
    left_out: u64,
}

/// The quotas of workspaces at this entry.
#[derive(Debug)]
pub(crate) struct QuotaState {
    pub tracker: QuotaTracker,
    /// Whether the configuration has workspaces.
    is_used: bool,
    /// Whether the registry has listed the entries.
    pub are_entries_listed: bool,
    peers_set_at: Option<Instant>,
    /// When a report was last sent early because of the quotas.
    reported_at: Option<Instant>,
    refusals: BTreeMap<String, RefusalCount>,
}

impl QuotaState {
    /// Creates the state before the first configuration.
    pub fn new(settings: QuotaSettings) -> Self {
        Self {
            tracker: QuotaTracker::new(Instant::now(), settings, PEERS_INTERVAL),
            is_used: false,
            are_entries_listed: false,
            peers_set_at: None,
            reported_at: None,
            refusals: BTreeMap::new(),
        }
    }

    /// Applies the workspaces of a configuration.
    pub fn apply_table(&mut self, table: &RouteTable) {
        let workspaces = table.workspaces.as_ref();
        let workspaces = workspaces.map_or(&[][..], |workspaces| workspaces.workspaces());
        self.is_used = !workspaces.is_empty();
        self.tracker.set_workspaces(Instant::now(), workspaces);
        self.refusals
            .retain(|name, _| workspaces.iter().any(|workspace| workspace.name == *name));
    }

    /// Logs a refused request; of many in a second only the first ones.
    fn log_refusal(
        &mut self,
        now: Instant,
        request_id: &str,
        workspace: &WorkspaceSpec,
        cost: u64,
        refusal: &QuotaRefusal,
    ) {
        let name = &workspace.name;
        let QuotaRefusal {
            available,
            demand_rate,
            heard_entries,
            entries,
            ..
        } = *refusal;
        let count = self.refusals.entry(name.clone()).or_insert_with(|| {
            log::info!(target: "quotas", workspace = name, quota:? = workspace.quota, available, demand_rate, heard_entries, entries; "the workspace has reached its quota");
            RefusalCount {
                total: 0,
                last_at: now,
                second_began: now,
                lines: 0,
                left_out: 0,
            }
        });
        count.total += 1;
        count.last_at = now;
        if now.saturating_duration_since(count.second_began) >= Duration::from_secs(1) {
            count.second_began = now;
            count.lines = 0;
        }
        if count.lines >= REFUSAL_LINES_PER_SECOND {
            count.left_out += 1;
            return;
        }
        count.lines += 1;
        let unlogged = std::mem::take(&mut count.left_out);
        log::info!(target: "quotas", id = request_id, workspace = name, cost, retry_ms = refusal.retry_after.as_millis() as u64, available, demand_rate, heard_entries, entries, unlogged; "refused: the workspace has used up its quota");
    }

    /// Logs that a workspace is within its quota again, if it is.
    fn log_admission(&mut self, now: Instant, workspace: &str) {
        let is_over =
            |count: &RefusalCount| now.saturating_duration_since(count.last_at) >= REFUSAL_PERIOD;
        if self.refusals.get(workspace).is_some_and(is_over)
            && let Some(count) = self.refusals.remove(workspace)
        {
            log::info!(target: "quotas", workspace, refused = count.total; "the workspace is within its quota again");
        }
    }
}

impl Gateway {
    /// Counts the cost of a request toward the quota of its workspace. An error is the answer to a request
    /// for which the quota has no room.
    pub(crate) fn take_quota(
        self: &Rc<Self>,
        caller: &RequestCaller,
        metadata: &RequestMetadata,
    ) -> Result<QuotaGuard, Box<ClientAnswer>> {
        let Some(workspace) = caller.workspace() else {
            return Ok(QuotaGuard { held: None });
        };
        let params = metadata.generation;
        let tokens = params.map(|params| params.prompt_tokens + params.max_output_tokens);
        let cost = workspace.unit.cost(tokens);
        let (now, draw) = (Instant::now(), self.random_fraction());
        let mut state = self.state.borrow_mut();
        let quotas = &mut state.quotas;
        match quotas.tracker.take(now, &workspace.name, cost, draw) {
            QuotaDecision::Admitted { is_report_due } => {
                quotas.log_admission(now, &workspace.name);
                let is_spaced = quotas
                    .reported_at
                    .is_none_or(|at| now.saturating_duration_since(at) >= MIN_REPORT_INTERVAL);
                if is_report_due && is_spaced {
                    quotas.reported_at = Some(now);
                    self.report_changed.notify_one();
                }
                let held = HeldQuota {
                    gateway: Rc::clone(self),
                    workspace: Arc::clone(workspace),
                    cost,
                    may_have_run: Cell::new(false),
                };
                Ok(QuotaGuard { held: Some(held) })
            }
            QuotaDecision::Refused(refusal) => {
                quotas.log_refusal(now, &metadata.request_id, workspace, cost, &refusal);
                let text = "not run: the workspace has used up its quota\n";
                let mut answer = local_answer(StatusCode::TOO_MANY_REQUESTS, text);
                let (name, value) = self.wire.retry_after(refusal.retry_after);
                answer.headers_mut().insert(name, value);
                Err(Box::new(answer))
            }
        }
    }

    /// Tells the tracker which entries are listed or heard, at most once in [`PEERS_INTERVAL`].
    /// `report_interval` is the usual time between two reports of a peer.
    pub(crate) fn update_quota_peers(&self, report_interval: Duration) {
        let now = Instant::now();
        let is_current = !self.is_registry_outage();
        let mut guard = self.state.borrow_mut();
        let state = &mut *guard;
        let quotas = &mut state.quotas;
        let is_recent = quotas
            .peers_set_at
            .is_some_and(|at| now.saturating_duration_since(at) < PEERS_INTERVAL);
        if !quotas.is_used || !quotas.are_entries_listed || is_recent {
            return;
        }
        quotas.peers_set_at = Some(now);
        let own_centre = &self.settings.own.data_centre;
        let members = state
            .membership
            .relay_members(now, own_centre, Duration::MAX);
        let names: Vec<EntryName> = members.into_iter().map(|member| member.name).collect();
        let max_silence = report_interval.mul_f64(MAX_SILENCE_INTERVALS);
        quotas.tracker.set_max_silence(max_silence);
        quotas.tracker.set_peers(now, &names, is_current);
    }
}

struct HeldQuota {
    gateway: Rc<Gateway>,
    workspace: Arc<WorkspaceSpec>,
    cost: u64,
    may_have_run: Cell<bool>,
}

/// The cost of a request in the quota of its workspace. It is given back on drop unless the request may
/// have run.
pub(crate) struct QuotaGuard {
    held: Option<HeldQuota>,
}

impl QuotaGuard {
    /// Records that the request is sent to a server.
    pub fn record_sent(&self) {
        self.set_may_have_run(true);
    }

    /// Records that the request has certainly not run, although it may have been sent.
    pub fn record_not_run(&self) {
        self.set_may_have_run(false);
    }

    fn set_may_have_run(&self, may_have_run: bool) {
        if let Some(held) = &self.held {
            held.may_have_run.set(may_have_run);
        }
    }
}

impl std::fmt::Debug for QuotaGuard {
    fn fmt(&self, formatter: &mut std::fmt::Formatter<'_>) -> std::fmt::Result {
        let cost = self.held.as_ref().map(|held| held.cost);
        formatter.debug_tuple("QuotaGuard").field(&cost).finish()
    }
}

impl Drop for QuotaGuard {
    fn drop(&mut self) {
        let Some(held) = self.held.take().filter(|held| !held.may_have_run.get()) else {
            return;
        };
        let mut state = held.gateway.state.borrow_mut();
        let tracker = &mut state.quotas.tracker;
        tracker.give_back(Instant::now(), &held.workspace.name, held.cost);
    }
}
