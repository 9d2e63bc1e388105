//! Selects waiting requests by rank, share and deadline, and starts attempts for them.

use std::time::{Duration, Instant};

use gs_document::document::CallerRank;
use gs_protocol::engine::EnginePriority;
use gs_protocol::ids::{AttemptId, ModelName, RequestId};
use gs_protocol::prefix::{BLOCK_TOKENS, KV_TOKEN_BYTES, count_blocks};
use rand::Rng;

use super::fair_queue::{CallerId, ChargedSelection, QueueSelection, ShareKind};
use super::messages::DispatchEffect;
use super::placement::{PlacementChoice, PlacementDemand, PlacementError, choose_servers};
use super::request_table::{AttemptRecord, RequestPhase, RequestRecord, RetryKey};
use super::server_load::ServerWork;
use super::state::DispatchState;
use super::suspects::SuspectPermit;

/// Maximum number of retries, and of callers, of a model that one round skips because a request
/// cannot be placed.
const MAX_SKIPPED: usize = 4;

/// Maximum number of retries of a model that one round tries to place.
const MAX_RETRY_CANDIDATES: usize = 16;

/// Lower bound of the permitted wait in a prefill server's queue.
const MIN_PREFILL_QUEUE_WAIT: Duration = Duration::from_millis(20);

/// Lower bound of the first-token timeout of an attempt.
const MIN_FIRST_TOKEN_TIMEOUT: Duration = Duration::from_millis(500);

/// Time added to all targets before a running attempt expires.
const ATTEMPT_GRACE: Duration = Duration::from_secs(60);

/// Between-token targets granted to each output token before a running attempt expires.
const ATTEMPT_TIMEOUT_TARGETS: u32 = 10;

impl DispatchState {
    /// Starts every queued request and retry that can be placed now.
    pub(super) fn start_requests(&mut self, now: Instant, effects: &mut Vec<DispatchEffect>) {
        self.fleet.end_backoffs(now, &self.settings);
        if self.table.wait_expiries.is_empty() {
            return;
        }
        self.last_placement_at = Some(now);
        let waiting = self.model_states.iter().filter(|(model, model_state)| {
            !model_state.queue.is_empty() || self.table.has_retries(model)
        });
        let models: Vec<ModelName> = waiting.map(|(model, _)| model.clone()).collect();
        for model in models {
            if self.start_retries(now, &model, effects) {
                self.start_queued(now, &model, effects);
            }
        }
    }

    /// Starts the retries of a model. Returns `false` if so many could not be placed that no queued
    /// request should be tried.
    fn start_retries(
        &mut self,
        now: Instant,
        model: &ModelName,
        effects: &mut Vec<DispatchEffect>,
    ) -> bool {
        let Some(retries) = self.table.retries.get(model) else {
            return true;
        };
        let mut keys: Vec<RetryKey> = retries.iter().copied().collect();
        self.refuse_quarantined(now, &keys, effects);
        keys.retain(|(_, _, request)| !self.is_suspect_held(now, *request));
        keys.truncate(MAX_RETRY_CANDIDATES);
        let mut skipped = 0;
        for (_, _, request) in keys {
            match self.place_request(now, request, None) {
                Ok(choice) => {
                    self.table.remove_retry(request);
                    self.start_attempt(now, request, &choice, None, effects);
                }
                Err(PlacementError::SuspectHeld) => {}
                Err(_) if skipped == MAX_SKIPPED => return false,
                Err(_) => skipped += 1,
            }
        }
        true
    }

    /// Starts queued requests of a model until one cannot be placed. A caller whose next request
    /// would miss its deadline is skipped, and a suspect is moved to the retries.
    fn start_queued(&mut self, now: Instant, model: &ModelName, effects: &mut Vec<DispatchEffect>) {
        let mut skipped: Vec<CallerId> = Vec::new();
        while skipped.len() < MAX_SKIPPED {
            let Some(selection) = self.select_next(model, &skipped) else {
                return;
            };
            match self.place_request(now, selection.key.request, Some(selection.kind)) {
                Ok(choice) => {
                    let charged = self.dequeue(now, model, selection);
                    self.start_attempt(now, selection.key.request, &choice, charged, effects);
                }
                Err(PlacementError::DeadlineMissed) => skipped.push(selection.caller),
                Err(PlacementError::SuspectHeld) => {
                    self.move_suspect_to_retries(selection.key.request);
                }
                Err(_) => return,
            }
        }
    }

