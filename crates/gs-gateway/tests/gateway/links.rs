//! Reports between entries on links that carry little.

use std::cell::Cell;
use std::rc::Rc;
use std::time::{Duration, Instant};

use gs_control::forwarding::ServerIssue;
use gs_control::membership::MemberCandidate;
use gs_control::relay::{EntryLoad, EntryReport};
use gs_protocol::ids::Incarnation;
use tokio::net::UdpSocket;

use super::support::Deployment;

/// Bytes per second of the relay's link.
const LINK_RATE: u64 = 1_250_000;

/// Part of the link that is left to requests and to the registry.
const LEFT_FRACTION: f64 = 0.5;

/// Time for which the link's queue may hold what is sent at once.
const MAX_BURST: Duration = Duration::from_millis(250);

/// Entries of the relay's data centre.
const LOCAL_ENTRIES: usize = 20;

/// Entries of the other data centre, whose reports the relay passes on.
const REMOTE_ENTRIES: usize = 50;

/// First byte of a datagram from a relay of another data centre.
const BETWEEN_RELAYS: u8 = 2;

/// Interval at which the other relay sends new reports of all its entries.
const FLOOD_INTERVAL: Duration = Duration::from_millis(10);

const FLOOD: Duration = Duration::from_secs(2);

/// A peer that only counts the bytes that it receives.
struct CountingPeer {
    socket: Rc<UdpSocket>,
    bytes: Rc<Cell<u64>>,
}

impl CountingPeer {
    async fn start() -> Self {
        let socket = UdpSocket::bind(("127.0.0.1", 0)).await.expect("a port");
        let peer = Self {
            socket: Rc::new(socket),
            bytes: Rc::new(Cell::new(0)),
        };
        let (socket, bytes) = (Rc::clone(&peer.socket), Rc::clone(&peer.bytes));
        actix_rt::spawn(async move {
            let mut buffer = [0; 16_384];
            while let Ok((length, _)) = socket.recv_from(&mut buffer).await {
                bytes.set(bytes.get() + length as u64);
            }
        });
        peer
    }

    fn candidate(&self, data_centre: &str, name: &str) -> MemberCandidate {
        let address = self.socket.local_addr().expect("an address");
        MemberCandidate {
            name: name.into(),
            data_centre: data_centre.into(),
            address,
            peer_address: address,
            leaving: false,
        }
    }
}

/// Builds a datagram with a report of one entry of the other data centre, whose load differs in each round.
fn remote_report(entry: usize, number: u64) -> Vec<u8> {
    let issues = (0..16).map(|server| {
        let name = format!("server-{number}-{server}");
        (name.as_str().into(), ServerIssue::Unreachable)
    });
    let report = EntryReport {
        entry: format!("south-{entry}").as_str().into(),
        incarnation: Incarnation(1),
        number,
        presence: None,
        load: EntryLoad {
            issues: issues.collect(),
            ..EntryLoad::default()
        },
    };
    let mut bytes = vec![BETWEEN_RELAYS];
    ciborium::into_writer(&[report], &mut bytes).expect("a report");
    bytes
}

#[actix_rt::test]
async fn relayed_reports_leave_most_of_a_slow_link_free() {
    let relay = Deployment::start_with_link("north", "relay", LINK_RATE).await;
    let mut peers = Vec::new();
    let mut candidates = Vec::new();
    for number in 0..LOCAL_ENTRIES {
        let peer = CountingPeer::start().await;
        candidates.push(peer.candidate("north", &format!("north-{number}")));
        peers.push(peer);
    }
    let other_relay = CountingPeer::start().await;
    candidates.push(other_relay.candidate("south", "south-0"));
    relay.join_candidates(candidates).await;

    let relay_address = relay.gateway.settings.own.peer_address;
    let started = Instant::now();
    let mut number = 0;
    while started.elapsed() < FLOOD {
        number += 1;
        for entry in 0..REMOTE_ENTRIES {
            let report = remote_report(entry, number);
            let sent = other_relay.socket.send_to(&report, relay_address).await;
            sent.expect("a datagram to loopback");
        }
        tokio::time::sleep(FLOOD_INTERVAL).await;
    }
    let counted = peers.iter().chain([&other_relay]);
    let sent: u64 = counted.map(|peer| peer.bytes.get()).sum();
    let rate = LINK_RATE as f64 * (1.0 - LEFT_FRACTION);
    let bound = rate * started.elapsed().as_secs_f64() + LINK_RATE as f64 * MAX_BURST.as_secs_f64();
    assert!(sent as f64 <= bound, "{sent} bytes, at most {bound}");
    assert!(sent > 0, "nothing was passed on");
}
