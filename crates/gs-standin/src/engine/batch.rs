//! The decode batch: each step generates one token for every running stream.

use std::time::{Duration, Instant};

use bytes::Bytes;
use futures_util::future::AbortHandle;
use gs_protocol::engine::{EngineReason, StreamEvent, StreamRequest};
use gs_protocol::ids::{AttemptId, EntryIdentity};
use tokio::sync::mpsc;

use super::memory::BlockLease;
use super::state::EngineState;
use super::text::token_text;

/// Maximum number of events queued for a slow reader.
const MAX_QUEUED_EVENTS: usize = 256;

/// The engine deliberately cut the connection of a response.
#[derive(Clone, Copy, Debug, thiserror::Error)]
#[error("the stream was cut")]
pub struct StreamCut;

/// One encoded server-sent event, or an error that cuts the connection.
pub type StreamItem = Result<Bytes, StreamCut>;

/// Whether a stream can generate tokens.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
enum StreamPhase {
    /// Its KV cache is being pulled or recomputed.
    Loading,
    /// Each step generates a token.
    Running,
}

/// A decode stream that occupies a slot of the batch.
#[derive(Debug)]
pub struct DecodeStream {
    pub owner: EntryIdentity,
    pub lease: BlockLease,
    pub held_since: Instant,
    pub serial: u64,
    phase: StreamPhase,
    seed: u64,
    next_index: u32,
    max_tokens: u32,
    tokens_sent: u32,
    loader: AbortHandle,
    items: mpsc::Sender<StreamItem>,
}

/// Outcome of one decode step for the whole batch.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum StepOutcome {
    /// At least one stream sent a token or ended.
    Sent,
    /// The event queues of all running streams are full.
    Blocked,
}

/// Outcome of one decode step for one stream.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
enum StreamStep {
    Sent,
    Blocked,
    Ended,
}

impl EngineState {
    /// Converts the reserved slot of an attempt into a stream that waits for its KV cache.
    ///
    /// Returns the stream's serial number and the receiver of its events. `loader` aborts the
    /// loading of the KV cache when the stream is removed.
    pub fn open_stream(
        &mut self,
        now: Instant,
        order: &StreamRequest,
        loader: AbortHandle,
    ) -> Result<(u64, mpsc::Receiver<StreamItem>), EngineReason> {
        if self.cancels.contains(order.attempt) {
            return Err(EngineReason::Cancelled);
        }
        let Some(slot) = self.slots.get(&order.attempt) else {
            return Err(EngineReason::NoReservation);
        };
        if order.max_tokens > slot.tokens || order.from_index > order.max_tokens {
            return Err(EngineReason::BadRequest);
        }
        let Some(slot) = self.slots.remove(&order.attempt) else {
            return Err(EngineReason::NoReservation);
        };
        let (items, receiver) = mpsc::channel(MAX_QUEUED_EVENTS);
        let serial = self.next_serial();
        let stream = DecodeStream {
            owner: order.owner.clone(),
            lease: slot.lease,
            held_since: now,
            serial,
            phase: StreamPhase::Loading,
            seed: order.seed,
            next_index: order.from_index,
            max_tokens: order.max_tokens,
            tokens_sent: 0,
            loader,
            items,
        };
        self.streams.insert(order.attempt, stream);
        self.runs.run_mut(order.attempt).streams_started += 1;
        Ok((serial, receiver))
    }

    /// Starts a stream whose KV cache has been loaded, or fails it if loading failed.
    ///
    /// `loaded` holds the prompt of the KV cache.
    pub fn finish_kv_load(
        &mut self,
        attempt: AttemptId,
        serial: u64,
        loaded: Result<String, EngineReason>,
    ) {
        let Some(stream) = self.streams.get_mut(&attempt) else {
            return;
        };
        if stream.serial != serial {
            return;
        }
        match loaded {
            Ok(prompt) => {
                if self.faults.crashes_on(&prompt) || self.faults.crashes_from(stream.max_tokens) {
                    super::faults::crash();
                }
                stream.phase = StreamPhase::Running;
            }
            Err(reason) => self.fail_stream(attempt, reason),
        }
    }