    /// Selects the next request of a model, without long prompts while too many prefill servers are
    /// busy with them.
    fn select_next(&self, model: &ModelName, skipped: &[CallerId]) -> Option<QueueSelection> {
        let model_state = self.model_states.get(model)?;
        if model_state.queue.is_empty() {
            return None;
        }
        let long_allowed = self.fleet.pool(model).is_some_and(|pool| {
            let limit = pool.prefill.len() as f64 * self.settings.long_prompt_server_fraction;
            pool.long_queue_count < (limit as usize).max(1)
        });
        model_state.queue.select_next(long_allowed, skipped)
    }

    /// Removes the selected request from its queue, charges its caller and updates the caller's
    /// drain rate.
    fn dequeue(
        &mut self,
        now: Instant,
        model: &ModelName,
        selection: QueueSelection,
    ) -> Option<ChargedSelection> {
        let record = self.table.requests.get_mut(&selection.key.request)?;
        if !std::mem::replace(&mut record.was_started, true) {
            self.retry_budget.credit_first_attempt();
        }
        let expiry = (record.wait_expires_at, selection.key.request);
        self.table.wait_expiries.remove(&expiry);
        let model_state = self.model_states.get_mut(model)?;
        let charged = model_state
            .queue
            .dequeue(selection, record.size_class, record.cost_us);
        let is_drained = model_state.queue.caller_len(selection.caller) == 0;
        let caller = self.callers.get_mut(selection.caller)?;
        if let Some(drain_meter) = caller.drain_meters.get_mut(model) {
            drain_meter.record_started(now, record.cost_us);
            if is_drained {
                drain_meter.stop();
            }
        }
        Some(charged)
    }

    /// Chooses servers for a request. `kind` is `None` for a retry.
    fn place_request(
        &mut self,
        now: Instant,
        request: RequestId,
        kind: Option<ShareKind>,
    ) -> Result<PlacementChoice, PlacementError> {
        let record = self.table.requests.get(&request);
        let record = record.ok_or(PlacementError::NoServer)?;
        let excluded = match self.suspect_permit(now, record)? {
            SuspectPermit::AnyServer => None,
            SuspectPermit::Excluding(excluded) => Some(excluded),
            SuspectPermit::Reserved(choice) => return Ok(choice),
        };
        let model_state = self.model_states.get(&record.model);
        let model_state = model_state.ok_or(PlacementError::NoServer)?;
        let margin = record
            .first_token_target
            .mul_f64(self.settings.deadline_margin);
        let time_left = (record.deadline - margin.min(record.first_token_target))
            .saturating_duration_since(now);
        let is_first_start = record.phase == RequestPhase::Queued;
        let max_queue_wait = model_state
            .tightest_rank_first_token(record.rank)
            .min(record.first_token_target);
        let max_queue_wait = max_queue_wait.mul_f64(self.settings.prefill_queue_fraction);
        let is_urgent = record.rank == CallerRank::Urgent;
        let is_surplus = record.rank == CallerRank::Normal && kind == Some(ShareKind::Surplus);
        let demand = PlacementDemand {
            model: &record.model,
            prefix_hashes: &record.prefix_hashes,
            prompt_tokens: record.prompt_tokens,
            max_tokens: record.max_tokens,
            max_step_time: model_state.max_step_time(self.settings.decode_step_fraction),
            urgent_fraction: is_urgent.then(|| model_state.urgent_fraction()),
            max_queue_wait: max_queue_wait.max(MIN_PREFILL_QUEUE_WAIT),
            keeps_urgent_headroom: is_surplus && model_state.has_urgent_callers(),
            time_left: is_first_start.then_some(time_left),
            avoid_server: record.avoid_server,
            excluded: excluded.as_deref().unwrap_or_default(),
            is_resume: record.has_streamed,
        };
        let entry_count = self.entry_count;
        let chosen = choose_servers(
            now,
            &mut self.fleet,
            &demand,
            &self.settings,
            entry_count,
            &mut self.rng,
        );
        if excluded.is_none() {
            return chosen;
        }
        // A suspect that cannot be placed must not block other requests.
        let choice = chosen.map_err(|_| PlacementError::SuspectHeld)?;
        self.reserve_servers(now, request, choice)
    }

