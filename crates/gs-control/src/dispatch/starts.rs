//! Starts of waiting requests, in the order of ranks, shares and deadlines.

use std::time::{Duration, Instant};

use gs_document::document::CallerRank;
use gs_protocol::engine::EnginePriority;
use gs_protocol::ids::{AttemptId, ModelName, RequestId};
use gs_protocol::prefix::{BLOCK_TOKENS, KV_TOKEN_BYTES, count_blocks};
use rand::Rng;

use super::fair_queue::{CallerId, QueueTurn, StartedTurn, TurnKind};
use super::messages::DispatchEffect;
use super::own_load::ServerWork;
use super::placement::{PlacementBlock, PlacementChoice, PlacementDemand, choose_servers};
use super::request_table::{AttemptRecord, RequestPhase, RequestRecord, ReturnKey};
use super::state::DispatchState;
use super::suspects::SuspectPermit;

/// Callers whose next request is passed over in one round.
const MAX_PASSED_OVER: usize = 4;

/// Failed requests looked at in one round.
const MAX_RETURNING: usize = 16;

/// The least time that may be spent in a prefill engine's queue.
const MIN_LOOKAHEAD: Duration = Duration::from_millis(20);

/// The least time that a try gets to bring its first token.
const MIN_FIRST_TOKEN: Duration = Duration::from_millis(500);

/// Time beyond all targets after which an attempt is taken for ended.
const ATTEMPT_GRACE: Duration = Duration::from_secs(60);

/// An attempt is taken for ended when each token has taken this many targets.
const ATTEMPT_PATIENCE: u32 = 10;

impl DispatchState {
    /// Starts what can be started now.
    pub(super) fn start_waiting(&mut self, now: Instant, effects: &mut Vec<DispatchEffect>) {
        self.fleet.end_holds(now, &self.settings);
        if self.table.give_ups.is_empty() {
            return;
        }
        self.last_start = Some(now);
        let busy = self
            .lanes
            .iter()
            .filter(|(model, lane)| !lane.queue.is_empty() || self.table.is_returning(model));
        let models: Vec<ModelName> = busy.map(|(model, _)| model.clone()).collect();
        for model in models {
            if self.start_returning(now, &model, effects) {
                self.start_queued(now, &model, effects);
            }
        }
    }

    /// Starts requests that go again; `false` if there is no room for anything else.
    fn start_returning(
        &mut self,
        now: Instant,
        model: &ModelName,
        effects: &mut Vec<DispatchEffect>,
    ) -> bool {
        let Some(returning) = self.table.returning.get(model) else {
            return true;
        };
        let mut keys: Vec<ReturnKey> = returning.iter().copied().collect();
        self.refuse_quarantined(now, &keys, effects);
        keys.retain(|(_, _, request)| !self.is_held(now, *request));
        keys.truncate(MAX_RETURNING);
        let mut passed_over = 0;
        for (_, _, request) in keys {
            match self.place(now, request, None) {
                Ok(choice) => {
                    self.table.remove_returning(request);
                    self.start(now, request, &choice, None, effects);
                }
                Err(PlacementBlock::Suspect) => {}
                Err(_) if passed_over == MAX_PASSED_OVER => return false,
                Err(_) => passed_over += 1,
            }
        }
        true
    }

    fn start_queued(&mut self, now: Instant, model: &ModelName, effects: &mut Vec<DispatchEffect>) {
        let mut passed_over: Vec<CallerId> = Vec::new();
        while passed_over.len() < MAX_PASSED_OVER {
            let Some(turn) = self.next_turn(model, &passed_over) else {
                return;
            };
            match self.place(now, turn.key.request, Some(turn.kind)) {
                Ok(choice) => {
                    let started = self.leave_queue(now, model, turn);
                    self.start(now, turn.key.request, &choice, started, effects);
                }
                Err(PlacementBlock::Late) => passed_over.push(turn.caller),
                Err(PlacementBlock::Suspect) => self.set_suspect_aside(turn.key.request),
                Err(_) => return,
            }
        }
    }

