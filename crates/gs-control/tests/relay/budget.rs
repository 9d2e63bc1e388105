//! Reports stay within a part of each link, and relays have the fastest links.

use std::time::{Duration, Instant};

use gs_control::relay::{
    BudgetSettings, RelayTopology, ReportBudget, ReportRates, ReportRoute, TopologySettings,
};
use proptest::prelude::*;

use super::fleet::{members, report};

const ROUTES: [ReportRoute; 3] = [
    ReportRoute::Direct,
    ReportRoute::BetweenRelays,
    ReportRoute::Relayed,
];

proptest! {
    /// Whoever sends what and when, a link carries no more than its budget, one burst and one sending a route.
    #[test]
    fn the_bytes_of_any_time_stay_within_the_rate(
        link in 1_000.0..1e8_f64,
        route_rate in 1_000.0..1e8_f64,
        sendings in prop::collection::vec((0_usize..3, 1_usize..30_000, 0_u64..200), 1..300),
    ) {
        let mut budget = ReportBudget::default();
        let start = Instant::now();
        let rates = ReportRates { link: Some(link), relayed: Some(route_rate), ..ReportRates::default() };
        budget.set_rates(start, rates);
        let (mut now, mut sent, mut relayed) = (start, 0, 0);
        let mut largest = 0;
        for (route, bytes, pause_ms) in sendings {
            let route = ROUTES[route];
            now += Duration::from_millis(pause_ms);
            now += budget.wait(now, route);
            budget.record_sent(now, route, bytes);
            sent += bytes;
            relayed += if route == ReportRoute::Relayed { bytes } else { 0 };
            largest = largest.max(bytes);
            let time = (now - start + BudgetSettings::default().burst).as_secs_f64();
            prop_assert!(sent as f64 <= link * time + largest as f64 + 1.0);
            prop_assert!(relayed as f64 <= route_rate * time + largest as f64 + 1.0);
        }
    }

    /// The budget is used: a sender that always has something to send gets the rate.
    #[test]
    fn a_sender_gets_its_rate(link in 10_000.0..1e7_f64, bytes in 1_usize..5_000) {
        let mut budget = ReportBudget::default();
        let start = Instant::now();
        budget.set_rates(start, ReportRates { link: Some(link), ..ReportRates::default() });
        let (mut now, mut sent) = (start, 0);
        while now - start < Duration::from_secs(5) {
            budget.record_sent(now, ReportRoute::Direct, bytes);
            sent += bytes;
            now += budget.wait(now, ReportRoute::Direct);
        }
        prop_assert!(sent as f64 >= link * (now - start).as_secs_f64() * 0.99);
    }
}

#[test]
fn relays_have_the_fastest_links() {
    let mut members = members(&[12, 12]);
    for fast in [3, 7, 15, 20] {
        members[fast].link_rate = Some(25_000_000);
    }
    let topology_of = |own: usize| {
        let mut others = members.clone();
        let own = others.remove(own);
        RelayTopology::new(&own, &others, 1, &TopologySettings::default())
    };
    let relays: Vec<usize> = (0..members.len())
        .filter(|own| !topology_of(*own).foreign_relays.is_empty())
        .collect();
    assert_eq!(relays, [3, 7, 15, 20]);
    let mut foreign = topology_of(3).foreign_relays;
    foreign.sort_unstable();
    assert_eq!(
        foreign,
        [15, 20].map(|relay: usize| members[relay].peer_address)
    );
}

#[test]
fn the_slowest_receiver_bounds_the_rate() {
    let mut members = members(&[21, 2]);
    for member in &mut members {
        member.link_rate = Some(25_000_000);
    }
    members[20].link_rate = Some(1_000_000);
    let topology = RelayTopology::new(&members[0], &members[1..], 1, &TopologySettings::default());
    let fraction = BudgetSettings::default().link_fraction;
    let expected = ReportRates {
        link: Some(25_000_000.0 * fraction),
        direct: Some(1_000_000.0 * fraction),
        between_relays: topology.rates.between_relays,
        // Two relays send to each of the 20.
        relayed: Some(1_000_000.0 * fraction * 10.0),
    };
    assert_eq!(topology.rates, expected);
}

#[test]
fn the_reports_that_have_waited_longest_go_first() {
    let members = members(&[4]);
    let mut queue = gs_control::relay::ArrivalQueue::default();
    for member in [2, 0, 3] {
        queue.push(report(&members[member], 1, 1));
    }
    // A newer report takes the place of the one before.
    queue.push(report(&members[2], 2, 5));
    queue.push(report(&members[1], 1, 1));
    let mut names = Vec::new();
    loop {
        let taken = queue.take(1);
        let Some(taken) = taken.first() else {
            break;
        };
        names.push((taken.entry.to_string(), taken.number));
    }
    let expected = [(2, 2), (0, 1), (3, 1), (1, 1)];
    let expected = expected.map(|(member, number)| (members[member].name.to_string(), number));
    assert_eq!(names, expected);
}
