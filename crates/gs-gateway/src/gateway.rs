//! The state that all connections of one entry share.

use std::cell::{Cell, RefCell};
use std::collections::BTreeMap;
use std::net::SocketAddr;
use std::sync::Arc;
use std::time::{Duration, Instant};

use gs_control::forwarding::{
    AdmissionQueue, AdmissionSettings, DeadlineTracker, DirectorySettings, FleetBacklog,
    LengthEstimate, ListedServer, LoadSettings, LoadTracker, PlacementView, RegistryView,
    RetryBudget, RouteTable, ServerDirectory, ServerStage, ShutdownPhase, ShutdownPlan,
    StageEstimate, TicketId, ViewVersions,
};
use gs_control::membership::{MembershipSettings, MembershipState};
use gs_protocol::ids::{DataCentreName, ServerName, ServiceName};
use gs_protocol::peer::PeerIdentity;
use rand::{Rng, SeedableRng};
use rand_pcg::Pcg64Mcg;
use tokio::sync::{Notify, oneshot};

use crate::reservation::StreamReservation;
use crate::wire::ServerWire;

/// Entries that a client is told of at least, if there are as many.
const MIN_ADDRESSES: usize = 3;

/// Part of the fleet's repeat budget that is spent; the rest covers what peers do not know yet.
const BUDGET_PART: f64 = 0.7;

/// How long streams are taken to run before any has ended, in seconds.
const FIRST_STREAM_SECONDS: f64 = 4.0;

/// Weight of the newest stream in the time that streams run.
const DURATION_WEIGHT: f64 = 0.05;

/// Settings of the gateway.
#[derive(Clone, Debug)]
pub struct GatewaySettings {
    /// Who this entry is and where it is reached.
    pub own: PeerIdentity,
    /// Seed of the random draws.
    pub seed: u64,
    /// Time from the order to stop to the end by force.
    pub stop_grace: Duration,
    /// Repeats that each request allows in the window.
    pub repeat_ratio: f64,
    /// Repeats that all entries may make besides.
    pub repeat_extra: f64,
    /// The window of the repeat budget.
    pub repeat_window: Duration,
    /// Connections of clients at most.
    pub max_connections: usize,
    /// Bytes of request bodies that are kept at once at most.
    pub max_kept_bytes: usize,
    /// When other entries are suspected.
    pub membership: MembershipSettings,
}

/// Where another entry is reached, for clients.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct EntryCard {
    /// Where clients connect.
    pub address: SocketAddr,
    /// Where it stands.
    pub data_centre: DataCentreName,
}

/// What the start of a stream carries to its request.
#[derive(Debug)]
pub(crate) enum StartOrder {
    /// It starts at the engine, whose memory is counted.
    Start(StreamReservation),
    /// It is refused.
    Refuse(Duration),
}

/// The decision state.
pub(crate) struct GatewayState {
    pub table: Option<Arc<RouteTable>>,
    pub directory: ServerDirectory,
    pub are_servers_known: bool,
    pub loads: LoadTracker,
    pub queue: AdmissionQueue,
    pub waiters: BTreeMap<TicketId, oneshot::Sender<StartOrder>>,
    pub budgets: BTreeMap<ServiceName, RetryBudget>,
    pub lengths: BTreeMap<String, LengthEstimate>,
    pub deadlines: BTreeMap<String, DeadlineTracker>,
    /// How long streams run, in seconds.
    pub stream_seconds: f64,
    /// What streams need of the engines, by service.
    pub stages: BTreeMap<ServiceName, StageEstimate>,
    /// Servers that this entry has tried to order to another stage, with the stage that they will have if
    /// they may change.
    pub ordered: BTreeMap<ServerName, Option<ServerStage>>,
    pub views: BTreeMap<RegistryView, ViewVersions>,
    pub membership: MembershipState,
    pub rng: Pcg64Mcg,
}

/// What all connections of one entry share.
pub struct Gateway {
    /// The settings.
    pub settings: GatewaySettings,
    pub(crate) wire: Box<dyn ServerWire>,
    pub(crate) state: RefCell<GatewayState>,
    /// Told when own streams or their queue have changed, a server is in trouble, or this entry begins to stop.
    pub(crate) streams_changed: Notify,
    /// Told when room may have come or a stream has begun to wait.
    pub(crate) room_changed: Notify,
    stop_ordered: Cell<Option<Instant>>,
    plan: ShutdownPlan,
    pub(crate) active: Cell<usize>,
    pub(crate) kept_bytes: Cell<usize>,
}

