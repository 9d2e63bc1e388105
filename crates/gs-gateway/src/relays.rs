//! Where reports are sent, and what this entry passes on if it is a relay.

use std::collections::{BTreeMap, BTreeSet};
use std::net::SocketAddr;
use std::rc::Rc;
use std::time::{Duration, Instant};

use gs_control::relay::{
    ArrivalQueue, EntryPresence, EntryReport, RelayMember, RelayQueue, RelayTopology, ReportBudget,
    ReportRoute, TopologySettings,
};
use gs_protocol::ids::EntryName;
use tokio::sync::Notify;

use crate::datagram::DatagramKind;
use crate::gateway::Gateway;
use crate::peers::{ReportSocket, report_interval};

/// Time for which a relay collects reports before it passes them on.
const RELAY_DELAY: Duration = Duration::from_millis(15);

/// How long a decision where to send reports is kept.
const TOPOLOGY_LIFETIME: Duration = Duration::from_millis(250);

/// Silence, in regular intervals, after which another entry of the data centre takes over as relay.
const MAX_RELAY_SILENCE: f64 = 2.2;

/// Size of a report until one has been sent, in bytes.
const INITIAL_REPORT_BYTES: f64 = 400.0;

/// Weight of the latest reports in the average size of a report.
const REPORT_SIZE_WEIGHT: f64 = 0.1;

/// Where reports are sent, the reports to pass on, and how fast.
#[derive(Debug)]
pub(crate) struct RelayState {
    /// The last decision where to send reports, and when it was made.
    topology: Option<(Instant, Rc<RelayTopology>)>,
    /// Number of such decisions.
    round: u64,
    /// Reports of the own data centre for others.
    departures: RelayQueue,
    /// Reports of other data centres for the own one.
    arrivals: ArrivalQueue,
    budget: ReportBudget,
    /// Average size of a report, in bytes.
    mean_report_bytes: f64,
    /// What the other entries have said of themselves last.
    peers: BTreeMap<EntryName, PeerTraits>,
}

/// What an entry says of itself that membership does not keep.
#[derive(Clone, Copy, Debug, Default, Eq, PartialEq)]
pub(crate) struct PeerTraits {
    /// Bytes per second that its link carries; 0 if that is not known.
    pub link_rate: u64,
    /// Whether it reaches no server.
    pub is_isolated: bool,
    /// Where it takes requests from entries that reach no server.
    pub forward_address: Option<SocketAddr>,
}

impl From<&EntryPresence> for PeerTraits {
    fn from(presence: &EntryPresence) -> Self {
        Self {
            link_rate: presence.link_rate,
            is_isolated: presence.is_isolated,
            forward_address: presence.forward_address,
        }
    }
}

impl Default for RelayState {
    fn default() -> Self {
        Self {
            topology: None,
            round: 0,
            departures: RelayQueue::default(),
            arrivals: ArrivalQueue::default(),
            budget: ReportBudget::default(),
            mean_report_bytes: INITIAL_REPORT_BYTES,
            peers: BTreeMap::new(),
        }
    }
}

impl RelayState {
    /// Records what another entry says of itself.
    pub fn record_peer(&mut self, entry: &EntryName, traits: PeerTraits) {
        self.peers.insert(entry.clone(), traits);
    }

    /// Returns what another entry has said of itself last.
    pub fn peer(&self, entry: &EntryName) -> PeerTraits {
        self.peers.get(entry).copied().unwrap_or_default()
    }

    /// Removes and returns the reports that may be passed on now to a number of receivers. At least one is returned if
    /// there is any.
    fn take_batch(
        &mut self,
        now: Instant,
        route: ReportRoute,
        receivers: usize,
    ) -> Vec<EntryReport> {
        let report_bytes = self.mean_report_bytes * receivers as f64;
        let max_reports = match receivers {
            0 => usize::MAX,
            // A float as large as infinity becomes the largest integer.
            _ => ((self.budget.room(now, route) / report_bytes) as usize).max(1),
        };
        match route {
            ReportRoute::Direct => Vec::new(),
            ReportRoute::BetweenRelays => self.departures.take(now, max_reports),
            ReportRoute::Relayed => self.arrivals.take(max_reports),
        }
    }

    /// Records that a number of reports was sent to each of the receivers, with `bytes` in all.
    fn record_sent(&mut self, now: Instant, route: ReportRoute, reports: usize, bytes: usize) {
        self.budget.record_sent(now, route, bytes);
        if reports > 0 {
            let difference = bytes as f64 / reports as f64 - self.mean_report_bytes;
            self.mean_report_bytes += REPORT_SIZE_WEIGHT * difference;
        }
    }
}

