//! Entries that reach no server, and those that serve in their place.

use std::time::{Duration, Instant};

use gs_control::forwarding::{
    IsolationChange, IsolationSettings, IsolationTracker, ServingEntry, serving_entries,
};
use gs_protocol::ids::ServerName;
use proptest::prelude::*;
use test_case::test_case;

fn server(number: usize) -> ServerName {
    ServerName::new(format!("server-{number}"))
}

fn entry(number: usize, is_local: bool, is_isolated: bool) -> ServingEntry<usize> {
    ServingEntry {
        entry: number,
        is_local,
        is_isolated,
    }
}

#[test_case(1, 1; "the only server")]
#[test_case(3, 3; "all of three servers")]
#[test_case(40, 4; "four of forty servers")]
fn an_entry_is_isolated_once_connections_to_several_servers_fail(servers: usize, failures: usize) {
    let mut tracker = IsolationTracker::default();
    let now = Instant::now();
    for number in 0..failures - 1 {
        assert_eq!(
            tracker.record_unreachable(now, &server(number), servers),
            None
        );
        // The same server again tells nothing new.
        assert_eq!(
            tracker.record_unreachable(now, &server(number), servers),
            None
        );
    }
    let change = tracker.record_unreachable(now, &server(failures), servers);
    assert_eq!(change, Some(IsolationChange::Isolated));
    assert_eq!(tracker.record_reached(), Some(IsolationChange::Connected));
    assert!(!tracker.is_isolated());
}

#[test]
fn old_failures_do_not_add_up() {
    let mut tracker = IsolationTracker::default();
    let mut now = Instant::now();
    for number in 0..20 {
        assert_eq!(tracker.record_unreachable(now, &server(number), 40), None);
        now += IsolationSettings::default().memory / 3;
    }
    now += IsolationSettings::default().memory;
    assert!(!tracker.needs_probe(now));
}

#[test]
fn an_isolated_entry_probes_until_it_reaches_a_server() {
    let mut tracker = IsolationTracker::default();
    let now = Instant::now();
    assert!(!tracker.needs_probe(now));
    for number in 0..4 {
        tracker.record_unreachable(now, &server(number), 9);
    }
    assert!(tracker.needs_probe(now + Duration::from_secs(60)));
    tracker.record_reached();
    assert!(!tracker.needs_probe(now));
}

proptest! {
    /// An entry that reaches one server of a few tries is never isolated, whatever else fails.
    #[test]
    fn an_entry_that_reaches_servers_is_not_isolated(
        events in prop::collection::vec((0_usize..30, 0_u64..500), 1..200),
    ) {
        let mut tracker = IsolationTracker::default();
        let mut now = Instant::now();
        for (step, (number, pause_ms)) in events.into_iter().enumerate() {
            now += Duration::from_millis(pause_ms);
            let change = match step % 4 {
                3 => tracker.record_reached(),
                _ => tracker.record_unreachable(now, &server(number), 30),
            };
            prop_assert_eq!(change, None);
        }
    }

    #[test]
    fn entries_that_reach_servers_serve_if_there_are_any(
        flags in prop::collection::vec((any::<bool>(), any::<bool>()), 0..20),
    ) {
        let entries: Vec<_> = flags
            .iter()
            .enumerate()
            .map(|(number, (is_local, is_isolated))| entry(number, *is_local, *is_isolated))
            .collect();
        let serving = serving_entries(entries.clone());
        prop_assert_eq!(serving.is_empty(), entries.is_empty());
        let can_serve = entries.iter().any(|entry| !entry.is_isolated);
        prop_assert!(!can_serve || serving.iter().all(|entry| !entry.is_isolated));
        prop_assert!(can_serve || serving == entries);
    }
}

#[test_case(3, 1, 1, 3, 0; "most local entries reach servers")]
#[test_case(1, 3, 2, 1, 2; "few local entries reach servers")]
#[test_case(0, 3, 2, 0, 2; "no local entry reaches servers")]
#[test_case(3, 0, 2, 3, 0; "none is isolated")]
fn entries_of_other_data_centres_serve_if_the_local_ones_are_few(
    sound: usize,
    isolated: usize,
    remote: usize,
    served_locally: usize,
    served_remotely: usize,
) {
    let local = (0..sound).map(|number| entry(number, true, false));
    let isolated = (0..isolated).map(|number| entry(100 + number, true, true));
    let remote = (0..remote).map(|number| entry(200 + number, false, false));
    let serving = serving_entries(local.chain(isolated).chain(remote).collect());
    let count = |is_local| {
        serving
            .iter()
            .filter(|entry| entry.is_local == is_local)
            .count()
    };
    assert_eq!(
        (count(true), count(false)),
        (served_locally, served_remotely)
    );
}
