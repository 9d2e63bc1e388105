//! What a completion asks for, the same for both request forms.

use gs_document::document::ModelEntry;
use gs_protocol::caller::{ChatRequest, CompletionRequest, DEFAULT_MAX_TOKENS};
use gs_protocol::ids::ModelName;
use gs_protocol::prefix::{count_tokens, derive_seed};
use gs_protocol::refusal::RefusalReason;

use crate::traffic::{CallerRefusal, RequestContext};

/// Which OpenAI-style form the answer takes.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum AnswerForm {
    /// `/v1/chat/completions`
    Chat,
    /// `/v1/completions`
    Text,
}

/// A checked completion request.
#[derive(Clone, Debug)]
pub struct AnswerPlan {
    /// The form of the answer.
    pub form: AnswerForm,
    /// The model to run.
    pub model: ModelName,
    /// The text to continue.
    pub prompt: String,
    /// Tokens of the prompt.
    pub prompt_tokens: u32,
    /// Tokens to generate at most.
    pub max_tokens: u32,
    /// Determines the generated text.
    pub seed: u64,
    /// Whether to answer with server-sent events.
    pub stream: bool,
}

impl AnswerPlan {
    /// Reads a `/v1/completions` body.
    pub fn from_text(body: &[u8], context: &RequestContext) -> Result<Self, CallerRefusal> {
        let request: CompletionRequest = parse(body)?;
        let CompletionRequest {
            model,
            prompt,
            max_tokens,
            stream,
            seed,
        } = request;
        let plan = Self::build(AnswerForm::Text, model, prompt, max_tokens, seed, stream);
        plan.checked(context)
    }

    /// Reads a `/v1/chat/completions` body.
    pub fn from_chat(body: &[u8], context: &RequestContext) -> Result<Self, CallerRefusal> {
        let request: ChatRequest = parse(body)?;
        let ChatRequest {
            model,
            messages,
            max_tokens,
            stream,
            seed,
        } = request;
        let lines: Vec<_> = messages
            .iter()
            .map(|message| format!("{}: {}\n", message.role, message.content))
            .collect();
        let plan = Self::build(
            AnswerForm::Chat,
            model,
            lines.concat(),
            max_tokens,
            seed,
            stream,
        );
        plan.checked(context)
    }

    fn build(
        form: AnswerForm,
        model: String,
        prompt: String,
        max_tokens: Option<u32>,
        seed: Option<u64>,
        stream: bool,
    ) -> Self {
        Self {
            form,
            model: ModelName::new(model),
            prompt_tokens: count_tokens(&prompt),
            max_tokens: max_tokens.unwrap_or(DEFAULT_MAX_TOKENS),
            seed: seed.unwrap_or_else(|| derive_seed(&prompt)),
            prompt,
            stream,
        }
    }

    fn checked(self, context: &RequestContext) -> Result<Self, CallerRefusal> {
        let model = self.model.as_str();
        let Some(entry) = context.document.document.models.get(&self.model) else {
            let detail = format!("model \"{model}\" does not exist in the document in force");
            return Err(CallerRefusal::not_run(RefusalReason::UnknownModel, detail));
        };
        let allowed = context
            .entry()
            .is_some_and(|caller| caller.models.contains(&self.model));
        if !allowed {
            let detail = format!(
                "caller \"{}\" may not use model \"{model}\"",
                context.caller
            );
            return Err(CallerRefusal::not_run(RefusalReason::Forbidden, detail));
        }
        self.check_sizes(entry)?;
        Ok(self)
    }

    fn check_sizes(&self, entry: &ModelEntry) -> Result<(), CallerRefusal> {
        if self.prompt_tokens == 0 || self.max_tokens == 0 {
            let detail = "the prompt and max_tokens must not be empty";
            return Err(CallerRefusal::not_run(RefusalReason::BadRequest, detail));
        }
        let sizes = [
            ("prompt", self.prompt_tokens, entry.max_prompt_tokens),
            ("output", self.max_tokens, entry.max_output_tokens),
        ];
        for (name, tokens, limit) in sizes {
            if tokens > limit {
                let detail = format!("the {name} has {tokens} tokens; {limit} are allowed");
                return Err(CallerRefusal::not_run(RefusalReason::PromptTooLong, detail));
            }
        }
        Ok(())
    }
}

fn parse<'a, T: serde::Deserialize<'a>>(body: &'a [u8]) -> Result<T, CallerRefusal> {
    serde_json::from_slice(body).map_err(|error| {
        let detail = format!("the body is malformed: {error}");
        CallerRefusal::not_run(RefusalReason::BadRequest, detail)
    })
}
