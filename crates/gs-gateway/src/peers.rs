//! Reports between entries, sent as datagrams with each entry's state and its load at the servers.
//!
//! Datagrams suffice: the next report replaces a lost one, and no guarantee depends on reports, since
//! engines are the authority over their memory. `gs_control::relay` decides where reports go.

use std::cell::RefCell;
use std::collections::BTreeMap;
use std::net::SocketAddr;
use std::rc::Rc;
use std::time::{Duration, Instant};

use gs_control::forwarding::{
    CapacityDigest, IssueReport, LimitChange, RegistryVersion, RegistryView,
};
use gs_control::membership::{MemberCandidate, MembershipEffect, MembershipEvent};
use gs_control::relay::{EntryLoad, EntryPresence, EntryReport, ReportRoute};
use gs_protocol::ids::{EntryName, Incarnation};
use rand::seq::SliceRandom;
use tokio::net::UdpSocket;

use crate::datagram::{
    DatagramKind, MAX_DATAGRAM_BYTES, decode_currency, decode_reports, encode_currency,
    encode_reports, is_passed_on,
};
use crate::error::GatewayError;
use crate::gateway::{Gateway, GatewayState};
use crate::relays::{PeerTraits, send_relayed, send_reports_on, wait_for_budget};
use crate::traffic::{DATAGRAM_OVERHEAD_BYTES, TrafficCount, TrafficMeter, log_traffic};

/// Base interval between two regular reports; [`REPORT_INTERVAL_PER_PEER`] is added.
const BASE_REPORT_INTERVAL: Duration = Duration::from_millis(400);

/// Time added to the interval between regular reports for each entry that they are sent to.
const REPORT_INTERVAL_PER_PEER: Duration = Duration::from_millis(10);

/// Base of the minimum time between two reports; [`REPORT_GAP_PER_PEER`] is added.
const BASE_REPORT_GAP: Duration = Duration::from_millis(4);

/// Time added to the minimum time between reports for each entry that they are sent to.
const REPORT_GAP_PER_PEER: Duration = Duration::from_micros(150);

/// Socket for reports, with the version of the latest report of each peer.
pub struct ReportSocket {
    udp: UdpSocket,
    pub(crate) traffic: TrafficMeter,
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
            traffic: TrafficMeter::default(),
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

    /// Sends reports to addresses. What cannot be sent is lost. Returns the bytes on the network.
    pub(crate) async fn send(
        &self,
        kind: DatagramKind,
        reports: &[EntryReport],
        addresses: &[SocketAddr],
    ) -> usize {
        let mut sent = 0;
        for bytes in encode_reports(kind, reports) {
            for address in addresses {
                self.send_bytes(&bytes, *address).await;
            }
            sent += (bytes.len() + DATAGRAM_OVERHEAD_BYTES) * addresses.len();
        }
        sent
    }

    /// Sends a datagram. What cannot be sent is lost.
    pub(crate) async fn send_bytes(&self, bytes: &[u8], address: SocketAddr) {
        match self.udp.send_to(bytes, address).await {
            Ok(_) => self.count(&self.traffic.sent, bytes),
            Err(error) => {
                log::debug!(target: "peers", "cannot send a datagram to {address}: {error}");
            }
        }
    }

    fn count(&self, count: &RefCell<TrafficCount>, bytes: &[u8]) {
        count.borrow_mut().add(bytes.len(), is_passed_on(bytes));
    }
}

