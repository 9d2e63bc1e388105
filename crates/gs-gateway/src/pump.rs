//! Passes the events of a stream on to the client, and resumes a broken stream where its route allows it.

use std::rc::Rc;
use std::time::{Duration, Instant};

use bytes::Bytes;
use gs_control::forwarding::RouteKind;
use gs_protocol::ids::ServerName;
use http_body_util::BodyExt;
use hyper::Response;
use hyper::body::Incoming;
use tokio::sync::mpsc;

use crate::answer::{AnswerBody, BrokenAnswer, ClientAnswer};
use crate::call::ServerCall;
use crate::event_stream::EventSplitter;
use crate::gateway::Gateway;
use crate::generation::{GenerationJob, SentDecode, open_decode, reserve_again, send_decode};
use crate::reservation::{ActiveRequest, StreamReservation};
use crate::wire::{AnswerVerdict, ResumePoint, SendStage};

/// Pieces that wait for a slow client before its engine is made to wait.
const WAITING_PIECES: usize = 16;

/// A stream that an engine has begun.
pub(crate) struct RunningStream {
    pub answer: Response<Incoming>,
    pub call: ServerCall,
    pub reserved: StreamReservation,
}

/// How the events of one engine ended.
enum StreamEnd {
    /// The answer is whole.
    Whole,
    /// The client is gone.
    ClientGone,
    /// The engine broke off.
    Broken,
}

/// What has been passed on.
#[derive(Debug, Default)]
struct StreamProgress {
    events: u64,
    last: Option<ResumePoint>,
    last_at: Option<Instant>,
    longest_gap: Duration,
}

impl StreamProgress {
    /// Takes in an event that was passed on.
    fn note_event(&mut self, now: Instant, id: Option<ResumePoint>) {
        if let Some(before) = self.last_at.replace(now) {
            let gap = now.saturating_duration_since(before);
            self.longest_gap = self.longest_gap.max(gap);
        }
        self.events += 1;
        if id.is_some() {
            self.last = id;
        }
    }
}

/// Answers with a stream's head and passes its events on in the background.
pub(crate) fn start_pump(
    gateway: &Rc<Gateway>,
    generation: GenerationJob,
    stream: RunningStream,
) -> ClientAnswer {
    let (sender, receiver) = mpsc::channel(WAITING_PIECES);
    let mut answer = Response::new(AnswerBody::Pieces(receiver));
    *answer.status_mut() = stream.answer.status();
    *answer.headers_mut() = gateway.wire.client_headers(stream.answer.headers());
    let pump = StreamPump {
        active: ActiveRequest::begin(gateway),
        gateway: Rc::clone(gateway),
        generation,
        sender,
        progress: StreamProgress::default(),
        began: Instant::now(),
    };
    actix_rt::spawn(pump.run(stream));
    answer
}

struct StreamPump {
    active: ActiveRequest,
    gateway: Rc<Gateway>,
    generation: GenerationJob,
    sender: mpsc::Sender<Result<Bytes, BrokenAnswer>>,
    progress: StreamProgress,
    began: Instant,
}

impl StreamPump {
    async fn run(mut self, first: RunningStream) {
        let mut stream = first;
        let mut runs = 1;
        let mut passed: Vec<ServerName> = Vec::new();
        loop {
            let server = stream.reserved.server().clone();
            let end = self.pass_on(stream).await;
            let job = &self.generation.job;
            match end {
                StreamEnd::Whole | StreamEnd::ClientGone => {
                    let is_whole = matches!(end, StreamEnd::Whole);
                    if is_whole {
                        let tokens = self.progress.events * u64::from(self.event_tokens());
                        self.gateway.learn_length(&job.rule.name, tokens);
                        self.gateway.learn_duration(self.began.elapsed());
                    }
                    log::info!(target: "generation", id:% = job.facts.request, decode:% = server, events = self.progress.events, gap_ms = self.progress.longest_gap.as_millis() as u64, whole = is_whole, took_ms = job.arrived.elapsed().as_millis() as u64; "stream ended");
                    break;
                }
                StreamEnd::Broken => {}
            }
            self.gateway.note_answer(&server, true);
            log::info!(target: "generation", id:% = job.facts.request, decode:% = server, events = self.progress.events; "stream broke off");
            passed.push(server);
            let resumed = match runs < job.rule.max_attempts {
                true => self.resume(&passed).await,
                false => None,
            };
            runs += 1;
            match resumed {
                Some(next) => stream = next,
                None => {
                    // The client is gone if it cannot be told.
                    let _ = self.sender.send(Err(BrokenAnswer)).await;
                    break;
                }
            }
        }
        drop(self.active);
    }

