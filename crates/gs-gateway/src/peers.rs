//! Heartbeats between entries, sent as datagrams with each entry's state and its load at the servers.
//!
//! Datagrams suffice: the next heartbeat replaces a lost one, and no guarantee depends on heartbeats, since
//! engines are the authority over their memory.

use std::cell::RefCell;
use std::collections::BTreeMap;
use std::net::SocketAddr;
use std::rc::Rc;
use std::time::{Duration, Instant};

use gs_control::forwarding::{
    IssueReport, LoadDigest, RegistryView, ServerLoad, ServerWork, StreamShape, WaitingCounts,
};
use gs_control::membership::{MemberCandidate, MembershipEvent};
use gs_protocol::ids::{EntryIdentity, EntryName, Incarnation, SequenceNumber, ServerName};
use gs_protocol::peer::{PeerIdentity, PeerState};
use rand::seq::SliceRandom;
use serde::{Deserialize, Serialize};
use tokio::net::UdpSocket;

use crate::error::GatewayError;
use crate::gateway::{Gateway, GatewayState};

/// Base interval between two regular heartbeats; [`HEARTBEAT_INTERVAL_PER_ENTRY`] is added.
const BASE_HEARTBEAT_INTERVAL: Duration = Duration::from_millis(400);

/// Time added to the heartbeat interval for each entry of the fleet.
const HEARTBEAT_INTERVAL_PER_ENTRY: Duration = Duration::from_millis(10);

/// Base of the minimum time between two heartbeats; [`REPORT_GAP_PER_ENTRY`] is added.
const BASE_REPORT_GAP: Duration = Duration::from_millis(4);

/// Time added to the minimum time between heartbeats for each entry of the fleet.
const REPORT_GAP_PER_ENTRY: Duration = Duration::from_micros(150);

/// Maximum size of a heartbeat, in bytes.
const MAX_DATAGRAM_BYTES: usize = 8_192;

/// Message from an entry to its peers. Encoded with arrays instead of maps to keep datagrams small, because
/// traffic between data centres is expensive.
#[derive(Debug, Deserialize, Serialize)]
enum Heartbeat {
    /// Sent at regular intervals.
    #[serde(rename = "e")]
    Entry(PeerIdentity, PeerState, ServerVersion, LoadFrame),
    /// Sent between regular heartbeats, when the streams or the issues of the entry change.
    #[serde(rename = "l")]
    Load(EntryIdentity, LoadFrame),
}

/// Newest version of the server list that an entry has read; that of the routes is in [`PeerState`].
#[derive(Debug, Deserialize, Serialize)]
struct ServerVersion(u64);

/// Load report of an entry.
#[derive(Debug, Deserialize, Serialize)]
struct LoadFrame(
    /// Number of the heartbeat since the start of the entry.
    u64,
    /// Streams in the entry's admission queue that can still meet their latency target.
    u32,
    /// Streams in the entry's admission queue that will miss their latency target.
    u32,
    Vec<ServerFrame>,
    /// Servers that the entry avoids, each with its issue.
    IssueReport,
);

/// Load of an entry at one server.
#[derive(Debug, Deserialize, Serialize)]
struct ServerFrame(
    ServerName,
    /// Requests in progress, without streams.
    u32,
    /// Prompt tokens that are not processed yet.
    u64,
    /// For each stream, the tokens it holds in memory and the tokens it is expected to add.
    Vec<(u32, u32)>,
);

impl LoadFrame {
    fn new(number: u64, waiting: WaitingCounts, digest: LoadDigest, issues: IssueReport) -> Self {
        let servers = digest.into_iter().map(|(server, work)| {
            let streams = work
                .streams
                .iter()
                .map(|shape| (shape.held_tokens, shape.remaining_tokens));
            let load = work.load;
            ServerFrame(server, load.requests, load.prompt_tokens, streams.collect())
        });
        Self(
            number,
            waiting.on_time,
            waiting.late,
            servers.collect(),
            issues,
        )
    }

    fn into_digest(self) -> LoadDigest {
        let servers = self.3.into_iter();
        servers
            .map(|ServerFrame(server, requests, prompt_tokens, streams)| {
                let shapes = streams.into_iter();
                let work = ServerWork {
                    load: ServerLoad {
                        requests,
                        prompt_tokens,
                    },
                    streams: shapes
                        .map(|(held_tokens, remaining_tokens)| StreamShape {
                            held_tokens,
                            remaining_tokens,
                        })
                        .collect(),
                };
                (server, work)
            })
            .collect()
    }
}

/// Socket for heartbeats, with the latest heartbeat number of each peer.
pub struct HeartbeatSocket {
    udp: UdpSocket,
    latest: RefCell<BTreeMap<EntryName, (EntryIdentity, u64)>>,
}

impl HeartbeatSocket {
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

