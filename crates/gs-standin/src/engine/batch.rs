//! The decode batch: each step gives every running stream one token.

use std::time::{Duration, Instant};

use bytes::Bytes;
use futures_util::future::AbortHandle;
use gs_protocol::engine::{EngineReason, StreamEvent, StreamRequest};
use gs_protocol::ids::{AttemptId, EntryIdentity};
use tokio::sync::mpsc;

use super::memory::PieceLease;
use super::state::EngineState;
use super::text::expected_token;

/// Events that wait for a slow reader at most.
const EVENTS_WAITING: usize = 256;

/// The stream's connection was broken on purpose.
#[derive(Clone, Copy, Debug, thiserror::Error)]
#[error("the stream was cut")]
pub struct StreamCut;

/// One server-sent event, or the break of the connection.
pub type StreamPart = Result<Bytes, StreamCut>;

/// How far a stream is.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
enum StreamPhase {
    /// Its KV cache is not there yet.
    Loading,
    /// It gets tokens.
    Running,
}

/// One stream of the batch.
#[derive(Debug)]
pub struct DecodeStream {
    pub owner: EntryIdentity,
    pub lease: PieceLease,
    pub since: Instant,
    pub serial: u64,
    phase: StreamPhase,
    seed: u64,
    next_index: u32,
    max_tokens: u32,
    sent: u32,
    loader: AbortHandle,
    parts: mpsc::Sender<StreamPart>,
}

/// What came of one step.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum StepOutcome {
    /// At least one stream got a token.
    Sent,
    /// No stream's reader could take a token.
    Blocked,
}

/// What came of giving one stream a token.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
enum StreamStep {
    Sent,
    Blocked,
    Ended,
}

impl EngineState {
    /// Turns the slot of an attempt into a stream that waits for its KV cache.
    pub fn open_stream(
        &mut self,
        now: Instant,
        order: &StreamRequest,
        loader: AbortHandle,
    ) -> Result<(u64, mpsc::Receiver<StreamPart>), EngineReason> {
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
        let (parts, receiver) = mpsc::channel(EVENTS_WAITING);
        let serial = self.next_serial();
        let stream = DecodeStream {
            owner: order.owner.clone(),
            lease: slot.lease,
            since: now,
            serial,
            phase: StreamPhase::Loading,
            seed: order.seed,
            next_index: order.from_index,
            max_tokens: order.max_tokens,
            sent: 0,
            loader,
            parts,
        };
        self.streams.insert(order.attempt, stream);
        self.runs.entry(order.attempt).streams_started += 1;
        Ok((serial, receiver))
    }

    /// Lets a stream run, or gives it up if its KV cache did not come.
    pub fn finish_load(
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
                if self.faults.crashes(&prompt) {
                    super::faults::crash();
                }
                stream.phase = StreamPhase::Running;
            }
            Err(reason) => self.fail_stream(attempt, reason),
        }
    }

    /// Ends a stream early and says why.
    pub fn fail_stream(&mut self, attempt: AttemptId, reason: EngineReason) {
        let Some(stream) = self.remove_stream(attempt) else {
            return;
        };
        let event = StreamEvent::Failed { attempt, reason };
        // A reader that is gone or does not read gets a broken stream.
        let _ = stream.parts.try_send(Ok(encode(&event)));
    }

    /// Frees the stream of a client that is gone.
    pub fn drop_stream(&mut self, attempt: AttemptId, serial: u64) {
        let current = self.streams.get(&attempt).map(|stream| stream.serial);
        if current == Some(serial) && !self.faults.keep_orphans {
            self.remove_stream(attempt);
            self.drop_jobs(|job| job.attempt == attempt && !job.keeps_result());
        }
    }

    /// How long the next step takes, or `None` if no stream can run.
    pub fn step_time(&self) -> Option<Duration> {
        let running = self.streams.values().filter(|stream| stream.is_running());
        let running = u32::try_from(running.count()).unwrap_or(u32::MAX);
        if running == 0 || self.faults.silent {
            return None;
        }
        let more = (running - 1).saturating_mul(self.options.step_stream_us);
        let time = Duration::from_micros(u64::from(self.options.step_base_us) + u64::from(more));
        Some(self.slowed(time))
    }

    /// Gives every running stream one token.
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
        let whole = stream.next_index == stream.max_tokens;
        let run = self.runs.entry(attempt);
        run.tokens_sent += stream.sent;
        run.streams_ended += u32::from(whole);
        self.runs.totals.tokens_sent += u64::from(stream.sent);
        self.runs.totals.streams_ended += u64::from(whole);
        Some(stream)
    }
}

impl DecodeStream {
    fn is_running(&self) -> bool {
        self.phase == StreamPhase::Running
    }

    fn step(&mut self, attempt: AttemptId, cut_after: u32, keep_orphans: bool) -> StreamStep {
        let gone = self.parts.is_closed();
        if gone && !keep_orphans {
            return StreamStep::Ended;
        }
        // The token and the end that may follow it have to fit.
        if !gone && self.parts.capacity() < 2 {
            return StreamStep::Blocked;
        }
        if cut_after > 0 && self.sent >= cut_after {
            self.send(Err(StreamCut));
            return StreamStep::Ended;
        }
        if self.next_index < self.max_tokens {
            self.send(Ok(encode(&StreamEvent::Token {
                attempt,
                index: self.next_index,
                text: expected_token(self.seed, self.next_index),
            })));
            self.next_index += 1;
            self.sent += 1;
        }
        if self.next_index < self.max_tokens {
            return StreamStep::Sent;
        }
        self.send(Ok(encode(&StreamEvent::End {
            attempt,
            tokens: self.max_tokens,
        })));
        StreamStep::Ended
    }

    fn send(&self, part: StreamPart) {
        // Only an orphan's reader is gone here.
        let _ = self.parts.try_send(part);
    }
}

/// An event as a line of server-sent events.
fn encode(event: &StreamEvent) -> Bytes {
    let mut line = Vec::with_capacity(128);
    line.extend_from_slice(b"data: ");
    // Writing these plain types to memory cannot fail.
    let _ = serde_json::to_writer(&mut line, event);
    line.extend_from_slice(b"\n\n");
    Bytes::from(line)
}