impl Gateway {
    /// A gateway that knows neither routes nor servers.
    pub fn new(settings: GatewaySettings, wire: Box<dyn ServerWire>) -> Self {
        let own = settings.own.identity.entry.clone();
        let state = GatewayState {
            table: None,
            directory: ServerDirectory::new(DirectorySettings::default()),
            are_servers_known: false,
            loads: LoadTracker::new(LoadSettings::default()),
            queue: AdmissionQueue::new(AdmissionSettings::default()),
            waiters: BTreeMap::new(),
            budgets: BTreeMap::new(),
            lengths: BTreeMap::new(),
            deadlines: BTreeMap::new(),
            stream_seconds: FIRST_STREAM_SECONDS,
            stages: BTreeMap::new(),
            ordered: BTreeMap::new(),
            views: BTreeMap::new(),
            membership: MembershipState::new(own, settings.membership),
            rng: Pcg64Mcg::seed_from_u64(settings.seed),
        };
        Self {
            plan: ShutdownPlan::new(settings.stop_grace),
            settings,
            wire,
            state: RefCell::new(state),
            streams_changed: Notify::new(),
            room_changed: Notify::new(),
            stop_ordered: Cell::new(None),
            active: Cell::new(0),
            kept_bytes: Cell::new(0),
        }
    }

    /// Puts a configuration in force unless it is older than the present one.
    pub fn apply_table(&self, table: RouteTable) {
        let mut state = self.state.borrow_mut();
        let version = table.version;
        let present = state.table.as_ref().map(|table| table.version);
        if present.is_some_and(|present| present >= version) {
            log::debug!(target: "config", version, present:?; "an older configuration is passed over");
            return;
        }
        log::info!(target: "config", version, before:? = present; "configuration applied");
        state.table = Some(Arc::new(table));
        drop(state);
        self.note_version(RegistryView::Routes, version);
    }

    /// The configuration in force.
    pub fn table(&self) -> Option<Arc<RouteTable>> {
        self.state.borrow().table.clone()
    }

    /// Takes in the whole list of servers.
    pub fn replace_servers(&self, entries: Vec<ListedServer>) {
        let now = Instant::now();
        let mut guard = self.state.borrow_mut();
        let state = &mut *guard;
        log::info!(target: "servers", count = entries.len(); "server list read");
        state.directory.apply_list(now, entries);
        state.are_servers_known = true;
        let directory = &state.directory;
        state
            .loads
            .retain_servers(|server| directory.get(server).is_some());
        let ordered = &mut state.ordered;
        ordered.retain(|server, _| directory.get(server).is_some());
        drop(guard);
        self.room_changed.notify_one();
    }

    /// Takes in one server.
    pub fn put_server(&self, entry: ListedServer) {
        let mut state = self.state.borrow_mut();
        if state.directory.get(&entry.name) != Some(&entry) {
            log::info!(target: "servers", server:% = entry.name, address:% = entry.address, service:% = entry.service, stage:? = entry.stage, leaving = entry.is_leaving, born:? = entry.started_at_ms; "server seen");
        }
        state.directory.upsert(entry);
        drop(state);
        self.room_changed.notify_one();
    }

    /// The registry names a server no longer.
    pub fn remove_server(&self, server: &ServerName) {
        log::info!(target: "servers", server:%; "server removed from the registry");
        let mut state = self.state.borrow_mut();
        state.directory.remove(Instant::now(), server);
    }

    /// The registry does not answer.
    pub fn registry_lost(&self) {
        self.state
            .borrow_mut()
            .directory
            .mark_registry_unreachable();
    }

    /// The registry has answered.
    pub fn registry_answered(&self) {
        let mut state = self.state.borrow_mut();
        if state.directory.mark_registry_reachable(Instant::now()) {
            log::info!(target: "servers", "the registry answers again");
        }
    }

    /// Whether clients may be sent here.
    pub fn is_ready(&self) -> bool {
        let state = self.state.borrow();
        state.table.is_some() && state.are_servers_known && self.stop_ordered.get().is_none()
    }

    /// Whether the order to stop has come.
    pub fn is_stopping(&self) -> bool {
        self.stop_ordered.get().is_some()
    }

    /// The phase of the shutdown, if it has begun.
    pub fn shutdown_phase(&self) -> Option<ShutdownPhase> {
        let since = self.stop_ordered.get()?.elapsed();
        Some(self.plan.phase(since))
    }

    /// Whether no request is being answered and no work is counted at any server.
    pub fn is_idle(&self) -> bool {
        self.active.get() == 0 && self.state.borrow().loads.own_digest().is_empty()
    }

    /// Whether streams wait for room here.
    pub(crate) fn has_waiting(&self) -> bool {
        !self.state.borrow().queue.is_empty()
    }

    /// Begins the shutdown.
    pub(crate) fn order_stop(&self) {
        if self.stop_ordered.get().is_none() {
            self.stop_ordered.set(Some(Instant::now()));
            self.streams_changed.notify_one();
        }
    }

    /// The entries that clients of a data centre should use, near ones first; none if none is known.
    pub fn entries_for(&self, data_centre: &DataCentreName) -> Vec<EntryCard> {
        let mut cards: Vec<EntryCard> = Vec::new();
        if self.is_ready() {
            cards.push(EntryCard {
                address: self.settings.own.address,
                data_centre: self.settings.own.data_centre.clone(),
            });
        }
        let state = self.state.borrow();
        for member in state.membership.usable_entries() {
            cards.push(EntryCard {
                address: member.address,
                data_centre: member.data_centre,
            });
        }
        cards.sort_by_key(|card| card.data_centre != *data_centre);
        let near = cards
            .iter()
            .filter(|card| card.data_centre == *data_centre)
            .count();
        cards.truncate(near.max(MIN_ADDRESSES));
        cards
    }

