//! The contents of a document: callers, models, services, server kinds and operators.

use std::collections::BTreeMap;
use std::time::Duration;

use gs_protocol::ids::{CallerName, ModelName, OperatorName, ServerKindName, ServiceName};
use serde::{Deserialize, Serialize};
use serde_with::{DurationMilliSeconds, DurationSeconds, serde_as};

/// The document that configures an environment.
#[serde_as]
#[derive(Clone, Debug, Deserialize, PartialEq, Serialize)]
#[serde(deny_unknown_fields, rename_all = "camelCase")]
pub struct EnvironmentDocument {
    /// The callers, who may send requests.
    pub callers: BTreeMap<CallerName, CallerEntry>,
    /// The models that callers may request.
    pub models: BTreeMap<ModelName, ModelEntry>,
    /// The plain services, served under `/services/{name}/`.
    #[serde(default)]
    pub services: BTreeMap<ServiceName, ServiceEntry>,
    /// The kinds of backend servers.
    pub server_kinds: BTreeMap<ServerKindName, ServerKindEntry>,
    /// The operators and monitors that may call the administration API.
    #[serde(default)]
    pub operators: BTreeMap<OperatorName, OperatorEntry>,
    /// The retention of idempotency keys, in seconds; older keys are refused.
    #[serde_as(as = "DurationSeconds<u64>")]
    #[serde(rename = "keyRetentionS", default = "default_key_retention")]
    pub key_retention: Duration,
}

fn default_key_retention() -> Duration {
    Duration::from_secs(24 * 60 * 60)
}

/// The priority class of a caller's requests.
#[derive(Clone, Copy, Debug, Deserialize, Eq, Hash, Ord, PartialEq, PartialOrd, Serialize)]
#[serde(rename_all = "kebab-case")]
pub enum CallerRank {
    /// Served before normal requests.
    Urgent,
    /// Served after urgent requests, except for the caller's guaranteed share.
    Normal,
}

impl CallerRank {
    /// Returns the rank as a metric label, equal to its serialized form.
    pub fn label(self) -> &'static str {
        match self {
            Self::Urgent => "urgent",
            Self::Normal => "normal",
        }
    }
}

/// The settings of one caller.
#[serde_as]
#[derive(Clone, Debug, Deserialize, PartialEq, Serialize)]
#[serde(deny_unknown_fields, rename_all = "camelCase")]
pub struct CallerEntry {
    /// SHA-256 digests of the caller's bearer tokens, as `sha256:` and 64 hexadecimal digits.
    pub token_digests: Vec<String>,
    /// The priority class of its requests.
    pub rank: CallerRank,
    /// The target time to first token (TTFT), in milliseconds.
    #[serde_as(as = "DurationMilliSeconds<u64>")]
    #[serde(rename = "firstTokenMs")]
    pub first_token: Duration,
    /// The target time between two tokens, in milliseconds.
    #[serde_as(as = "DurationMilliSeconds<u64>")]
    #[serde(rename = "betweenTokensMs")]
    pub between_tokens: Duration,
    /// The value of a request relative to other requests of the same rank.
    #[serde(default = "default_worth")]
    pub worth: f64,
    /// The fraction of the fleet, from 0 to 1, that the caller is guaranteed while it has requests.
    #[serde(default)]
    pub guaranteed_share: f64,
    /// The maximum number of queued requests at one entry.
    #[serde(default = "default_queue_bound")]
    pub queue_bound: u32,
    /// The models that the caller may use.
    #[serde(default)]
    pub models: Vec<ModelName>,
    /// The services that the caller may use.
    #[serde(default)]
    pub services: Vec<ServiceName>,
}

fn default_worth() -> f64 {
    1.0
}

fn default_queue_bound() -> u32 {
    64
}

/// The settings of one model.
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
#[serde(deny_unknown_fields, rename_all = "camelCase")]
pub struct ModelEntry {
    /// The kind of backend servers that run the model; its protocol must be `engine`.
    pub server_kind: ServerKindName,
    /// The maximum prompt length, in tokens.
    pub max_prompt_tokens: u32,
    /// The maximum output length, in tokens.
    pub max_output_tokens: u32,
}

/// The settings of one plain service.
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
#[serde(deny_unknown_fields, rename_all = "camelCase")]
pub struct ServiceEntry {
    /// The kind of backend servers that run the service; its protocol must be `service`.
    pub server_kind: ServerKindName,
    /// The routes; a request that matches none is refused.
    pub routes: Vec<RouteEntry>,
}

/// The HTTP method of a route.
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
    /// The HTTP method.
    pub method: RouteMethod,
    /// The path below the service's name, starting with `/`; `*` matches one segment.
    pub path: String,
    /// Whether running a request twice is harmless. A non-idempotent route requires an
    /// `Idempotency-Key`.
    pub idempotent: bool,
    /// The time within which the caller must be answered, in milliseconds.
    #[serde_as(as = "DurationMilliSeconds<u64>")]
    #[serde(rename = "deadlineMs", default = "default_route_deadline")]
    pub deadline: Duration,
}

fn default_route_deadline() -> Duration {
    Duration::from_secs(10)
}

/// The protocol of a kind of backend server.
#[derive(Clone, Copy, Debug, Deserialize, Eq, Hash, Ord, PartialEq, PartialOrd, Serialize)]
#[serde(rename_all = "kebab-case")]
pub enum ServerProtocol {
    /// The protocol of model engines, see [`gs_protocol::engine`].
    Engine,
    /// The protocol of plain services, see [`gs_protocol::service`].
    Service,
}

/// The settings of one kind of backend server.
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
#[serde(deny_unknown_fields, rename_all = "camelCase")]
pub struct ServerKindEntry {
    /// The protocol of its servers.
    pub protocol: ServerProtocol,
    /// Whether its servers check fencing, that is, refuse orders with an outdated fencing number.
    #[serde(default)]
    pub checks_fence: bool,
}

/// A right of an operator.
#[derive(Clone, Copy, Debug, Deserialize, Eq, Hash, Ord, PartialEq, PartialOrd, Serialize)]
#[serde(rename_all = "kebab-case")]
pub enum OperatorRight {
    /// Drain servers and return them to use.
    Drain,
    /// Read documents, history and status.
    Read,
    /// Promote documents into production, and roll production back.
    Promote,
    /// Accept documents into trial, and roll trial back.
    Try,
}

/// The settings of one operator, or of a monitor that has only the right to read.
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
#[serde(deny_unknown_fields, rename_all = "camelCase")]
pub struct OperatorEntry {
    /// SHA-256 digests of the operator's bearer tokens, as `sha256:` and 64 hexadecimal digits.
    pub token_digests: Vec<String>,
    /// The operator's rights.
    pub rights: Vec<OperatorRight>,
}
