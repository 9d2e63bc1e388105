//! State shared by all connections of an entry.

use std::cell::{Cell, RefCell};
use std::collections::BTreeMap;
use std::net::SocketAddr;
use std::sync::Arc;
use std::time::{Duration, Instant};

use gs_control::forwarding::{
    AdmissionQueue, AdmissionSettings, CapacityTracker, DeadlineTracker, DirectorySettings,
    FleetBacklog, IntakeSettings, IntakeTracker, IsolationTracker, LengthEstimate, LimitSettings,
    LimitTracker, LoadSettings, LoadTracker, OriginSettings, OriginTracker, PlacementView,
    QuotaSettings, RecentMaximum, RegistryVersion, RegistryView, RequestSpan, RetryBudget,
    RouteTable, ServerDirectory, ServerStage, ShutdownPhase, ShutdownPlan, StageEstimate, TicketId,
    ViewVersions, decode_wait,
};
use gs_control::membership::{MembershipSettings, MembershipState};
use gs_control::quarantine::{ContentQuarantine, ContentSettings};
use gs_protocol::ids::{DataCentreName, ServerName, ServiceName};
use gs_protocol::peer::PeerIdentity;
use gs_protocol::suspicion::ServerBoot;
use rand::{Rng, SeedableRng};
use rand_pcg::Pcg64Mcg;
use tokio::sync::{Notify, oneshot};

use crate::answer_reader::AnswerBudget;
use crate::currency::CurrencyState;
use crate::quotas::QuotaState;
use crate::registry::RegistryState;
use crate::relays::RelayState;
use crate::reservation::StreamReservation;
use crate::scheduling::SchedulingState;
use crate::wire::ServerWire;

/// Fraction of the fleet's retry budget that is spent. The rest is a margin for entries that do not know of each
/// other yet and therefore take too large a share.
const BUDGET_FRACTION: f64 = 0.7;

/// Assumed duration of a stream until the first one has ended, in seconds.
const INITIAL_STREAM_SECONDS: f64 = 4.0;

/// Weight of the newest stream in the moving average of stream durations.
const DURATION_WEIGHT: f64 = 0.05;

/// Settings of the gateway.
#[derive(Clone, Debug)]
pub struct GatewaySettings {
    /// Identity and addresses of this entry.
    pub own: PeerIdentity,
    /// Seed of the random number generator.
    pub seed: u64,
    /// Time from the stop signal until the process is killed.
    pub stop_grace: Duration,
    /// Retries allowed per client request within `retry_window`.
    pub retry_ratio: f64,
    /// Additional retries within `retry_window`, shared by all entries.
    pub retry_extra: f64,
    /// Length of the sliding window of the retry budget.
    pub retry_window: Duration,
    /// Address at which this entry takes requests from entries that reach no server; `None` if it takes none.
    pub forward_address: Option<SocketAddr>,
    /// Bytes per second that the link of this entry carries in each direction; `None` if that is not known.
    pub link_rate: Option<u64>,
    /// Maximum number of open client connections.
    pub max_connections: usize,
    /// Maximum total size of buffered request bodies, in bytes.
    pub max_kept_bytes: usize,
    /// Maximum total size of answers that are being read, in bytes, besides a small part of each.
    pub max_answer_bytes: usize,
    /// Timeouts after which a silent entry is suspected or considered dead.
    pub membership: MembershipSettings,
    /// Time within which removed API keys stop working even at an entry without the registry, if they must.
    pub revoke_after: Option<Duration>,
    /// The rule that quotas of workspaces are held to.
    pub quotas: QuotaSettings,
}

/// Address of an entry, as given to clients.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct EntryEndpoint {
    /// Address that clients connect to.
    pub address: SocketAddr,
    /// Data centre of the entry.
    pub data_centre: DataCentreName,
}

/// Decision on a stream in the admission queue, sent to the task of its request.
#[derive(Debug)]
pub(crate) enum AdmissionOutcome {
    /// The stream starts at the engine of the reservation, which already counts its memory.
    Admitted(StreamReservation),
    /// The stream is refused; the client should retry after this time.
    Refused(Duration),
}

