//! Startup and shutdown of the daemon.

use std::any::Any;
use std::cell::Cell;
use std::net::{SocketAddr, TcpListener};
use std::rc::Rc;
use std::sync::Arc;
use std::time::{Duration, Instant, SystemTime, UNIX_EPOCH};

use actix::{Actor, Addr};
use actix_rt::Arbiter;
use actix_web::dev::{Server, ServerHandle};
use actix_web::web::Data;
use actix_web::{App, HttpServer};
use error_stack::{Report, ResultExt};
use gs_document::settings::EntrySettings;
use gs_platform::{HttpPlatform, HttpPlatformOptions};
use gs_protocol::ids::{EntryIdentity, Incarnation};
use gs_protocol::peer::{PeerIdentity, PeerState};
use socket2::SockRef;
use tokio::net::TcpStream;
use tokio::signal::unix::{Signal, SignalKind, signal};
use tokio::sync::{broadcast, watch};
use xxhash_rust::xxh3::xxh3_64_with_seed;

use crate::control::{ControlActor, ControlMessage, CountOpenClaims};
use crate::documents::{AppliedDocument, DocumentOutput, report_status, watch_orders};
use crate::error::EntryError;
use crate::options::EntryOptions;
use crate::peers::{FleetView, LinkContext, PeerCredentials, accept_peers};
use crate::servers::poll_vms;
use crate::shutdown::ShutdownState;
use crate::telemetry;
use crate::traffic::{TrafficState, configure_routes};

/// Frames to all peers that a link may lag behind before it misses the oldest.
const BROADCAST_CAPACITY: usize = 64;

/// Interval at which recorded metrics are moved into their buckets.
const METRICS_MAINTENANCE_INTERVAL: Duration = Duration::from_secs(1);

/// Maximum time that shutdown waits for the ends of claimed requests to be written.
const CLAIM_WRITE_TIMEOUT: Duration = Duration::from_secs(5);

/// Interval at which shutdown checks for open claims.
const CLAIM_CHECK_INTERVAL: Duration = Duration::from_millis(50);

/// Maximum number of connections that wait to be accepted.
const ACCEPT_BACKLOG: u32 = 2_048;

/// Bytes that the kernel holds for a caller beyond what the caller's own buffer takes. Without this bound it holds
/// up to some megabytes for each caller that does not read.
const MAX_UNSENT_BYTES: u32 = 65_536;

/// Sockets that the daemon listens on.
struct OpenListeners {
    callers: TcpListener,
    peers: TcpListener,
}

/// State that the control thread, the traffic threads and the shutdown share.
#[derive(Clone)]
struct SharedState {
    settings: Arc<EntrySettings>,
    peer: PeerIdentity,
    control: Addr<ControlActor>,
    documents: watch::Receiver<Option<Arc<AppliedDocument>>>,
    fleet: watch::Receiver<Arc<FleetView>>,
    shutdown: ShutdownState,
}

/// Channels that the control thread publishes to.
struct ControlOutputs {
    applied: watch::Sender<Option<Arc<AppliedDocument>>>,
    fleet: watch::Sender<Arc<FleetView>>,
}

/// Runs the daemon until a signal stops it.
pub async fn run(options: EntryOptions) -> Result<(), Report<EntryError>> {
    let settings = Arc::new(read_settings(&options)?);
    telemetry::install_recorder().change_context(EntryError::InstallRecorder)?;
    let listeners = OpenListeners {
        callers: listen(settings.listen)?,
        peers: listen(settings.peer_listen)?,
    };
    let peer = own_identity(&settings, &listeners)?;
    let shared = start_control(&settings, peer, listeners.peers);
    actix_rt::spawn(maintain_metrics());
    let server = start_traffic(&shared, listeners.callers)?;
    let (address, peer) = (shared.peer.address, shared.peer.peer_address);
    log::info!(target: "entry", name:% = settings.name; "ready address={address} peer={peer}");
    let signals = Signals::install()?;
    actix_rt::spawn(shut_down(signals, server.handle(), shared));
    server.await.change_context(EntryError::ServeHttp)
}

fn read_settings(options: &EntryOptions) -> Result<EntrySettings, Report<EntryError>> {
    let path = options.settings.display().to_string();
    let text = std::fs::read_to_string(&options.settings)
        .change_context_lazy(|| EntryError::ReadSettings { path: path.clone() })?;
    gs_document::settings::parse_entry_settings(&path, &text)
        .change_context_lazy(|| EntryError::CheckSettings { path: path.clone() })
}

