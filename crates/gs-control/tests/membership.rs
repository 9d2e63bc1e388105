//! Random events against the invariants of the list of entries.

use std::collections::BTreeMap;
use std::net::SocketAddr;
use std::time::{Duration, Instant};

use gs_control::membership::{
    MemberCandidate, MemberStatus, MembershipEffect, MembershipEvent, MembershipSettings,
    MembershipState,
};
use gs_protocol::ids::{EntryIdentity, EntryName, Incarnation, SequenceNumber};
use gs_protocol::peer::{PeerIdentity, PeerState};
use proptest::prelude::*;
use proptest::test_runner::{Config, RngAlgorithm, TestRng, TestRunner};
use test_case::test_case;

const SETTINGS: MembershipSettings = MembershipSettings {
    suspect_after: Duration::from_millis(1_000),
    dead_after: Duration::from_millis(2_000),
};

/// Entries of the test, the own one included.
const ENTRIES: u8 = 5;

/// Cases of each run.
const CASES: u32 = 500;

#[derive(Clone, Debug)]
enum Step {
    /// The list names these entries, by bit, the second set as leaving.
    List(u8, u8),
    /// An entry is heard, with an incarnation and whether it is leaving.
    Hear(u8, u64, bool),
    /// Time passes, in milliseconds.
    Pass(u64),
}

fn step() -> impl Strategy<Value = Step> {
    prop_oneof![
        1 => (any::<u8>(), any::<u8>()).prop_map(|(listed, leaving)| Step::List(listed, leaving)),
        6 => (0..ENTRIES, 1..4u64, prop::bool::weighted(0.1))
            .prop_map(|(entry, incarnation, leaving)| Step::Hear(entry, incarnation, leaving)),
        3 => (0..1_500u64).prop_map(Step::Pass),
    ]
}

fn address(entry: u8) -> SocketAddr {
    SocketAddr::from(([127, 0, 0, 1], 1_000 + u16::from(entry)))
}

fn name(entry: u8) -> EntryName {
    EntryName::new(format!("entry-{entry}"))
}

fn candidate(entry: u8, leaving: bool) -> MemberCandidate {
    MemberCandidate {
        name: name(entry),
        data_centre: "north".into(),
        address: address(entry),
        peer_address: address(entry),
        leaving,
    }
}

fn peer(entry: u8, incarnation: u64) -> PeerIdentity {
    let incarnation = Incarnation(incarnation);
    PeerIdentity {
        identity: EntryIdentity {
            entry: name(entry),
            incarnation,
        },
        data_centre: "north".into(),
        address: address(entry),
        peer_address: address(entry),
    }
}

/// The state beside what the test knows of it.
struct World {
    state: MembershipState,
    now: Instant,
    listed: Vec<MemberCandidate>,
    /// The latest start heard of each entry: incarnation, when, and whether it said that it leaves.
    heard: BTreeMap<EntryName, (u64, Instant, bool)>,
    links: BTreeMap<EntryName, SocketAddr>,
}

impl World {
    fn new() -> Self {
        Self {
            state: MembershipState::new(name(0), SETTINGS),
            now: Instant::now(),
            listed: Vec::new(),
            heard: BTreeMap::new(),
            links: BTreeMap::new(),
        }
    }

    fn apply(&mut self, step: &Step) {
        let event = match *step {
            Step::List(listed, leaving) => {
                let entries = (0..ENTRIES).filter(|entry| listed >> entry & 1 == 1);
                self.listed = entries
                    .map(|entry| candidate(entry, leaving >> entry & 1 == 1))
                    .collect();
                MembershipEvent::CandidatesListed(self.listed.clone())
            }
            Step::Hear(entry, incarnation, leaving) => {
                self.note_heard(entry, incarnation, leaving);
                let state = PeerState {
                    leaving,
                    sequence: SequenceNumber(1),
                };
                MembershipEvent::HeartbeatReceived {
                    peer: peer(entry, incarnation),
                    state,
                }
            }
            Step::Pass(millis) => {
                self.now += Duration::from_millis(millis);
                MembershipEvent::Tick
            }
        };
        let mut effects = Vec::new();
        self.state.handle(self.now, event, &mut effects);
        for effect in effects {
            match effect {
                MembershipEffect::Connect { name, peer_address } => {
                    self.links.insert(name, peer_address);
                }
                MembershipEffect::Disconnect(name) => {
                    assert!(
                        self.links.remove(&name).is_some(),
                        "no link to {name} is ended twice"
                    );
                }
                MembershipEffect::StatusChanged { .. } => {}
            }
        }
        self.check();
    }

