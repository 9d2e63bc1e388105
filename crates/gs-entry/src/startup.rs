//! Starts and ends the daemon.

use std::cell::Cell;
use std::net::{SocketAddr, TcpListener};
use std::rc::Rc;
use std::sync::Arc;
use std::sync::atomic::{AtomicBool, Ordering};
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
use tokio::signal::unix::{Signal, SignalKind, signal};
use tokio::sync::{broadcast, watch};
use xxhash_rust::xxh3::xxh3_64_with_seed;

use crate::control::{ControlActor, ControlMessage, CountClaims};
use crate::documents::{AppliedDocument, DocumentOutput, follow_orders, report_status};
use crate::error::EntryError;
use crate::options::EntryOptions;
use crate::peers::{FleetView, PeerCredentials, PeerParts, accept_peers};
use crate::servers::poll_vms;
use crate::telemetry;
use crate::traffic::{TrafficState, configure_routes};

/// Frames to all peers that a link may be behind by.
const NOTICES_WAITING: usize = 64;

/// How often recorded metrics are moved into their buckets.
const UPKEEP_INTERVAL: Duration = Duration::from_secs(1);

/// How long the daemon waits at its end for the ends of claimed requests to be written.
const CLAIM_CLOSE_LIMIT: Duration = Duration::from_secs(5);

/// Between two looks at the open claims at the daemon's end.
const CLAIM_CLOSE_INTERVAL: Duration = Duration::from_millis(50);

/// How many connections may wait to be accepted.
const ACCEPT_BACKLOG: u32 = 2_048;

/// The sockets that the daemon listens on.
struct OpenListeners {
    callers: TcpListener,
    peers: TcpListener,
}

/// What the threads share.
#[derive(Clone)]
struct SharedParts {
    settings: Arc<EntrySettings>,
    peer: PeerIdentity,
    control: Addr<ControlActor>,
    documents: watch::Receiver<Option<Arc<AppliedDocument>>>,
    fleet: watch::Receiver<Arc<FleetView>>,
    leaving: Arc<AtomicBool>,
}

/// What the control thread gets to publish.
struct ControlOutputs {
    applied: watch::Sender<Option<Arc<AppliedDocument>>>,
    fleet: watch::Sender<Arc<FleetView>>,
}

/// Runs the daemon until it is told to stop.
pub async fn run(options: EntryOptions) -> Result<(), Report<EntryError>> {
    let settings = Arc::new(read_settings(&options)?);
    telemetry::install_recorder().change_context(EntryError::InstallRecorder)?;
    let listeners = OpenListeners {
        callers: listen(settings.listen)?,
        peers: listen(settings.peer_listen)?,
    };
    let peer = own_identity(&settings, &listeners)?;
    let parts = start_control(&settings, peer, listeners.peers);
    actix_rt::spawn(keep_up_metrics());
    let server = start_traffic(&parts, listeners.callers)?;
    let (address, peer) = (parts.peer.address, parts.peer.peer_address);
    log::info!(target: "entry", name:% = settings.name; "ready address={address} peer={peer}");
    let signals = Signals::install()?;
    actix_rt::spawn(shut_down(signals, server.handle(), parts));
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
    let bound = |listener: &TcpListener, wanted: SocketAddr| {
        let failed = || EntryError::Listen {
            address: wanted.to_string(),
        };
        listener.local_addr().change_context_lazy(failed)
    };
    let identity = EntryIdentity {
        entry: settings.name.clone(),
        incarnation: now_incarnation(),
    };
    Ok(PeerIdentity {
        identity,
        data_centre: settings.data_centre.clone(),
        address: bound(&listeners.callers, settings.listen)?,
        peer_address: bound(&listeners.peers, settings.peer_listen)?,
    })
}

/// Starts the control thread and what it follows.
fn start_control(
    settings: &Arc<EntrySettings>,
    peer: PeerIdentity,
    listener: TcpListener,
) -> SharedParts {
    let (applied, documents) = watch::channel(None);
    let (fleet_sender, fleet) = watch::channel(Arc::default());
    let outputs = ControlOutputs {
        applied,
        fleet: fleet_sender,
    };
    let arbiter = Arbiter::new();
    let (sender, receiver) = std::sync::mpsc::channel();
    let (followed, own) = (Arc::clone(settings), peer.clone());
    arbiter.spawn_fn(move || {
        let control = run_control(&followed, own, outputs, listener);
        // The receiver is gone only if the daemon has already ended.
        let _ = sender.send(control);
    });
    let control = receiver
        .recv()
        .expect("the control thread starts its actor first");
    let (settings, leaving) = (Arc::clone(settings), Arc::default());
    SharedParts {
        settings,
        peer,
        control,
        documents,
        fleet,
        leaving,
    }
}

