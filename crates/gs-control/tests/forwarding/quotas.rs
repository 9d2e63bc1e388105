//! Quotas of workspaces: single entries, and fleets whose reports are late, lost or cut off.

use std::time::{Duration, Instant};

use gs_control::forwarding::{QuotaDecision, QuotaTracker};
use proptest::prelude::*;
use test_case::test_case;

use super::quota_fleet::{COST, Fleet, LARGE, Network, SMALL, settings, workspace};

const SECONDS: fn(u64) -> Duration = Duration::from_secs;

/// Guards against an overrun by entries that do not know of each other yet, and against quota that is left
/// unused although callers ask for it.
#[test_case(3, LARGE, 3, 0.63; "three entries, large")]
#[test_case(3, SMALL, 3, 0.63; "three entries, small")]
#[test_case(75, LARGE, 75, 0.63; "75 entries, large")]
#[test_case(75, SMALL, 75, 0.63; "75 entries, small")]
#[test_case(75, LARGE, 1, 0.63; "75 entries, large, all at one")]
#[test_case(75, SMALL, 1, 0.63; "75 entries, small, all at one")]
#[test_case(350, LARGE, 350, 0.63; "350 entries, large")]
fn an_overload_gets_the_quota_and_no_more(entries: usize, rate: f64, used: usize, usual: f64) {
    let mut fleet = Fleet::new(entries, rate, Network::of(entries), 7);
    let (warm_up, seconds) = match entries {
        350 => (4, 9),
        _ => (8, 20),
    };
    fleet.run(SECONDS(warm_up), usual * rate, used);
    fleet.reset_counts();
    fleet.run(SECONDS(seconds), usual * rate, used);
    let asked = (fleet.total + fleet.refused) as f64;
    let share = fleet.total as f64 / asked;
    println!("usual load: {share:.3} served");
    assert!(share > 0.9, "{share} of the usual load was served");
    fleet.reset_counts();
    fleet.run(SECONDS(seconds), 7.5 * usual * rate, used);
    fleet.assert_bound(rate, "overload");
    let share = fleet.total as f64 / (rate * seconds as f64);
    println!("overload: {share:.3} of the quota used");
    assert!(share > 0.9, "{share} of the quota was used");
}

/// What happens to a fleet under load.
#[derive(Clone, Copy, Debug)]
enum Fault {
    /// Every fifth entry ends and comes back after 3 s.
    Kill,
    /// All entries end at once and come back after 1 s.
    AllDown,
    /// A third of the entries hear only each other.
    CutThird,
    /// Three groups hear only themselves.
    CutThirds,
    /// One entry hears nobody.
    CutOne,
    /// No entry hears another one.
    CutAll,
}

