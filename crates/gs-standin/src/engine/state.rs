//! Engine state and admission of new work.

use std::collections::BTreeMap;
use std::time::{Duration, Instant, SystemTime};

use gs_protocol::engine::{
    EngineOrder, EngineReason, EngineRole, HeldResource, LoadReport, OrderKind, ReserveAnswer,
    ReserveRequest, ResourceKind,
};
use gs_protocol::ids::{AttemptId, EntryIdentity, FenceNumber, ModelName, ServerName};
use gs_protocol::prefix::count_blocks;

use super::batch::DecodeStream;
use super::cancels::CancelledAttempts;
use super::events::CacheLog;
use super::faults::FaultSwitches;
use super::load::LoadHistory;
use super::memory::{BlockLease, BlockMemory};
use super::options::EngineOptions;
use super::prefill::{PrefillJob, PrefillResult};
use super::runs::RunLog;

/// A batch slot reserved for a stream that has not been opened yet.
#[derive(Debug)]
pub struct ReservedSlot {
    pub owner: EntryIdentity,
    pub lease: BlockLease,
    pub tokens: u32,
    pub held_since: Instant,
    pub expires_at: Instant,
}

/// The state of one engine. Its methods take the current time as an argument.
#[derive(Debug)]
pub struct EngineState {
    pub options: EngineOptions,
    pub boot: u64,
    pub role: EngineRole,
    pub pending_role: Option<EngineRole>,
    pub models: Vec<ModelName>,
    pub leaving: bool,
    pub fence: FenceNumber,
    pub serial: u64,
    pub memory: BlockMemory,
    pub cache_log: CacheLog,
    pub cancels: CancelledAttempts,
    pub faults: FaultSwitches,
    pub runs: RunLog,
    pub load_history: LoadHistory,
    pub slots: BTreeMap<AttemptId, ReservedSlot>,
    pub jobs: Vec<PrefillJob>,
    pub results: BTreeMap<AttemptId, PrefillResult>,
    pub streams: BTreeMap<AttemptId, DecodeStream>,
    pub link_free_at: Instant,
}

impl EngineState {
    /// Creates an idle engine with a new boot number.
    pub fn new(options: EngineOptions, now: Instant) -> Self {
        let boot = new_boot_number();
        Self {
            boot,
            role: options.role,
            pending_role: None,
            models: options.model.iter().map(ModelName::new).collect(),
            leaving: false,
            fence: FenceNumber::default(),
            serial: 0,
            memory: BlockMemory::new(options.pieces),
            cache_log: CacheLog::new(
                Duration::from_millis(options.cache_event_lag_ms),
                options.cache_event_gap,
                options.seed,
                boot,
            ),
            cancels: CancelledAttempts::default(),
            faults: FaultSwitches::default(),
            runs: RunLog::default(),
            load_history: LoadHistory::new(Duration::from_millis(options.load_lag_ms)),
            slots: BTreeMap::new(),
            jobs: Vec::new(),
            results: BTreeMap::new(),
            streams: BTreeMap::new(),
            link_free_at: now,
            options,
        }
    }