impl Gateway {
    /// Applies the list of entries from the registry.
    pub fn apply_entries(&self, candidates: Vec<MemberCandidate>) {
        self.handle_membership(MembershipEvent::CandidatesListed(candidates));
        self.state.borrow_mut().quotas.are_entries_listed = true;
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
            // Datagrams need no links.
            if let MembershipEffect::StatusChanged { peer, status } = effect {
                log::info!(target: "peers", entry:% = peer.identity.entry, incarnation = peer.identity.incarnation.0, status:?; "membership changed");
            }
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
}

/// Returns the interval between regular reports that are sent to a number of entries.
pub(crate) fn report_interval(direct_count: usize) -> Duration {
    BASE_REPORT_INTERVAL + REPORT_INTERVAL_PER_PEER * (direct_count as u32 + 1)
}

/// Sends reports until the process ends. `incarnation` must be larger than in earlier starts of the entry.
pub async fn send_reports(
    gateway: Rc<Gateway>,
    socket: Rc<ReportSocket>,
    incarnation: Incarnation,
) {
    for route in [ReportRoute::BetweenRelays, ReportRoute::Relayed] {
        let (gateway, socket) = (Rc::clone(&gateway), Rc::clone(&socket));
        actix_rt::spawn(send_relayed(gateway, socket, route));
    }
    let mut number = 0;
    let mut last_full: Option<Instant> = None;
    let mut was_isolated = false;
    loop {
        wait_for_budget(&gateway, ReportRoute::Direct).await;
        number += 1;
        let topology = gateway.topology();
        let interval = report_interval(topology.direct.len());
        let relay_delay = match topology.is_relayed {
            true => topology.presence_interval,
            false => Duration::ZERO,
        };
        gateway.set_heartbeat_interval(interval + relay_delay);
        gateway.update_quota_peers(interval + relay_delay);
        let is_isolated = gateway.is_isolated();
        let is_due = last_full.is_none_or(|last_full| last_full.elapsed() >= interval)
            || gateway.is_stopping()
            || std::mem::replace(&mut was_isolated, is_isolated) != is_isolated;
        if is_due {
            last_full = Some(Instant::now());
        }
        gateway.refresh_capacity();
        let report = own_report(&gateway, incarnation, number, is_due);
        let reports = std::slice::from_ref(&report);
        send_reports_on(&gateway, &socket, ReportRoute::Direct, &topology, reports).await;
        if topology.is_relayed {
            gateway.relay_report(report);
        }
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
    let mut state = gateway.state.borrow_mut();
    // What an entry without any links finds says nothing of the servers.
    let mut issues = match state.isolation.is_isolated() {
        true => IssueReport::new(),
        false => state.loads.own_issues(now),
    };
    issues.extend(state.directory.own_issues(now));
    let presence = with_presence.then(|| EntryPresence {
        data_centre: own.data_centre.clone(),
        address: own.address,
        peer_address: own.peer_address,
        is_leaving,
        routes_version,
        servers_version,
        ended_outages: state.registry.ended_outages(),
        link_rate: gateway.settings.link_rate.unwrap_or(0),
        is_isolated: state.isolation.is_isolated(),
        forward_address: gateway.settings.forward_address,
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
            suspicions: state.quarantine.digest(now),
            limits: state.limits.digest(now),
            origins: state.origins.digest(now),
            quotas: state.quotas.tracker.digest(now),
            capacity: match with_presence {
                true => state.capacity.digest(),
                false => CapacityDigest::default(),
            },
        },
    }
}

/// Receives reports and applies them until the process ends.
pub async fn receive_reports(gateway: Rc<Gateway>, socket: Rc<ReportSocket>) {
    let mut buffer = vec![0; MAX_DATAGRAM_BYTES];
    actix_rt::spawn(log_traffic(Rc::clone(&socket), gateway.settings.link_rate));
    loop {
        let (length, peer) = match socket.udp.recv_from(&mut buffer).await {
            Ok(received) => received,
            Err(error) => {
                log::debug!(target: "peers", "cannot receive a datagram: {error}");
                tokio::time::sleep(BASE_REPORT_GAP).await;
                continue;
            }
        };
        socket.count(&socket.traffic.received, &buffer[..length]);
        if let Some(message) = decode_currency(&buffer[..length]) {
            if let Some(answer) = gateway.handle_currency(peer, message) {
                socket.send_bytes(&encode_currency(answer), peer).await;
            }
            continue;
        }
        match decode_reports(&buffer[..length]) {
            Some((kind, reports)) => handle_reports(&gateway, &socket, kind, reports),
            None => log::info!(target: "peers", length; "invalid datagram ignored"),
        }
    }
}

fn handle_reports(
    gateway: &Gateway,
    socket: &ReportSocket,
    kind: DatagramKind,
    reports: Vec<EntryReport>,
) {
    let mut has_news = false;
    for report in reports {
        if kind == DatagramKind::Relayed {
            gateway.forget_arrival(&report);
        }
        if report.entry == gateway.settings.own.identity.entry || !socket.record_if_newer(&report) {
            continue;
        }
        has_news = true;
        gateway.apply_report(&report);
        match kind {
            DatagramKind::Local if gateway.is_local(&report.entry) => gateway.relay_report(report),
            DatagramKind::BetweenRelays => gateway.relay_arrival(report),
            DatagramKind::Direct | DatagramKind::Local | DatagramKind::Relayed => {}
        }
    }
    if has_news {
        gateway.capacity_changed.notify_one();
    }
}

impl Gateway {
    fn apply_report(&self, report: &EntryReport) {
        if let (Some(presence), Some((peer, state))) = (&report.presence, report.peer()) {
            let routes_version = RegistryVersion::across_eras(presence.routes_version);
            self.record_peer_version(RegistryView::Routes, routes_version);
            self.record_peer_table(presence.routes_version);
            self.record_peer_version(RegistryView::Servers, presence.servers_version);
            self.record_peer_outages(&report.identity(), presence.ended_outages);
            self.handle_membership(MembershipEvent::HeartbeatReceived { peer, state });
        }
        let now = Instant::now();
        let EntryLoad {
            waiting,
            digest,
            issues,
            suspicions,
            limits,
            origins,
            quotas,
            capacity,
        } = report.load.clone();
        let changes = {
            let mut state = self.state.borrow_mut();
            state.quarantine.apply_digest(now, suspicions)
        };
        self.log_suspicions(&changes, &report.entry.to_string());
        let mut state = self.state.borrow_mut();
        if let Some(presence) = &report.presence {
            let traits = PeerTraits::from(presence);
            state.relays.record_peer(&report.entry, traits);
        }
        state.origins.apply_digest(now, &origins);
        let tracker = &mut state.quotas.tracker;
        tracker.apply_digest(now, &report.entry, report.incarnation, &quotas);
        // Relays remove the presence from regular reports that are not due in other data centres.
        if report.presence.is_some() || !capacity.is_empty() {
            state.capacity.apply_digest(now, &report.entry, &capacity);
        }
        for change in state.limits.apply_digest(now, &report.entry, &limits) {
            let LimitChange { server, limit } = change;
            log::info!(target: "servers", server:%, limit:?, source:% = report.entry; "request limit changed");
        }
        state.loads.apply_peer_issues(now, &report.entry, issues);
        state
            .loads
            .apply_peer_digest(now, &report.entry, digest, waiting);
    }
}
