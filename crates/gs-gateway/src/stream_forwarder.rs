//! Forwards the events of a stream to the client, and resumes an interrupted stream if its route allows it.

use std::rc::Rc;
use std::time::{Duration, Instant};

use gs_control::forwarding::{RouteKind, SoftwareNeed};
use gs_protocol::ids::ServerName;
use http_body_util::BodyExt;
use hyper::Response;
use hyper::body::Incoming;
use hyper::http::response::Parts;

use crate::answer::{AnswerBody, ClientAnswer};
use crate::capacity::EventPace;
use crate::connection::ServerConnection;
use crate::crashes::ServerRun;
use crate::event_stream::{EventSplitter, OversizedEvent};
use crate::gateway::Gateway;
use crate::generation::{
    DecodeRequest, GenerationJob, connect_decode, reserve_decode, send_decode,
};
use crate::notices::SentRequest;
use crate::reservation::{ActiveRequest, StreamReservation};
use crate::stream_queue::{StreamSender, stream_queue};
use crate::wire::{AnswerClass, ResumePoint, ServerTask};

/// Time for which a stream must have waited for its client until a break of it is put down to the client: engines
/// cut off an answer that stays unread for some seconds.
const UNREAD_BREAK_WAIT: Duration = Duration::from_secs(1);

/// A stream that an engine has started.
pub(crate) struct RunningStream {
    answer: Response<Incoming>,
    connection: ServerConnection,
    reservation: StreamReservation,
    run: ServerRun,
}

impl RunningStream {
    /// Creates a stream from the head of an engine's answer.
    pub fn new(
        answer: Response<Incoming>,
        connection: ServerConnection,
        reservation: StreamReservation,
        run: ServerRun,
    ) -> Self {
        Self {
            answer,
            connection,
            reservation,
            run,
        }
    }
}

/// How the stream of one engine ended.
enum StreamEnd {
    /// The answer is complete.
    Complete,
    /// The client closed its connection.
    ClientDisconnected,
    /// The request's time limit passed.
    TimedOut,
    /// The stream ended early or an event was too long.
    Broken(StreamBreak),
}

/// Why a stream of an engine broke.
#[derive(Debug, thiserror::Error)]
enum StreamBreak {
    /// The connection failed.
    #[error("the connection failed: {0}")]
    Connection(hyper::Error),
    /// The stream ended within an event.
    #[error("the stream ended within an event")]
    CutEvent,
    /// An event was too long.
    #[error(transparent)]
    Oversized(OversizedEvent),
}

/// Events forwarded to the client so far.
#[derive(Debug, Default)]
struct StreamProgress {
    events: u64,
    resume_point: Option<ResumePoint>,
    last_event_at: Option<Instant>,
    longest_gap: Duration,
}

impl StreamProgress {
    /// Returns the time since the last forwarded event, or since `started` if there is none.
    fn silent_for(&self, started: Instant) -> Duration {
        self.last_event_at.unwrap_or(started).elapsed()
    }

    /// Records a forwarded event.
    fn record_event(&mut self, now: Instant, id: Option<ResumePoint>) {
        if let Some(before) = self.last_event_at.replace(now) {
            let gap = now.saturating_duration_since(before);
            self.longest_gap = self.longest_gap.max(gap);
        }
        self.events += 1;
        if id.is_some() {
            self.resume_point = id;
        }
    }
}

/// Waits of one engine's stream for its client.
#[derive(Debug, Default)]
struct ClientWait {
    /// Since when an event waits.
    since: Option<Instant>,
    longest: Duration,
}

impl ClientWait {
    fn begin(&mut self, now: Instant) {
        self.since = Some(now);
    }

    fn end(&mut self, now: Instant) {
        let waited = self
            .since
            .take()
            .map(|since| now.saturating_duration_since(since));
        self.longest = self.longest.max(waited.unwrap_or_default());
    }

    /// Whether the engine may have cut off the stream because its client did not read.
    fn explains_break(&self) -> bool {
        self.longest >= UNREAD_BREAK_WAIT
    }
}

/// Answers with the head of a stream and forwards its events in the background.
pub(crate) fn start_forwarding(
    gateway: &Rc<Gateway>,
    generation: GenerationJob,
    stream: RunningStream,
) -> ClientAnswer {
    let (sender, receiver) = stream_queue(&gateway.answer_budget);
    let mut answer = Response::new(AnswerBody::Stream(receiver));
    *answer.status_mut() = stream.answer.status();
    *answer.headers_mut() = gateway.wire.client_headers(stream.answer.headers());
    let forwarder = StreamForwarder {
        active: ActiveRequest::begin(gateway),
        gateway: Rc::clone(gateway),
        generation,
        sender,
        progress: StreamProgress::default(),
        pace: EventPace::default(),
        client_wait: ClientWait::default(),
        started: Instant::now(),
    };
    actix_rt::spawn(forwarder.run(stream));
    answer
}

