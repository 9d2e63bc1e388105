//! A gateway with the routes and servers of a test.

use std::collections::BTreeMap;
use std::net::SocketAddr;
use std::rc::Rc;
use std::time::Duration;

use gs_control::forwarding::{
    ClientLimits, CostUnit, EngineSpec, KeyDigest, ListedServer, QuotaSettings, RouteKind,
    RouteRule, RouteTable, RouteTarget, ServerStage, ServiceSpec, WorkspaceSpec, WorkspaceTable,
};
use gs_control::membership::{MemberCandidate, MembershipSettings};
use gs_gateway::{
    Gateway, GatewaySettings, ReportSocket, receive_reports, run_admission, run_currency,
    run_reachability, send_reports, serve_clients, serve_peers,
};
use gs_protocol::ids::{EntryIdentity, Incarnation};
use gs_protocol::peer::PeerIdentity;
use tokio::net::TcpListener;

use super::client::{RawAnswer, RawClient};
use super::wire::TestWire;

/// The routes of the tests, one of each kind.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum Route {
    Safe,
    Unsafe,
    Stream,
    Resumable,
}

impl Route {
    pub fn path(self) -> &'static str {
        match self {
            Self::Safe => "/safe/",
            Self::Unsafe => "/unsafe/",
            Self::Stream => "/stream/",
            Self::Resumable => "/resumable/",
        }
    }

    fn rule(self) -> RouteRule {
        let (kind, service) = match self {
            Self::Safe => (RouteKind::Safe, "desk"),
            Self::Unsafe => (RouteKind::Unsafe, "desk"),
            Self::Stream => (stream_kind(false), "notes"),
            Self::Resumable => (stream_kind(true), "notes"),
        };
        RouteRule {
            name: self.path().to_owned(),
            host: "desk.example".to_owned(),
            path_prefix: self.path().to_owned(),
            kind,
            timeout: Duration::from_secs(5),
            latency_target: Duration::from_millis(800),
            rank: 0,
            is_public: false,
            targets: vec![RouteTarget {
                service: service.into(),
                weight: 1,
            }],
            max_attempts: 2,
        }
    }
}

fn stream_kind(is_resumable: bool) -> RouteKind {
    RouteKind::Streaming {
        is_resumable,
        gap_target: None,
    }
}

fn listed_server(
    name: &str,
    service: &str,
    address: SocketAddr,
    stage: Option<ServerStage>,
) -> ListedServer {
    ListedServer {
        name: name.into(),
        started_at_ms: None,
        service: service.into(),
        address,
        data_centre: "north".into(),
        slots: 4,
        is_leaving: false,
        stage,
        software: "v1".into(),
    }
}

pub fn plain_server(name: &str, address: SocketAddr) -> ListedServer {
    listed_server(name, "desk", address, None)
}

pub fn prefill_server(name: &str, address: SocketAddr) -> ListedServer {
    listed_server(name, "notes", address, Some(ServerStage::Prefill))
}

pub fn decode_server(name: &str, address: SocketAddr) -> ListedServer {
    listed_server(name, "notes", address, Some(ServerStage::Decode))
}

/// A gateway that serves clients on loopback.
pub struct Deployment {
    pub gateway: Rc<Gateway>,
    pub address: SocketAddr,
}

impl Deployment {
    pub async fn start(servers: Vec<ListedServer>) -> Self {
        Self::start_named("entry-1", servers).await
    }

    pub async fn start_named(name: &str, servers: Vec<ListedServer>) -> Self {
        Self::start_in("north", name, servers).await
    }

    pub async fn start_in(data_centre: &str, name: &str, servers: Vec<ListedServer>) -> Self {
        Self::start_revoking(data_centre, name, servers, None).await
    }

    /// Starts an entry that has received neither a configuration nor a list of servers.
    pub async fn start_unconfigured(data_centre: &str, name: &str) -> Self {
        Self::start_changed(data_centre, name, |_| {}).await
    }

    /// Starts an entry at which removed keys must stop working within a time.
    pub async fn start_revoking(
        data_centre: &str,
        name: &str,
        servers: Vec<ListedServer>,
        revoke_after: Option<Duration>,
    ) -> Self {
        let deployment = Self::start_changed(data_centre, name, |settings| {
            settings.revoke_after = revoke_after;
        });
        let deployment = deployment.await;
        deployment.apply_workspaces(1, None, &[]);
        deployment.gateway.replace_servers(servers);
        deployment.gateway.replace_software_records(BTreeMap::new());
        deployment
    }

    /// Starts an entry with memory for `max_kept_bytes` of request bodies.
    pub async fn start_keeping(max_kept_bytes: usize, servers: Vec<ListedServer>) -> Self {
        let deployment = Self::start_changed("north", "entry-1", |settings| {
            settings.max_kept_bytes = max_kept_bytes;
        });
        let deployment = deployment.await;
        deployment.apply_workspaces(1, None, &[]);
        deployment.gateway.replace_servers(servers);
        deployment
    }

    /// Starts an entry whose link carries `link_rate` bytes per second.
    pub async fn start_with_link(data_centre: &str, name: &str, link_rate: u64) -> Self {
        Self::start_changed(data_centre, name, |settings| {
            settings.link_rate = Some(link_rate);
        })
        .await
    }

    async fn start_changed(
        data_centre: &str,
        name: &str,
        change: impl FnOnce(&mut GatewaySettings),
    ) -> Self {
        let listener = TcpListener::bind(("127.0.0.1", 0)).await.expect("a port");
        let address = listener.local_addr().expect("an address");
        let forward_listener = TcpListener::bind(("127.0.0.1", 0)).await.expect("a port");
        let mut settings = settings(data_centre, name, address);
        settings.forward_address = forward_listener.local_addr().ok();
        change(&mut settings);
        let gateway = Rc::new(Gateway::new(settings, Box::new(TestWire)));
        actix_rt::spawn(serve_clients(Rc::clone(&gateway), listener));
        actix_rt::spawn(serve_peers(Rc::clone(&gateway), forward_listener));
        actix_rt::spawn(run_reachability(Rc::clone(&gateway)));
        actix_rt::spawn(run_admission(Rc::clone(&gateway)));
        Self { gateway, address }
    }

