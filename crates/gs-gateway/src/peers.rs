//! Reports between entries, sent as datagrams with each entry's state and its load at the servers.
//!
//! Datagrams suffice: the next report replaces a lost one, and no guarantee depends on reports, since
//! engines are the authority over their memory. `gs_control::relay` decides where reports go.

use std::cell::RefCell;
use std::collections::{BTreeMap, BTreeSet};
use std::net::SocketAddr;
use std::rc::Rc;
use std::time::{Duration, Instant};

use gs_control::forwarding::RegistryView;
use gs_control::membership::{MemberCandidate, MembershipEvent};
use gs_control::relay::{
    EntryLoad, EntryPresence, EntryReport, RelayMember, RelaySettings, RelayTopology,
    TopologySettings,
};
use gs_protocol::ids::{EntryIdentity, EntryName, Incarnation};
use rand::seq::SliceRandom;
use tokio::net::UdpSocket;

use crate::error::GatewayError;
use crate::gateway::{Gateway, GatewayState};

/// Base interval between two regular reports; [`REPORT_INTERVAL_PER_PEER`] is added.
const BASE_REPORT_INTERVAL: Duration = Duration::from_millis(400);

/// Time added to the interval between regular reports for each entry that they are sent to.
const REPORT_INTERVAL_PER_PEER: Duration = Duration::from_millis(10);

/// Base of the minimum time between two reports; [`REPORT_GAP_PER_PEER`] is added.
const BASE_REPORT_GAP: Duration = Duration::from_millis(4);

/// Time added to the minimum time between reports for each entry that they are sent to.
const REPORT_GAP_PER_PEER: Duration = Duration::from_micros(150);

/// Time for which a relay collects reports before it passes them on.
const RELAY_DELAY: Duration = Duration::from_millis(20);

/// How long a decision where to send reports is kept.
const TOPOLOGY_LIFETIME: Duration = Duration::from_millis(250);

/// Silence, in regular intervals, after which another entry of the data centre takes over as relay.
const MAX_RELAY_SILENCE: f64 = 2.2;

/// Maximum size of a datagram, in bytes.
const MAX_DATAGRAM_BYTES: usize = 8_192;

/// Size of the reports in one datagram of a relay, in bytes, from which no further one is added.
const MAX_BATCH_BYTES: usize = 1_200;

/// Who a datagram is for; its first byte.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
#[repr(u8)]
enum DatagramKind {
    /// From an entry to another; a relay of the same data centre passes it on to other data centres.
    Direct = 0,
    /// From a relay to one of another data centre, which passes it on to its data centre.
    BetweenRelays = 1,
    /// From a relay to an entry of its data centre.
    Relayed = 2,
}

impl DatagramKind {
    fn from_byte(byte: u8) -> Option<Self> {
        [Self::Direct, Self::BetweenRelays, Self::Relayed]
            .into_iter()
            .find(|kind| *kind as u8 == byte)
    }
}

/// Encodes a datagram.
fn encode(
    kind: DatagramKind,
    reports: &[EntryReport],
) -> Result<Vec<u8>, ciborium::ser::Error<std::io::Error>> {
    let mut bytes = vec![kind as u8];
    ciborium::into_writer(&reports, &mut bytes)?;
    Ok(bytes)
}

/// Decodes a datagram; `None` if it is invalid.
fn decode(bytes: &[u8]) -> Option<(DatagramKind, Vec<EntryReport>)> {
    let (kind, body) = bytes.split_first()?;
    let reports = ciborium::from_reader(body).ok()?;
    Some((DatagramKind::from_byte(*kind)?, reports))
}

/// Socket for reports, with the version of the latest report of each peer.
pub struct ReportSocket {
    udp: UdpSocket,
    latest: RefCell<BTreeMap<EntryName, (Incarnation, u64)>>,
}

