//! Parameters of a completion, common to both request formats.

use gs_control::quarantine::{CallerIdentity, RequestContents, RequestIdentity};
use gs_document::document::ModelEntry;
use gs_protocol::caller::{ChatRequest, CompletionRequest, DEFAULT_MAX_TOKENS};
use gs_protocol::ids::{CallerName, ModelName};
use gs_protocol::prefix::{count_tokens, derive_seed};
use gs_protocol::refusal::RefusalReason;
use gs_protocol::suspicion::RequestFingerprint;

use crate::traffic::{CallerRefusal, RequestContext};

/// OpenAI-style API that the request used; it determines the format of the answer.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum CompletionKind {
    /// `/v1/chat/completions`
    Chat,
    /// `/v1/completions`
    Text,
}

/// A validated completion request.
#[derive(Clone, Debug)]
pub struct GenerationParams {
    /// API that the request used.
    pub kind: CompletionKind,
    /// Model to run.
    pub model: ModelName,
    /// Text to continue.
    pub prompt: String,
    /// Number of tokens of the prompt.
    pub prompt_tokens: u32,
    /// Maximum number of tokens to generate.
    pub max_tokens: u32,
    /// Seed of the generation.
    pub seed: u64,
    /// Whether to stream the answer as server-sent events.
    pub stream: bool,
    /// Identifies the request when its caller repeats it.
    pub fingerprint: RequestFingerprint,
}

impl CompletionKind {
    /// Path of the API.
    pub fn path(self) -> &'static str {
        match self {
            Self::Chat => "/v1/chat/completions",
            Self::Text => "/v1/completions",
        }
    }

    /// Identifies a request to this API.
    fn fingerprint(self, body: &[u8], caller: &CallerName) -> RequestFingerprint {
        let identity = RequestIdentity {
            method: "POST",
            path: self.path(),
            body,
            // Every host has the same callers and models.
            host: "",
            caller: CallerIdentity::Workspace(caller.as_str()),
        };
        RequestContents::new(&identity, Vec::new()).request.into()
    }
}

impl GenerationParams {
    /// Parses and validates the body of `/v1/completions`.
    pub fn from_text(body: &[u8], context: &RequestContext) -> Result<Self, CallerRefusal> {
        let request: CompletionRequest = parse(body)?;
        let CompletionRequest {
            model,
            prompt,
            max_tokens,
            stream,
            seed,
        } = request;
        let params = Self::build(
            CompletionKind::Text,
            model,
            prompt,
            max_tokens,
            seed,
            stream,
            CompletionKind::Text.fingerprint(body, &context.caller),
        );
        params.validate(context)
    }

    /// Parses and validates the body of `/v1/chat/completions`.
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
        let params = Self::build(
            CompletionKind::Chat,
            model,
            lines.concat(),
            max_tokens,
            seed,
            stream,
            CompletionKind::Chat.fingerprint(body, &context.caller),
        );
        params.validate(context)
    }

    fn build(
        kind: CompletionKind,
        model: String,
        prompt: String,
        max_tokens: Option<u32>,
        seed: Option<u64>,
        stream: bool,
        fingerprint: RequestFingerprint,
    ) -> Self {
        Self {
            kind,
            model: ModelName::new(model),
            prompt_tokens: count_tokens(&prompt),
            max_tokens: max_tokens.unwrap_or(DEFAULT_MAX_TOKENS),
            seed: seed.unwrap_or_else(|| derive_seed(&prompt)),
            prompt,
            stream,
            fingerprint,
        }
    }

    fn validate(self, context: &RequestContext) -> Result<Self, CallerRefusal> {
        let model = self.model.as_str();
        let Some(entry) = context.document.document.models.get(&self.model) else {
            let detail = format!("model \"{model}\" does not exist in the document in force");
            return Err(CallerRefusal::not_run(RefusalReason::UnknownModel, detail));
        };
        let allowed = context
            .caller_entry()
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