fn listen(address: SocketAddr) -> Result<TcpListener, Report<EntryError>> {
    let failed = || EntryError::Listen {
        address: address.to_string(),
    };
    let listener = TcpListener::bind(address).change_context_lazy(failed)?;
    listener.set_nonblocking(true).change_context_lazy(failed)?;
    Ok(listener)
}

fn own_identity(
    settings: &EntrySettings,
    listeners: &OpenListeners,
) -> Result<PeerIdentity, Report<EntryError>> {
    let bound_address = |listener: &TcpListener, configured: SocketAddr| {
        let failed = || EntryError::Listen {
            address: configured.to_string(),
        };
        listener.local_addr().change_context_lazy(failed)
    };
    let identity = EntryIdentity {
        entry: settings.name.clone(),
        incarnation: new_incarnation(),
    };
    Ok(PeerIdentity {
        identity,
        data_centre: settings.data_centre.clone(),
        address: bound_address(&listeners.callers, settings.listen)?,
        peer_address: bound_address(&listeners.peers, settings.peer_listen)?,
    })
}

/// Starts the control thread.
fn start_control(
    settings: &Arc<EntrySettings>,
    peer: PeerIdentity,
    listener: TcpListener,
) -> SharedState {
    let (applied, documents) = watch::channel(None);
    let (fleet_sender, fleet) = watch::channel(Arc::default());
    let outputs = ControlOutputs {
        applied,
        fleet: fleet_sender,
    };
    let arbiter = Arbiter::new();
    let (sender, receiver) = std::sync::mpsc::channel();
    let (control_settings, own) = (Arc::clone(settings), peer.clone());
    arbiter.spawn_fn(move || {
        let control = run_control(&control_settings, own, outputs, listener);
        // Sending fails only if the daemon has already ended.
        let _ = sender.send(control);
    });
    let control = receiver
        .recv()
        .expect("the control thread sends its actor's address");
    let grace = settings.limits.entry_list_ttl + settings.timeouts.shutdown;
    let (settings, shutdown) = (Arc::clone(settings), ShutdownState::new(grace));
    SharedState {
        settings,
        peer,
        control,
        documents,
        fleet,
        shutdown,
    }
}

/// Starts the actor and its background tasks on the current thread.
fn run_control(
    settings: &Arc<EntrySettings>,
    own: PeerIdentity,
    outputs: ControlOutputs,
    listener: TcpListener,
) -> Addr<ControlActor> {
    let seed = derive_process_seed(settings, &own.identity);
    let credentials = PeerCredentials {
        own,
        key: settings.peer_key.clone(),
        timeout: settings.timeouts.connect,
    };
    let options = HttpPlatformOptions {
        answer_timeout: settings.timeouts.platform,
        connect_timeout: settings.timeouts.connect,
        ..HttpPlatformOptions::new(settings.platform)
    };
    let platform = || HttpPlatform::new(options);
    let state = Rc::new(Cell::new(PeerState::default()));
    let (status_sender, status) = watch::channel(None);
    let control = ControlActor::create(|context| {
        let link_context = LinkContext {
            credentials: Rc::new(credentials),
            state,
            broadcasts: broadcast::Sender::new(BROADCAST_CAPACITY),
            control: actix::AsyncContext::address(context),
            heartbeat: settings.intervals.heartbeat,
            silence_limit: settings.intervals.suspect_after,
        };
        match tokio::net::TcpListener::from_std(listener) {
            Ok(listener) => drop(actix_rt::spawn(accept_peers(
                listener,
                link_context.clone(),
            ))),
            Err(error) => log::error!(target: "peers", "Links cannot be accepted: {error}."),
        }
        let documents = DocumentOutput {
            applied: outputs.applied,
            status: status_sender,
        };
        let (settings, platform) = (Arc::clone(settings), Rc::new(platform()));
        ControlActor::new(
            settings,
            seed,
            link_context,
            outputs.fleet,
            documents,
            platform,
        )
    });
    actix_rt::spawn(poll_vms(platform(), Arc::clone(settings), control.clone()));
    let watch_settings = Arc::clone(settings);
    actix_rt::spawn(watch_orders(platform(), watch_settings, control.clone()));
    let status_settings = Arc::clone(settings);
    actix_rt::spawn(report_status(Rc::new(platform()), status_settings, status));
    control
}