/// Starts the actor and its loops on the present thread.
fn run_control(
    settings: &Arc<EntrySettings>,
    own: PeerIdentity,
    outputs: ControlOutputs,
    listener: TcpListener,
) -> Addr<ControlActor> {
    let seed = own_seed(settings, &own.identity);
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
        let parts = PeerParts {
            credentials: Rc::new(credentials),
            state,
            notices: broadcast::Sender::new(NOTICES_WAITING),
            control: actix::AsyncContext::address(context),
            heartbeat: settings.intervals.heartbeat,
            silence: settings.intervals.suspect_after,
        };
        match tokio::net::TcpListener::from_std(listener) {
            Ok(listener) => drop(actix_rt::spawn(accept_peers(listener, parts.clone()))),
            Err(error) => log::error!(target: "peers", "Links cannot be accepted: {error}."),
        }
        let documents = DocumentOutput {
            applied: outputs.applied,
            status: status_sender,
        };
        let (settings, shared) = (Arc::clone(settings), Rc::new(platform()));
        ControlActor::new(settings, seed, parts, outputs.fleet, documents, shared)
    });
    actix_rt::spawn(poll_vms(platform(), Arc::clone(settings), control.clone()));
    let followed = Arc::clone(settings);
    actix_rt::spawn(follow_orders(platform(), followed, control.clone()));
    let reported = Arc::clone(settings);
    actix_rt::spawn(report_status(Rc::new(platform()), reported, status));
    control
}

fn start_traffic(parts: &SharedParts, listener: TcpListener) -> Result<Server, Report<EntryError>> {
    let settings = &parts.settings;
    let shared = parts.clone();
    let threads = settings.traffic_threads.get();
    let server = HttpServer::new(move || {
        let state = TrafficState::new(
            Arc::clone(&shared.settings),
            &shared.peer,
            shared.control.clone(),
            shared.documents.clone(),
            shared.fleet.clone(),
            Arc::clone(&shared.leaving),
        );
        App::new()
            .app_data(Data::new(state))
            .configure(configure_routes)
    })
    .workers(threads)
    .max_connections(settings.limits.max_connections.div_ceil(threads))
    .backlog(ACCEPT_BACKLOG)
    .client_request_timeout(settings.timeouts.caller_read)
    .h1_allow_half_closed(false)
    .disable_signals()
    .shutdown_timeout(settings.timeouts.shutdown.as_secs())
    .listen(listener)
    .change_context_lazy(|| EntryError::Listen {
        address: parts.peer.address.to_string(),
    })?
    .run();
    Ok(server)
}

/// The signals that end the daemon.
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

/// Leaves the list of entries, serves out the list's time to live, then ends all streams.
async fn shut_down(mut signals: Signals, server: ServerHandle, parts: SharedParts) {
    signals.next().await;
    parts.leaving.store(true, Ordering::Relaxed);
    parts.control.do_send(ControlMessage::Leave);
    let ttl = parts.settings.limits.entry_list_ttl;
    log::info!(target: "entry", ttl_s = ttl.as_secs(); "Entry serves out its list time.");
    tokio::select! {
        () = tokio::time::sleep(ttl) => {}
        () = signals.next() => return cut(&server).await,
    }
    tokio::select! {
        () = server.stop(true) => log::info!(target: "entry", "All requests have ended."),
        () = signals.next() => cut(&server).await,
    }
    close_claims(&parts.control).await;
}

/// Waits until the ends of all claimed requests are written, but not for ever.
async fn close_claims(control: &Addr<ControlActor>) {
    let deadline = Instant::now() + CLAIM_CLOSE_LIMIT;
    while Instant::now() < deadline {
        match control.send(CountClaims).await {
            Ok(0) | Err(_) => return,
            Ok(_) => tokio::time::sleep(CLAIM_CLOSE_INTERVAL).await,
        }
    }
    log::warn!(target: "entry", "Ends of claimed requests were not written.");
}

async fn cut(server: &ServerHandle) {
    log::warn!(target: "entry", "Second signal: open requests are cut.");
    server.stop(false).await;
}

async fn keep_up_metrics() {
    loop {
        tokio::time::sleep(UPKEEP_INTERVAL).await;
        telemetry::run_upkeep();
    }
}

/// The seed of this start. It differs between entries and between starts also if the settings name
/// the same one, as identities of attempts are drawn from it.
fn own_seed(settings: &EntrySettings, identity: &EntryIdentity) -> u64 {
    let entry = identity.entry.as_str().as_bytes();
    let start = identity.incarnation.0;
    xxh3_64_with_seed(entry, start ^ settings.seed.unwrap_or_default())
}

/// A number that later starts exceed: milliseconds since 1970.
fn now_incarnation() -> Incarnation {
    let since = SystemTime::now()
        .duration_since(UNIX_EPOCH)
        .unwrap_or_default();
    Incarnation(u64::try_from(since.as_millis()).unwrap_or(u64::MAX))
}
