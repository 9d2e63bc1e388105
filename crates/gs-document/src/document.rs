//! The document's contents: callers, models, services and who may administer.

use std::collections::BTreeMap;
use std::time::Duration;

use gs_protocol::ids::{CallerName, ModelName, OperatorName, ServerKindName, ServiceName};
use serde::{Deserialize, Serialize};
use serde_with::{DurationMilliSeconds, DurationSeconds, serde_as};

/// One environment's document.
#[serde_as]
#[derive(Clone, Debug, Deserialize, PartialEq, Serialize)]
#[serde(deny_unknown_fields, rename_all = "camelCase")]
pub struct EnvironmentDocument {
    /// Who may send requests.
    pub callers: BTreeMap<CallerName, CallerEntry>,
    /// Models that callers may name.
    pub models: BTreeMap<ModelName, ModelEntry>,
    /// Plain services under `/services/{name}/`.
    #[serde(default)]
    pub services: BTreeMap<ServiceName, ServiceEntry>,
    /// Kinds of backend servers.
    pub server_kinds: BTreeMap<ServerKindName, ServerKindEntry>,
    /// Who may administer or look on.
    #[serde(default)]
    pub operators: BTreeMap<OperatorName, OperatorEntry>,
    /// Seconds for which an idempotency key is remembered; older keys are refused.
    #[serde_as(as = "DurationSeconds<u64>")]
    #[serde(rename = "keyRetentionS", default = "default_key_retention")]
    pub key_retention: Duration,
}

fn default_key_retention() -> Duration {
    Duration::from_secs(24 * 60 * 60)
}

/// How urgent a caller's work is.
#[derive(Clone, Copy, Debug, Deserialize, Eq, Hash, Ord, PartialEq, PartialOrd, Serialize)]
#[serde(rename_all = "kebab-case")]
pub enum CallerRank {
    /// Served first.
    Urgent,
    /// Served after urgent work, with its guaranteed share kept.
    Normal,
}

impl CallerRank {
    /// The rank as a metric label.
    pub fn label(self) -> &'static str {
        match self {
            Self::Urgent => "urgent",
            Self::Normal => "normal",
        }
    }
}

/// One caller.
#[serde_as]
#[derive(Clone, Debug, Deserialize, PartialEq, Serialize)]
#[serde(deny_unknown_fields, rename_all = "camelCase")]
pub struct CallerEntry {
    /// SHA-256 digests of the caller's bearer tokens, as `sha256:` and 64 hexadecimal digits.
    pub token_digests: Vec<String>,
    /// How urgent its work is.
    pub rank: CallerRank,
    /// Milliseconds to the first token.
    #[serde_as(as = "DurationMilliSeconds<u64>")]
    #[serde(rename = "firstTokenMs")]
    pub first_token: Duration,
    /// Milliseconds between two tokens.
    #[serde_as(as = "DurationMilliSeconds<u64>")]
    #[serde(rename = "betweenTokensMs")]
    pub between_tokens: Duration,
    /// What a request is worth beside others of the same rank.
    #[serde(default = "default_worth")]
    pub worth: f64,
    /// The part of the fleet that the caller keeps while it has work, from 0 to 1.
    #[serde(default)]
    pub guaranteed_share: f64,
    /// Requests that may wait at one entry.
    #[serde(default = "default_queue_bound")]
    pub queue_bound: u32,
    /// Models that the caller may use.
    #[serde(default)]
    pub models: Vec<ModelName>,
    /// Services that the caller may use.
    #[serde(default)]
    pub services: Vec<ServiceName>,
}

fn default_worth() -> f64 {
    1.0
}

fn default_queue_bound() -> u32 {
    64
}

/// One model.
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
#[serde(deny_unknown_fields, rename_all = "camelCase")]
pub struct ModelEntry {
    /// The kind of servers that run the model.
    pub server_kind: ServerKindName,
    /// The longest prompt, in tokens.
    pub max_prompt_tokens: u32,
    /// The longest output, in tokens.
    pub max_output_tokens: u32,
}

/// One plain service.
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
#[serde(deny_unknown_fields, rename_all = "camelCase")]
pub struct ServiceEntry {
    /// The kind of servers that run the service.
    pub server_kind: ServerKindName,
    /// The routes; a call that matches none is refused.
    pub routes: Vec<RouteEntry>,
}

/// A method that a route takes.
#[derive(Clone, Copy, Debug, Deserialize, Eq, Hash, Ord, PartialEq, PartialOrd, Serialize)]
#[serde(rename_all = "UPPERCASE")]
pub enum RouteMethod {
    /// `DELETE`
    Delete,
    /// `GET`
    Get,
    /// `PATCH`
    Patch,
    /// `POST`
    Post,
    /// `PUT`
    Put,
}

/// One route of a service.
#[serde_as]
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
#[serde(deny_unknown_fields, rename_all = "camelCase")]
pub struct RouteEntry {
    /// The method.
    pub method: RouteMethod,
    /// The path below the service's name, starting with `/`; `*` stands for one segment.
    pub path: String,
    /// Whether a repeat is harmless. A non-idempotent route needs an `Idempotency-Key`.
    pub idempotent: bool,
    /// Milliseconds until the caller is answered at the latest.
    #[serde_as(as = "DurationMilliSeconds<u64>")]
    #[serde(rename = "deadlineMs", default = "default_route_deadline")]
    pub deadline: Duration,
}

fn default_route_deadline() -> Duration {
    Duration::from_secs(10)
}

/// How a kind of server is spoken to.
#[derive(Clone, Copy, Debug, Deserialize, Eq, Hash, Ord, PartialEq, PartialOrd, Serialize)]
#[serde(rename_all = "kebab-case")]
pub enum ServerProtocol {
    /// A model engine with prefill or decode role.
    Engine,
    /// A plain service.
    Service,
}

/// One kind of backend servers.
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
#[serde(deny_unknown_fields, rename_all = "camelCase")]
pub struct ServerKindEntry {
    /// How it is spoken to.
    pub protocol: ServerProtocol,
    /// Whether its servers refuse orders with an old fencing number.
    #[serde(default)]
    pub checks_fence: bool,
}

/// What an operator may do.
#[derive(Clone, Copy, Debug, Deserialize, Eq, Hash, Ord, PartialEq, PartialOrd, Serialize)]
#[serde(rename_all = "kebab-case")]
pub enum OperatorRight {
    /// Take servers out of use and put them back.
    Drain,
    /// Read documents, history and status.
    Read,
    /// Accept documents into production.
    Promote,
    /// Accept documents into trial.
    Try,
}

/// One operator, or a monitor with only the right to read.
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
#[serde(deny_unknown_fields, rename_all = "camelCase")]
pub struct OperatorEntry {
    /// SHA-256 digests of the operator's bearer tokens, as `sha256:` and 64 hexadecimal digits.
    pub token_digests: Vec<String>,
    /// What the operator may do.
    pub rights: Vec<OperatorRight>,
}
