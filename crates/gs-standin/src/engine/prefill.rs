//! The prefill queue. One prefill runs at a time, in chunks; urgent prefills go first, also between
//! the chunks of a normal one.

use std::time::{Duration, Instant};

use gs_protocol::engine::{
    CacheChange, EnginePriority, EngineReason, EngineRole, PrefillAnswer, PrefillRequest,
};
use gs_protocol::ids::{AttemptId, EntryIdentity};
use gs_protocol::prefix::{BLOCK_TOKENS, PrefixHash, count_blocks, count_tokens, hash_prefixes};
use tokio::sync::oneshot;

use super::memory::BlockLease;
use super::state::EngineState;

/// Sends the outcome of a prefill to the request handler or stream that waits for it.
pub type PrefillReply = oneshot::Sender<Result<PrefillAnswer, EngineReason>>;

/// Receives the outcome of a prefill.
pub type PrefillReceiver = oneshot::Receiver<Result<PrefillAnswer, EngineReason>>;

/// How the computed KV cache is used.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
enum JobPurpose {
    /// Kept until another engine pulls it.
    Export,
    /// Used by a resumed stream of this engine, whose reservation already holds the memory.
    Resume,
}

/// A queued or running prefill.
#[derive(Debug)]
pub struct PrefillJob {
    pub attempt: AttemptId,
    pub owner: EntryIdentity,
    pub held_since: Instant,
    pub serial: u64,
    purpose: JobPurpose,
    priority: EnginePriority,
    prompt: String,
    hashes: Vec<PrefixHash>,
    tokens: u32,
    remaining_tokens: u32,
    lease: Option<BlockLease>,
    reply: PrefillReply,
}

/// A computed KV cache kept until another engine pulls it or its time to live ends.
#[derive(Debug)]
pub struct PrefillResult {
    pub owner: EntryIdentity,
    pub lease: BlockLease,
    pub prompt: String,
    pub tokens: u32,
    pub computed_tokens: u32,
    pub held_since: Instant,
    pub expires_at: Instant,
    pub active_exports: u32,
}

/// A part of a prefill that is computed without preemption.
#[derive(Clone, Copy, Debug)]
pub struct ChunkWork {
    serial: u64,
    tokens: u32,
    /// Modelled duration of the computation.
    pub duration: Duration,
}

impl PrefillJob {
    /// Returns whether the result is kept for another engine.
    pub fn keeps_result(&self) -> bool {
        self.purpose == JobPurpose::Export
    }

    /// Number of blocks held; 0 before the prefill has started.
    pub fn block_count(&self) -> u32 {
        self.lease.as_ref().map_or(0, BlockLease::block_count)
    }

    /// Memory held; `None` before the prefill has started.
    pub fn lease(&self) -> Option<&BlockLease> {
        self.lease.as_ref()
    }

    /// Tokens not computed yet.
    pub fn remaining_tokens(&self) -> u32 {
        self.remaining_tokens
    }

    fn computed_tokens(&self) -> u32 {
        let cached = self.lease.as_ref().map_or(0, cached_tokens);
        self.tokens
            .saturating_sub(cached)
            .saturating_sub(self.remaining_tokens)
    }
}

impl EngineState {
    /// Queues a prefill and returns its serial number and the receiver of its outcome.
    ///
    /// Returns [`EngineReason::Full`] if the queue is full or the prompt exceeds the engine's
    /// memory.
    pub fn enqueue_prefill(
        &mut self,
        now: Instant,
        order: PrefillRequest,
    ) -> Result<(u64, PrefillReceiver), EngineReason> {
        self.admit(order.attempt, EngineRole::Prefill, &order.model)?;
        if self.has_prefill(order.attempt) {
            return Err(EngineReason::BadRequest);
        }
        let tokens = count_tokens(&order.prompt);
        let queued = u32::try_from(self.jobs.len()).unwrap_or(u32::MAX);
        if queued >= self.options.max_prefills || count_blocks(tokens) > self.options.pieces {
            return Err(EngineReason::Full);
        }
        let (reply, receiver) = oneshot::channel();
        let serial = self.next_serial();
        self.jobs.push(PrefillJob {
            attempt: order.attempt,
            owner: order.owner,
            held_since: now,
            serial,
            purpose: JobPurpose::Export,
            priority: order.priority,
            hashes: hash_prefixes(&order.prompt),
            prompt: order.prompt,
            tokens,
            remaining_tokens: tokens,
            lease: None,
            reply,
        });
        Ok((serial, receiver))
    }

    /// Queues a prefill that recomputes the KV cache of a broken stream, with urgent priority.
    ///
    /// The stream resumes at token `from_index`, so the tokens before it are computed as well.
    pub fn enqueue_resume(
        &mut self,
        now: Instant,
        attempt: AttemptId,
        owner: EntryIdentity,
        prompt: String,
        from_index: u32,
    ) -> PrefillReceiver {
        let (reply, receiver) = oneshot::channel();
        let tokens = count_tokens(&prompt) + from_index;
        let serial = self.next_serial();
        self.jobs.push(PrefillJob {
            attempt,
            owner,
            held_since: now,
            serial,
            purpose: JobPurpose::Resume,
            priority: EnginePriority::Urgent,
            hashes: Vec::new(),
            prompt,
            tokens,
            remaining_tokens: tokens,
            lease: Some(BlockLease::default()),
            reply,
        });
        receiver
    }