    /// Records a heartbeat as the latest of its entry if it is newer than all before; returns whether it is.
    fn record_if_newer(&self, identity: &EntryIdentity, number: u64) -> bool {
        let mut latest = self.latest.borrow_mut();
        let is_old = latest.get(&identity.entry).is_some_and(|(known, last)| {
            (known.incarnation, *last) >= (identity.incarnation, number)
        });
        if !is_old {
            latest.insert(identity.entry.clone(), (identity.clone(), number));
        }
        !is_old
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

    /// Returns the addresses of all other entries, from the registry or from their heartbeats.
    fn peer_addresses(&self) -> Vec<SocketAddr> {
        self.state.borrow().membership.peer_addresses()
    }
}

/// Sends heartbeats until the process ends. `incarnation` must be larger than in earlier starts of the entry.
pub async fn send_heartbeats(
    gateway: Rc<Gateway>,
    socket: Rc<HeartbeatSocket>,
    incarnation: Incarnation,
) {
    let mut own = gateway.settings.own.clone();
    own.identity.incarnation = incarnation;
    let mut number = 0;
    let mut last_full: Option<Instant> = None;
    loop {
        number += 1;
        let entries = gateway.entry_count();
        let interval = BASE_HEARTBEAT_INTERVAL + HEARTBEAT_INTERVAL_PER_ENTRY * entries;
        gateway.set_heartbeat_interval(interval);
        let is_due = last_full.is_none_or(|last_full| last_full.elapsed() >= interval)
            || gateway.is_stopping();
        let frame = load_frame(&gateway, number);
        let heartbeat = match is_due {
            true => {
                last_full = Some(Instant::now());
                let servers = ServerVersion(gateway.own_version(RegistryView::Servers));
                Heartbeat::Entry(own.clone(), own_state(&gateway), servers, frame)
            }
            false => Heartbeat::Load(own.identity.clone(), frame),
        };
        send_heartbeat(&gateway, &socket, &heartbeat).await;
        gateway.handle_membership(MembershipEvent::Tick);
        let gap = BASE_REPORT_GAP + REPORT_GAP_PER_ENTRY * entries;
        tokio::time::sleep(gap).await;
        let since = last_full.map_or(Duration::ZERO, |last_full| last_full.elapsed());
        tokio::select! {
            () = gateway.report_changed.notified() => {}
            () = tokio::time::sleep(interval.saturating_sub(since)) => {}
        }
    }
}

fn own_state(gateway: &Gateway) -> PeerState {
    PeerState {
        leaving: !gateway.is_ready(),
        sequence: SequenceNumber(gateway.table().map_or(0, |table| table.version)),
    }
}

fn load_frame(gateway: &Gateway, number: u64) -> LoadFrame {
    let now = Instant::now();
    let state = gateway.state.borrow();
    let mut issues = state.loads.own_issues(now);
    issues.extend(state.directory.own_issues(now));
    LoadFrame::new(
        number,
        state.queue.waiting(),
        state.loads.own_digest(),
        issues,
    )
}

async fn send_heartbeat(gateway: &Gateway, socket: &HeartbeatSocket, heartbeat: &Heartbeat) {
    let mut bytes = Vec::new();
    if let Err(error) = ciborium::into_writer(heartbeat, &mut bytes) {
        log::warn!(target: "peers", error:%; "cannot encode the heartbeat");
        return;
    }
    for address in gateway.peer_addresses() {
        if let Err(error) = socket.udp.send_to(&bytes, address).await {
            log::debug!(target: "peers", "cannot send a heartbeat to {address}: {error}");
        }
    }
}

/// Receives heartbeats and applies them until the process ends.
pub async fn receive_heartbeats(gateway: Rc<Gateway>, socket: Rc<HeartbeatSocket>) {
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
        match ciborium::from_reader::<Heartbeat, _>(&buffer[..length]) {
            Ok(heartbeat) => handle_heartbeat(&gateway, &socket, heartbeat),
            Err(error) => log::info!(target: "peers", error:%; "invalid datagram ignored"),
        }
    }
}

fn handle_heartbeat(gateway: &Gateway, socket: &HeartbeatSocket, heartbeat: Heartbeat) {
    let (identity, mut frame, entry_state) = match heartbeat {
        Heartbeat::Entry(peer, state, servers, frame) => {
            (peer.identity.clone(), frame, Some((peer, state, servers)))
        }
        Heartbeat::Load(identity, frame) => (identity, frame, None),
    };
    if identity.entry == gateway.settings.own.identity.entry
        || !socket.record_if_newer(&identity, frame.0)
    {
        return;
    }
    if let Some((peer, state, ServerVersion(servers))) = entry_state {
        gateway.record_peer_version(RegistryView::Routes, state.sequence.0);
        gateway.record_peer_version(RegistryView::Servers, servers);
        gateway.handle_membership(MembershipEvent::HeartbeatReceived { peer, state });
    }
    let waiting = WaitingCounts {
        on_time: frame.1,
        late: frame.2,
    };
    let now = Instant::now();
    let issues = std::mem::take(&mut frame.4);
    let mut state = gateway.state.borrow_mut();
    state.loads.apply_peer_issues(now, &identity.entry, issues);
    state
        .loads
        .apply_peer_digest(now, &identity.entry, frame.into_digest(), waiting);
    drop(state);
    gateway.capacity_changed.notify_one();
}
