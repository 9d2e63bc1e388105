//! Encodes answers as OpenAI-style response bodies.

use bytes::{BufMut, BytesMut};
use gs_protocol::refusal::ProblemBody;
use serde::Serialize;

use super::params::{CompletionKind, GenerationParams};
use crate::traffic::RequestContext;

/// Finish reason of an answer that reached the requested maximum of tokens.
const LENGTH_REACHED: &str = "length";

/// Finish reason of an answer that the model ended earlier.
const MODEL_STOPPED: &str = "stop";

/// Last event of a complete stream.
const DONE_EVENT: &[u8] = b"data: [DONE]\n\n";

/// An event of a streamed answer, or the body of a complete answer.
#[derive(Serialize)]
struct AnswerBody<'a> {
    id: &'a str,
    object: &'static str,
    model: &'a str,
    choices: [AnswerChoice<'a>; 1],
    #[serde(skip_serializing_if = "Option::is_none")]
    usage: Option<AnswerUsage>,
}

#[derive(Serialize)]
struct AnswerChoice<'a> {
    index: u32,
    #[serde(skip_serializing_if = "Option::is_none")]
    text: Option<&'a str>,
    #[serde(skip_serializing_if = "Option::is_none")]
    delta: Option<AnswerMessage<'a>>,
    #[serde(skip_serializing_if = "Option::is_none")]
    message: Option<AnswerMessage<'a>>,
    finish_reason: Option<&'static str>,
}

#[derive(Clone, Copy, Serialize)]
struct AnswerMessage<'a> {
    role: &'static str,
    content: &'a str,
}

#[derive(Serialize)]
struct AnswerUsage {
    prompt_tokens: u32,
    completion_tokens: u32,
    total_tokens: u32,
}

#[derive(Serialize)]
struct ErrorEvent<'a> {
    error: &'a ProblemBody,
}

/// Encodes the events or the body of one answer.
pub struct AnswerEncoder {
    id: String,
    model: String,
    kind: CompletionKind,
    prompt_tokens: u32,
    max_tokens: u32,
}

impl AnswerEncoder {
    /// Creates the encoder for the answer to a request.
    pub fn new(context: &RequestContext, params: &GenerationParams) -> Self {
        Self {
            id: format!("cmpl-{}", context.request),
            model: params.model.as_str().to_owned(),
            kind: params.kind,
            prompt_tokens: params.prompt_tokens,
            max_tokens: params.max_tokens,
        }
    }

    /// Finish reason of an answer with a number of tokens.
    fn finish_reason(&self, tokens: u32) -> &'static str {
        if tokens >= self.max_tokens {
            LENGTH_REACHED
        } else {
            MODEL_STOPPED
        }
    }

    /// Appends the event of one token.
    pub fn write_token(&self, text: &str, out: &mut BytesMut) {
        self.write_event(&self.chunk(text, None), out);
    }

    /// Appends the events that end a complete answer.
    pub fn write_end(&self, tokens: u32, out: &mut BytesMut) {
        let finish_reason = self.finish_reason(tokens);
        self.write_event(&self.chunk("", Some(finish_reason)), out);
        out.extend_from_slice(DONE_EVENT);
    }

    /// Appends the event that ends an interrupted answer.
    pub fn write_error(&self, problem: &ProblemBody, out: &mut BytesMut) {
        self.write_event(&ErrorEvent { error: problem }, out);
    }

    /// Body of an answer that is not streamed.
    pub fn complete_body(&self, text: &str, tokens: u32) -> impl Serialize {
        let usage = AnswerUsage {
            prompt_tokens: self.prompt_tokens,
            completion_tokens: tokens,
            total_tokens: self.prompt_tokens.saturating_add(tokens),
        };
        let message = AnswerMessage {
            role: "assistant",
            content: text,
        };
        let (object, text, message) = match self.kind {
            CompletionKind::Chat => ("chat.completion", None, Some(message)),
            CompletionKind::Text => ("text_completion", Some(text), None),
        };
        let finish_reason = Some(self.finish_reason(tokens));
        let choice = AnswerChoice {
            index: 0,
            text,
            delta: None,
            message,
            finish_reason,
        };
        let (id, model) = (self.id.as_str(), self.model.as_str());
        let body = AnswerBody {
            id,
            object,
            model,
            choices: [choice],
            usage: Some(usage),
        };
        serde_json::to_value(body).unwrap_or_default()
    }

    fn chunk<'a>(&'a self, text: &'a str, finish_reason: Option<&'static str>) -> AnswerBody<'a> {
        let delta = AnswerMessage {
            role: "assistant",
            content: text,
        };
        let (object, text, delta) = match self.kind {
            CompletionKind::Chat => ("chat.completion.chunk", None, Some(delta)),
            CompletionKind::Text => ("text_completion", Some(text), None),
        };
        let choice = AnswerChoice {
            index: 0,
            text,
            delta,
            message: None,
            finish_reason,
        };
        AnswerBody {
            id: &self.id,
            object,
            model: &self.model,
            choices: [choice],
            usage: None,
        }
    }

    fn write_event<T: Serialize>(&self, event: &T, out: &mut BytesMut) {
        out.extend_from_slice(b"data: ");
        // Writing to memory cannot fail, and the bodies hold only strings and numbers.
        let _ = serde_json::to_writer(out.writer(), event);
        out.extend_from_slice(b"\n\n");
    }
}
