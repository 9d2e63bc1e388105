//! The routes and services of one version of the configuration.

use std::collections::BTreeMap;
use std::sync::Arc;
use std::time::Duration;

use gs_protocol::ids::ServiceName;

use super::workspaces::{KeyDigest, KeyError, RequestCaller, WorkspaceTable};

/// The kind of requests of a route, which determines whether they may be retried.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum RouteKind {
    /// Idempotent: a request may run more than once.
    Safe,
    /// Non-idempotent: a request runs at most once.
    Unsafe,
    /// Generation: the answer is a stream of events.
    Streaming {
        /// Whether another server may continue a broken stream after the last delivered event.
        is_resumable: bool,
        /// Maximum time between two events for the answer to count as on time.
        gap_target: Option<Duration>,
    },
}

impl RouteKind {
    /// Returns whether a request that may have run may be sent again from its beginning.
    pub fn is_idempotent(self) -> bool {
        match self {
            Self::Safe => true,
            Self::Unsafe => false,
            Self::Streaming { is_resumable, .. } => is_resumable,
        }
    }
}

/// One service of a route and its share of the requests.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct RouteTarget {
    /// The name of the service.
    pub service: ServiceName,
    /// Its share of the requests, relative to the weights of the other targets.
    pub weight: u32,
}

/// One route: which requests it matches, and how and where they are forwarded.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct RouteRule {
    /// Name for log lines.
    pub name: String,
    /// The host of matching requests.
    pub host: String,
    /// The path prefix of matching requests; starts and ends with a slash.
    pub path_prefix: String,
    /// The kind of its requests.
    pub kind: RouteKind,
    /// Maximum time until a request is answered.
    pub timeout: Duration,
    /// Maximum time to the answer, or to the first event of a stream, for it to count as on time.
    pub latency_target: Duration,
    /// Priority; 0 is the most urgent.
    pub rank: u8,
    /// Whether its requests need no API key where the configuration has workspaces.
    pub is_public: bool,
    /// The services that requests are forwarded to.
    pub targets: Vec<RouteTarget>,
    /// Maximum number of servers that may run one request.
    pub max_attempts: u32,
}

impl RouteRule {
    /// Returns the time within which a request must have its final answer, from the time that its
    /// client will wait, if it says so.
    pub fn time_limit(&self, deadline: Option<Duration>) -> Duration {
        deadline.map_or(self.timeout, |deadline| deadline.min(self.timeout))
    }

    /// Selects a service by weight. `draw` is a random number from 0 to 1. Returns none if all
    /// weights are zero.
    pub fn target(&self, draw: f64) -> Option<&ServiceName> {
        let total: u32 = self.targets.iter().map(|target| target.weight).sum();
        let mut remaining = draw.clamp(0.0, 1.0) * f64::from(total);
        let weighted = self.targets.iter().filter(|target| target.weight > 0);
        let mut last = None;
        for target in weighted {
            last = Some(&target.service);
            remaining -= f64::from(target.weight);
            if remaining < 0.0 {
                break;
            }
        }
        last
    }
}

/// Configured properties of a service's model engines.
#[derive(Clone, Debug, PartialEq)]
pub struct EngineSpec {
    /// Streams that one engine runs concurrently.
    pub slots: u32,
    /// Capacity of one engine's memory, in tokens.
    pub memory_tokens: u64,
    /// Tokens in one event of a stream.
    pub tokens_per_event: u32,
    /// How long an engine keeps the result of a prefill that no decode engine has fetched.
    pub result_lifetime: Duration,
    /// How long an engine is unavailable while it changes its stage; none if it cannot change.
    pub stage_change_time: Option<Duration>,
}

/// Configured properties of a service.
#[derive(Clone, Debug, PartialEq)]
pub struct ServiceSpec {
    /// Maximum connections that one server accepts from all callers together.
    pub max_connections: Option<u32>,
    /// Properties of the servers if they are model engines.
    pub engine: Option<EngineSpec>,
}

/// Limits on what clients may send.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub struct ClientLimits {
    /// Maximum bytes of a request's head.
    pub header_bytes: usize,
    /// Maximum bytes of a request's body.
    pub body_bytes: usize,
    /// Maximum time that a connection may be idle.
    pub idle_timeout: Duration,
}

impl Default for ClientLimits {
    /// Returns the limits of an entry that has not received a configuration yet.
    fn default() -> Self {
        Self {
            header_bytes: 16_384,
            body_bytes: 4_194_304,
            idle_timeout: Duration::from_secs(15),
        }
    }
}

/// Returns the name of a host by which routes are found: in lower case, without a port.
pub(crate) fn host_name(host: &str) -> String {
    let name = host.split(':').next().unwrap_or(host);
    name.to_ascii_lowercase()
}

/// The route table: routes and services of one version of the configuration.
#[derive(Clone, Debug, Default)]
pub struct RouteTable {
    /// The version of the configuration.
    pub version: u64,
    /// Limits on what clients may send.
    pub limits: ClientLimits,
    /// The workspaces; none if requests need no API key.
    pub workspaces: Option<WorkspaceTable>,
    routes: BTreeMap<String, Vec<Arc<RouteRule>>>,
    services: BTreeMap<ServiceName, ServiceSpec>,
}

impl RouteTable {
    /// Creates a table of routes and services.
    pub fn new(
        version: u64,
        limits: ClientLimits,
        rules: Vec<RouteRule>,
        services: BTreeMap<ServiceName, ServiceSpec>,
    ) -> Self {
        let mut routes: BTreeMap<String, Vec<Arc<RouteRule>>> = BTreeMap::new();
        for rule in rules {
            let host = rule.host.to_ascii_lowercase();
            routes.entry(host).or_default().push(Arc::new(rule));
        }
        for rules in routes.values_mut() {
            rules.sort_by_key(|rule| std::cmp::Reverse(rule.path_prefix.len()));
        }
        Self {
            version,
            limits,
            workspaces: None,
            routes,
            services,
        }
    }

    /// Returns the route with the longest matching path prefix at a host. A port in `host` is
    /// ignored.
    pub fn find(&self, host: &str, path: &str) -> Option<&Arc<RouteRule>> {
        let rules = self.routes.get(&host_name(host))?;
        rules
            .iter()
            .find(|rule| path.starts_with(&rule.path_prefix))
    }

    /// Returns whose request it is. Fails if the route needs an API key and no workspace holds `key`.
    pub fn identify_caller(
        &self,
        rule: &RouteRule,
        key: Option<&KeyDigest>,
    ) -> Result<RequestCaller, KeyError> {
        let Some(workspaces) = &self.workspaces else {
            return Ok(RequestCaller::Unscoped);
        };
        if rule.is_public {
            return Ok(RequestCaller::Public);
        }
        let workspace = workspaces.find(key.ok_or(KeyError::Missing)?);
        let workspace = workspace.ok_or(KeyError::Unknown)?;
        Ok(RequestCaller::Workspace(workspace.clone()))
    }

    /// Returns the properties of a service.
    pub fn service(&self, service: &ServiceName) -> Option<&ServiceSpec> {
        self.services.get(service)
    }
}