/// Guards against a quota that is spent twice or lost when entries end, come back or do not hear each other.
#[test_case(3, LARGE, Fault::Kill; "3, large, one killed")]
#[test_case(3, SMALL, Fault::AllDown; "3, small, all down")]
#[test_case(3, LARGE, Fault::CutAll; "3, large, all cut off")]
#[test_case(3, SMALL, Fault::CutAll; "3, small, all cut off")]
#[test_case(3, LARGE, Fault::CutOne; "3, large, one cut off")]
#[test_case(75, LARGE, Fault::Kill; "75, large, a fifth killed")]
#[test_case(75, SMALL, Fault::Kill; "75, small, a fifth killed")]
#[test_case(75, LARGE, Fault::AllDown; "75, large, all down")]
#[test_case(75, SMALL, Fault::AllDown; "75, small, all down")]
#[test_case(75, LARGE, Fault::CutThird; "75, large, a third cut off")]
#[test_case(75, SMALL, Fault::CutThird; "75, small, a third cut off")]
#[test_case(75, LARGE, Fault::CutThirds; "75, large, in three parts")]
#[test_case(75, SMALL, Fault::CutThirds; "75, small, in three parts")]
#[test_case(75, LARGE, Fault::CutOne; "75, large, one cut off")]
#[test_case(75, LARGE, Fault::CutAll; "75, large, all cut off")]
#[test_case(75, SMALL, Fault::CutAll; "75, small, all cut off")]
fn faults_neither_spend_a_quota_twice_nor_lose_it(entries: usize, rate: f64, fault: Fault) {
    for demand in [0.9, 4.7] {
        let mut fleet = Fleet::new(entries, rate, Network::of(entries), 11);
        let demand = demand * rate;
        fleet.run(SECONDS(12), demand, entries);
        match fault {
            Fault::Kill => (0..entries)
                .step_by(5)
                .for_each(|entry| fleet.kill(entry, SECONDS(3))),
            Fault::AllDown => (0..entries).for_each(|entry| fleet.kill(entry, SECONDS(1))),
            Fault::CutThird => fleet.cut(|entry| usize::from(entry < entries / 3)),
            Fault::CutThirds => fleet.cut(|entry| entry % 3),
            Fault::CutOne => fleet.cut(|entry| usize::from(entry == 1)),
            Fault::CutAll => fleet.cut(|entry| entry),
        }
        fleet.run(SECONDS(15), demand, entries);
        fleet.cut(|_| 0);
        fleet.run(SECONDS(6), demand, entries);
        let (before, refused_before) = (fleet.total, fleet.refused);
        fleet.run(SECONDS(10), demand, entries);
        let admitted = (fleet.total - before) as f64;
        let asked = admitted + (fleet.refused - refused_before) as f64;
        let share = admitted / asked.min(rate * 10.0);
        fleet.assert_bound(
            rate,
            &format!("{fault:?} {entries} {rate} {demand:.0} after {share:.2}"),
        );
        assert!(share > 0.7, "{share} of the quota was used afterwards");
    }
}

/// A random event of a fleet.
#[derive(Clone, Debug)]
enum FleetEvent {
    Kill(usize),
    KillAll,
    Cut(usize),
    Heal,
    Rate(f64),
}

fn fleet_event() -> impl Strategy<Value = FleetEvent> {
    prop_oneof![
        (1_usize..4).prop_map(FleetEvent::Kill),
        Just(FleetEvent::KillAll),
        (2_usize..5).prop_map(FleetEvent::Cut),
        Just(FleetEvent::Heal),
        (0.2_f64..3.0).prop_map(FleetEvent::Rate),
    ]
}

proptest! {
    #![proptest_config(ProptestConfig {
        cases: 32,
        failure_persistence: None,
        rng_seed: proptest::test_runner::RngSeed::Fixed(5),
        ..ProptestConfig::default()
    })]

    /// Guards against an overrun in any window by a sequence of faults and changed limits. A lowered limit
    /// is binding one window after the change.
    #[test]
    fn no_window_exceeds_the_bound(
        entries in 3_usize..24,
        rate in prop_oneof![Just(LARGE), Just(SMALL)],
        load in 0.5_f64..8.0,
        loss in 0.0_f64..0.15,
        max_delay_ms in 30_u64..250,
        events in prop::collection::vec((fleet_event(), 1_u64..6), 1..5),
        seed in any::<u64>(),
    ) {
        let max_delay = Duration::from_millis(max_delay_ms);
        let network = Network { loss, max_delay, ..Network::of(entries) };
        let mut fleet = Fleet::new(entries, rate, network, seed);
        let demand = load * rate;
        let mut permitted = rate;
        fleet.run(SECONDS(4), demand, entries);
        for (event, seconds) in events {
            let number = seed as usize % entries;
            match event {
                FleetEvent::Kill(count) => (0..count.min(entries))
                    .for_each(|step| fleet.kill((number + step) % entries, SECONDS(2))),
                FleetEvent::KillAll => (0..entries).for_each(|entry| fleet.kill(entry, SECONDS(1))),
                FleetEvent::Cut(groups) => fleet.cut(|entry| entry % groups),
                FleetEvent::Heal => fleet.cut(|_| 0),
                FleetEvent::Rate(factor) => {
                    fleet.set_rate(rate * factor);
                    fleet.run(SECONDS(8), demand, entries);
                    fleet.assert_bound(permitted.max(rate * factor), "around a changed limit");
                    permitted = rate * factor;
                    fleet.reset_counts();
                }
            }
            fleet.run(SECONDS(seconds), demand, entries);
            fleet.assert_bound(permitted, &format!("{event:?} {entries} {rate} {load:.1} {loss:.2}"));
        }
    }
}

