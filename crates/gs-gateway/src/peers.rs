//! Heartbeats between entries, as datagrams that carry each entry's state and its load at the servers.
//!
//! A lost heartbeat is made good by the next one, and nothing that must hold depends on them: engines are
//! the authority over their memory. That is why datagrams fit here better than links.

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

/// Between two regular heartbeats, at the least.
const HEARTBEAT: Duration = Duration::from_millis(400);

/// The same for each entry of the fleet.
const HEARTBEAT_PER_ENTRY: Duration = Duration::from_millis(10);

/// Between two heartbeats that tell of streams, at the least.
const CHANGE_GAP: Duration = Duration::from_millis(4);

/// The same for each entry of the fleet.
const CHANGE_GAP_PER_ENTRY: Duration = Duration::from_micros(150);

/// The longest heartbeat, in bytes.
const MAX_DATAGRAM: usize = 8_192;

/// What an entry tells its peers. Arrays in place of maps keep the datagrams small, as bytes between data
/// centres are dear.
#[derive(Debug, Deserialize, Serialize)]
enum Heartbeat {
    /// Goes out at regular times.
    #[serde(rename = "e")]
    Entry(PeerIdentity, PeerState, ServerVersion, LoadFrame),
    /// Goes out when streams begin or end.
    #[serde(rename = "l")]
    Load(EntryIdentity, LoadFrame),
}

/// The newest version of the servers that an entry has seen; that of the routes is in its state.
#[derive(Debug, Deserialize, Serialize)]
struct ServerVersion(u64);

/// What an entry has running.
#[derive(Debug, Deserialize, Serialize)]
struct LoadFrame(
    /// Which heartbeat of this start it is.
    u64,
    /// Streams that wait for room there and can be on time.
    u32,
    /// Streams that wait for room there and come late.
    u32,
    Vec<ServerFrame>,
    /// What it has met at servers that it leaves alone.
    IssueReport,
);

/// What an entry has running at one server.
#[derive(Debug, Deserialize, Serialize)]
struct ServerFrame(
    ServerName,
    /// Requests.
    u32,
    /// Prompt tokens that are still to be read.
    u64,
    /// Tokens held and left of each stream.
    Vec<(u32, u32)>,
);