    /// Messages of an earlier start than one already heard count for nothing, unless it was forgotten.
    fn note_heard(&mut self, entry: u8, incarnation: u64, leaving: bool) {
        let known = self
            .state
            .member(&name(entry))
            .map(|member| member.peer.identity.incarnation.0);
        if entry != 0 && known.is_none_or(|known| known <= incarnation) {
            self.heard
                .insert(name(entry), (incarnation, self.now, leaving));
        }
    }

    fn check(&self) {
        let usable = self.state.usable_entries();
        let is_fresh = |name: &EntryName| {
            self.heard.get(name).is_some_and(|(_, when, leaving)| {
                self.now - *when < SETTINGS.suspect_after && !leaving
            })
        };
        let fresh: Vec<_> = self
            .heard
            .keys()
            .filter(|name| is_fresh(name))
            .cloned()
            .collect();
        let names: Vec<_> = usable.iter().map(|entry| entry.name.clone()).collect();
        if !fresh.is_empty() {
            assert_eq!(names, fresh, "only entries heard lately are listed");
        }
        for entry in &usable {
            assert!(!entry.leaving, "no leaving entry is listed");
            assert_ne!(entry.name, name(0), "the own entry is not among the others");
        }
        let hope = |entry: &&MemberCandidate| {
            !entry.leaving && entry.name != name(0) && self.state.member(&entry.name).is_none()
        };
        if self.listed.iter().any(|entry| hope(&entry)) {
            assert!(
                !usable.is_empty(),
                "an entry that may be alive keeps the list from being empty"
            );
        }
        for member in self.state.members() {
            let entry = &member.peer.identity.entry;
            let (incarnation, when, _) = self.heard[entry];
            assert_eq!(
                member.peer.identity.incarnation.0, incarnation,
                "no start comes back"
            );
            let dead = self.now - when >= SETTINGS.dead_after;
            assert_eq!(member.status == MemberStatus::Dead, dead);
            assert!(
                dead || self.links.contains_key(entry),
                "links lead to all that may be alive"
            );
        }
    }
}

#[test]
fn the_list_names_who_is_alive_and_never_runs_empty_by_suspicion() {
    let config = Config {
        cases: CASES,
        failure_persistence: None,
        ..Config::default()
    };
    let rng = TestRng::deterministic_rng(RngAlgorithm::ChaCha);
    let mut runner = TestRunner::new_with_rng(config, rng);
    let steps = prop::collection::vec(step(), 1..60);
    let result = runner.run(&steps, |steps| {
        let mut world = World::new();
        for step in &steps {
            world.apply(step);
        }
        Ok(())
    });
    result.expect("every run keeps the invariants");
}

/// In a large fleet entries are heard more rarely than the times of the settings say: 350 entries each 3.9 s.
#[test_case(0, 1_100, MemberStatus::Suspect; "by the settings in a small fleet")]
#[test_case(3_900, 3_900, MemberStatus::Alive; "one interval")]
#[test_case(3_900, 8_000, MemberStatus::Alive; "one heartbeat is lost")]
#[test_case(3_900, 8_600, MemberStatus::Suspect; "two are lost")]
#[test_case(3_900, 13_700, MemberStatus::Dead; "three are lost")]
fn silence_is_judged_by_the_interval_of_the_fleet(
    interval: u64,
    silence: u64,
    expected: MemberStatus,
) {
    let now = Instant::now();
    let mut effects = Vec::new();
    let mut state = MembershipState::new(name(0), SETTINGS);
    state.set_heartbeat_interval(Duration::from_millis(interval));
    let peer = PeerIdentity {
        identity: EntryIdentity {
            entry: name(1),
            incarnation: Incarnation(1),
        },
        data_centre: "north".into(),
        address: address(1),
        peer_address: address(1),
    };
    let heard = PeerState {
        leaving: false,
        sequence: SequenceNumber(0),
    };
    let listed = MemberCandidate {
        name: name(1),
        data_centre: "north".into(),
        address: address(1),
        peer_address: address(1),
        leaving: false,
    };
    state.handle(
        now,
        MembershipEvent::CandidatesListed(vec![listed]),
        &mut effects,
    );
    state.handle(
        now,
        MembershipEvent::HeartbeatReceived { peer, state: heard },
        &mut effects,
    );
    let later = now + Duration::from_millis(silence);
    state.handle(later, MembershipEvent::Tick, &mut effects);
    let status = state.member(&name(1)).map(|record| record.status);
    assert_eq!(status, Some(expected));
}