    /// Records an attempt on the chosen servers and emits its [`DispatchEffect::Start`].
    fn start_attempt(
        &mut self,
        now: Instant,
        request: RequestId,
        choice: &PlacementChoice,
        selection: Option<ChargedSelection>,
        effects: &mut Vec<DispatchEffect>,
    ) {
        let attempt = self.generate_attempt_id();
        let Some(record) = self.table.requests.get_mut(&request) else {
            return;
        };
        let has_urgent_waiting = self
            .model_states
            .get(&record.model)
            .is_some_and(|model_state| model_state.queue.has_rank_waiting(CallerRank::Urgent));
        let priority = attempt_priority(record, selection.as_ref(), has_urgent_waiting);
        let first_token_within = first_token_within(now, record);
        let mut attempt_record = AttemptRecord {
            selection,
            ..build_attempt(now, request, record, choice, first_token_within)
        };
        if priority == EnginePriority::Urgent {
            attempt_record.prefill_work.urgent_prefill_tokens =
                attempt_record.prefill_work.prefill_tokens;
        }
        record.phase = RequestPhase::Running(attempt);
        let names = [choice.decode, choice.prefill]
            .map(|server| self.fleet.server(server).map(|record| record.name.clone()));
        let [Some(decode), Some(prefill)] = names else {
            return;
        };
        self.add_attempt_work(now, &attempt_record, choice);
        self.report_attempt_start(now, attempt, &attempt_record);
        self.table.add_attempt(attempt, attempt_record);
        effects.push(DispatchEffect::Start {
            request,
            attempt,
            decode,
            prefill,
            priority,
            prefill_after: choice.prefill_after,
            first_token_within,
        });
    }

    /// Adds an attempt's work to its servers, its caller and its model.
    fn add_attempt_work(
        &mut self,
        now: Instant,
        attempt_record: &AttemptRecord,
        choice: &PlacementChoice,
    ) {
        let settings = &self.settings;
        self.fleet
            .update_server(now, choice.decode, settings, |server| {
                server.add_stream(now, attempt_record.decode_work);
            });
        let Some(record) = self.table.requests.get(&attempt_record.request) else {
            return;
        };
        if let Some(caller) = self.callers.get_mut(record.caller) {
            caller.running += 1;
        }
        if record.has_streamed {
            return;
        }
        self.fleet
            .update_server(now, choice.prefill, settings, |server| {
                server.add_prefill(now, attempt_record.prefill_work, choice.prefill_after);
            });
        if let Some(model_state) = self.model_states.get_mut(&record.model) {
            let work = attempt_record.prefill_work;
            model_state.add_prefill(work.prefill_tokens, work.urgent_prefill_tokens);
        }
        let stored_blocks = choice.uncached_tokens / BLOCK_TOKENS;
        self.fleet
            .record_prompt(choice.prefill, &record.prefix_hashes, stored_blocks);
    }

    fn generate_attempt_id(&mut self) -> AttemptId {
        AttemptId(uuid::Builder::from_random_bytes(self.rng.r#gen()).into_uuid())
    }
}

/// Priority of an attempt at the servers.
///
/// While urgent requests are queued, a normal request started within its guaranteed share runs as
/// urgent. Otherwise the servers would let urgent work overtake it and the caller would lose its
/// share.
fn attempt_priority(
    record: &RequestRecord,
    selection: Option<&ChargedSelection>,
    has_urgent_waiting: bool,
) -> EnginePriority {
    let kind = selection.map(|charged| charged.selection.kind);
    let is_due = kind == Some(ShareKind::Guaranteed) && has_urgent_waiting;
    if record.rank == CallerRank::Urgent || is_due || record.has_streamed {
        return EnginePriority::Urgent;
    }
    EnginePriority::Normal
}

/// Timeout for the first token: one first-token target beyond the deadline. A resumed stream counts
/// from now, because its original deadline may have passed long ago.
fn first_token_within(now: Instant, record: &RequestRecord) -> Duration {
    let deadline = match record.has_streamed {
        true => now + record.first_token_target,
        false => record.deadline,
    };
    let until = deadline + record.first_token_target;
    until
        .saturating_duration_since(now)
        .max(MIN_FIRST_TOKEN_TIMEOUT)
}

/// Builds the record of an attempt. A resumed stream needs no prefill and no KV-cache transfer.
fn build_attempt(
    now: Instant,
    request: RequestId,
    record: &RequestRecord,
    choice: &PlacementChoice,
    first_token_within: Duration,
) -> AttemptRecord {
    let (prefill_tokens, transfer_bytes) = match record.has_streamed {
        true => (0, 0),
        false => (
            choice.uncached_tokens,
            u64::from(record.prompt_tokens) * KV_TOKEN_BYTES,
        ),
    };
    let stream_time = record.between_tokens_target * record.max_tokens * ATTEMPT_TIMEOUT_TARGETS;
    AttemptRecord {
        request,
        decode: choice.decode,
        prefill: choice.prefill,
        decode_work: ServerWork {
            streams: 1,
            kv_blocks: count_blocks(record.prompt_tokens.saturating_add(record.max_tokens)),
            prefill_tokens: 0,
            urgent_prefill_tokens: 0,
            transfer_bytes,
        },
        prefill_work: ServerWork {
            streams: 0,
            kv_blocks: 0,
            prefill_tokens,
            urgent_prefill_tokens: 0,
            transfer_bytes,
        },
        selection: None,
        expires_at: now + first_token_within + stream_time + ATTEMPT_GRACE,
    }
}
