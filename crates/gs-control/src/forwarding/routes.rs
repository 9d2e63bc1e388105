//! The routes and services that one version of a configuration names.

use std::collections::BTreeMap;
use std::sync::Arc;
use std::time::Duration;

use gs_protocol::ids::ServiceName;

/// What may be repeated on a route.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum RouteKind {
    /// Idempotent: may run more than once.
    Safe,
    /// Non-idempotent: runs once at most.
    Unsafe,
    /// A generation whose answer is a stream of events.
    Streaming {
        /// Whether another server may go on after the last event that was delivered.
        is_resumable: bool,
        /// The longest pause between two events of an answer that is on time.
        gap_target: Option<Duration>,
    },
}

impl RouteKind {
    /// Whether a request that may have run may be sent again from its beginning.
    pub fn is_idempotent(self) -> bool {
        match self {
            Self::Safe => true,
            Self::Unsafe => false,
            Self::Streaming { is_resumable, .. } => is_resumable,
        }
    }
}

/// One service of a route and its part of the requests.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct RouteTarget {
    /// The service.
    pub service: ServiceName,
    /// Its part, relative to the other targets.
    pub weight: u32,
}

/// One route.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct RouteRule {
    /// The route's name, for logs.
    pub name: String,
    /// The host that requests name.
    pub host: String,
    /// The beginning of the path; begins and ends with a slash.
    pub path_prefix: String,
    /// What may be repeated.
    pub kind: RouteKind,
    /// The longest time that a request is kept waiting.
    pub timeout: Duration,
    /// Time to the answer, or to the first event of a stream, that counts as on time.
    pub latency_target: Duration,
    /// 0 is the most urgent.
    pub rank: u8,
    /// Where the requests go.
    pub targets: Vec<RouteTarget>,
    /// Servers that one request may run on at most.
    pub max_attempts: u32,
}

impl RouteRule {
    /// The service for a request, by a draw from 0 to 1.
    pub fn target(&self, draw: f64) -> Option<&ServiceName> {
        let total: u32 = self.targets.iter().map(|target| target.weight).sum();
        let mut left = draw.clamp(0.0, 1.0) * f64::from(total);
        let weighted = self.targets.iter().filter(|target| target.weight > 0);
        let mut last = None;
        for target in weighted {
            last = Some(&target.service);
            left -= f64::from(target.weight);
            if left < 0.0 {
                break;
            }
        }
        last
    }
}

/// What is known of a service's model engines.
#[derive(Clone, Debug, PartialEq)]
pub struct EngineSpec {
    /// Streams that one engine runs at once.
    pub slots: u32,
    /// Tokens that one engine's memory holds.
    pub memory_tokens: u64,
    /// Tokens of one event of a stream.
    pub tokens_per_event: u32,
    /// How long an engine keeps the result of a prefill that is not taken.
    pub result_lifetime: Duration,
    /// How long an engine is away while it changes its stage; none if it cannot be ordered to.
    pub stage_switch: Option<Duration>,
}

/// One service.
#[derive(Clone, Debug, PartialEq)]
pub struct ServiceSpec {
    /// Connections that one server takes from all callers together.
    pub max_connections: Option<u32>,
    /// Set if the servers are model engines.
    pub engine: Option<EngineSpec>,
}

/// What a client may send.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub struct ClientLimits {
    /// Bytes of a request's head.
    pub header_bytes: usize,
    /// Bytes of a request's body.
    pub body_bytes: usize,
    /// How long a connection may be idle.
    pub idle_timeout: Duration,
}

impl Default for ClientLimits {
    /// The limits of an entry that knows no configuration yet.
    fn default() -> Self {
        Self {
            header_bytes: 16_384,
            body_bytes: 4_194_304,
            idle_timeout: Duration::from_secs(15),
        }
    }
}

/// One version of the configuration.
#[derive(Clone, Debug, Default)]
pub struct RouteTable {
    /// The version.
    pub version: u64,
    /// What clients may send.
    pub limits: ClientLimits,
    routes: BTreeMap<String, Vec<Arc<RouteRule>>>,
    services: BTreeMap<ServiceName, ServiceSpec>,
}

impl RouteTable {
    /// A table of routes and services.
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
            routes,
            services,
        }
    }

    /// The route with the longest prefix of a path at a host; a port in `host` is passed over.
    pub fn find(&self, host: &str, path: &str) -> Option<&Arc<RouteRule>> {
        let name = host.split(':').next().unwrap_or(host).to_ascii_lowercase();
        let rules = self.routes.get(&name)?;
        rules
            .iter()
            .find(|rule| path.starts_with(&rule.path_prefix))
    }

    /// What is known of a service.
    pub fn service(&self, service: &ServiceName) -> Option<&ServiceSpec> {
        self.services.get(service)
    }
}
