//! `POST /v1/completions` and `POST /v1/chat/completions`.

use std::convert::Infallible;

use actix_web::web::{Data, Payload};
use actix_web::{HttpRequest, HttpResponse};
use bytes::{Bytes, BytesMut};
use futures_util::stream;
use gs_protocol::refusal::RefusalReason;

use super::answer::{AnswerProgress, AnswerRun};
use super::encoder::AnswerFormat;
use super::params::{AnswerForm, AnswerPlan};
use crate::telemetry;
use crate::traffic::{CallerRefusal, RequestContext, TrafficState, read_body};

/// Answers a text completion.
pub async fn complete_text(
    http: HttpRequest,
    payload: Payload,
    state: Data<TrafficState>,
) -> HttpResponse {
    complete(AnswerForm::Text, &http, payload, state).await
}

/// Answers a chat completion.
pub async fn complete_chat(
    http: HttpRequest,
    payload: Payload,
    state: Data<TrafficState>,
) -> HttpResponse {
    complete(AnswerForm::Chat, &http, payload, state).await
}

async fn complete(
    form: AnswerForm,
    http: &HttpRequest,
    payload: Payload,
    state: Data<TrafficState>,
) -> HttpResponse {
    let context = match RequestContext::admit(http, &state) {
        Ok(context) => context,
        Err(response) => return *response,
    };
    match answer(form, context.clone(), payload, state).await {
        Ok(response) => response,
        Err(refusal) => {
            context.note_refusal(&refusal);
            refusal.response(context.request)
        }
    }
}

async fn answer(
    form: AnswerForm,
    context: RequestContext,
    payload: Payload,
    state: Data<TrafficState>,
) -> Result<HttpResponse, CallerRefusal> {
    let body = read_body(payload, state.settings.limits.max_body_bytes).await?;
    let plan = match form {
        AnswerForm::Chat => AnswerPlan::from_chat(&body, &context)?,
        AnswerForm::Text => AnswerPlan::from_text(&body, &context)?,
    };
    let streamed = plan.stream;
    let mut run = AnswerRun::new(context, plan, state);
    let mut texts = Vec::new();
    // The status is only known once the first tokens are there.
    let progress = run.next_tokens(&mut texts).await?;
    if streamed {
        Ok(stream_answer(run, texts, progress))
    } else {
        whole_answer(run, texts, progress).await
    }
}

async fn whole_answer(
    mut run: AnswerRun,
    mut texts: Vec<String>,
    mut progress: AnswerProgress,
) -> Result<HttpResponse, CallerRefusal> {
    while progress == AnswerProgress::More {
        progress = run.next_tokens(&mut texts).await?;
    }
    let format = AnswerFormat::new(run.context(), run.plan());
    let mut builder = HttpResponse::Ok();
    run.context().stamp(&mut builder);
    let tokens = u32::try_from(texts.len()).unwrap_or(u32::MAX);
    Ok(builder.json(format.whole(&texts.concat(), tokens)))
}

/// A streamed answer between two chunks.
struct StreamedAnswer {
    run: AnswerRun,
    format: AnswerFormat,
    texts: Vec<String>,
    progress: AnswerProgress,
    ended: bool,
}

fn stream_answer(run: AnswerRun, texts: Vec<String>, progress: AnswerProgress) -> HttpResponse {
    let format = AnswerFormat::new(run.context(), run.plan());
    let mut builder = HttpResponse::Ok();
    builder.content_type("text/event-stream");
    run.context().stamp(&mut builder);
    let answer = StreamedAnswer {
        run,
        format,
        texts,
        progress,
        ended: false,
    };
    builder.streaming(stream::unfold(answer, next_chunk))
}

/// Sends the tokens that are there, then waits for more.
async fn next_chunk(
    mut answer: StreamedAnswer,
) -> Option<(Result<Bytes, Infallible>, StreamedAnswer)> {
    if answer.ended {
        return None;
    }
    let mut out = BytesMut::new();
    if answer.texts.is_empty() && answer.progress == AnswerProgress::More {
        match answer.run.next_tokens(&mut answer.texts).await {
            Ok(progress) => answer.progress = progress,
            Err(refusal) => answer.end_broken(&refusal, &mut out),
        }
    }
    for text in answer.texts.drain(..) {
        answer.format.write_token(&text, &mut out);
    }
    if answer.progress == AnswerProgress::Whole {
        answer.format.write_end(answer.run.tokens(), &mut out);
        answer.ended = true;
    }
    Some((Ok(out.freeze()), answer))
}

impl StreamedAnswer {
    fn end_broken(&mut self, refusal: &CallerRefusal, out: &mut BytesMut) {
        let context = self.run.context();
        context.note_refusal(refusal);
        metrics::counter!(telemetry::BROKEN_STREAMS_TOTAL).increment(1);
        let reason = RefusalReason::ServerFailed;
        let broken = CallerRefusal {
            reason,
            ..refusal.clone()
        };
        self.format.write_error(&broken.body(context.request), out);
        self.ended = true;
    }
}