/// Input and state of the forwarding decisions.
pub(crate) struct GatewayState {
    pub table: Option<Arc<RouteTable>>,
    pub directory: ServerDirectory,
    pub is_server_list_known: bool,
    pub loads: LoadTracker,
    pub limits: LimitTracker,
    pub intake: IntakeTracker,
    pub queue: AdmissionQueue,
    pub waiters: BTreeMap<TicketId, oneshot::Sender<AdmissionOutcome>>,
    pub retry_budgets: BTreeMap<ServiceName, RetryBudget>,
    pub length_estimates: BTreeMap<String, LengthEstimate>,
    pub longest_deadlines: BTreeMap<String, DeadlineTracker>,
    /// Moving average of stream durations, in seconds.
    pub mean_stream_seconds: f64,
    /// The longest recent streams, from their arrival to their end, by service.
    pub longest_streams: BTreeMap<ServiceName, RecentMaximum>,
    /// Estimates of the prefill and decode time that streams need, by service.
    pub stage_estimates: BTreeMap<ServiceName, StageEstimate>,
    /// Servers that this entry has tried to order to another stage. The value is the stage that the server may
    /// change to, by this entry's order or by that of an entry that claimed it before; `None` if this entry's
    /// order was not sent or was rejected.
    pub stage_orders: BTreeMap<ServerName, Option<ServerStage>>,
    pub view_versions: BTreeMap<RegistryView, ViewVersions>,
    pub registry: RegistryState,
    pub membership: MembershipState,
    pub relays: RelayState,
    pub quarantine: ContentQuarantine,
    pub origins: OriginTracker,
    pub quotas: QuotaState,
    pub scheduling: SchedulingState,
    pub capacity: CapacityTracker,
    pub isolation: IsolationTracker,
    pub rng: Pcg64Mcg,
}

impl GatewayState {
    /// Returns the current boot of a server.
    pub fn server_boot(&self, server: &ServerName) -> ServerBoot {
        let listed = self.directory.get(server);
        ServerBoot {
            server: server.clone(),
            boot: listed.and_then(|listed| listed.started_at_ms).unwrap_or(0),
        }
    }
}

/// State shared by all connections of an entry, and the entry point for updates from the registry.
pub struct Gateway {
    /// Settings given at construction.
    pub settings: GatewaySettings,
    pub(crate) wire: Box<dyn ServerWire>,
    pub(crate) state: RefCell<GatewayState>,
    /// Notified when the load report for peers changes (own streams, their queue, a failing server, an engine
    /// that was ordered to another stage) or the shutdown begins.
    pub(crate) report_changed: Notify,
    /// Notified when the registry answers this entry after failed calls.
    pub(crate) registry_answered: Notify,
    /// Notified when an outage of the registry has ended for a peer.
    pub(crate) registry_retry: Notify,
    /// Notified when this entry has reports to pass on to other data centres as a relay.
    pub(crate) departures_changed: Notify,
    /// Notified when this entry has reports to pass on to its own data centre as a relay.
    pub(crate) arrivals_changed: Notify,
    /// Notified when a resumable stream has started.
    pub(crate) origins_changed: Notify,
    /// Notified when the origin of a stream is to be looked up in the registry.
    pub(crate) origins_wanted: Notify,
    /// Whether an origin is to be looked up.
    pub(crate) are_origins_wanted: Cell<bool>,
    /// Notified when origins have been looked up.
    pub(crate) origins_read: Notify,
    /// Notified when engine capacity may have become free or a stream has joined the admission queue.
    pub(crate) capacity_changed: Notify,
    /// Notified when a connection to a server has failed, so that no server may be reachable any more.
    pub(crate) isolation_suspected: Notify,
    stop_requested: Notify,
    stop_requested_at: Cell<Option<Instant>>,
    shutdown_plan: ShutdownPlan,
    pub(crate) active_requests: Cell<usize>,
    pub(crate) open_connections: Cell<usize>,
    /// Open connections that the exit of the process waits for, since answers may not have been written yet.
    pub(crate) awaited_connections: Cell<usize>,
    pub(crate) kept_bytes: Cell<usize>,
    pub(crate) answer_budget: AnswerBudget,
    pub(crate) currency: CurrencyState,
}

