//! The OpenAI-style bodies of answers.

use bytes::{BufMut, BytesMut};
use gs_protocol::refusal::ProblemBody;
use serde::Serialize;

use super::params::{AnswerForm, AnswerPlan};
use crate::traffic::RequestContext;

/// The finish reason of an answer that has all tokens that the request allows.
const LENGTH_REACHED: &str = "length";

/// The finish reason of an answer that the model ended.
const MODEL_STOPPED: &str = "stop";

/// The last event of a whole stream.
const DONE_EVENT: &[u8] = b"data: [DONE]\n\n";

/// One event of a streamed answer, or a whole answer.
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

/// Writes the bodies of one answer.
pub struct AnswerFormat {
    id: String,
    model: String,
    form: AnswerForm,
    prompt_tokens: u32,
    max_tokens: u32,
}

impl AnswerFormat {
    /// The format of a request's answer.
    pub fn new(context: &RequestContext, plan: &AnswerPlan) -> Self {
        Self {
            id: format!("cmpl-{}", context.request),
            model: plan.model.as_str().to_owned(),
            form: plan.form,
            prompt_tokens: plan.prompt_tokens,
            max_tokens: plan.max_tokens,
        }
    }

    /// Why an answer of so many tokens ended.
    fn finish_reason(&self, tokens: u32) -> &'static str {
        if tokens >= self.max_tokens {
            LENGTH_REACHED
        } else {
            MODEL_STOPPED
        }
    }

    /// Adds the event of one token.
    pub fn write_token(&self, text: &str, out: &mut BytesMut) {
        self.write_event(&self.chunk(text, None), out);
    }

    /// Adds the events that end a whole answer.
    pub fn write_end(&self, tokens: u32, out: &mut BytesMut) {
        let finish_reason = self.finish_reason(tokens);
        self.write_event(&self.chunk("", Some(finish_reason)), out);
        out.extend_from_slice(DONE_EVENT);
    }

    /// Adds the event that ends a broken answer.
    pub fn write_error(&self, problem: &ProblemBody, out: &mut BytesMut) {
        self.write_event(&ErrorEvent { error: problem }, out);
    }

    /// The body of a whole answer.
    pub fn whole(&self, text: &str, tokens: u32) -> impl Serialize {
        let usage = AnswerUsage {
            prompt_tokens: self.prompt_tokens,
            completion_tokens: tokens,
            total_tokens: self.prompt_tokens.saturating_add(tokens),
        };
        let message = AnswerMessage {
            role: "assistant",
            content: text,
        };
        let (object, text, message) = match self.form {
            AnswerForm::Chat => ("chat.completion", None, Some(message)),
            AnswerForm::Text => ("text_completion", Some(text), None),
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
        let (object, text, delta) = match self.form {
            AnswerForm::Chat => ("chat.completion.chunk", None, Some(delta)),
            AnswerForm::Text => ("text_completion", Some(text), None),
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
        // Writing to memory does not fail, and the bodies hold only strings and numbers.
        let _ = serde_json::to_writer(out.writer(), event);
        out.extend_from_slice(b"\n\n");
    }
}