fn start_traffic(
    shared: &SharedState,
    listener: TcpListener,
) -> Result<Server, Report<EntryError>> {
    let settings = &shared.settings;
    let worker_shared = shared.clone();
    let threads = settings.traffic_threads.get();
    let server = HttpServer::new(move || {
        let state = TrafficState::new(
            Arc::clone(&worker_shared.settings),
            &worker_shared.peer,
            worker_shared.control.clone(),
            worker_shared.documents.clone(),
            worker_shared.fleet.clone(),
            worker_shared.shutdown.clone(),
        );
        App::new()
            .app_data(Data::new(state))
            .configure(configure_routes)
    })
    .on_connect(|connection, _| bound_unsent_bytes(connection))
    .workers(threads)
    .max_connections(settings.limits.max_connections.div_ceil(threads))
    .backlog(ACCEPT_BACKLOG)
    .client_request_timeout(settings.timeouts.caller_read)
    .h1_allow_half_closed(false)
    .disable_signals()
    .shutdown_timeout(settings.timeouts.shutdown.as_secs())
    .listen(listener)
    .change_context_lazy(|| EntryError::Listen {
        address: shared.peer.address.to_string(),
    })?
    .run();
    Ok(server)
}

/// Bounds what the kernel holds for a caller that does not read.
fn bound_unsent_bytes(connection: &dyn Any) {
    let Some(stream) = connection.downcast_ref::<TcpStream>() else {
        return;
    };
    if let Err(error) = SockRef::from(stream).set_tcp_notsent_lowat(MAX_UNSENT_BYTES) {
        log::debug!(target: "startup", "cannot bound the unsent bytes: {error}");
    }
}

/// Signals that stop the daemon.
struct Signals {
    terminate: Signal,
    interrupt: Signal,
}

impl Signals {
    fn install() -> Result<Self, Report<EntryError>> {
        let install = |kind| signal(kind).change_context(EntryError::InstallSignals);
        Ok(Self {
            terminate: install(SignalKind::terminate())?,
            interrupt: install(SignalKind::interrupt())?,
        })
    }

    async fn next(&mut self) {
        tokio::select! {
            _ = self.terminate.recv() => {}
            _ = self.interrupt.recv() => {}
        }
    }
}

/// Shuts down: leaves the list of entries, serves until the lists that callers hold have expired,
/// then waits for open requests up to the shutdown timeout. A second signal aborts them.
async fn shut_down(mut signals: Signals, server: ServerHandle, shared: SharedState) {
    signals.next().await;
    shared.shutdown.begin();
    shared.control.do_send(ControlMessage::Leave);
    let ttl = shared.settings.limits.entry_list_ttl;
    log::info!(target: "entry", ttl_s = ttl.as_secs(); "Leaving; serving until entry lists expire.");
    tokio::select! {
        () = tokio::time::sleep(ttl) => {}
        () = signals.next() => return stop_now(&server).await,
    }
    tokio::select! {
        () = server.stop(true) => log::info!(target: "entry", "All requests have ended."),
        () = signals.next() => stop_now(&server).await,
    }
    wait_for_claims(&shared.control).await;
}

/// Waits until the ends of all claimed requests are written, up to [`CLAIM_WRITE_TIMEOUT`].
async fn wait_for_claims(control: &Addr<ControlActor>) {
    let deadline = Instant::now() + CLAIM_WRITE_TIMEOUT;
    while Instant::now() < deadline {
        match control.send(CountOpenClaims).await {
            Ok(0) | Err(_) => return,
            Ok(_) => tokio::time::sleep(CLAIM_CHECK_INTERVAL).await,
        }
    }
    log::warn!(target: "entry", "Ends of some claimed requests were not written in time.");
}

async fn stop_now(server: &ServerHandle) {
    log::warn!(target: "entry", "Received a second signal: open requests are aborted.");
    server.stop(false).await;
}

async fn maintain_metrics() {
    loop {
        tokio::time::sleep(METRICS_MAINTENANCE_INTERVAL).await;
        telemetry::run_maintenance();
    }
}

/// Derives the seed of this process. It differs between entries and between restarts even if the
/// settings have the same seed, because attempt identifiers are generated from it.
fn derive_process_seed(settings: &EntrySettings, identity: &EntryIdentity) -> u64 {
    let entry = identity.entry.as_str().as_bytes();
    let incarnation = identity.incarnation.0;
    xxh3_64_with_seed(entry, incarnation ^ settings.seed.unwrap_or_default())
}

/// Creates an incarnation that later starts exceed: milliseconds since 1970.
fn new_incarnation() -> Incarnation {
    let elapsed = SystemTime::now()
        .duration_since(UNIX_EPOCH)
        .unwrap_or_default();
    Incarnation(u64::try_from(elapsed.as_millis()).unwrap_or(u64::MAX))
}