impl ReportSocket {
    /// Binds the socket. Fails with [`GatewayError::Listen`] if the address is not available.
    pub async fn open(address: SocketAddr) -> Result<Self, GatewayError> {
        let udp = UdpSocket::bind(address)
            .await
            .map_err(|source| GatewayError::Listen { address, source })?;
        Ok(Self {
            udp,
            latest: RefCell::default(),
        })
    }

    /// Records a report as the latest of its entry if it is newer than all before; returns whether it is.
    fn record_if_newer(&self, report: &EntryReport) -> bool {
        let mut latest = self.latest.borrow_mut();
        let known = latest.get(&report.entry);
        let is_newer = known.is_none_or(|known| *known < report.version());
        if is_newer {
            latest.insert(report.entry.clone(), report.version());
        }
        is_newer
    }

    async fn send(&self, bytes: &[u8], addresses: &[SocketAddr]) {
        for address in addresses {
            if let Err(error) = self.udp.send_to(bytes, address).await {
                log::debug!(target: "peers", "cannot send a report to {address}: {error}");
            }
        }
    }
}

impl Gateway {
    /// Applies the list of entries from the registry.
    pub fn apply_entries(&self, candidates: Vec<MemberCandidate>) {
        self.handle_membership(MembershipEvent::CandidatesListed(candidates));
    }

    /// Sets the expected interval between heartbeats of a peer.
    fn set_heartbeat_interval(&self, interval: Duration) {
        let mut state = self.state.borrow_mut();
        state.membership.set_heartbeat_interval(interval);
        state.loads.set_heartbeat_interval(interval);
    }

    fn handle_membership(&self, event: MembershipEvent) {
        let mut effects = Vec::new();
        let mut state = self.state.borrow_mut();
        state.membership.handle(Instant::now(), event, &mut effects);
        for effect in effects {
            log::info!(target: "peers", effect:?; "membership changed");
        }
    }

    /// Returns the peer address of a random usable entry.
    pub fn random_peer(&self) -> Option<SocketAddr> {
        let mut guard = self.state.borrow_mut();
        let GatewayState {
            membership, rng, ..
        } = &mut *guard;
        let usable = membership.usable_entries();
        usable.choose(rng).map(|member| member.peer_address)
    }

    /// Returns where reports are sent.
    fn topology(&self) -> Rc<RelayTopology> {
        let now = Instant::now();
        let mut guard = self.state.borrow_mut();
        let state = &mut *guard;
        if let Some((decided_at, topology)) = &state.topology
            && now.saturating_duration_since(*decided_at) < TOPOLOGY_LIFETIME
        {
            return Rc::clone(topology);
        }
        let own = &self.settings.own;
        let previous = state.topology.take();
        let direct_count = previous.map_or(0, |(_, topology)| topology.direct.len());
        let max_silence = report_interval(direct_count).mul_f64(MAX_RELAY_SILENCE);
        let others = state
            .membership
            .relay_members(now, &own.data_centre, max_silence);
        let own = RelayMember {
            name: own.identity.entry.clone(),
            data_centre: own.data_centre.clone(),
            peer_address: own.peer_address,
            can_relay: true,
        };
        state.topology_round += 1;
        let topology = Rc::new(RelayTopology::new(
            &own,
            &others,
            state.topology_round,
            &TopologySettings::default(),
        ));
        let known: BTreeSet<&EntryName> = others.iter().map(|other| &other.name).collect();
        state.peer_outages.retain(|entry, _| known.contains(entry));
        state
            .relay_queue
            .retain(|entry| known.contains(entry) || *entry == own.name);
        state.topology = Some((now, Rc::clone(&topology)));
        topology
    }

    /// Queues a report of this entry's data centre for other data centres, if this entry is a relay.
    fn relay_report(&self, report: EntryReport) {
        if self.topology().foreign_relays.is_empty() {
            return;
        }
        let mut state = self.state.borrow_mut();
        if state.relay_queue.push(Instant::now(), report) {
            self.relay_changed.notify_one();
        }
    }

