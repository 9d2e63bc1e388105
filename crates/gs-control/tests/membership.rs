//! Tests of membership: random events against its invariants, and the timeouts of silent entries.

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

/// Number of entries in the test, including the one under test.
const ENTRIES: u8 = 5;

/// Number of random cases per run.
const CASES: u32 = 500;

#[derive(Clone, Debug)]
enum Step {
    /// A list of candidates is read. Bit masks: the listed entries, and those listed as leaving.
    ListCandidates(u8, u8),
    /// A heartbeat is received: the entry, its incarnation and whether it is leaving.
    Heartbeat(u8, u64, bool),
    /// Time passes, in milliseconds.
    Wait(u64),
}

fn step() -> impl Strategy<Value = Step> {
    prop_oneof![
        1 => (any::<u8>(), any::<u8>()).prop_map(|(listed, leaving)| Step::ListCandidates(listed, leaving)),
        6 => (0..ENTRIES, 1..4u64, prop::bool::weighted(0.1))
            .prop_map(|(entry, incarnation, leaving)| Step::Heartbeat(entry, incarnation, leaving)),
        3 => (0..1_500u64).prop_map(Step::Wait),
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

/// The state under test, and the model that it is compared with.
struct ModelTest {
    state: MembershipState,
    now: Instant,
    listed: Vec<MemberCandidate>,
    /// Since when each listed entry has been listed.
    listed_since: BTreeMap<EntryName, Instant>,
    /// The newest accepted heartbeat of each entry: incarnation, time of receipt and whether it is
    /// leaving.
    heartbeats: BTreeMap<EntryName, (u64, Instant, bool)>,
    links: BTreeMap<EntryName, SocketAddr>,
}

impl ModelTest {
    fn new() -> Self {
        Self {
            state: MembershipState::new(name(0), SETTINGS),
            now: Instant::now(),
            listed: Vec::new(),
            listed_since: BTreeMap::new(),
            heartbeats: BTreeMap::new(),
            links: BTreeMap::new(),
        }
    }

    fn apply(&mut self, step: &Step) {
        let event = match *step {
            Step::ListCandidates(listed, leaving) => {
                let entries = (0..ENTRIES).filter(|entry| listed >> entry & 1 == 1);
                self.listed = entries
                    .map(|entry| candidate(entry, leaving >> entry & 1 == 1))
                    .collect();
                let since = std::mem::take(&mut self.listed_since);
                let names = self.listed.iter().map(|entry| entry.name.clone());
                self.listed_since = names
                    .map(|name| (name.clone(), *since.get(&name).unwrap_or(&self.now)))
                    .collect();
                MembershipEvent::CandidatesListed(self.listed.clone())
            }
            Step::Heartbeat(entry, incarnation, leaving) => {
                self.record_heartbeat(entry, incarnation, leaving);
                let state = PeerState {
                    leaving,
                    sequence: SequenceNumber(1),
                };
                MembershipEvent::HeartbeatReceived {
                    peer: peer(entry, incarnation),
                    state,
                }
            }
            Step::Wait(millis) => {
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
                        "no link to {name} is closed twice"
                    );
                }
                MembershipEffect::StatusChanged { .. } => {}
            }
        }
        self.check();
    }

    /// Records a heartbeat in the model. One of an earlier incarnation than the known one is
    /// ignored, unless the member was removed since.
    fn record_heartbeat(&mut self, entry: u8, incarnation: u64, leaving: bool) {
        let known = self
            .state
            .member(&name(entry))
            .map(|member| member.peer.identity.incarnation.0);
        if entry != 0 && known.is_none_or(|known| known <= incarnation) {
            self.heartbeats
                .insert(name(entry), (incarnation, self.now, leaving));
        }
    }

    fn check(&self) {
        let usable = self.state.usable_entries();
        let is_recent = |name: &EntryName| {
            self.heartbeats
                .get(name)
                .is_some_and(|(_, received, leaving)| {
                    self.now - *received < SETTINGS.suspect_after && !leaving
                })
        };
        let recent: Vec<_> = self
            .heartbeats
            .keys()
            .filter(|name| is_recent(name))
            .cloned()
            .collect();
        let names: Vec<_> = usable.iter().map(|entry| entry.name.clone()).collect();
        if !recent.is_empty() {
            assert_eq!(
                names, recent,
                "only entries with recent heartbeats are usable"
            );
        }
        for entry in &usable {
            assert!(!entry.leaving, "no leaving entry is usable");
            assert_ne!(
                entry.name,
                name(0),
                "the entry itself is not among the others"
            );
        }
        self.check_unheard(&usable);
        self.check_members();
    }

    /// Checks that entries that were never heard are usable for a while, if no other is.
    fn check_unheard(&self, usable: &[MemberCandidate]) {
        let is_unheard = |name: &EntryName| self.state.member(name).is_none();
        let listed_for = |name: &EntryName| self.now - self.listed_since[name];
        let may_be_alive = |entry: &&MemberCandidate| {
            !entry.leaving
                && entry.name != name(0)
                && is_unheard(&entry.name)
                && listed_for(&entry.name) < SETTINGS.dead_after
        };
        for entry in usable.iter().filter(|entry| is_unheard(&entry.name)) {
            assert!(
                listed_for(&entry.name) < SETTINGS.dead_after,
                "an entry that was never heard is not usable for long"
            );
        }
        if self.listed.iter().any(|entry| may_be_alive(&entry)) {
            assert!(
                !usable.is_empty(),
                "entries that may be alive are usable if no other is"
            );
        }
    }

    fn check_members(&self) {
        for member in self.state.members() {
            let entry = &member.peer.identity.entry;
            let (incarnation, received, _) = self.heartbeats[entry];
            assert_eq!(
                member.peer.identity.incarnation.0, incarnation,
                "no earlier incarnation replaces a later one"
            );
            let dead = self.now - received >= SETTINGS.dead_after;
            assert_eq!(member.status == MemberStatus::Dead, dead);
            assert!(
                dead || self.links.contains_key(entry),
                "there are links to all members that may be alive"
            );
        }
    }
}