impl LoadFrame {
    fn new(number: u64, waiting: WaitingCounts, digest: LoadDigest, troubles: IssueReport) -> Self {
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
            troubles,
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

/// The socket between entries.
pub struct PeerLink {
    socket: UdpSocket,
    newest: RefCell<BTreeMap<EntryName, (EntryIdentity, u64)>>,
}

impl PeerLink {
    /// Opens the socket.
    pub async fn open(address: SocketAddr) -> Result<Self, GatewayError> {
        let socket = UdpSocket::bind(address)
            .await
            .map_err(|source| GatewayError::Listen { address, source })?;
        Ok(Self {
            socket,
            newest: RefCell::default(),
        })
    }

    /// Whether a heartbeat is newer than all that the entry has sent; it is the newest one then.
    fn is_new(&self, identity: &EntryIdentity, number: u64) -> bool {
        let mut newest = self.newest.borrow_mut();
        let is_old = newest.get(&identity.entry).is_some_and(|(known, last)| {
            (known.incarnation, *last) >= (identity.incarnation, number)
        });
        if !is_old {
            newest.insert(identity.entry.clone(), (identity.clone(), number));
        }
        !is_old
    }
}

impl Gateway {
    /// Takes in the entries that the registry names.
    pub fn see_entries(&self, candidates: Vec<MemberCandidate>) {
        self.handle_membership(MembershipEvent::CandidatesListed(candidates));
    }

    /// How often entries of a fleet of this size are heard.
    fn note_interval(&self, interval: Duration) {
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

    /// Where some other entry that is alive is reached by peers.
    pub fn some_peer(&self) -> Option<SocketAddr> {
        let mut guard = self.state.borrow_mut();
        let GatewayState {
            membership, rng, ..
        } = &mut *guard;
        let alive = membership.usable_entries();
        alive.choose(rng).map(|member| member.peer_address)
    }

    /// Where the other entries are reached, listed or heard.
    fn peer_addresses(&self) -> Vec<SocketAddr> {
        self.state.borrow().membership.peer_addresses()
    }
}

/// Sends heartbeats until the process ends. Later starts of an entry have larger incarnations.
pub async fn run_peers(gateway: Rc<Gateway>, link: Rc<PeerLink>, incarnation: Incarnation) {
    let mut own = gateway.settings.own.clone();
    own.identity.incarnation = incarnation;
    let mut number = 0;
    let mut told: Option<Instant> = None;
    loop {
        number += 1;
        let entries = gateway.entry_count();
        let interval = HEARTBEAT + HEARTBEAT_PER_ENTRY * entries;
        gateway.note_interval(interval);
        let is_due = told.is_none_or(|told| told.elapsed() >= interval) || gateway.is_stopping();
        let frame = load_frame(&gateway, number);
        let heartbeat = match is_due {
            true => {
                told = Some(Instant::now());
                let servers = ServerVersion(gateway.own_version(RegistryView::Servers));
                Heartbeat::Entry(own.clone(), own_state(&gateway), servers, frame)
            }
            false => Heartbeat::Load(own.identity.clone(), frame),
        };
        send_heartbeat(&gateway, &link, &heartbeat).await;
        gateway.handle_membership(MembershipEvent::Tick);
        let gap = CHANGE_GAP + CHANGE_GAP_PER_ENTRY * entries;
        tokio::time::sleep(gap).await;
        let since = told.map_or(Duration::ZERO, |told| told.elapsed());
        tokio::select! {
            () = gateway.streams_changed.notified() => {}
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
    let mut troubles = state.loads.own_issues(now);
    troubles.extend(state.directory.own_issues(now));
    LoadFrame::new(
        number,
        state.queue.waiting(),
        state.loads.own_digest(),
        troubles,
    )
}

async fn send_heartbeat(gateway: &Gateway, link: &PeerLink, heartbeat: &Heartbeat) {
    let mut bytes = Vec::new();
    if let Err(error) = ciborium::into_writer(heartbeat, &mut bytes) {
        log::warn!(target: "peers", error:%; "heartbeat not encoded");
        return;
    }
    for address in gateway.peer_addresses() {
        if let Err(error) = link.socket.send_to(&bytes, address).await {
            log::debug!(target: "peers", "No heartbeat went to {address}: {error}.");
        }
    }
}

/// Takes heartbeats until the process ends.
pub async fn take_heartbeats(gateway: Rc<Gateway>, link: Rc<PeerLink>) {
    let mut buffer = vec![0; MAX_DATAGRAM];
    loop {
        let length = match link.socket.recv_from(&mut buffer).await {
            Ok((length, _)) => length,
            Err(error) => {
                log::debug!(target: "peers", "A datagram was not received: {error}.");
                tokio::time::sleep(CHANGE_GAP).await;
                continue;
            }
        };
        match ciborium::from_reader::<Heartbeat, _>(&buffer[..length]) {
            Ok(heartbeat) => take_heartbeat(&gateway, &link, heartbeat),
            Err(error) => log::info!(target: "peers", error:%; "datagram passed over"),
        }
    }
}

fn take_heartbeat(gateway: &Gateway, link: &PeerLink, heartbeat: Heartbeat) {
    let (identity, mut frame, entry) = match heartbeat {
        Heartbeat::Entry(peer, state, servers, frame) => {
            (peer.identity.clone(), frame, Some((peer, state, servers)))
        }
        Heartbeat::Load(identity, frame) => (identity, frame, None),
    };
    if identity.entry == gateway.settings.own.identity.entry || !link.is_new(&identity, frame.0) {
        return;
    }
    if let Some((peer, state, ServerVersion(servers))) = entry {
        gateway.hear_version(RegistryView::Routes, state.sequence.0);
        gateway.hear_version(RegistryView::Servers, servers);
        gateway.handle_membership(MembershipEvent::HeartbeatReceived { peer, state });
    }
    let waiting = WaitingCounts {
        on_time: frame.1,
        late: frame.2,
    };
    let now = Instant::now();
    let troubles = std::mem::take(&mut frame.4);
    let mut state = gateway.state.borrow_mut();
    state
        .loads
        .apply_peer_issues(now, &identity.entry, troubles);
    state
        .loads
        .apply_peer_digest(now, &identity.entry, frame.into_digest(), waiting);
    drop(state);
    gateway.room_changed.notify_one();
}
