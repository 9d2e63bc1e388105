//! Everything that an engine holds, and what it admits.

use std::collections::BTreeMap;
use std::time::{Duration, Instant, SystemTime};

use gs_protocol::engine::{
    EngineOrder, EngineReason, EngineRole, HeldResource, LoadReport, OrderKind, ReserveAnswer,
    ReserveRequest, ResourceKind,
};
use gs_protocol::ids::{AttemptId, EntryIdentity, FenceNumber, ModelName, ServerName};
use gs_protocol::prefix::count_blocks;

use super::batch::DecodeStream;
use super::cancels::CancelMemory;
use super::events::CacheLog;
use super::faults::FaultSwitches;
use super::load::LoadHistory;
use super::memory::{PieceLease, PieceMemory};
use super::options::EngineOptions;
use super::prefill::{PrefillJob, PrefillResult};
use super::runs::RunLog;

/// A slot that waits for its stream.
#[derive(Debug)]
pub struct HeldSlot {
    pub owner: EntryIdentity,
    pub lease: PieceLease,
    pub tokens: u32,
    pub since: Instant,
    pub ends_at: Instant,
}

/// The state of one engine. Every call names the present time.
#[derive(Debug)]
pub struct EngineState {
    pub options: EngineOptions,
    pub boot: u64,
    pub role: EngineRole,
    pub next_role: Option<EngineRole>,
    pub models: Vec<ModelName>,
    pub leaving: bool,
    pub fence: FenceNumber,
    pub serial: u64,
    pub memory: PieceMemory,
    pub cache_log: CacheLog,
    pub cancels: CancelMemory,
    pub faults: FaultSwitches,
    pub runs: RunLog,
    pub history: LoadHistory,
    pub slots: BTreeMap<AttemptId, HeldSlot>,
    pub jobs: Vec<PrefillJob>,
    pub results: BTreeMap<AttemptId, PrefillResult>,
    pub streams: BTreeMap<AttemptId, DecodeStream>,
    pub link_free_at: Instant,
}

impl EngineState {
    /// An idle engine.
    pub fn new(options: EngineOptions, now: Instant) -> Self {
        let boot = boot_number();
        Self {
            boot,
            role: options.role,
            next_role: None,
            models: options.model.iter().map(ModelName::new).collect(),
            leaving: false,
            fence: FenceNumber::default(),
            serial: 0,
            memory: PieceMemory::new(options.pieces),
            cache_log: CacheLog::new(
                Duration::from_millis(options.cache_event_lag_ms),
                options.cache_event_gap,
                options.seed,
                boot,
            ),
            cancels: CancelMemory::default(),
            faults: FaultSwitches::default(),
            runs: RunLog::default(),
            history: LoadHistory::new(Duration::from_millis(options.load_lag_ms)),
            slots: BTreeMap::new(),
            jobs: Vec::new(),
            results: BTreeMap::new(),
            streams: BTreeMap::new(),
            link_free_at: now,
            options,
        }
    }

    /// Holds a slot and memory; a repeat for the same attempt holds it longer.
    pub fn reserve(
        &mut self,
        now: Instant,
        order: &ReserveRequest,
    ) -> Result<ReserveAnswer, EngineReason> {
        self.admit(order.attempt, EngineRole::Decode, &order.model)?;
        if self.streams.contains_key(&order.attempt) {
            return Err(EngineReason::BadRequest);
        }
        if let Some(slot) = self.slots.get_mut(&order.attempt) {
            slot.ends_at = now + order.ttl;
            return Ok(self.reserve_answer(order.attempt));
        }
        if self.batch() >= self.options.max_streams {
            return Err(EngineReason::Full);
        }
        let lease = self.memory.take(count_blocks(order.tokens));
        let slot = HeldSlot {
            owner: order.owner.clone(),
            lease: lease.ok_or(EngineReason::Full)?,
            tokens: order.tokens,
            since: now,
            ends_at: now + order.ttl,
        };
        self.slots.insert(order.attempt, slot);
        Ok(self.reserve_answer(order.attempt))
    }

    /// Refuses what no engine in this state takes as new work.
    pub fn admit(
        &self,
        attempt: AttemptId,
        role: EngineRole,
        model: &ModelName,
    ) -> Result<(), EngineReason> {
        if self.cancels.contains(attempt) {
            return Err(EngineReason::Cancelled);
        }
        if self.leaving || self.next_role.is_some() {
            return Err(EngineReason::Leaving);
        }
        if self.role != role {
            return Err(EngineReason::WrongRole);
        }
        if !self.models.contains(model) {
            return Err(EngineReason::UnknownModel);
        }
        Ok(())
    }

    /// Frees all that an attempt holds and refuses what comes late for it.
    pub fn cancel(&mut self, attempt: AttemptId) {
        self.cancels.insert(attempt);
        self.runs.entry(attempt).cancelled = true;
        self.drop_slot(attempt);
        self.drop_jobs(|job| job.attempt == attempt);
        self.drop_result(attempt);
        self.fail_stream(attempt, EngineReason::Cancelled);
    }