impl Gateway {
    /// Returns where reports are sent.
    pub(crate) fn topology(&self) -> Rc<RelayTopology> {
        let now = Instant::now();
        let mut guard = self.state.borrow_mut();
        let state = &mut *guard;
        let previous = state.relays.topology.take();
        if let Some((decided_at, topology)) = &previous
            && now.saturating_duration_since(*decided_at) < TOPOLOGY_LIFETIME
        {
            let topology = Rc::clone(topology);
            state.relays.topology = previous;
            return topology;
        }
        let own = &self.settings.own;
        let direct_count = previous
            .as_ref()
            .map_or(0, |(_, topology)| topology.direct.len());
        let max_silence = report_interval(direct_count).mul_f64(MAX_RELAY_SILENCE);
        let mut others = state
            .membership
            .relay_members(now, &own.data_centre, max_silence);
        for other in &mut others {
            let link_rate = state.relays.peer(&other.name).link_rate;
            other.link_rate = Some(link_rate).filter(|rate| *rate > 0);
        }
        let own = RelayMember {
            name: own.identity.entry.clone(),
            data_centre: own.data_centre.clone(),
            peer_address: own.peer_address,
            is_alive: true,
            link_rate: self.settings.link_rate,
        };
        let relays = &mut state.relays;
        relays.round += 1;
        let settings = TopologySettings::default();
        let topology = Rc::new(RelayTopology::new(&own, &others, relays.round, &settings));
        let was_relay = previous.is_some_and(|(_, previous)| !previous.foreign_relays.is_empty());
        let is_relay = !topology.foreign_relays.is_empty();
        if was_relay != is_relay {
            log::info!(target: "peers", is_relay, local = topology.local.len(), foreign_relays = topology.foreign_relays.len(); "duty as a relay changed");
        }
        relays.topology = Some((now, Rc::clone(&topology)));
        relays
            .departures
            .set_presence_interval(topology.presence_interval);
        relays.budget.set_rates(now, topology.rates);
        let known: BTreeSet<&EntryName> = others.iter().map(|other| &other.name).collect();
        relays
            .departures
            .retain(|entry| known.contains(entry) || *entry == own.name);
        relays.peers.retain(|entry, _| known.contains(entry));
        state.registry.retain_peers(|entry| known.contains(entry));
        topology
    }

    /// Queues a report of this entry's data centre for other data centres, if this entry is a relay.
    pub(crate) fn relay_report(&self, report: EntryReport) {
        if self.topology().foreign_relays.is_empty() {
            return;
        }
        let mut state = self.state.borrow_mut();
        if state.relays.departures.push(Instant::now(), report) {
            self.departures_changed.notify_one();
        }
    }

    /// Queues a report of another data centre for this entry's own one.
    pub(crate) fn relay_arrival(&self, report: EntryReport) {
        self.state.borrow_mut().relays.arrivals.push(report);
        self.arrivals_changed.notify_one();
    }

    /// Removes a report from the queue that another relay has passed on to this data centre.
    pub(crate) fn forget_arrival(&self, report: &EntryReport) {
        self.state
            .borrow_mut()
            .relays
            .arrivals
            .remove_passed(report);
    }

    /// Whether an entry runs in the data centre of this one.
    pub(crate) fn is_local(&self, entry: &EntryName) -> bool {
        let state = self.state.borrow();
        let member = state.membership.member(entry);
        member.is_some_and(|member| member.peer.data_centre == self.settings.own.data_centre)
    }
}

/// Sends reports to all receivers of a route and counts them toward its budget.
pub(crate) async fn send_reports_on(
    gateway: &Gateway,
    socket: &ReportSocket,
    route: ReportRoute,
    topology: &RelayTopology,
    reports: &[EntryReport],
) {
    let kind = match route {
        ReportRoute::Direct if topology.is_relayed => DatagramKind::Local,
        ReportRoute::Direct => DatagramKind::Direct,
        ReportRoute::BetweenRelays => DatagramKind::BetweenRelays,
        ReportRoute::Relayed => DatagramKind::Relayed,
    };
    let receivers = topology.receivers(route);
    let bytes = socket.send(kind, reports, receivers).await;
    let mut state = gateway.state.borrow_mut();
    let sent = reports.len() * receivers.len();
    state.relays.record_sent(Instant::now(), route, sent, bytes);
}

/// Waits until reports may be sent on a route.
pub(crate) async fn wait_for_budget(gateway: &Gateway, route: ReportRoute) {
    let wait = gateway
        .state
        .borrow()
        .relays
        .budget
        .wait(Instant::now(), route);
    if !wait.is_zero() {
        tokio::time::sleep(wait).await;
    }
}

/// Passes on what this entry has queued as a relay on a route, until the process ends.
pub(crate) async fn send_relayed(
    gateway: Rc<Gateway>,
    socket: Rc<ReportSocket>,
    route: ReportRoute,
) {
    let changed: &Notify = match route {
        ReportRoute::Direct => return,
        ReportRoute::BetweenRelays => &gateway.departures_changed,
        ReportRoute::Relayed => &gateway.arrivals_changed,
    };
    loop {
        changed.notified().await;
        tokio::time::sleep(RELAY_DELAY).await;
        loop {
            wait_for_budget(&gateway, route).await;
            let topology = gateway.topology();
            let receivers = topology.receivers(route).len();
            let batch = {
                let mut state = gateway.state.borrow_mut();
                state.relays.take_batch(Instant::now(), route, receivers)
            };
            if batch.is_empty() {
                break;
            }
            send_reports_on(&gateway, &socket, route, &topology, &batch).await;
        }
    }
}