    /// Selects the next chunk to compute, or `None` if nothing is queued or no queued prefill fits
    /// into memory.
    pub fn next_chunk(&mut self, now: Instant) -> Option<ChunkWork> {
        let mut by_priority: Vec<_> = (0..self.jobs.len()).collect();
        by_priority.sort_by_key(|&index| (self.jobs[index].priority, self.jobs[index].serial));
        let index = by_priority
            .into_iter()
            .find(|&index| self.try_start_job(now, index))?;
        let job = &self.jobs[index];
        let tokens = job.remaining_tokens.min(self.options.prefill_chunk.max(1));
        let duration = match self.options.prefill_rate {
            0 => Duration::ZERO,
            rate => Duration::from_secs_f64(f64::from(tokens) / f64::from(rate)),
        };
        Some(ChunkWork {
            serial: job.serial,
            tokens,
            duration: self.apply_slow_factor(duration),
        })
    }

    /// Records a computed chunk and completes its prefill if it was the last one.
    pub fn finish_chunk(&mut self, now: Instant, chunk: ChunkWork) {
        let index = self.jobs.iter().position(|job| job.serial == chunk.serial);
        let Some(index) = index else {
            return;
        };
        let job = &mut self.jobs[index];
        job.remaining_tokens -= chunk.tokens;
        if job.remaining_tokens == 0 {
            let job = self.jobs.remove(index);
            self.finish_job(now, job);
        }
    }

    /// Cancels all matching prefills and counts their computed tokens as wasted.
    pub fn cancel_jobs(&mut self, matches: impl Fn(&PrefillJob) -> bool) {
        for job in self.jobs.extract_if(.., |job| matches(job)) {
            self.runs.totals.wasted_tokens += u64::from(job.computed_tokens());
            if let Some(lease) = job.lease {
                self.memory.release(lease);
            }
            // Sending fails if the receiver has been dropped, and no reply is needed then.
            let _ = job.reply.send(Err(EngineReason::Cancelled));
        }
    }

    /// Discards the unused prefill result of an attempt, if any.
    pub fn discard_result(&mut self, attempt: AttemptId) {
        if let Some(result) = self.results.remove(&attempt) {
            self.release_unused_result(result);
        }
    }

    /// Discards results whose time to live has ended and that no transfer is sending.
    pub fn expire_results(&mut self, now: Instant) {
        let expired =
            |result: &PrefillResult| result.active_exports == 0 && result.expires_at <= now;
        let results: Vec<_> = self
            .results
            .extract_if(.., |_, result| expired(result))
            .collect();
        for (_, result) in results {
            self.release_unused_result(result);
        }
    }

    fn has_prefill(&self, attempt: AttemptId) -> bool {
        self.results.contains_key(&attempt) || self.jobs.iter().any(|job| job.attempt == attempt)
    }

    /// Allocates memory for a prefill that has none yet; returns whether the prefill can run.
    fn try_start_job(&mut self, now: Instant, index: usize) -> bool {
        let job = &mut self.jobs[index];
        if job.lease.is_some() {
            return true;
        }
        let blocks = count_blocks(job.tokens);
        let Some(lease) = self.memory.allocate_with_prefix(&job.hashes, blocks) else {
            return false;
        };
        let cached = cached_tokens(&lease);
        job.remaining_tokens = job.tokens.saturating_sub(cached);
        job.lease = Some(lease);
        self.runs.totals.cached_tokens += u64::from(cached);
        self.runs.run_mut(job.attempt).prefills_started += 1;
        if self.faults.crashes_on(&job.prompt) {
            super::faults::crash();
        }
        self.log_evictions(now);
        true
    }

    fn finish_job(&mut self, now: Instant, job: PrefillJob) {
        let computed_tokens = job.computed_tokens();
        let mut lease = job.lease.unwrap_or_default();
        let cached = cached_tokens(&lease);
        for hash in self.memory.cache_prefix(&mut lease, &job.hashes) {
            self.cache_log.record(now, CacheChange::Stored, hash);
        }
        let run = self.runs.run_mut(job.attempt);
        run.prefills_ended += 1;
        run.prefill_tokens += computed_tokens;
        self.runs.totals.prefills += 1;
        self.runs.totals.prefill_tokens += u64::from(computed_tokens);
        let ttl = Duration::from_millis(self.options.kv_ttl_ms);
        let answer = PrefillAnswer {
            attempt: job.attempt,
            prompt_tokens: job.tokens,
            cached_tokens: cached,
            ttl,
        };
        let delivered = job.reply.send(Ok(answer)).is_ok();
        if job.purpose == JobPurpose::Resume {
            self.memory.release(lease);
            return;
        }
        let result = PrefillResult {
            owner: job.owner,
            lease,
            prompt: job.prompt,
            tokens: job.tokens,
            computed_tokens,
            held_since: now,
            expires_at: now + ttl,
            active_exports: 0,
        };
        if self.faults.lose_kv || !(delivered || self.faults.keep_orphans) {
            self.release_unused_result(result);
        } else {
            self.results.insert(job.attempt, result);
        }
    }

    fn release_unused_result(&mut self, result: PrefillResult) {
        self.runs.totals.wasted_results += 1;
        self.runs.totals.wasted_tokens += u64::from(result.computed_tokens);
        self.memory.release(result.lease);
    }

    fn log_evictions(&mut self, now: Instant) {
        for hash in self.memory.drain_evicted() {
            self.cache_log.record(now, CacheChange::Evicted, hash);
        }
    }
}

fn cached_tokens(lease: &BlockLease) -> u32 {
    lease.cached_blocks() * BLOCK_TOKENS
}
