//! The prefill queue: one prefill at a time, urgent ones first, long ones in chunks.

use std::time::{Duration, Instant};

use gs_protocol::engine::{
    CacheChange, EnginePriority, EngineReason, EngineRole, PrefillAnswer, PrefillRequest,
};
use gs_protocol::ids::{AttemptId, EntryIdentity};
use gs_protocol::prefix::{BLOCK_TOKENS, PrefixHash, count_blocks, count_tokens, hash_prefixes};
use tokio::sync::oneshot;

use super::memory::PieceLease;
use super::state::EngineState;

/// What a prefill sends when it has ended.
pub type PrefillReply = oneshot::Sender<Result<PrefillAnswer, EngineReason>>;

/// Where the end of a prefill is waited for.
pub type PrefillReceiver = oneshot::Receiver<Result<PrefillAnswer, EngineReason>>;

/// What becomes of the computed KV cache.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
enum JobPurpose {
    /// It is kept for another engine.
    Result,
    /// A stream of this engine, which has the memory already, goes on with it.
    Resume,
}

/// One prefill that waits or runs.
#[derive(Debug)]
pub struct PrefillJob {
    pub attempt: AttemptId,
    pub owner: EntryIdentity,
    pub since: Instant,
    pub serial: u64,
    purpose: JobPurpose,
    priority: EnginePriority,
    prompt: String,
    hashes: Vec<PrefixHash>,
    tokens: u32,
    left: u32,
    lease: Option<PieceLease>,
    reply: PrefillReply,
}

/// A prefill result that waits for an engine to take it.
#[derive(Debug)]
pub struct PrefillResult {
    pub owner: EntryIdentity,
    pub lease: PieceLease,
    pub prompt: String,
    pub tokens: u32,
    pub computed: u32,
    pub since: Instant,
    pub ends_at: Instant,
    pub exports: u32,
}

/// A part of a prefill that is computed without interruption.
#[derive(Clone, Copy, Debug)]
pub struct ChunkWork {
    serial: u64,
    tokens: u32,
    /// How long it takes.
    pub time: Duration,
}

impl PrefillJob {
    /// Whether the result is kept for another engine.
    pub fn keeps_result(&self) -> bool {
        self.purpose == JobPurpose::Result
    }

    /// Pieces held so far.
    pub fn pieces(&self) -> u32 {
        self.lease.as_ref().map_or(0, PieceLease::pieces)
    }

    /// Memory held so far.
    pub fn lease(&self) -> Option<&PieceLease> {
        self.lease.as_ref()
    }

    /// Tokens that are not computed yet.
    pub fn tokens_left(&self) -> u32 {
        self.left
    }

    fn computed(&self) -> u32 {
        let cached = self.lease.as_ref().map_or(0, cached_tokens);
        self.tokens.saturating_sub(cached).saturating_sub(self.left)
    }
}

impl EngineState {
    /// Puts a prefill into the queue; returns its serial number and where its end is told.
    pub fn enqueue(
        &mut self,
        now: Instant,
        order: PrefillRequest,
    ) -> Result<(u64, PrefillReceiver), EngineReason> {
        self.admit(order.attempt, EngineRole::Prefill, &order.model)?;
        if self.knows_prefill(order.attempt) {
            return Err(EngineReason::BadRequest);
        }
        let tokens = count_tokens(&order.prompt);
        let waiting = u32::try_from(self.jobs.len()).unwrap_or(u32::MAX);
        if waiting >= self.options.max_prefills || count_blocks(tokens) > self.options.pieces {
            return Err(EngineReason::Full);
        }
        let (reply, receiver) = oneshot::channel();
        let serial = self.next_serial();
        self.jobs.push(PrefillJob {
            attempt: order.attempt,
            owner: order.owner,
            since: now,
            serial,
            purpose: JobPurpose::Result,
            priority: order.priority,
            hashes: hash_prefixes(&order.prompt),
            prompt: order.prompt,
            tokens,
            left: tokens,
            lease: None,
            reply,
        });
        Ok((serial, receiver))
    }