    /// Whether an entry runs in the data centre of this one.
    fn is_local(&self, entry: &EntryName) -> bool {
        let state = self.state.borrow();
        let member = state.membership.member(entry);
        member.is_some_and(|member| member.peer.data_centre == self.settings.own.data_centre)
    }
}

/// Returns the interval between regular reports that are sent to a number of entries.
fn report_interval(direct_count: usize) -> Duration {
    BASE_REPORT_INTERVAL + REPORT_INTERVAL_PER_PEER * (direct_count as u32 + 1)
}

/// Sends reports until the process ends. `incarnation` must be larger than in earlier starts of the entry.
pub async fn send_reports(
    gateway: Rc<Gateway>,
    socket: Rc<ReportSocket>,
    incarnation: Incarnation,
) {
    actix_rt::spawn(send_relayed(Rc::clone(&gateway), Rc::clone(&socket)));
    let mut number = 0;
    let mut last_full: Option<Instant> = None;
    loop {
        number += 1;
        let topology = gateway.topology();
        let interval = report_interval(topology.direct.len());
        let relay_delay = match topology.is_relayed {
            true => RelaySettings::default().presence_interval,
            false => Duration::ZERO,
        };
        gateway.set_heartbeat_interval(interval + relay_delay);
        let is_due = last_full.is_none_or(|last_full| last_full.elapsed() >= interval)
            || gateway.is_stopping();
        if is_due {
            last_full = Some(Instant::now());
        }
        let report = own_report(&gateway, incarnation, number, is_due);
        match encode(DatagramKind::Direct, std::slice::from_ref(&report)) {
            Ok(bytes) => socket.send(&bytes, &topology.direct).await,
            Err(error) => log::warn!(target: "peers", error:%; "cannot encode the report"),
        }
        gateway.relay_report(report);
        gateway.handle_membership(MembershipEvent::Tick);
        let gap = BASE_REPORT_GAP + REPORT_GAP_PER_PEER * (topology.direct.len() as u32 + 1);
        tokio::time::sleep(gap).await;
        let since = last_full.map_or(Duration::ZERO, |last_full| last_full.elapsed());
        tokio::select! {
            () = gateway.report_changed.notified() => {}
            () = tokio::time::sleep(interval.saturating_sub(since)) => {}
        }
    }
}

/// Passes the reports of this entry's data centre on to other data centres until the process ends.
async fn send_relayed(gateway: Rc<Gateway>, socket: Rc<ReportSocket>) {
    loop {
        gateway.relay_changed.notified().await;
        tokio::time::sleep(RELAY_DELAY).await;
        let topology = gateway.topology();
        let reports = gateway
            .state
            .borrow_mut()
            .relay_queue
            .take_all(Instant::now());
        for bytes in encode_batches(&reports) {
            socket.send(&bytes, &topology.foreign_relays).await;
        }
    }
}

/// Encodes reports into datagrams of at most [`MAX_BATCH_BYTES`], or of a single report.
fn encode_batches(reports: &[EntryReport]) -> Vec<Vec<u8>> {
    let mut batches = Vec::new();
    let mut open: Vec<&[EntryReport]> = vec![reports];
    while let Some(batch) = open.pop() {
        if batch.is_empty() {
            continue;
        }
        match encode(DatagramKind::BetweenRelays, batch) {
            Ok(bytes) if bytes.len() <= MAX_BATCH_BYTES || batch.len() == 1 => batches.push(bytes),
            Ok(_) => {
                let (first, second) = batch.split_at(batch.len() / 2);
                open.extend([first, second]);
            }
            Err(error) => log::warn!(target: "peers", error:%; "cannot encode the reports"),
        }
    }
    batches
}