    /// Entries that share the fleet, this one included.
    pub(crate) fn entry_count(&self) -> u32 {
        let state = self.state.borrow();
        1 + state.membership.usable_entries().len() as u32
    }

    /// Counts a client's request to a service.
    pub(crate) fn credit_budget(&self, service: &ServiceName) {
        let now = Instant::now();
        self.with_budget(service, |budget| budget.record_request(now));
    }

    /// Takes one repeat to a service from this entry's part of the budget.
    pub(crate) fn spend_budget(&self, service: &ServiceName) -> bool {
        let entries = self.entry_count();
        let now = Instant::now();
        self.with_budget(service, |budget| budget.try_spend(now, entries))
    }

    fn with_budget<T>(&self, service: &ServiceName, act: impl FnOnce(&mut RetryBudget) -> T) -> T {
        let settings = &self.settings;
        let mut state = self.state.borrow_mut();
        let budget = state.budgets.entry(service.clone()).or_insert_with(|| {
            RetryBudget::new(
                settings.repeat_ratio * BUDGET_PART,
                settings.repeat_extra * BUDGET_PART,
                settings.repeat_window,
            )
        });
        act(budget)
    }

    /// Tokens that an answer of a route is expected to have.
    pub(crate) fn expected_tokens(&self, route: &str, hint: Option<u64>, most: u64) -> u64 {
        let state = self.state.borrow();
        let estimate = state.lengths.get(route).copied().unwrap_or_default();
        estimate.expected_tokens(hint, most)
    }

    /// How fast room comes in the whole fleet.
    pub(crate) fn pace(&self) -> FleetBacklog {
        let state = self.state.borrow();
        FleetBacklog {
            peers_waiting: state.loads.peers_waiting(),
            completions_per_second: state.loads.running_streams() as f64 / state.stream_seconds,
        }
    }

    /// How long a client of a route has asked already, in earlier tries.
    pub(crate) fn time_asked(&self, route: &str, deadline: Duration) -> Duration {
        let mut state = self.state.borrow_mut();
        state
            .deadlines
            .entry(route.to_owned())
            .or_default()
            .record_deadline(deadline)
    }

    /// Takes in how long a stream has run.
    pub(crate) fn learn_duration(&self, took: Duration) {
        let mut state = self.state.borrow_mut();
        let newest = took.as_secs_f64() - state.stream_seconds;
        state.stream_seconds += DURATION_WEIGHT * newest;
    }

    /// Takes in the length of a route's whole answer.
    pub(crate) fn learn_length(&self, route: &str, tokens: u64) {
        let mut state = self.state.borrow_mut();
        if let Some(estimate) = state.lengths.get_mut(route) {
            estimate.record_answer(tokens);
            return;
        }
        let mut estimate = LengthEstimate::default();
        estimate.record_answer(tokens);
        state.lengths.insert(route.to_owned(), estimate);
    }

    /// A random number from 0 to 1.
    pub(crate) fn draw(&self) -> f64 {
        self.state.borrow_mut().rng.gen_range(0.0..1.0)
    }

    /// What is known when servers are chosen.
    pub(crate) fn with_view<T>(&self, choose: impl FnOnce(&PlacementView<'_>) -> T) -> T {
        let mut state = self.state.borrow_mut();
        let salt = state.rng.r#gen();
        choose(&PlacementView {
            now: Instant::now(),
            salt,
            data_centre: &self.settings.own.data_centre,
            directory: &state.directory,
            loads: &state.loads,
        })
    }

    /// Where a server is reached.
    pub(crate) fn server_address(&self, server: &ServerName) -> Option<SocketAddr> {
        let state = self.state.borrow();
        state.directory.get(server).map(|entry| entry.address)
    }

    /// A server has answered.
    pub(crate) fn note_answer(&self, server: &ServerName, is_failure: bool) {
        let mut state = self.state.borrow_mut();
        state
            .loads
            .record_answer(Instant::now(), server, is_failure);
    }

    /// A server could not be reached.
    pub(crate) fn note_unreachable(&self, server: &ServerName) {
        let mut state = self.state.borrow_mut();
        let hold = state.loads.record_unreachable(Instant::now(), server);
        log::info!(target: "servers", server:%, hold_ms = hold.as_millis() as u64; "server unreachable");
        self.streams_changed.notify_one();
    }

    /// An engine has no room.
    pub(crate) fn note_full(&self, server: &ServerName) {
        let mut state = self.state.borrow_mut();
        state.loads.record_full(Instant::now(), server);
    }

    /// Another server answers at a server's address.
    pub(crate) fn note_misdirected(&self, server: &ServerName) {
        log::info!(target: "servers", server:%; "another server answers at the address");
        let mut state = self.state.borrow_mut();
        state.directory.record_misdirected(Instant::now(), server);
        self.streams_changed.notify_one();
    }
}