    /// Applies a configuration with these workspaces and public routes.
    pub fn apply_workspaces(
        &self,
        version: u64,
        workspaces: Option<WorkspaceTable>,
        public: &[Route],
    ) {
        self.gateway
            .apply_table(route_table(version, workspaces, public));
    }

    /// Starts the exchange of heartbeats between entries.
    pub async fn join(entries: &[Self]) {
        Self::join_knowing(entries, |_, _| true).await;
    }

    /// Starts the exchange of heartbeats between entries. `is_listed` returns whether the second entry is
    /// listed for the first.
    pub async fn join_knowing(
        entries: &[Self],
        is_listed: impl Fn(&MemberCandidate, &MemberCandidate) -> bool,
    ) {
        let candidates: Vec<MemberCandidate> = entries
            .iter()
            .map(|entry| {
                let own = &entry.gateway.settings.own;
                MemberCandidate {
                    name: own.identity.entry.clone(),
                    data_centre: own.data_centre.clone(),
                    address: own.address,
                    peer_address: own.peer_address,
                    leaving: false,
                }
            })
            .collect();
        for (entry, own) in entries.iter().zip(&candidates) {
            let listed = candidates.iter().filter(|other| is_listed(own, other));
            entry.join_candidates(listed.cloned().collect()).await;
        }
    }

    /// Starts the exchange of heartbeats of this entry with the candidates.
    pub async fn join_candidates(&self, candidates: Vec<MemberCandidate>) {
        let gateway = Rc::clone(&self.gateway);
        let socket = ReportSocket::open(gateway.settings.own.peer_address).await;
        let socket = Rc::new(socket.expect("the client port is free for UDP"));
        gateway.apply_entries(candidates);
        actix_rt::spawn(receive_reports(Rc::clone(&gateway), Rc::clone(&socket)));
        actix_rt::spawn(run_currency(Rc::clone(&gateway), Rc::clone(&socket)));
        actix_rt::spawn(send_reports(gateway, socket, Incarnation(1)));
    }

    /// Sends a request on a connection of its own and reads the answer until the connection closes.
    pub async fn send_request(&self, route: Route, id: &str) -> RawAnswer {
        let mut client = RawClient::connect(self.address).await;
        client
            .send(&request(route, id, "connection: close\r\n"))
            .await;
        client.read_all().await
    }
}

/// Builds the bytes of a request.
pub fn request(route: Route, id: &str, headers: &str) -> String {
    let path = route.path();
    format!(
        "POST {path}x?y=1 HTTP/1.1\r\nhost: desk.example\r\nt-id: {id}\r\nt-tokens: 50\r\n\
         {headers}content-length: 4\r\n\r\nbody"
    )
}

/// Builds a configuration of all routes with these workspaces and public routes.
pub fn route_table(
    version: u64,
    workspaces: Option<WorkspaceTable>,
    public: &[Route],
) -> RouteTable {
    let routes = [Route::Safe, Route::Unsafe, Route::Stream, Route::Resumable];
    let rules = routes.map(|route| RouteRule {
        is_public: public.contains(&route),
        ..route.rule()
    });
    let limits = ClientLimits::default();
    let mut table = RouteTable::new(version, limits, rules.into(), services());
    table.workspaces = workspaces;
    table
}

/// Returns a configuration with a public route, in which a workspace holds these keys.
pub fn keyed_table(version: u64, keys: &[&str]) -> RouteTable {
    let workspace = WorkspaceSpec {
        name: "huka".to_owned(),
        rank: None,
        unit: CostUnit::Requests,
        quota: None,
    };
    let mut workspaces = WorkspaceTable::new();
    let digests = keys.iter().map(|key| KeyDigest::new(key.as_bytes()));
    workspaces.insert(workspace, digests);
    route_table(version, Some(workspaces), &[Route::Unsafe])
}

fn services() -> BTreeMap<gs_protocol::ids::ServiceName, ServiceSpec> {
    let engine = EngineSpec {
        slots: 4,
        memory_tokens: 10_000,
        tokens_per_event: 1,
        result_lifetime: Duration::from_millis(500),
        stage_change_time: Some(Duration::from_millis(200)),
    };
    let plain = ServiceSpec {
        max_connections: None,
        engine: None,
    };
    let engines = ServiceSpec {
        max_connections: None,
        engine: Some(engine),
    };
    BTreeMap::from([("desk".into(), plain), ("notes".into(), engines)])
}

fn settings(data_centre: &str, name: &str, address: SocketAddr) -> GatewaySettings {
    GatewaySettings {
        own: PeerIdentity {
            identity: EntryIdentity {
                entry: name.into(),
                incarnation: Incarnation(1),
            },
            data_centre: data_centre.into(),
            address,
            peer_address: address,
        },
        seed: 1,
        stop_grace: Duration::from_secs(4),
        retry_ratio: 0.2,
        retry_extra: 50.0,
        retry_window: Duration::from_secs(10),
        link_rate: None,
        forward_address: None,
        max_connections: 100,
        max_kept_bytes: 1_000_000,
        max_answer_bytes: 1_000_000,
        membership: MembershipSettings {
            suspect_after: Duration::from_secs(2),
            dead_after: Duration::from_secs(5),
        },
        revoke_after: None,
        quotas: QuotaSettings::default(),
    }
}
