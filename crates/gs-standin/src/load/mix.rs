//! The mix of requests of a load run: classes of callers, floods and service calls.

use std::path::Path;

use serde::{Deserialize, Serialize};

use super::error::LoadError;
use super::options::MixOptions;

/// The requests of a load run.
#[derive(Clone, Debug, Default, Deserialize, Serialize)]
#[serde(default, deny_unknown_fields, rename_all = "camelCase")]
pub struct LoadMix {
    /// Classes of completions.
    pub classes: Vec<ClassMix>,
    /// Calls of plain services.
    pub services: Vec<ServiceMix>,
}

/// A class of completions.
#[derive(Clone, Debug, Deserialize, Serialize)]
#[serde(deny_unknown_fields, rename_all = "camelCase")]
pub struct ClassMix {
    /// The name in the report.
    pub name: String,
    /// The rank in the report; not sent.
    #[serde(default)]
    pub rank: String,
    /// The caller's bearer token.
    pub token: String,
    /// The model.
    pub model: String,
    /// Mean arrivals per second.
    pub rate_per_s: f64,
    /// Prompt sizes, including a shared prefix.
    pub prompt_tokens: TokenRange,
    /// Output sizes.
    pub output_tokens: TokenRange,
    /// Prefixes that several prompts share.
    #[serde(default)]
    pub shared_prefix: SharedPrefix,
    /// Target for the time to first token, in milliseconds.
    pub first_token_ms: u64,
    /// Target for the time between tokens, in milliseconds.
    pub between_tokens_ms: u64,
    /// Share of requests that the client cancels, from 0 to 1.
    #[serde(default)]
    pub cancel_share: f64,
    /// Floods of this class.
    #[serde(default)]
    pub floods: Vec<FloodSpan>,
}

/// Calls of a plain service.
#[derive(Clone, Debug, Deserialize, Serialize)]
#[serde(deny_unknown_fields, rename_all = "camelCase")]
pub struct ServiceMix {
    /// The name in the report.
    pub name: String,
    /// The caller's bearer token.
    pub token: String,
    /// The HTTP method.
    #[serde(default)]
    pub method: ServiceMethod,
    /// The path at the entry, such as `/services/counter-desk/bookings`.
    pub path: String,
    /// Mean calls per second.
    pub rate_per_s: f64,
    /// Whether each call carries an idempotency key.
    #[serde(default)]
    pub keyed: bool,
    /// Maximum tries of one call; each goes to another entry than the one before, if there is one.
    #[serde(default = "default_tries")]
    pub tries: u32,
    /// Target for the time to the answer, in milliseconds.
    pub answer_ms: u64,
    /// Floods of this service.
    #[serde(default)]
    pub floods: Vec<FloodSpan>,
}

/// The HTTP method of a service call.
#[derive(Clone, Copy, Debug, Default, Deserialize, Eq, PartialEq, Serialize)]
#[serde(rename_all = "UPPERCASE")]
pub enum ServiceMethod {
    /// The seed of the call is appended to the path.
    Get,
    /// The seed of the call is sent in the body.
    #[default]
    Post,
}

/// A range of sizes in tokens.
#[derive(Clone, Copy, Debug, Deserialize, Serialize)]
#[serde(deny_unknown_fields, rename_all = "camelCase")]
pub struct TokenRange {
    /// The smallest size.
    pub min: u32,
    /// The largest size.
    pub max: u32,
    /// The distribution of sizes.
    #[serde(default)]
    pub spread: TokenSpread,
}

/// The distribution of sizes over a range.
#[derive(Clone, Copy, Debug, Default, Deserialize, Eq, PartialEq, Serialize)]
#[serde(rename_all = "kebab-case")]
pub enum TokenSpread {
    /// Uniform: each size is equally likely.
    #[default]
    Uniform,
    /// Log-uniform: each doubling is equally likely.
    Log,
}