    /// Computes the KV cache of a broken stream again, ahead of normal work.
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
            since: now,
            serial,
            purpose: JobPurpose::Resume,
            priority: EnginePriority::Urgent,
            hashes: Vec::new(),
            prompt,
            tokens,
            left: tokens,
            lease: Some(PieceLease::default()),
            reply,
        });
        receiver
    }

    /// The next chunk to compute, or `None` if nothing waits or memory is full.
    pub fn next_chunk(&mut self, now: Instant) -> Option<ChunkWork> {
        let mut order: Vec<_> = (0..self.jobs.len()).collect();
        order.sort_by_key(|&place| (self.jobs[place].priority, self.jobs[place].serial));
        let place = order
            .into_iter()
            .find(|&place| self.start_job(now, place))?;
        let job = &self.jobs[place];
        let tokens = job.left.min(self.options.prefill_chunk.max(1));
        let time = match self.options.prefill_rate {
            0 => Duration::ZERO,
            rate => Duration::from_secs_f64(f64::from(tokens) / f64::from(rate)),
        };
        Some(ChunkWork {
            serial: job.serial,
            tokens,
            time: self.slowed(time),
        })
    }

    /// Counts a computed chunk, and ends its prefill if it was the last one.
    pub fn finish_chunk(&mut self, now: Instant, chunk: ChunkWork) {
        let place = self.jobs.iter().position(|job| job.serial == chunk.serial);
        let Some(place) = place else {
            return;
        };
        let job = &mut self.jobs[place];
        job.left -= chunk.tokens;
        if job.left == 0 {
            let job = self.jobs.remove(place);
            self.finish_job(now, job);
        }
    }

    /// Gives up the prefills that match.
    pub fn drop_jobs(&mut self, matches: impl Fn(&PrefillJob) -> bool) {
        for job in self.jobs.extract_if(.., |job| matches(job)) {
            self.runs.totals.wasted_tokens += u64::from(job.computed());
            if let Some(lease) = job.lease {
                self.memory.release(lease);
            }
            // A receiver that is gone needs no answer.
            let _ = job.reply.send(Err(EngineReason::Cancelled));
        }
    }

    /// Drops a prefill result that no engine has taken.
    pub fn drop_result(&mut self, attempt: AttemptId) {
        if let Some(result) = self.results.remove(&attempt) {
            self.waste_result(result);
        }
    }

    /// Drops the results that have outlived their time and are not being taken.
    pub fn expire_results(&mut self, now: Instant) {
        let ended = |result: &PrefillResult| result.exports == 0 && result.ends_at <= now;
        let results: Vec<_> = self
            .results
            .extract_if(.., |_, result| ended(result))
            .collect();
        for (_, result) in results {
            self.waste_result(result);
        }
    }

    fn knows_prefill(&self, attempt: AttemptId) -> bool {
        self.results.contains_key(&attempt) || self.jobs.iter().any(|job| job.attempt == attempt)
    }

    /// Takes memory for a prefill that has none yet; whether the prefill can run.
    fn start_job(&mut self, now: Instant, place: usize) -> bool {
        let job = &mut self.jobs[place];
        if job.lease.is_some() {
            return true;
        }
        let pieces = count_blocks(job.tokens);
        let Some(lease) = self.memory.take_prefixed(&job.hashes, pieces) else {
            return false;
        };
        let cached = cached_tokens(&lease);
        job.left = job.tokens.saturating_sub(cached);
        job.lease = Some(lease);
        self.runs.totals.cached_tokens += u64::from(cached);
        self.runs.entry(job.attempt).prefills_started += 1;
        if self.faults.crashes(&job.prompt) {
            super::faults::crash();
        }
        self.log_evictions(now);
        true
    }

    fn finish_job(&mut self, now: Instant, job: PrefillJob) {
        let computed = job.computed();
        let mut lease = job.lease.unwrap_or_default();
        let cached = cached_tokens(&lease);
        for hash in self.memory.store(&mut lease, &job.hashes) {
            self.cache_log.record(now, CacheChange::Stored, hash);
        }
        let run = self.runs.entry(job.attempt);
        run.prefills_ended += 1;
        run.prefill_tokens += computed;
        self.runs.totals.prefills += 1;
        self.runs.totals.prefill_tokens += u64::from(computed);
        let ttl = Duration::from_millis(self.options.kv_ttl_ms);
        let answer = PrefillAnswer {
            attempt: job.attempt,
            prompt_tokens: job.tokens,
            cached_tokens: cached,
            ttl,
        };
        let heard = job.reply.send(Ok(answer)).is_ok();
        if job.purpose == JobPurpose::Resume {
            self.memory.release(lease);
            return;
        }
        let result = PrefillResult {
            owner: job.owner,
            lease,
            prompt: job.prompt,
            tokens: job.tokens,
            computed,
            since: now,
            ends_at: now + ttl,
            exports: 0,
        };
        if self.faults.lose_kv || !(heard || self.faults.keep_orphans) {
            self.waste_result(result);
        } else {
            self.results.insert(job.attempt, result);
        }
    }

    fn waste_result(&mut self, result: PrefillResult) {
        self.runs.totals.wasted_results += 1;
        self.runs.totals.wasted_tokens += u64::from(result.computed);
        self.memory.release(result.lease);
    }

    fn log_evictions(&mut self, now: Instant) {
        for hash in self.memory.drain_evicted() {
            self.cache_log.record(now, CacheChange::Evicted, hash);
        }
    }
}

fn cached_tokens(lease: &PieceLease) -> u32 {
    lease.cached() * BLOCK_TOKENS
}
