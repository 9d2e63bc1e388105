//! Handlers of `POST /v1/completions` and `POST /v1/chat/completions`.

use std::convert::Infallible;

use actix_web::web::{Data, Payload};
use actix_web::{HttpRequest, HttpResponse};
use bytes::{Bytes, BytesMut};
use futures_util::stream;
use gs_protocol::refusal::RefusalReason;

use super::answer::{AnswerGenerator, AnswerProgress};
use super::encoder::AnswerEncoder;
use super::params::{CompletionKind, GenerationParams};
use crate::telemetry;
use crate::traffic::{CallerRefusal, RequestContext, TrafficState, read_body};

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
    builder.streaming(stream::unfold(answer, next_chunk))
}

/// Encodes the tokens that have arrived, or waits for the next ones.
async fn next_chunk(
    mut answer: StreamedAnswer,
) -> Option<(Result<Bytes, Infallible>, StreamedAnswer)> {
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
    Some((Ok(out.freeze()), answer))
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