#[test]
fn usable_entries_are_alive_or_may_be_if_none_is() {
    let config = Config {
        cases: CASES,
        failure_persistence: None,
        ..Config::default()
    };
    let rng = TestRng::deterministic_rng(RngAlgorithm::ChaCha);
    let mut runner = TestRunner::new_with_rng(config, rng);
    let steps = prop::collection::vec(step(), 1..60);
    let result = runner.run(&steps, |steps| {
        let mut test = ModelTest::new();
        for step in &steps {
            test.apply(step);
        }
        Ok(())
    });
    result.expect("all cases satisfy the invariants");
}

/// Guards against suspecting live entries in large fleets, whose heartbeat interval exceeds the
/// configured timeouts: with 350 entries it is 3.9 s.
#[test_case(0, 1_100, MemberStatus::Suspect; "configured timeouts apply in a small fleet")]
#[test_case(3_900, 3_900, MemberStatus::Alive; "one interval")]
#[test_case(3_900, 8_000, MemberStatus::Alive; "one heartbeat is lost")]
#[test_case(3_900, 8_600, MemberStatus::Suspect; "two heartbeats are lost")]
#[test_case(3_900, 13_700, MemberStatus::Dead; "three heartbeats are lost")]
fn timeouts_scale_with_the_heartbeat_interval(
    heartbeat_interval: u64,
    silence: u64,
    expected: MemberStatus,
) {
    let now = Instant::now();
    let mut effects = Vec::new();
    let mut state = MembershipState::new(name(0), SETTINGS);
    state.set_heartbeat_interval(Duration::from_millis(heartbeat_interval));
    let peer = PeerIdentity {
        identity: EntryIdentity {
            entry: name(1),
            incarnation: Incarnation(1),
        },
        data_centre: "north".into(),
        address: address(1),
        peer_address: address(1),
    };
    let peer_state = PeerState {
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
        MembershipEvent::HeartbeatReceived {
            peer,
            state: peer_state,
        },
        &mut effects,
    );
    let later = now + Duration::from_millis(silence);
    state.handle(later, MembershipEvent::Tick, &mut effects);
    let status = state.member(&name(1)).map(|record| record.status);
    assert_eq!(status, Some(expected));
}

/// Guards against sending clients to machines that left for good before this entry started.
#[test]
fn a_listed_entry_that_is_never_heard_is_not_usable_for_long() {
    let start = Instant::now();
    let mut state = MembershipState::new(name(0), SETTINGS);
    let mut usable_after = |millis| {
        let listed = vec![candidate(1, false)];
        let event = MembershipEvent::CandidatesListed(listed);
        state.handle(
            start + Duration::from_millis(millis),
            event,
            &mut Vec::new(),
        );
        state.usable_entries().len()
    };
    assert_eq!(usable_after(0), 1);
    assert_eq!(usable_after(1_900), 1);
    assert_eq!(usable_after(2_100), 0);
    assert_eq!(usable_after(9_000), 0);
}