/// Guards against reports, bytes and refusals where no workspace has a quota.
#[test]
fn without_quotas_nothing_is_reported_or_refused() {
    let now = Instant::now();
    let mut tracker = QuotaTracker::new(now, settings(), SECONDS(1));
    tracker.set_workspaces(now, &[workspace(0.0)]);
    for _ in 0..1_000 {
        let decision = tracker.take(now, "w", COST, 0.99);
        let is_report_due = false;
        assert_eq!(decision, QuotaDecision::Admitted { is_report_due });
    }
    assert!(tracker.digest(now).is_empty());
    assert!(tracker.recent_cost(now, "w") > 0.0);
    assert_eq!(tracker.recent_cost(now, "other"), 0.0);
}

/// Tells a tracker that there is no other entry, and returns when its buckets are full.
fn open(tracker: &mut QuotaTracker, start: Instant) -> Instant {
    for second in 0..2 {
        tracker.set_peers(start + SECONDS(second), &[], true);
    }
    start + SECONDS(60)
}

/// Guards against a quota for each entry of a fleet whose entries do not know of each other yet.
#[test]
fn an_entry_that_does_not_know_the_others_spends_nothing() {
    let start = Instant::now();
    let mut tracker = QuotaTracker::new(start, settings(), SECONDS(1));
    tracker.set_workspaces(start, &[workspace(LARGE)]);
    for second in 1..20 {
        let decision = tracker.take(start + SECONDS(second), "w", COST, 0.0);
        assert!(matches!(decision, QuotaDecision::Refused(_)));
    }
}

/// Guards against a quota that refused requests use up: 503 answers and clients that leave give it back.
#[test]
fn cost_that_is_given_back_can_be_spent_again() {
    let start = Instant::now();
    let mut tracker = QuotaTracker::new(start, settings(), SECONDS(1));
    tracker.set_workspaces(start, &[workspace(SMALL)]);
    let now = open(&mut tracker, start);
    for _ in 0..1_000 {
        let decision = tracker.take(now, "w", COST, 0.5);
        assert!(matches!(decision, QuotaDecision::Admitted { .. }));
        tracker.give_back(now, "w", COST);
    }
    assert!(
        tracker.digest(now).is_empty(),
        "peers are told of no request"
    );
    tracker.take(now, "w", COST, 0.5);
    assert_eq!(tracker.digest(now)[0].admitted, COST);
    tracker.give_back(now, "w", COST);
    assert_eq!(
        tracker.digest(now)[0].admitted,
        0,
        "peers are told of the return"
    );
}

/// Guards against half a quota for workspaces whose requests are large compared with their burst.
#[test]
fn a_request_that_costs_more_than_the_burst_is_admitted() {
    let start = Instant::now();
    let mut tracker = QuotaTracker::new(start, settings(), SECONDS(1));
    tracker.set_workspaces(start, &[workspace(1_000.0)]);
    let now = open(&mut tracker, start);
    let decision = tracker.take(now, "w", 50_000, 0.5);
    assert!(matches!(decision, QuotaDecision::Admitted { .. }));
    let QuotaDecision::Refused(refusal) = tracker.take(now, "w", COST, 0.0) else {
        panic!("the debt is paid back first");
    };
    assert_eq!(refusal.retry_after, settings().max_retry);
}