    /// Reserves a batch slot and memory; repeating the call for the same attempt extends the
    /// reservation.
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
            slot.expires_at = now + order.ttl;
            return Ok(self.reserve_answer(order.attempt));
        }
        if self.batch_size() >= self.options.max_streams {
            return Err(EngineReason::Full);
        }
        let lease = self.memory.allocate(count_blocks(order.tokens));
        let slot = ReservedSlot {
            owner: order.owner.clone(),
            lease: lease.ok_or(EngineReason::Full)?,
            tokens: order.tokens,
            held_since: now,
            expires_at: now + order.ttl,
        };
        self.slots.insert(order.attempt, slot);
        Ok(self.reserve_answer(order.attempt))
    }

    /// Checks whether new work for an attempt, role and model is admitted.
    pub fn admit(
        &self,
        attempt: AttemptId,
        role: EngineRole,
        model: &ModelName,
    ) -> Result<(), EngineReason> {
        if self.cancels.contains(attempt) {
            return Err(EngineReason::Cancelled);
        }
        if self.leaving || self.pending_role.is_some() {
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

    /// Frees everything that an attempt holds and records it, so that delayed orders for it are
    /// refused.
    pub fn cancel(&mut self, attempt: AttemptId) {
        self.cancels.insert(attempt);
        self.runs.run_mut(attempt).cancelled = true;
        self.release_slot(attempt);
        self.cancel_jobs(|job| job.attempt == attempt);
        self.discard_result(attempt);
        self.fail_stream(attempt, EngineReason::Cancelled);
    }

    /// Applies an order, unless its fencing number is lower than the highest one received.
    pub fn apply_order(&mut self, order: EngineOrder) -> Result<(), EngineReason> {
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
            OrderKind::SetRole { role } => self.pending_role = Some(role),
            OrderKind::SetLeaving { leaving } => self.leaving = leaving,
        }
        Ok(())
    }

    /// Expires reservations and results, changes the role of an idle engine if one is pending, and
    /// records a load report.
    pub fn run_maintenance(&mut self, now: Instant) {
        self.expire_slots(now);
        self.expire_results(now);
        if self.is_idle()
            && let Some(role) = self.pending_role.take()
        {
            self.role = role;
        }
        self.assert_consistent();
        let report = self.measure_load(now);
        self.load_history.record(now, report);
    }

    /// Lists all held resources, grouped by kind.
    pub fn list_held(&self, now: Instant) -> Vec<HeldResource> {
        let slots = self.slots.iter().map(|(attempt, slot)| {
            let block_count = slot.lease.block_count();
            build_held_record(
                now,
                *attempt,
                &slot.owner,
                ResourceKind::Reservation,
                block_count,
                slot.held_since,
            )
        });
        let jobs = self
            .jobs
            .iter()
            .filter(|job| job.keeps_result())
            .map(|job| {
                let block_count = job.block_count();
                build_held_record(
                    now,
                    job.attempt,
                    &job.owner,
                    ResourceKind::Prefill,
                    block_count,
                    job.held_since,
                )
            });
        let results = self.results.iter().map(|(attempt, result)| {
            let block_count = result.lease.block_count();
            build_held_record(
                now,
                *attempt,
                &result.owner,
                ResourceKind::Result,
                block_count,
                result.held_since,
            )
        });
        let streams = self.streams.iter().map(|(attempt, stream)| {
            let block_count = stream.lease.block_count();
            build_held_record(
                now,
                *attempt,
                &stream.owner,
                ResourceKind::Stream,
                block_count,
                stream.held_since,
            )
        });
        slots.chain(jobs).chain(results).chain(streams).collect()
    }

    /// Returns a serial number that is unique within this boot.
    pub fn next_serial(&mut self) -> u64 {
        self.serial += 1;
        self.serial
    }

    /// Scales a modelled duration by the `slow_factor` fault.
    pub fn apply_slow_factor(&self, duration: Duration) -> Duration {
        duration.mul_f64(self.faults.slow_factor.clamp(0.0, 1e6))
    }

    /// Returns whether the `drop_cancels` fault drops this cancel, and counts the fault down.
    pub fn consume_dropped_cancel(&mut self) -> bool {
        let dropped = self.faults.drop_cancels > 0;
        self.faults.drop_cancels = self.faults.drop_cancels.saturating_sub(1);
        dropped
    }

    fn batch_size(&self) -> u32 {
        saturating_u32(self.streams.len() + self.slots.len())
    }

    fn reserve_answer(&self, attempt: AttemptId) -> ReserveAnswer {
        ReserveAnswer {
            attempt,
            batch: self.batch_size(),
        }
    }

    fn release_slot(&mut self, attempt: AttemptId) {
        if let Some(slot) = self.slots.remove(&attempt) {
            self.memory.release(slot.lease);
        }
    }

    fn expire_slots(&mut self, now: Instant) {
        for (_, slot) in self.slots.extract_if(.., |_, slot| slot.expires_at <= now) {
            self.runs.totals.reservations_expired += 1;
            self.memory.release(slot.lease);
        }
    }

    fn is_idle(&self) -> bool {
        self.batch_size() == 0 && self.jobs.is_empty() && self.results.is_empty()
    }

    fn measure_load(&self, now: Instant) -> LoadReport {
        LoadReport {
            server: ServerName::new(self.options.name.as_str()),
            role: self.role,
            models: self.models.clone(),
            leaving: self.leaving,
            streams: saturating_u32(self.streams.len()),
            reservations: saturating_u32(self.slots.len()),
            max_streams: self.options.max_streams,
            prefill_tokens: self.jobs.iter().map(|job| job.remaining_tokens()).sum(),
            prefills: saturating_u32(self.jobs.len()),
            free_blocks: self.memory.free_blocks(),
            total_blocks: self.options.pieces,
            transfer_bytes: self.pending_link_bytes(now),
            prefill_rate: self.options.prefill_rate,
            link_rate: self.options.link_rate,
            step_base_us: self.options.step_base_us,
            step_stream_us: self.options.step_stream_us,
            fence: self.fence,
            boot: self.boot,
        }
    }
}

fn build_held_record(
    now: Instant,
    attempt: AttemptId,
    owner: &EntryIdentity,
    kind: ResourceKind,
    block_count: u32,
    held_since: Instant,
) -> HeldResource {
    let age = now.saturating_duration_since(held_since);
    HeldResource {
        attempt,
        owner: owner.clone(),
        kind,
        blocks: block_count,
        age_ms: u64::try_from(age.as_millis()).unwrap_or(u64::MAX),
    }
}

/// Returns the current time in microseconds since 1970, so that later boots have larger numbers.
fn new_boot_number() -> u64 {
    let age = SystemTime::now().duration_since(SystemTime::UNIX_EPOCH);
    age.map_or(0, |age| u64::try_from(age.as_micros()).unwrap_or(u64::MAX))
}

fn saturating_u32(length: usize) -> u32 {
    u32::try_from(length).unwrap_or(u32::MAX)
}