fn own_report(
    gateway: &Gateway,
    incarnation: Incarnation,
    number: u64,
    with_presence: bool,
) -> EntryReport {
    let now = Instant::now();
    let routes_version = gateway.table().map_or(0, |table| table.version);
    let servers_version = gateway.own_version(RegistryView::Servers);
    let own = &gateway.settings.own;
    let is_leaving = !gateway.is_ready();
    let state = gateway.state.borrow();
    let mut issues = state.loads.own_issues(now);
    issues.extend(state.directory.own_issues(now));
    let presence = with_presence.then(|| EntryPresence {
        data_centre: own.data_centre.clone(),
        address: own.address,
        peer_address: own.peer_address,
        is_leaving,
        routes_version,
        servers_version,
        ended_outages: state.ended_outages,
    });
    EntryReport {
        entry: own.identity.entry.clone(),
        incarnation,
        number,
        presence,
        load: EntryLoad {
            waiting: state.queue.waiting(),
            digest: state.loads.own_digest(),
            issues,
        },
    }
}

/// Receives reports and applies them until the process ends.
pub async fn receive_reports(gateway: Rc<Gateway>, socket: Rc<ReportSocket>) {
    let mut buffer = vec![0; MAX_DATAGRAM_BYTES];
    loop {
        let length = match socket.udp.recv_from(&mut buffer).await {
            Ok((length, _)) => length,
            Err(error) => {
                log::debug!(target: "peers", "cannot receive a datagram: {error}");
                tokio::time::sleep(BASE_REPORT_GAP).await;
                continue;
            }
        };
        let datagram = &mut buffer[..length];
        let Some((kind, reports)) = decode(datagram) else {
            log::info!(target: "peers", length; "invalid datagram ignored");
            continue;
        };
        let has_news = handle_reports(&gateway, &socket, kind, reports);
        // The other relays of this data centre receive the same reports; the first one passes them on.
        if kind == DatagramKind::BetweenRelays && has_news {
            datagram[0] = DatagramKind::Relayed as u8;
            socket.send(datagram, &gateway.topology().direct).await;
        }
    }
}

/// Applies reports; returns whether one of them was newer than the known one of its entry.
fn handle_reports(
    gateway: &Gateway,
    socket: &ReportSocket,
    kind: DatagramKind,
    reports: Vec<EntryReport>,
) -> bool {
    let mut has_news = false;
    for report in reports {
        if report.entry == gateway.settings.own.identity.entry || !socket.record_if_newer(&report) {
            continue;
        }
        has_news = true;
        gateway.apply_report(&report);
        if kind == DatagramKind::Direct && gateway.is_local(&report.entry) {
            gateway.relay_report(report);
        }
    }
    if has_news {
        gateway.capacity_changed.notify_one();
    }
    has_news
}

impl Gateway {
    /// Wakes the readers of the registry if an outage has ended for a peer since its report before.
    fn record_peer_outages(&self, peer: &EntryIdentity, ended_outages: u64) {
        let mut state = self.state.borrow_mut();
        let known = state
            .peer_outages
            .insert(peer.entry.clone(), (peer.incarnation, ended_outages));
        let has_ended = known.is_some_and(|(incarnation, known)| {
            incarnation == peer.incarnation && known < ended_outages
        });
        drop(state);
        if has_ended {
            self.retry_registry();
        }
    }

    fn apply_report(&self, report: &EntryReport) {
        if let (Some(presence), Some((peer, state))) = (&report.presence, report.peer()) {
            self.record_peer_version(RegistryView::Routes, presence.routes_version);
            self.record_peer_version(RegistryView::Servers, presence.servers_version);
            self.record_peer_outages(&report.identity(), presence.ended_outages);
            self.handle_membership(MembershipEvent::HeartbeatReceived { peer, state });
        }
        let now = Instant::now();
        let EntryLoad {
            waiting,
            digest,
            issues,
        } = report.load.clone();
        let mut state = self.state.borrow_mut();
        state.loads.apply_peer_issues(now, &report.entry, issues);
        state
            .loads
            .apply_peer_digest(now, &report.entry, digest, waiting);
    }
}
