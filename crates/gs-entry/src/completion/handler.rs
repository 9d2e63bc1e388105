//! Handlers of `POST /v1/completions` and `POST /v1/chat/completions`.

use std::cell::Cell;
use std::rc::Rc;

use actix_web::web::{Data, Payload};
use actix_web::{HttpRequest, HttpResponse};
use bytes::{Bytes, BytesMut};
use futures_util::stream;
use gs_protocol::refusal::RefusalReason;
use tokio::sync::mpsc::{Receiver, Sender, channel};
use tokio::time::timeout_at;

use super::answer::{AnswerGenerator, AnswerProgress};
use super::encoder::AnswerEncoder;
use super::params::{CompletionKind, GenerationParams};
use crate::telemetry;
use crate::traffic::{CallerRefusal, RequestContext, TrafficState, read_body};

/// Chunks that wait for a caller that reads slowly, before back pressure reaches the engine. A chunk holds the tokens
/// that arrived together.
const QUEUED_CHUNKS: usize = 4;

/// The answer ended before its caller had read it.
#[derive(Clone, Copy, Debug, thiserror::Error)]
#[error("the time-out passed while the caller did not read")]
struct UnreadAnswer;

/// Handles a text completion.
pub async fn complete_text(
    http: HttpRequest,
    payload: Payload,
    state: Data<TrafficState>,
) -> HttpResponse {
    complete(CompletionKind::Text, &http, payload, state).await
}

/// Handles a chat completion.
pub async fn complete_chat(
    http: HttpRequest,
    payload: Payload,
    state: Data<TrafficState>,
) -> HttpResponse {
    complete(CompletionKind::Chat, &http, payload, state).await
}

async fn complete(
    kind: CompletionKind,
    http: &HttpRequest,
    payload: Payload,
    state: Data<TrafficState>,
) -> HttpResponse {
    let context = match RequestContext::admit(http, &state) {
        Ok(context) => context,
        Err(response) => return *response,
    };
    match generate_answer(kind, context.clone(), payload, state).await {
        Ok(response) => response,
        Err(refusal) => {
            context.record_refusal(&refusal);
            refusal.response(context.request)
        }
    }
}

async fn generate_answer(
    kind: CompletionKind,
    context: RequestContext,
    payload: Payload,
    state: Data<TrafficState>,
) -> Result<HttpResponse, CallerRefusal> {
    let (limits, timeouts) = (&state.settings.limits, &state.settings.timeouts);
    let body = read_body(payload, limits.max_body_bytes, timeouts.caller_read).await?;
    let params = match kind {
        CompletionKind::Chat => GenerationParams::from_chat(&body, &context)?,
        CompletionKind::Text => GenerationParams::from_text(&body, &context)?,
    };
    let time_left = timeouts
        .completion
        .saturating_sub(context.arrived_at.elapsed());
    state.shutdown.admit(time_left)?;
    let streamed = params.stream;
    let mut generator = AnswerGenerator::new(context, params, state);
    let mut texts = Vec::new();
    // The HTTP status depends on whether the first tokens arrive.
    let progress = generator.next_tokens(&mut texts).await?;
    if streamed {
        Ok(stream_answer(generator, texts, progress))
    } else {
        complete_answer(generator, texts, progress).await
    }
}

async fn complete_answer(
    mut generator: AnswerGenerator,
    mut texts: Vec<String>,
    mut progress: AnswerProgress,
) -> Result<HttpResponse, CallerRefusal> {
    while progress == AnswerProgress::More {
        progress = generator.next_tokens(&mut texts).await?;
    }
    let encoder = AnswerEncoder::new(generator.context(), generator.params());
    let mut builder = HttpResponse::Ok();
    generator.context().add_headers(&mut builder);
    let tokens = u32::try_from(texts.len()).unwrap_or(u32::MAX);
    Ok(builder.json(encoder.complete_body(&texts.concat(), tokens)))
}

/// State of a streamed answer between two chunks.
struct StreamedAnswer {
    generator: AnswerGenerator,
    encoder: AnswerEncoder,
    texts: Vec<String>,
    progress: AnswerProgress,
    ended: bool,
}