/// Prefixes that several prompts share.
#[derive(Clone, Copy, Debug, Default, Deserialize, Serialize)]
#[serde(deny_unknown_fields, rename_all = "camelCase")]
pub struct SharedPrefix {
    /// Share of the requests with a shared prefix, from 0 to 1.
    pub share: f64,
    /// Size of a prefix, in tokens.
    pub tokens: u32,
    /// Number of different prefixes.
    pub variants: u32,
}

/// A period in which a class or service sends at a different rate.
#[derive(Clone, Copy, Debug, Deserialize, Serialize)]
#[serde(deny_unknown_fields, rename_all = "camelCase")]
pub struct FloodSpan {
    /// Begin, in seconds from the start of the run.
    pub from_s: f64,
    /// End, in seconds from the start of the run.
    pub to_s: f64,
    /// Factor of the rate.
    pub factor: f64,
}

/// Default of [`ServiceMix::tries`].
fn default_tries() -> u32 {
    3
}

impl LoadMix {
    /// Reads the mix from the file that the options name, or builds a single class from the
    /// options.
    pub fn from_options(options: &MixOptions) -> Result<Self, LoadError> {
        match &options.mix {
            Some(path) => Self::read(path),
            None => Ok(Self {
                classes: vec![class_from_options(options)],
                services: Vec::new(),
            }),
        }
    }

    /// Whether a class or service floods at a time, in seconds from the start of the run.
    pub fn floods_at(&self, at_s: f64) -> bool {
        self.floods().any(|flood| flood.contains(at_s))
    }

    /// Seconds of a run in which at least one class or service floods.
    pub fn flood_seconds(&self, length_s: f64) -> f64 {
        let mut spans: Vec<_> = self.floods().collect();
        spans.sort_by(|left, right| left.from_s.total_cmp(&right.from_s));
        let mut covered_to = 0.0_f64;
        let mut seconds = 0.0;
        for span in spans {
            let (from, to) = (span.from_s.max(covered_to), span.to_s.min(length_s));
            seconds += (to - from).max(0.0);
            covered_to = covered_to.max(to);
        }
        seconds
    }

    fn floods(&self) -> impl Iterator<Item = &FloodSpan> {
        let classes = self.classes.iter().flat_map(|class| &class.floods);
        let services = self.services.iter().flat_map(|service| &service.floods);
        classes.chain(services)
    }

    /// The token of the first class or service, for requests of the entry list; empty if there is
    /// none.
    pub fn any_token(&self) -> &str {
        let classes = self.classes.iter().map(|class| &class.token);
        let services = self.services.iter().map(|service| &service.token);
        classes.chain(services).next().map_or("", String::as_str)
    }

    fn read(path: &Path) -> Result<Self, LoadError> {
        let name = path.display().to_string();
        let text = std::fs::read_to_string(path).map_err(|source| LoadError::ReadMix {
            path: name.clone(),
            source,
        })?;
        let value = jsonc_parser::parse_to_serde_value(&text, &Default::default());
        let value = value.map_err(|source| LoadError::ParseMix {
            path: name.clone(),
            source,
        })?;
        serde_json::from_value(value.unwrap_or_default())
            .map_err(|source| LoadError::MixField { path: name, source })
    }
}

impl FloodSpan {
    /// Whether a time, in seconds from the start of the run, lies in the span.
    pub fn contains(&self, at_s: f64) -> bool {
        (self.from_s..self.to_s).contains(&at_s)
    }
}

impl TokenRange {
    /// A range with a single size.
    pub fn exactly(tokens: u32) -> Self {
        Self {
            min: tokens,
            max: tokens,
            spread: TokenSpread::Uniform,
        }
    }
}

fn class_from_options(options: &MixOptions) -> ClassMix {
    ClassMix {
        name: "requests".to_owned(),
        rank: String::new(),
        token: options.token.clone(),
        model: options.model.clone(),
        rate_per_s: options.rate,
        prompt_tokens: TokenRange::exactly(options.prompt_tokens),
        output_tokens: TokenRange::exactly(options.output_tokens),
        shared_prefix: SharedPrefix::default(),
        first_token_ms: options.first_token_ms,
        between_tokens_ms: options.between_tokens_ms,
        cancel_share: 0.0,
        floods: Vec::new(),
    }
}