    fn next_turn(&self, model: &ModelName, passed_over: &[CallerId]) -> Option<QueueTurn> {
        let lane = self.lanes.get(model)?;
        if lane.queue.is_empty() {
            return None;
        }
        let long_allowed = self.fleet.pool(model).is_some_and(|pool| {
            let most = pool.prefill.len() as f64 * self.settings.long_share;
            pool.long_busy < (most as usize).max(1)
        });
        lane.queue.next_turn(long_allowed, passed_over)
    }

    /// Takes a request out of its queue and charges its caller.
    fn leave_queue(
        &mut self,
        now: Instant,
        model: &ModelName,
        turn: QueueTurn,
    ) -> Option<StartedTurn> {
        let record = self.table.requests.get_mut(&turn.key.request)?;
        if !std::mem::replace(&mut record.was_started, true) {
            self.budget.credit();
        }
        let give_up = (record.gives_up_at, turn.key.request);
        self.table.give_ups.remove(&give_up);
        let lane = self.lanes.get_mut(model)?;
        let started = lane.queue.start(turn, record.class, record.cost_us);
        let is_drained = lane.queue.caller_len(turn.caller) == 0;
        let caller = self.callers.get_mut(turn.caller)?;
        if let Some(drain) = caller.drains.get_mut(model) {
            drain.count(now, record.cost_us);
            if is_drained {
                drain.stop();
            }
        }
        Some(started)
    }

    fn place(
        &mut self,
        now: Instant,
        request: RequestId,
        kind: Option<TurnKind>,
    ) -> Result<PlacementChoice, PlacementBlock> {
        let record = self.table.requests.get(&request);
        let record = record.ok_or(PlacementBlock::NoServer)?;
        let closed = match self.permit(now, record)? {
            SuspectPermit::Anywhere => None,
            SuspectPermit::Apart(closed) => Some(closed),
            SuspectPermit::Reserved(choice) => return Ok(choice),
        };
        let lane = self.lanes.get(&record.model);
        let lane = lane.ok_or(PlacementBlock::NoServer)?;
        let reserve = record.first_token.mul_f64(self.settings.deadline_margin);
        let time_left =
            (record.deadline - reserve.min(record.first_token)).saturating_duration_since(now);
        let is_first = record.phase == RequestPhase::Waiting;
        let queue_wait = lane.rank_first_token(record.rank).min(record.first_token);
        let queue_wait = queue_wait.mul_f64(self.settings.prefill_lookahead);
        let is_urgent = record.rank == CallerRank::Urgent;
        let is_surplus = record.rank == CallerRank::Normal && kind == Some(TurnKind::Surplus);
        let demand = PlacementDemand {
            model: &record.model,
            pieces: &record.pieces,
            prompt_tokens: record.prompt_tokens,
            max_tokens: record.max_tokens,
            step: lane.longest_step(self.settings.between_margin),
            urgent_part: is_urgent.then(|| lane.urgent_part()),
            queue_wait: queue_wait.max(MIN_LOOKAHEAD),
            leaves_headroom: is_surplus && lane.has_urgent(),
            time_left: is_first.then_some(time_left),
            avoid: record.avoid,
            closed: closed.as_deref().unwrap_or_default(),
            resumes: record.has_begun,
        };
        let entries = self.entries;
        let chosen = choose_servers(
            now,
            &mut self.fleet,
            &demand,
            &self.settings,
            entries,
            &mut self.rng,
        );
        if closed.is_none() {
            return chosen;
        }
        // A suspect that has to wait does not hold up others.
        let choice = chosen.map_err(|_| PlacementBlock::Suspect)?;
        self.reserve(now, request, choice)
    }