    /// Carries out an order, unless its fencing number is older than one seen.
    pub fn order(&mut self, order: EngineOrder) -> Result<(), EngineReason> {
        if order.fence < self.fence && !self.options.ignore_fence {
            return Err(EngineReason::OldFence);
        }
        self.fence = self.fence.max(order.fence);
        match order.order {
            OrderKind::LoadModel { model } => {
                if !self.models.contains(&model) {
                    self.models.push(model);
                }
            }
            OrderKind::UnloadModel { model } => self.models.retain(|loaded| *loaded != model),
            OrderKind::SetRole { role } => self.next_role = Some(role),
            OrderKind::SetLeaving { leaving } => self.leaving = leaving,
        }
        Ok(())
    }

    /// Ends what has outlived its time, and measures the load.
    pub fn expire(&mut self, now: Instant) {
        self.expire_slots(now);
        self.expire_results(now);
        if self.is_idle()
            && let Some(role) = self.next_role.take()
        {
            self.role = role;
        }
        self.assert_consistent();
        let report = self.measure(now);
        self.history.record(now, report);
    }

    /// Everything held, by attempt within each kind.
    pub fn held(&self, now: Instant) -> Vec<HeldResource> {
        let slots = self.slots.iter().map(|(attempt, slot)| {
            let blocks = slot.lease.pieces();
            held_record(
                now,
                *attempt,
                &slot.owner,
                ResourceKind::Reservation,
                blocks,
                slot.since,
            )
        });
        let jobs = self
            .jobs
            .iter()
            .filter(|job| job.keeps_result())
            .map(|job| {
                let blocks = job.pieces();
                held_record(
                    now,
                    job.attempt,
                    &job.owner,
                    ResourceKind::Prefill,
                    blocks,
                    job.since,
                )
            });
        let results = self.results.iter().map(|(attempt, result)| {
            let blocks = result.lease.pieces();
            held_record(
                now,
                *attempt,
                &result.owner,
                ResourceKind::Result,
                blocks,
                result.since,
            )
        });
        let streams = self.streams.iter().map(|(attempt, stream)| {
            let blocks = stream.lease.pieces();
            held_record(
                now,
                *attempt,
                &stream.owner,
                ResourceKind::Stream,
                blocks,
                stream.since,
            )
        });
        slots.chain(jobs).chain(results).chain(streams).collect()
    }

    /// A number that no earlier call has given.
    pub fn next_serial(&mut self) -> u64 {
        self.serial += 1;
        self.serial
    }

    /// A modelled time under the fault that slows the engine.
    pub fn slowed(&self, time: Duration) -> Duration {
        time.mul_f64(self.faults.slow_factor.clamp(0.0, 1e6))
    }

    /// Whether the next cancel is to be ignored.
    pub fn take_dropped_cancel(&mut self) -> bool {
        let dropped = self.faults.drop_cancels > 0;
        self.faults.drop_cancels = self.faults.drop_cancels.saturating_sub(1);
        dropped
    }

    fn batch(&self) -> u32 {
        count(self.streams.len() + self.slots.len())
    }

    fn reserve_answer(&self, attempt: AttemptId) -> ReserveAnswer {
        ReserveAnswer {
            attempt,
            batch: self.batch(),
        }
    }

    fn drop_slot(&mut self, attempt: AttemptId) {
        if let Some(slot) = self.slots.remove(&attempt) {
            self.memory.release(slot.lease);
        }
    }

    fn expire_slots(&mut self, now: Instant) {
        for (_, slot) in self.slots.extract_if(.., |_, slot| slot.ends_at <= now) {
            self.runs.totals.reservations_expired += 1;
            self.memory.release(slot.lease);
        }
    }

    fn is_idle(&self) -> bool {
        self.batch() == 0 && self.jobs.is_empty() && self.results.is_empty()
    }

    fn measure(&self, now: Instant) -> LoadReport {
        LoadReport {
            server: ServerName::new(self.options.name.as_str()),
            role: self.role,
            models: self.models.clone(),
            leaving: self.leaving,
            streams: count(self.streams.len()),
            reservations: count(self.slots.len()),
            max_streams: self.options.max_streams,
            prefill_tokens: self.jobs.iter().map(|job| job.tokens_left()).sum(),
            prefills: count(self.jobs.len()),
            free_blocks: self.memory.free(),
            total_blocks: self.options.pieces,
            transfer_bytes: self.waiting_bytes(now),
            prefill_rate: self.options.prefill_rate,
            link_rate: self.options.link_rate,
            step_base_us: self.options.step_base_us,
            step_stream_us: self.options.step_stream_us,
            fence: self.fence,
            boot: self.boot,
        }
    }
}

fn held_record(
    now: Instant,
    attempt: AttemptId,
    owner: &EntryIdentity,
    kind: ResourceKind,
    blocks: u32,
    since: Instant,
) -> HeldResource {
    let age = now.saturating_duration_since(since);
    HeldResource {
        attempt,
        owner: owner.clone(),
        kind,
        blocks,
        age_ms: u64::try_from(age.as_millis()).unwrap_or(u64::MAX),
    }
}

/// Microseconds since 1970: later starts have larger numbers.
fn boot_number() -> u64 {
    let age = SystemTime::now().duration_since(SystemTime::UNIX_EPOCH);
    age.map_or(0, |age| u64::try_from(age.as_micros()).unwrap_or(u64::MAX))
}

fn count(length: usize) -> u32 {
    u32::try_from(length).unwrap_or(u32::MAX)
}