struct StreamForwarder {
    active: ActiveRequest,
    gateway: Rc<Gateway>,
    generation: GenerationJob,
    sender: StreamSender,
    progress: StreamProgress,
    pace: EventPace,
    client_wait: ClientWait,
    started: Instant,
}

impl StreamForwarder {
    async fn run(mut self, first: RunningStream) {
        let mut stream = first;
        self.gateway
            .record_stream_started(&self.generation.job, stream.reservation.server());
        let mut runs = 1;
        let mut excluded: Vec<ServerName> = Vec::new();
        let is_broken_off = loop {
            let server = stream.reservation.server().clone();
            let software = self.gateway.server_software(&server);
            let end = self.forward_events(stream).await;
            // What is delivered goes on only at the version that began it.
            if let Some(software) = software.as_ref().filter(|_| self.progress.events > 0) {
                self.generation.demand.software = SoftwareNeed::Only(software.clone());
            }
            let job = &self.generation.job;
            match end {
                StreamEnd::Complete | StreamEnd::ClientDisconnected => {
                    self.record_end(&server, matches!(end, StreamEnd::Complete));
                    break false;
                }
                StreamEnd::TimedOut => {
                    self.record_timeout(&server);
                    break true;
                }
                StreamEnd::Broken(error) => {
                    log::info!(target: "generation", id:% = job.metadata.request_id, decode:% = server, events = self.progress.events, error:%, unread_ms = self.client_wait.longest.as_millis() as u64, contents = job.contents_text(); "stream interrupted");
                }
            }
            if !self.client_wait.explains_break() {
                self.gateway.record_answer(&server, true);
                excluded.push(server);
            }
            let is_version_known = software.is_some() || self.progress.events == 0;
            let resumed = match runs < job.rule.max_attempts && is_version_known {
                true => {
                    let ends_at = job.ends_at().into();
                    let resuming = tokio::time::timeout_at(ends_at, self.resume(&excluded));
                    resuming.await.ok().flatten()
                }
                false => None,
            };
            runs += 1;
            match resumed {
                Some(next) => {
                    self.gateway
                        .record_stream_started(job, next.reservation.server());
                    stream = next;
                }
                None => break true,
            }
        };
        self.gateway.record_stream_ended(&self.generation.job);
        if is_broken_off {
            self.sender.break_off();
        }
        drop(self.active);
    }

    /// Records the end of a stream that is complete or whose client has left.
    fn record_end(&self, server: &ServerName, is_complete: bool) {
        let job = &self.generation.job;
        if is_complete {
            let tokens = self.progress.events * u64::from(self.tokens_per_event());
            self.gateway.update_length_estimate(&job.rule.name, tokens);
            self.gateway
                .update_duration_estimate(self.started.elapsed());
            self.gateway
                .record_stream_duration(&job.service, job.arrived.elapsed());
        }
        log::info!(target: "generation", id:% = job.metadata.request_id, decode:% = server, events = self.progress.events, gap_ms = self.progress.longest_gap.as_millis() as u64, whole = is_complete, took_ms = job.arrived.elapsed().as_millis() as u64; "stream ended");
    }

    /// Records that the time limit has passed. An engine that was silent for longer than the route allows
    /// between two events has failed.
    fn record_timeout(&self, server: &ServerName) {
        let job = &self.generation.job;
        let silent_for = self.progress.silent_for(self.started);
        let gap_target = match job.rule.kind {
            RouteKind::Streaming { gap_target, .. } => gap_target,
            RouteKind::Safe | RouteKind::Unsafe => None,
        };
        let is_silent = self.client_wait.since.is_none()
            && silent_for > gap_target.unwrap_or(job.rule.latency_target);
        self.gateway.record_answer(server, is_silent);
        log::info!(target: "generation", id:% = job.metadata.request_id, decode:% = server, events = self.progress.events, silent_ms = silent_for.as_millis() as u64, took_ms = job.arrived.elapsed().as_millis() as u64; "stream ended: its time limit passed");
    }

    /// Returns the number of tokens per event.
    fn tokens_per_event(&self) -> u32 {
        let engine = self.generation.engine.as_ref();
        engine.map_or(1, |engine| engine.tokens_per_event)
    }