    fn start(
        &mut self,
        now: Instant,
        request: RequestId,
        choice: &PlacementChoice,
        turn: Option<StartedTurn>,
        effects: &mut Vec<DispatchEffect>,
    ) {
        let attempt = self.draw_attempt();
        let Some(record) = self.table.requests.get_mut(&request) else {
            return;
        };
        let urgent_waits = self
            .lanes
            .get(&record.model)
            .is_some_and(|lane| lane.queue.rank_waits(CallerRank::Urgent));
        let priority = priority_of(record, turn.as_ref(), urgent_waits);
        let first_token_within = first_token_within(now, record);
        let mut running = AttemptRecord {
            turn,
            ..running_attempt(now, request, record, choice, first_token_within)
        };
        if priority == EnginePriority::Urgent {
            running.prefill_work.urgent_tokens = running.prefill_work.tokens;
        }
        record.phase = RequestPhase::Running(attempt);
        let names = [choice.decode, choice.prefill]
            .map(|server| self.fleet.server(server).map(|known| known.name.clone()));
        let [Some(decode), Some(prefill)] = names else {
            return;
        };
        self.count_start(now, &running, choice);
        self.watch_start(now, attempt, &running);
        self.table.add_attempt(attempt, running);
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

    /// Counts an attempt's work on its servers.
    fn count_start(&mut self, now: Instant, running: &AttemptRecord, choice: &PlacementChoice) {
        let settings = &self.settings;
        self.fleet.update(now, choice.decode, settings, |server| {
            server.add_stream(now, running.decode_work);
        });
        let Some(record) = self.table.requests.get(&running.request) else {
            return;
        };
        if let Some(caller) = self.callers.get_mut(record.caller) {
            caller.running += 1;
        }
        if record.has_begun {
            return;
        }
        self.fleet.update(now, choice.prefill, settings, |server| {
            server.add_prefill(now, running.prefill_work, choice.prefill_after);
        });
        if let Some(lane) = self.lanes.get_mut(&record.model) {
            let work = running.prefill_work;
            lane.add_prefill(work.tokens, work.urgent_tokens);
        }
        let stored = choice.uncached_tokens / BLOCK_TOKENS;
        self.fleet
            .note_prompt(choice.prefill, &record.pieces, stored);
    }

    fn draw_attempt(&mut self) -> AttemptId {
        AttemptId(uuid::Builder::from_random_bytes(self.rng.r#gen()).into_uuid())
    }
}

/// Normal work that is owed to its caller goes before urgent work that waits, within its share.
fn priority_of(
    record: &RequestRecord,
    turn: Option<&StartedTurn>,
    urgent_waits: bool,
) -> EnginePriority {
    let kind = turn.map(|started| started.turn.kind);
    let is_owed = kind == Some(TurnKind::Guaranteed) && urgent_waits;
    if record.rank == CallerRank::Urgent || is_owed || record.has_begun {
        return EnginePriority::Urgent;
    }
    EnginePriority::Normal
}

/// A try may take until one more target after the deadline. A resumed stream begins a new time, because
/// its deadline may have passed long ago.
fn first_token_within(now: Instant, record: &RequestRecord) -> Duration {
    let deadline = match record.has_begun {
        true => now + record.first_token,
        false => record.deadline,
    };
    let until = deadline + record.first_token;
    until.saturating_duration_since(now).max(MIN_FIRST_TOKEN)
}

fn running_attempt(
    now: Instant,
    request: RequestId,
    record: &RequestRecord,
    choice: &PlacementChoice,
    first_token_within: Duration,
) -> AttemptRecord {
    let (tokens, bytes) = match record.has_begun {
        true => (0, 0),
        false => (
            choice.uncached_tokens,
            u64::from(record.prompt_tokens) * KV_TOKEN_BYTES,
        ),
    };
    let stream_time = record.between_tokens * record.max_tokens * ATTEMPT_PATIENCE;
    AttemptRecord {
        request,
        decode: choice.decode,
        prefill: choice.prefill,
        decode_work: ServerWork {
            streams: 1,
            pieces: count_blocks(record.prompt_tokens.saturating_add(record.max_tokens)),
            tokens: 0,
            urgent_tokens: 0,
            bytes,
        },
        prefill_work: ServerWork {
            streams: 0,
            pieces: 0,
            tokens,
            urgent_tokens: 0,
            bytes,
        },
        turn: None,
        expires_at: now + first_token_within + stream_time + ATTEMPT_GRACE,
    }
}