fn stream_answer(
    generator: AnswerGenerator,
    texts: Vec<String>,
    progress: AnswerProgress,
) -> HttpResponse {
    let encoder = AnswerEncoder::new(generator.context(), generator.params());
    let mut builder = HttpResponse::Ok();
    builder.content_type("text/event-stream");
    generator.context().add_headers(&mut builder);
    let answer = StreamedAnswer {
        generator,
        encoder,
        texts,
        progress,
        ended: false,
    };
    let (sender, receiver) = channel(QUEUED_CHUNKS);
    let queue = ChunkQueue {
        receiver,
        is_unread: Rc::default(),
    };
    let is_unread = Rc::clone(&queue.is_unread);
    actix_web::rt::spawn(queue_chunks(answer, sender, is_unread));
    builder.streaming(stream::unfold(queue, next_queued))
}

/// Chunks on their way to the caller's connection.
struct ChunkQueue {
    receiver: Receiver<Bytes>,
    is_unread: Rc<Cell<bool>>,
}

/// Takes the next chunk for the caller. An error ends the connection, so that the caller can tell that the answer is
/// incomplete.
async fn next_queued(mut queue: ChunkQueue) -> Option<(Result<Bytes, UnreadAnswer>, ChunkQueue)> {
    match queue.receiver.recv().await {
        Some(chunk) => Some((Ok(chunk), queue)),
        None if queue.is_unread.take() => Some((Err(UnreadAnswer), queue)),
        None => None,
    }
}

/// Generates an answer and queues its chunks until its end, its time-out or the end of the caller's connection. The
/// caller's connection asks for chunks only if the caller reads, so it can't watch the time-out itself.
async fn queue_chunks(
    mut answer: StreamedAnswer,
    sender: Sender<Bytes>,
    is_unread: Rc<Cell<bool>>,
) {
    let ends_at = answer.generator.ends_at();
    loop {
        let next = tokio::select! {
            biased;
            () = sender.closed() => return,
            next = next_chunk(answer) => next,
        };
        let Some((chunk, rest)) = next else {
            return;
        };
        answer = rest;
        match timeout_at(ends_at.into(), sender.send(chunk)).await {
            Ok(Ok(())) => {}
            Ok(Err(_)) => return,
            Err(_) => {
                let request = answer.generator.context().request;
                log::info!(target: "completion", request:%, tokens = answer.generator.tokens(); "Answer ended: its time-out passed while its caller did not read.");
                metrics::counter!(telemetry::BROKEN_STREAMS_TOTAL).increment(1);
                is_unread.set(true);
                return;
            }
        }
    }
}

/// Encodes the tokens that have arrived, or waits for the next ones.
async fn next_chunk(mut answer: StreamedAnswer) -> Option<(Bytes, StreamedAnswer)> {
    if answer.ended {
        return None;
    }
    let mut out = BytesMut::new();
    if answer.texts.is_empty() && answer.progress == AnswerProgress::More {
        match answer.generator.next_tokens(&mut answer.texts).await {
            Ok(progress) => answer.progress = progress,
            Err(refusal) => answer.end_with_error(&refusal, &mut out),
        }
    }
    for text in answer.texts.drain(..) {
        answer.encoder.write_token(&text, &mut out);
    }
    if answer.progress == AnswerProgress::Complete {
        answer
            .encoder
            .write_end(answer.generator.tokens(), &mut out);
        answer.ended = true;
    }
    Some((out.freeze(), answer))
}

impl StreamedAnswer {
    fn end_with_error(&mut self, refusal: &CallerRefusal, out: &mut BytesMut) {
        let context = self.generator.context();
        context.record_refusal(refusal);
        metrics::counter!(telemetry::BROKEN_STREAMS_TOTAL).increment(1);
        let reason = RefusalReason::ServerFailed;
        let broken = CallerRefusal {
            reason,
            ..refusal.clone()
        };
        self.encoder.write_error(&broken.body(context.request), out);
        self.ended = true;
    }
}