impl Gateway {
    /// Creates a gateway without routes or servers.
    pub fn new(settings: GatewaySettings, wire: Box<dyn ServerWire>) -> Self {
        let own = settings.own.identity.entry.clone();
        let state = GatewayState {
            table: None,
            directory: ServerDirectory::new(DirectorySettings::default()),
            is_server_list_known: false,
            loads: LoadTracker::new(LoadSettings::default()),
            limits: LimitTracker::new(LimitSettings::default()),
            intake: IntakeTracker::new(IntakeSettings::default()),
            queue: AdmissionQueue::new(AdmissionSettings::default()),
            waiters: BTreeMap::new(),
            retry_budgets: BTreeMap::new(),
            length_estimates: BTreeMap::new(),
            longest_deadlines: BTreeMap::new(),
            mean_stream_seconds: INITIAL_STREAM_SECONDS,
            longest_streams: BTreeMap::new(),
            stage_estimates: BTreeMap::new(),
            stage_orders: BTreeMap::new(),
            view_versions: BTreeMap::new(),
            registry: RegistryState::default(),
            quarantine: ContentQuarantine::new(ContentSettings::default(), own.clone()),
            membership: MembershipState::new(own, settings.membership),
            relays: RelayState::default(),
            origins: OriginTracker::new(Instant::now(), OriginSettings::default()),
            quotas: QuotaState::new(settings.quotas),
            scheduling: SchedulingState::default(),
            capacity: CapacityTracker::default(),
            isolation: IsolationTracker::default(),
            rng: Pcg64Mcg::seed_from_u64(settings.seed),
        };
        Self {
            shutdown_plan: ShutdownPlan::new(settings.stop_grace),
            answer_budget: AnswerBudget::new(settings.max_answer_bytes),
            currency: CurrencyState::new(&settings),
            settings,
            wire,
            state: RefCell::new(state),
            registry_answered: Notify::new(),
            registry_retry: Notify::new(),
            report_changed: Notify::new(),
            departures_changed: Notify::new(),
            arrivals_changed: Notify::new(),
            origins_changed: Notify::new(),
            origins_wanted: Notify::new(),
            are_origins_wanted: Cell::new(false),
            origins_read: Notify::new(),
            capacity_changed: Notify::new(),
            isolation_suspected: Notify::new(),
            stop_requested: Notify::new(),
            stop_requested_at: Cell::new(None),
            active_requests: Cell::new(0),
            open_connections: Cell::new(0),
            awaited_connections: Cell::new(0),
            kept_bytes: Cell::new(0),
        }
    }

    /// Applies a configuration if its version is newer than the current one.
    pub fn apply_table(&self, table: RouteTable) {
        let mut state = self.state.borrow_mut();
        let version = table.version;
        let current = state.table.as_ref().map(|table| table.version);
        if current.is_some_and(|current| current >= version) {
            log::debug!(target: "config", version, present:? = current; "configuration ignored: not newer");
            return;
        }
        log::info!(target: "config", version, before:? = current; "configuration applied");
        state.quotas.apply_table(&table);
        state.table = Some(Arc::new(table));
        drop(state);
        self.record_version(RegistryView::Routes, RegistryVersion::across_eras(version));
        self.record_table_version(version);
    }

    /// Returns the current configuration.
    pub fn table(&self) -> Option<Arc<RouteTable>> {
        self.state.borrow().table.clone()
    }

    /// Whether this entry accepts clients: routes and servers are known and no shutdown has begun.
    pub fn is_ready(&self) -> bool {
        let state = self.state.borrow();
        state.table.is_some()
            && state.is_server_list_known
            && self.stop_requested_at.get().is_none()
    }

    /// Whether the shutdown has begun.
    pub fn is_stopping(&self) -> bool {
        self.stop_requested_at.get().is_some()
    }

    /// Returns the current phase of the shutdown, or `None` if it has not begun.
    pub fn shutdown_phase(&self) -> Option<ShutdownPhase> {
        let since = self.stop_requested_at.get()?.elapsed();
        Some(self.shutdown_plan.phase(since))
    }

    /// Whether a request of this span may still be sent to a server; only a shutdown prevents that.
    pub(crate) fn admits_span(&self, span: RequestSpan) -> bool {
        let stop_requested_at = self.stop_requested_at.get();
        stop_requested_at.is_none_or(|at| self.shutdown_plan.admits(at.elapsed(), span))
    }

    /// Waits until the shutdown begins and returns when that was.
    pub(crate) async fn shutdown_begun(&self) -> Instant {
        loop {
            if let Some(at) = self.stop_requested_at.get() {
                return at;
            }
            self.stop_requested.notified().await;
        }
    }

    /// Waits until a shutdown requires the final answers of all requests.
    pub(crate) async fn final_answers_due(&self) {
        let due = self.shutdown_begun().await + self.shutdown_plan.answer_within();
        tokio::time::sleep_until(due.into()).await;
    }

    /// Whether no request is in progress and this entry counts no work at any server.
    pub fn is_idle(&self) -> bool {
        self.active_requests.get() == 0 && self.state.borrow().loads.own_digest().is_empty()
    }

    /// Whether streams wait in the admission queue.
    pub(crate) fn has_waiting_streams(&self) -> bool {
        !self.state.borrow().queue.is_empty()
    }

    /// Begins the shutdown; later calls have no effect.
    pub fn begin_shutdown(&self) {
        if self.stop_requested_at.get().is_none() {
            self.stop_requested_at.set(Some(Instant::now()));
            self.stop_requested.notify_waiters();
            self.report_changed.notify_one();
        }
    }

    /// Returns the number of usable entries in the fleet, including this one.
    pub(crate) fn entry_count(&self) -> u32 {
        let state = self.state.borrow();
        1 + state.membership.usable_entries().len() as u32
    }

    /// Credits the retry budget of a service for one client request.
    pub(crate) fn credit_budget(&self, service: &ServiceName) {
        let now = Instant::now();
        self.with_budget(service, |budget| budget.record_request(now));
    }