    /// Resumes the stream at another engine after the last forwarded event.
    async fn resume(&self, excluded: &[ServerName]) -> Option<RunningStream> {
        let job = &self.generation.job;
        let RouteKind::Streaming {
            is_resumable: true, ..
        } = job.rule.kind
        else {
            return None;
        };
        let last = match self.progress.events {
            0 => job.metadata.resume.as_ref(),
            _ => Some(self.progress.resume_point.as_ref()?),
        };
        if self.gateway.start_refusal(job).is_some() {
            return None;
        }
        let reservation = reserve_decode(&self.gateway, &self.generation, excluded)?;
        let server = reservation.server().clone();
        let connection = connect_decode(&self.gateway, &self.generation, &server).await?;
        if !self.gateway.spend_budget(&job.service) {
            return None;
        }
        let left = job.answer_due().saturating_duration_since(Instant::now());
        let decode_request = DecodeRequest {
            server: &server,
            task: ServerTask::Decode(None),
            resume: last,
        };
        let run = ServerRun::start(&self.gateway, job, &server);
        let sent_request = self.gateway.note_sent(&server);
        let sent = send_decode(&self.gateway, &self.generation, connection, decode_request);
        let sent = tokio::time::timeout(left, sent).await.ok()?;
        let (answer, connection) = match sent {
            Ok(sent) => sent,
            Err(error) => {
                log::info!(target: "generation", id:% = job.metadata.request_id, decode:% = server, error:%; "stream not resumed");
                match error.is_not_sent() {
                    true => run.discard(),
                    false => run.lose().await,
                }
                return None;
            }
        };
        let (head, body) = answer.into_parts();
        let class = self.record_resumed(&server, sent_request, &head);
        if class != AnswerClass::Success {
            run.discard();
            return None;
        }
        let answer = Response::from_parts(head, body);
        Some(RunningStream::new(answer, connection, reservation, run))
    }

    /// Classifies the head of a resumed stream and records what it says of its engine.
    fn record_resumed(&self, server: &ServerName, sent: SentRequest, head: &Parts) -> AnswerClass {
        let gateway = &self.gateway;
        let request_id = &self.generation.job.metadata.request_id;
        let class = gateway.wire.classify_answer(head, request_id);
        gateway.record_notice(server, sent, class, head);
        log::info!(target: "generation", id:% = request_id, decode:% = server, events = self.progress.events, software:? = gateway.server_software(server), verdict:? = class; "stream resumed");
        class
    }

    /// Forwards the events of one engine until the request's time limit.
    async fn forward_events(&mut self, stream: RunningStream) -> StreamEnd {
        let RunningStream {
            answer,
            connection,
            reservation,
            mut run,
        } = stream;
        let ends_at = self.generation.job.ends_at();
        self.pace = EventPace::default();
        self.client_wait = ClientWait::default();
        let end = tokio::select! {
            biased;
            end = self.forward_frames(answer.into_body(), &reservation, &mut run) => end,
            () = tokio::time::sleep_until(ends_at.into()) => StreamEnd::TimedOut,
        };
        drop(connection);
        drop(reservation);
        match &end {
            StreamEnd::Complete => run.complete(),
            StreamEnd::Broken(_) if self.client_wait.explains_break() => run.discard(),
            StreamEnd::Broken(_) => run.lose().await,
            StreamEnd::ClientDisconnected | StreamEnd::TimedOut => drop(run),
        }
        end
    }

    /// Forwards events until the body of an engine's answer ends.
    async fn forward_frames(
        &mut self,
        mut body: Incoming,
        reservation: &StreamReservation,
        run: &mut ServerRun,
    ) -> StreamEnd {
        let mut splitter = EventSplitter::default();
        loop {
            let frame = tokio::select! {
                () = self.sender.closed() => return StreamEnd::ClientDisconnected,
                frame = body.frame() => frame,
            };
            let data = match frame {
                Some(Ok(frame)) => frame.into_data().unwrap_or_default(),
                None if splitter.is_empty() => return StreamEnd::Complete,
                None => return StreamEnd::Broken(StreamBreak::CutEvent),
                Some(Err(error)) => return StreamEnd::Broken(StreamBreak::Connection(error)),
            };
            if let Err(error) = splitter.push(&data) {
                return StreamEnd::Broken(StreamBreak::Oversized(error));
            }
            let events = self.progress.events;
            let is_connected = self.send_events(&mut splitter, reservation).await;
            if self.progress.events > events {
                run.record_output();
            }
            if !is_connected {
                return StreamEnd::ClientDisconnected;
            }
        }
    }

    /// Forwards the complete events received so far; `false` if the client has disconnected.
    async fn send_events(
        &mut self,
        splitter: &mut EventSplitter,
        reservation: &StreamReservation,
    ) -> bool {
        let tokens_per_event = self.tokens_per_event();
        while let Some(event) = splitter.next_event() {
            if self.progress.events == 0 {
                let job = &self.generation.job;
                let software = self.gateway.server_software(reservation.server());
                log::info!(target: "generation", id:% = job.metadata.request_id, first_ms = job.arrived.elapsed().as_millis() as u64, software:?, resumes:? = job.metadata.resumed_request; "first event");
            }
            let now = Instant::now();
            self.progress.record_event(now, event.id);
            self.pace
                .record_event(&self.gateway, reservation.server(), now);
            reservation.grow(tokens_per_event);
            self.client_wait.begin(Instant::now());
            let is_connected = self.sender.send(event.bytes).await;
            self.client_wait.end(Instant::now());
            if !is_connected {
                return false;
            }
            self.pace.record_sent(now);
        }
        true
    }
}