    /// Tokens of one event.
    fn event_tokens(&self) -> u32 {
        let facts = self.generation.facts.as_ref();
        facts.map_or(1, |facts| facts.tokens_per_event)
    }

    /// Goes on at another engine after the last event that was passed on.
    async fn resume(&self, passed: &[ServerName]) -> Option<RunningStream> {
        let job = &self.generation.job;
        let RouteKind::Streaming {
            is_resumable: true, ..
        } = job.rule.kind
        else {
            return None;
        };
        let last = match self.progress.events {
            0 => job.facts.resume.as_ref(),
            _ => Some(self.progress.last.as_ref()?),
        };
        let reserved = reserve_again(&self.gateway, &self.generation, passed)?;
        let server = reserved.server().clone();
        let call = open_decode(&self.gateway, &self.generation, &server).await?;
        if !self.gateway.spend_budget(&job.service) {
            return None;
        }
        let left = job.answer_by().saturating_duration_since(Instant::now());
        let asked = SentDecode {
            server: &server,
            stage: SendStage::Decode(None),
            resume: last,
        };
        let sent = send_decode(&self.gateway, &self.generation, call, asked);
        let sent = tokio::time::timeout(left, sent).await.ok()?;
        let (answer, call) = match sent {
            Ok(sent) => sent,
            Err(error) => {
                log::info!(target: "generation", id:% = job.facts.request, decode:% = server, error:%; "stream not resumed");
                return None;
            }
        };
        let (head, body) = answer.into_parts();
        let verdict = self.gateway.wire.judge_answer(&head, &job.facts.request);
        log::info!(target: "generation", id:% = job.facts.request, decode:% = server, events = self.progress.events, verdict:?; "stream resumed");
        (verdict == AnswerVerdict::Success).then(|| RunningStream {
            answer: Response::from_parts(head, body),
            call,
            reserved,
        })
    }

    /// Passes the events of one engine on.
    async fn pass_on(&mut self, stream: RunningStream) -> StreamEnd {
        let RunningStream {
            answer,
            call,
            reserved,
        } = stream;
        let mut body = answer.into_body();
        let mut splitter = EventSplitter::default();
        let end = loop {
            let frame = tokio::select! {
                () = self.sender.closed() => break StreamEnd::ClientGone,
                frame = body.frame() => frame,
            };
            let data = match frame {
                Some(Ok(frame)) => frame.into_data().unwrap_or_default(),
                None if splitter.is_empty() => break StreamEnd::Whole,
                Some(Err(_)) | None => break StreamEnd::Broken,
            };
            if splitter.push(&data).is_err() {
                break StreamEnd::Broken;
            }
            if !self.send_events(&mut splitter, &reserved).await {
                break StreamEnd::ClientGone;
            }
        };
        drop(call);
        drop(reserved);
        end
    }

    /// Sends the whole events that have come; `false` if the client is gone.
    async fn send_events(
        &mut self,
        splitter: &mut EventSplitter,
        reserved: &StreamReservation,
    ) -> bool {
        let event_tokens = self.event_tokens();
        while let Some(event) = splitter.next_event() {
            if self.progress.events == 0 {
                let job = &self.generation.job;
                log::info!(target: "generation", id:% = job.facts.request, first_ms = job.arrived.elapsed().as_millis() as u64; "first event");
            }
            self.progress.note_event(Instant::now(), event.id);
            reserved.grow(event_tokens);
            if self.sender.send(Ok(event.bytes)).await.is_err() {
                return false;
            }
        }
        true
    }
}
