//! Reports reach every entry of a large fleet through its relays, and cross between data centres a
//! bounded number of times.

mod arrivals;
mod budget;
mod fleet;
mod formats;
mod queue;

use std::collections::BTreeSet;
use std::time::Duration;

use fleet::RelayFleet;
use gs_control::relay::{RelayTopology, TopologySettings};
use proptest::prelude::*;
use test_case::test_case;

#[test_case(&[33; 6]; "six data centres")]
#[test_case(&[44; 8]; "eight data centres")]
#[test_case(&[16, 1, 30]; "a data centre with one entry")]
#[test_case(&[40]; "one data centre")]
fn a_report_reaches_every_entry_and_crosses_once_for_each_pair_of_relays(sizes: &[usize]) {
    let mut fleet = RelayFleet::new(sizes, 1);
    let relays = TopologySettings::default().relays;
    for entry in 0..fleet.len() {
        fleet.report_all(entry);
    }
    fleet.settle();
    assert_eq!(fleet.missing_reports().first(), None);
    let entry_count = fleet.len() as u64;
    let other_centres = sizes.len() as u64 - 1;
    assert!(
        fleet.crossings() <= entry_count * other_centres * (relays * relays) as u64,
        "{} crossings of {entry_count} reports",
        fleet.crossings()
    );
}

/// A relay hears the relays of all other data centres and sends what it has collected at once.
#[test]
fn a_relay_sends_one_datagram_to_each_entry_for_all_data_centres() {
    let sizes = [33_u64; 6];
    let mut fleet = RelayFleet::new(&[33; 6], 6);
    for entry in 0..fleet.len() {
        fleet.report_all(entry);
    }
    fleet.settle();
    let relays = TopologySettings::default().relays as u64;
    let bound: u64 = sizes.iter().map(|size| relays * (size - 1)).sum();
    assert!(
        fleet.relayed_datagrams() <= bound,
        "{} datagrams",
        fleet.relayed_datagrams()
    );
}

/// Entries differ in what they know while others are added, so that some send to all already or still
/// when others count on relays.
#[test]
fn relays_that_send_their_own_reports_to_all_pass_on_those_of_others() {
    let mut fleet = RelayFleet::new(&[10; 3], 7);
    for data_centre in 0..3 {
        for relay in fleet.relays(data_centre) {
            fleet.send_to_all(relay);
        }
    }
    for entry in 0..fleet.len() {
        fleet.report_all(entry);
    }
    fleet.settle();
    assert_eq!(fleet.missing_reports().first(), None);
}

/// A relay that ends takes no report with it: the other relay passes all of them on.
#[test]
fn the_end_of_one_relay_of_each_data_centre_loses_no_report() {
    let mut fleet = RelayFleet::new(&[33; 6], 2);
    for data_centre in 0..6 {
        let relay = fleet.relays(data_centre)[0];
        fleet.end(relay);
    }
    for entry in 0..fleet.len() {
        fleet.report_all(entry);
    }
    fleet.settle();
    assert_eq!(fleet.missing_reports().first(), None);
}

/// Entries that have heard nobody of another data centre try its listed entries, a few at a time, so
/// that listed entries that have ended do not keep data centres apart.
#[test]
fn data_centres_that_know_nobody_of_each_other_meet() {
    let mut fleet = RelayFleet::new(&[12; 4], 5);
    for entry in 0..fleet.len() {
        if entry % 12 != 5 {
            fleet.end(entry);
        }
    }
    fleet.notice_ends();
    for _ in 0..60 {
        fleet.forget_other_data_centres();
        for entry in 0..fleet.len() {
            fleet.repeat_report(entry);
        }
        fleet.settle();
        fleet.advance(Duration::from_secs(1));
    }
    assert_eq!(fleet.missing_reports().first(), None);
}

/// Once the entries have noticed their silence, ended relays are replaced.
#[test]
fn ended_relays_are_replaced() {
    let mut fleet = RelayFleet::new(&[33; 6], 3);
    for data_centre in 0..6 {
        for relay in fleet.relays(data_centre) {
            fleet.end(relay);
        }
    }
    fleet.notice_ends();
    for entry in 0..fleet.len() {
        fleet.report_all(entry);
    }
    fleet.settle();
    assert_eq!(fleet.missing_reports().first(), None);
}

/// Lost datagrams are made good by the next regular report.
#[test]
fn views_converge_in_spite_of_lost_datagrams() {
    let mut fleet = RelayFleet::new(&[20; 4], 4);
    fleet.set_loss(0.2);
    for _ in 0..3 {
        for entry in 0..fleet.len() {
            fleet.report_all(entry);
        }
        fleet.settle();
    }
    fleet.set_loss(0.0);
    fleet.advance(Duration::from_secs(2));
    for entry in 0..fleet.len() {
        fleet.repeat_report(entry);
    }
    fleet.settle();
    assert_eq!(fleet.missing_reports().first(), None);
}

proptest! {
    /// Whatever the sizes of the data centres, whoever has ended, and whoever knows of so few entries
    /// that it sends to all, a report reaches all entries that have not ended.
    #[test]
    fn reports_reach_all_entries(
        sizes in prop::collection::vec(1_usize..14, 2..6),
        ended in prop::collection::vec(any::<prop::sample::Index>(), 0..12),
        sending_to_all in prop::collection::vec(any::<prop::sample::Index>(), 0..12),
        seed in any::<u64>(),
    ) {
        let mut fleet = RelayFleet::new(&sizes, seed);
        for entry in ended {
            let entry = entry.index(fleet.len());
            fleet.end(entry);
        }
        for entry in sending_to_all {
            let entry = entry.index(fleet.len());
            fleet.send_to_all(entry);
        }
        fleet.notice_ends();
        for entry in 0..fleet.len() {
            fleet.report_all(entry);
        }
        fleet.settle();
        let missing = fleet.missing_reports();
        prop_assert_eq!(missing.first(), None);
    }
}

#[test]
fn a_small_fleet_sends_to_all() {
    let members = fleet::members(&[3, 3, 3]);
    let topology = RelayTopology::new(&members[0], &members[1..], 1, &TopologySettings::default());
    assert!(!topology.is_relayed);
    let all: BTreeSet<_> = members[1..]
        .iter()
        .map(|member| member.peer_address)
        .collect();
    assert_eq!(topology.direct.into_iter().collect::<BTreeSet<_>>(), all);
}
