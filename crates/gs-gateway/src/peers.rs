//! Heartbeats between entries, as datagrams that carry each entry's state and its load at the servers.
//!
//! A lost heartbeat is made good by the next one, and nothing that must hold depends on them: engines are
//! the authority over their memory. That is why datagrams fit here better than links.

use std::cell::RefCell;
use std::collections::BTreeMap;
use std::net::SocketAddr;
use std::rc::Rc;
use std::time::{Duration, Instant};

use gs_control::forwarding::LoadDigest;
use gs_control::membership::{MemberCandidate, MembershipEvent};
use gs_protocol::ids::{EntryIdentity, EntryName, Incarnation, SequenceNumber};
use gs_protocol::peer::{PeerIdentity, PeerState};
use serde::{Deserialize, Serialize};
use tokio::net::UdpSocket;

use crate::error::GatewayError;
use crate::gateway::Gateway;

/// Between two heartbeats when no stream begins or ends.
const HEARTBEAT: Duration = Duration::from_millis(500);

/// Between two heartbeats that tell of streams, at the least.
const CHANGE_GAP: Duration = Duration::from_millis(4);

/// The same for each entry of the fleet.
const CHANGE_GAP_PER_ENTRY: Duration = Duration::from_micros(150);

/// The longest heartbeat, in bytes.
const MAX_DATAGRAM: usize = 8_192;

/// What an entry tells its peers.
#[derive(Clone, Debug, Deserialize, Serialize)]
struct Heartbeat {
    peer: PeerIdentity,
    /// Which heartbeat of this start it is.
    number: u64,
    is_ready: bool,
    state: PeerState,
    loads: LoadDigest,
    /// Streams that wait for room there.
    waiting: u32,
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
}

impl Gateway {
    /// Takes in the entries that the registry names.
    pub fn see_entries(&self, candidates: Vec<MemberCandidate>) {
        self.handle_membership(MembershipEvent::CandidatesSeen(candidates));
    }

    fn handle_membership(&self, event: MembershipEvent) {
        let mut effects = Vec::new();
        let mut state = self.state.borrow_mut();
        state.membership.handle(Instant::now(), event, &mut effects);
        for effect in effects {
            log::info!(target: "peers", effect:?; "membership changed");
        }
    }

    /// Where the other entries are reached, listed or heard.
    fn peer_addresses(&self) -> Vec<SocketAddr> {
        self.state.borrow().membership.peer_addresses()
    }
}

/// Sends and takes heartbeats until the process ends. Later starts of an entry have larger incarnations.
pub async fn run_peers(gateway: Rc<Gateway>, link: Rc<PeerLink>, incarnation: Incarnation) {
    let mut own = gateway.settings.own.clone();
    own.identity.incarnation = incarnation;
    actix_rt::spawn(take_heartbeats(Rc::clone(&gateway), Rc::clone(&link)));
    let mut number = 0;
    loop {
        number += 1;
        send_heartbeat(&gateway, &link, &own, number).await;
        gateway.handle_membership(MembershipEvent::Tick);
        let gap = CHANGE_GAP + CHANGE_GAP_PER_ENTRY * gateway.entry_count();
        tokio::time::sleep(gap).await;
        tokio::select! {
            () = gateway.streams_changed.notified() => {}
            () = tokio::time::sleep(HEARTBEAT.saturating_sub(gap)) => {}
        }
    }
}

async fn send_heartbeat(gateway: &Gateway, link: &PeerLink, own: &PeerIdentity, number: u64) {
    let heartbeat = Heartbeat {
        peer: own.clone(),
        number,
        is_ready: gateway.is_ready(),
        state: PeerState {
            leaving: gateway.is_stopping(),
            sequence: SequenceNumber(gateway.table().map_or(0, |table| table.version)),
        },
        loads: gateway.state.borrow().loads.own_digest(),
        waiting: gateway.state.borrow().queue.len() as u32,
    };
    let mut bytes = Vec::new();
    if let Err(error) = ciborium::into_writer(&heartbeat, &mut bytes) {
        log::warn!(target: "peers", error:%; "heartbeat not encoded");
        return;
    }
    for address in gateway.peer_addresses() {
        if let Err(error) = link.socket.send_to(&bytes, address).await {
            log::debug!(target: "peers", "No heartbeat went to {address}: {error}.");
        }
    }
}

async fn take_heartbeats(gateway: Rc<Gateway>, link: Rc<PeerLink>) {
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
    let identity = heartbeat.peer.identity.clone();
    let name = identity.entry.clone();
    {
        let mut newest = link.newest.borrow_mut();
        let is_old = newest.get(&name).is_some_and(|(known, number)| {
            known.incarnation > identity.incarnation
                || (known.incarnation == identity.incarnation && *number >= heartbeat.number)
        });
        if is_old {
            return;
        }
        newest.insert(name.clone(), (identity, heartbeat.number));
    }
    let state = PeerState {
        leaving: heartbeat.state.leaving || !heartbeat.is_ready,
        ..heartbeat.state
    };
    gateway.handle_membership(MembershipEvent::PeerHeard {
        peer: heartbeat.peer,
        state,
    });
    let now = Instant::now();
    let mut gateway_state = gateway.state.borrow_mut();
    gateway_state
        .loads
        .hear_peer(now, &name, heartbeat.loads, heartbeat.waiting);
    drop(gateway_state);
    gateway.room_changed.notify_one();
}