    /// Spends one retry from this entry's share of a service's budget; `false` if none is left.
    pub(crate) fn spend_budget(&self, service: &ServiceName) -> bool {
        let entries = self.entry_count();
        let now = Instant::now();
        self.with_budget(service, |budget| budget.try_spend(now, entries))
    }

    fn with_budget<T>(&self, service: &ServiceName, act: impl FnOnce(&mut RetryBudget) -> T) -> T {
        let settings = &self.settings;
        let mut state = self.state.borrow_mut();
        let budget = state
            .retry_budgets
            .entry(service.clone())
            .or_insert_with(|| {
                RetryBudget::new(
                    settings.retry_ratio * BUDGET_FRACTION,
                    settings.retry_extra * BUDGET_FRACTION,
                    settings.retry_window,
                )
            });
        act(budget)
    }

    /// Estimates the output tokens of a route's next answer, at most `max_tokens`.
    pub(crate) fn expected_tokens(&self, route: &str, hint: Option<u64>, max_tokens: u64) -> u64 {
        let state = self.state.borrow();
        let estimate = state
            .length_estimates
            .get(route)
            .copied()
            .unwrap_or_default();
        estimate.expected_tokens(hint, max_tokens)
    }

    /// Returns the streams that wait at peers, the rate at which streams end in the whole fleet, and how long no engine
    /// of a service takes one.
    pub(crate) fn fleet_backlog(&self, service: &ServiceName) -> FleetBacklog {
        let state = self.state.borrow();
        FleetBacklog {
            peers_waiting: state.loads.peers_waiting(),
            completions_per_second: state.loads.running_streams() as f64
                / state.mean_stream_seconds,
            // The wait does not depend on the salt.
            engines_wait: decode_wait(&self.placement_view(&state, 0), service),
        }
    }

    /// Estimates the time that a client has already spent on earlier attempts, from the deadline it sends.
    pub(crate) fn earlier_attempt_time(&self, route: &str, deadline: Duration) -> Duration {
        let mut state = self.state.borrow_mut();
        state
            .longest_deadlines
            .entry(route.to_owned())
            .or_default()
            .record_deadline(deadline)
    }

    /// Adds the duration of a completed stream to the moving average.
    pub(crate) fn update_duration_estimate(&self, took: Duration) {
        let mut state = self.state.borrow_mut();
        let difference = took.as_secs_f64() - state.mean_stream_seconds;
        state.mean_stream_seconds += DURATION_WEIGHT * difference;
    }

    /// Records how long a completed stream took from its arrival.
    pub(crate) fn record_stream_duration(&self, service: &ServiceName, took: Duration) {
        let mut state = self.state.borrow_mut();
        let longest = state.longest_streams.entry(service.clone()).or_default();
        longest.record(took);
    }

    /// Returns the longest recent duration of a service's streams; `None` if none has completed.
    pub(crate) fn longest_stream(&self, service: &ServiceName) -> Option<Duration> {
        let state = self.state.borrow();
        let longest = state.longest_streams.get(service);
        longest.map(RecentMaximum::longest)
    }

    /// Adds the length of a complete answer to the estimate of its route.
    pub(crate) fn update_length_estimate(&self, route: &str, tokens: u64) {
        let mut state = self.state.borrow_mut();
        if let Some(estimate) = state.length_estimates.get_mut(route) {
            estimate.record_answer(tokens);
            return;
        }
        let mut estimate = LengthEstimate::default();
        estimate.record_answer(tokens);
        state.length_estimates.insert(route.to_owned(), estimate);
    }

    /// Returns a random number from 0 (inclusive) to 1 (exclusive).
    pub(crate) fn random_fraction(&self) -> f64 {
        self.state.borrow_mut().rng.gen_range(0.0..1.0)
    }

    /// Calls `choose` with the servers and loads that placement decisions are based on.
    pub(crate) fn with_placement_view<T>(&self, choose: impl FnOnce(&PlacementView<'_>) -> T) -> T {
        let salt = self.state.borrow_mut().rng.r#gen();
        choose(&self.placement_view(&self.state.borrow(), salt))
    }

    fn placement_view<'a>(&'a self, state: &'a GatewayState, salt: u64) -> PlacementView<'a> {
        PlacementView {
            now: Instant::now(),
            salt,
            data_centre: &self.settings.own.data_centre,
            directory: &state.directory,
            loads: &state.loads,
            limits: &state.limits,
            origins: &state.origins,
            capacity: &state.capacity,
        }
    }

    /// Returns the address of a server, if the server is known.
    pub(crate) fn server_address(&self, server: &ServerName) -> Option<SocketAddr> {
        let state = self.state.borrow();
        state.directory.get(server).map(|listed| listed.address)
    }
}