    /// Removes a stream and sends a failure event with the reason.
    pub fn fail_stream(&mut self, attempt: AttemptId, reason: EngineReason) {
        let Some(stream) = self.remove_stream(attempt) else {
            return;
        };
        let event = StreamEvent::Failed { attempt, reason };
        // If the queue is full or closed, the stream breaks off without an end event.
        let _ = stream.items.try_send(Ok(encode_sse(&event)));
    }

    /// Removes the stream of a disconnected client, unless the `keep_orphans` fault keeps it.
    pub fn abandon_stream(&mut self, attempt: AttemptId, serial: u64) {
        let current = self.streams.get(&attempt).map(|stream| stream.serial);
        if current == Some(serial) && !self.faults.keep_orphans {
            self.remove_stream(attempt);
            self.cancel_jobs(|job| job.attempt == attempt && !job.keeps_result());
        }
    }

    /// Returns the duration of the next step, or `None` if no stream can run.
    pub fn step_duration(&self) -> Option<Duration> {
        let running = self.streams.values().filter(|stream| stream.is_running());
        let running = u32::try_from(running.count()).unwrap_or(u32::MAX);
        if running == 0 || self.faults.silent {
            return None;
        }
        let extra_us = (running - 1).saturating_mul(self.options.step_stream_us);
        let duration =
            Duration::from_micros(u64::from(self.options.step_base_us) + u64::from(extra_us));
        Some(self.apply_slow_factor(duration))
    }

    /// Generates one token for every running stream.
    pub fn step(&mut self) -> StepOutcome {
        let cut_after = self.faults.cut_streams_after;
        let keep_orphans = self.faults.keep_orphans;
        let mut outcome = StepOutcome::Blocked;
        let mut ended = Vec::new();
        for (attempt, stream) in &mut self.streams {
            if !stream.is_running() {
                continue;
            }
            match stream.step(*attempt, cut_after, keep_orphans) {
                StreamStep::Blocked => continue,
                StreamStep::Sent => {}
                StreamStep::Ended => ended.push(*attempt),
            }
            outcome = StepOutcome::Sent;
        }
        for attempt in ended {
            self.remove_stream(attempt);
        }
        outcome
    }

    fn remove_stream(&mut self, attempt: AttemptId) -> Option<DecodeStream> {
        let mut stream = self.streams.remove(&attempt)?;
        stream.loader.abort();
        self.memory.release(std::mem::take(&mut stream.lease));
        let complete = stream.next_index == stream.max_tokens;
        let run = self.runs.run_mut(attempt);
        run.tokens_sent += stream.tokens_sent;
        run.streams_ended += u32::from(complete);
        self.runs.totals.tokens_sent += u64::from(stream.tokens_sent);
        self.runs.totals.streams_ended += u64::from(complete);
        Some(stream)
    }
}

impl DecodeStream {
    fn is_running(&self) -> bool {
        self.phase == StreamPhase::Running
    }

    fn step(&mut self, attempt: AttemptId, cut_after: u32, keep_orphans: bool) -> StreamStep {
        let disconnected = self.items.is_closed();
        if disconnected && !keep_orphans {
            return StreamStep::Ended;
        }
        // The queue needs space for the token and the end event that may follow it.
        if !disconnected && self.items.capacity() < 2 {
            return StreamStep::Blocked;
        }
        if cut_after > 0 && self.tokens_sent >= cut_after {
            self.send(Err(StreamCut));
            return StreamStep::Ended;
        }
        if self.next_index < self.max_tokens {
            self.send(Ok(encode_sse(&StreamEvent::Token {
                attempt,
                index: self.next_index,
                text: token_text(self.seed, self.next_index),
            })));
            self.next_index += 1;
            self.tokens_sent += 1;
        }
        if self.next_index < self.max_tokens {
            return StreamStep::Sent;
        }
        self.send(Ok(encode_sse(&StreamEvent::End {
            attempt,
            tokens: self.max_tokens,
        })));
        StreamStep::Ended
    }

    fn send(&self, item: StreamItem) {
        // Sending fails only for an orphaned stream, whose client has disconnected.
        let _ = self.items.try_send(item);
    }
}

/// Encodes an event as a `data:` line of a server-sent event.
fn encode_sse(event: &StreamEvent) -> Bytes {
    let mut line = Vec::with_capacity(128);
    line.extend_from_slice(b"data: ");
    // Serializing these types to memory cannot fail.
    let _ = serde_json::to_writer(&mut line, event);
    line.extend_from_slice(b"\n\n");
    Bytes::from(line)
}
