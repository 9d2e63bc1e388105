//! Limits that servers name: single events, and fleets of entries whose reports are late or lost.

use std::collections::{BTreeMap, VecDeque};
use std::time::{Duration, Instant};

use gs_control::forwarding::{
    CapacityTracker, DecodeDemand, DirectorySettings, EngineSpec, EngineSubset, LimitDigest,
    LimitSettings, LimitTracker, ListedServer, LoadSettings, LoadTracker, OriginSettings,
    OriginTracker, PlacementView, ServerDirectory, ServerStage, SoftwareNeed, StreamShape,
    choose_decode,
};
use gs_protocol::ids::{DataCentreName, EntryName, ServerName};
use rand::{Rng, SeedableRng};
use rand_pcg::Pcg64Mcg;
use test_case::test_case;

fn tracker() -> LimitTracker {
    LimitTracker::new(LimitSettings::default())
}

fn server() -> ServerName {
    ServerName::from("s1")
}

/// A tracker that knows the limit of [`server`].
fn limited_tracker(now: Instant, limit: f64) -> LimitTracker {
    let mut tracker = tracker();
    tracker.record_answer(now, &server(), now, Some(limit));
    tracker
}

/// Counts the requests that may be sent at once.
fn send_all(tracker: &mut LimitTracker, now: Instant) -> usize {
    let mut sent = 0;
    while tracker.wait(now, &server()).is_zero() && sent < 1_000 {
        tracker.record_sent(now, &server());
        sent += 1;
    }
    sent
}

#[test_case(0.5, 1; "less than one a second")]
#[test_case(2.0, 1; "two a second")]
#[test_case(20.0, 10; "many")]
fn a_burst_is_half_a_second_of_the_limit_or_one_request(limit: f64, burst: usize) {
    let now = Instant::now();
    let mut tracker = limited_tracker(now, limit);
    assert_eq!(send_all(&mut tracker, now), burst);
    let later = now + tracker.wait(now, &server());
    assert_eq!(send_all(&mut tracker, later), 1);
}

/// Guards against a server that is lost for good: only an answer can withdraw a limit of zero.
#[test]
fn a_server_with_a_limit_of_zero_is_asked_again_now_and_then() {
    let now = Instant::now();
    let mut tracker = limited_tracker(now, 0.0);
    send_all(&mut tracker, now);
    let wait = tracker.wait(now, &server());
    assert_eq!(wait.as_secs(), 10);
    assert_eq!(
        send_all(&mut tracker, now + wait + Duration::from_millis(1)),
        1
    );
}

#[test]
fn a_server_without_a_limit_is_not_counted() {
    let mut tracker = tracker();
    assert_eq!(send_all(&mut tracker, Instant::now()), 1_000);
}

#[test]
fn only_an_answer_to_a_later_request_withdraws_a_limit() {
    let start = Instant::now();
    let at = |millis| start + Duration::from_millis(millis);
    let mut tracker = tracker();
    tracker.record_answer(at(10), &server(), at(0), Some(1.0));
    send_all(&mut tracker, at(10));
    tracker.record_answer(at(12), &server(), at(5), None);
    assert!(!tracker.wait(at(12), &server()).is_zero());
    let change = tracker.record_answer(at(30), &server(), at(20), None);
    assert_eq!(change.map(|change| change.limit), Some(None));
    assert!(tracker.wait(at(30), &server()).is_zero());
}

#[test]
fn entries_learn_limits_and_requests_from_each_other() {
    let now = Instant::now();
    let mut first = limited_tracker(now, 4.0);
    let mut second = tracker();
    let names = ["a", "b"].map(EntryName::from);
    second.apply_digest(now, &names[0], &first.digest(now));
    assert_eq!(send_all(&mut first, now), 2);
    second.apply_digest(now, &names[0], &first.digest(now));
    assert_eq!(send_all(&mut second, now), 0);
    first.record_answer(now, &server(), now + Duration::from_millis(1), None);
    second.apply_digest(now, &names[0], &first.digest(now));
    assert_eq!(send_all(&mut second, now), 1_000);
}

#[test]
fn an_older_report_does_not_restore_a_withdrawn_limit() {
    let now = Instant::now();
    let mut first = limited_tracker(now, 4.0);
    let old = first.digest(now);
    first.record_answer(now, &server(), now + Duration::from_millis(1), None);
    first.apply_digest(now, &"b".into(), &old);
    assert_eq!(send_all(&mut first, now), 1_000);
}

#[test]
fn a_first_report_of_a_peer_does_not_count_what_it_sent_long_ago() {
    let now = Instant::now();
    let mut first = limited_tracker(now, 4.0);
    for _ in 0..100 {
        first.record_sent(now, &server());
    }
    let mut second = tracker();
    second.apply_digest(now, &"a".into(), &first.digest(now));
    assert!(second.wait(now, &server()) < Duration::from_secs(1));
}

const STEP: Duration = Duration::from_millis(20);
const STEPS: u32 = 900;
const WINDOW: Duration = Duration::from_secs(4);
/// Time after a limit is first named from which it must be kept.
const STABILITY: Duration = Duration::from_secs(3);
const REGULAR_REPORT_STEPS: u32 = 25;
/// Seeds of each case, times the number of entries.
const SEEDS: u64 = 56;

#[derive(Clone, Copy, Debug)]
struct LimitSetup {
    entries: usize,
    servers: usize,
    limit: f64,
    /// Requests in a second of the whole fleet.
    demand: f64,
    report_loss: f64,
    max_delay_steps: u32,
}

struct LimitFleet {
    setup: LimitSetup,
    rng: Pcg64Mcg,
    started: Instant,
    directory: ServerDirectory,
    loads: LoadTracker,
    origins: OriginTracker,
    names: Vec<EntryName>,
    entries: Vec<LimitTracker>,
    waiting: Vec<u32>,
    reports: Vec<(u32, usize, usize, LimitDigest)>,
    received: BTreeMap<ServerName, VecDeque<Instant>>,
    most_in_window: usize,
    total: usize,
}

fn engine_spec() -> EngineSpec {
    EngineSpec {
        slots: 10_000,
        memory_tokens: 10_000_000,
        tokens_per_event: 1,
        result_lifetime: Duration::from_secs(1),
        stage_change_time: None,
    }
}

impl LimitFleet {
    fn new(seed: u64, setup: LimitSetup) -> Self {
        let mut directory = ServerDirectory::new(DirectorySettings::default());
        for number in 0..setup.servers {
            directory.upsert(ListedServer {
                name: format!("d{number}").as_str().into(),
                started_at_ms: None,
                service: "notes".into(),
                address: ([127, 0, 0, 1], 1_000 + number as u16).into(),
                data_centre: "north".into(),
                slots: 10_000,
                is_leaving: false,
                stage: Some(ServerStage::Decode),
                software: "v1".into(),
            });
        }
        let names = (0..setup.entries).map(|number| EntryName::from(format!("e{number}").as_str()));
        Self {
            setup,
            rng: Pcg64Mcg::seed_from_u64(seed),
            started: Instant::now(),
            directory,
            loads: LoadTracker::new(LoadSettings::default()),
            origins: OriginTracker::new(Instant::now(), OriginSettings::default()),
            names: names.collect(),
            entries: (0..setup.entries).map(|_| tracker()).collect(),
            waiting: vec![0; setup.entries],
            reports: Vec::new(),
            received: BTreeMap::new(),
            most_in_window: 0,
            total: 0,
        }
    }

    fn run(mut self) -> Self {
        for step in 1..=STEPS {
            let now = self.started + STEP * step;
            self.deliver_reports(now, step);
            let mut arrivals = self.setup.demand * STEP.as_secs_f64();
            while arrivals > 0.0 && self.rng.gen_bool(arrivals.min(1.0)) {
                let entry = self.rng.gen_range(0..self.setup.entries);
                // Streams that cannot start soon are refused.
                self.waiting[entry] = (self.waiting[entry] + 1).min(5);
                arrivals -= 1.0;
            }
            for entry in 0..self.setup.entries {
                let has_sent = self.send_waiting(now, entry);
                if has_sent || step % REGULAR_REPORT_STEPS == entry as u32 % REGULAR_REPORT_STEPS {
                    self.report(now, step, entry);
                }
            }
        }
        self
    }

    fn deliver_reports(&mut self, now: Instant, step: u32) {
        let (due, later) = std::mem::take(&mut self.reports)
            .into_iter()
            .partition(|(at, ..)| *at <= step);
        self.reports = later;
        let due: Vec<(u32, usize, usize, LimitDigest)> = due;
        for (_, from, to, digest) in due {
            self.entries[to].apply_digest(now, &self.names[from], &digest);
        }
    }

    fn report(&mut self, now: Instant, step: u32, from: usize) {
        let digest = self.entries[from].digest(now);
        for to in (0..self.setup.entries).filter(|to| *to != from) {
            if !self.rng.gen_bool(self.setup.report_loss) {
                let delay = self.rng.gen_range(1..=self.setup.max_delay_steps);
                self.reports.push((step + delay, from, to, digest.clone()));
            }
        }
    }

    /// Sends the waiting requests of an entry that find a server.
    fn send_waiting(&mut self, now: Instant, entry: usize) -> bool {
        let data_centre = DataCentreName::from("north");
        let own = self.waiting[entry];
        let peers = self.waiting.iter().sum::<u32>() - own;
        let subset = EngineSubset::new(self.rng.r#gen(), own, peers);
        let mut has_sent = false;
        for _ in 0..own {
            let view = PlacementView {
                now,
                salt: self.rng.r#gen(),
                data_centre: &data_centre,
                directory: &self.directory,
                loads: &self.loads,
                limits: &self.entries[entry],
                origins: &self.origins,
                capacity: &CapacityTracker::default(),
            };
            let demand = DecodeDemand {
                shape: StreamShape {
                    held_tokens: 10,
                    remaining_tokens: 10,
                },
                memory_fraction: 0.9,
                subset,
                software: &SoftwareNeed::Any,
            };
            let Some(server) = choose_decode(&view, &"notes".into(), &engine_spec(), demand, &[])
            else {
                break;
            };
            self.waiting[entry] -= 1;
            self.entries[entry].record_sent(now, &server);
            let limit = Some(self.setup.limit);
            self.entries[entry].record_answer(now, &server, now, limit);
            self.count_received(now, server);
            has_sent = true;
        }
        has_sent
    }

    fn count_received(&mut self, now: Instant, server: ServerName) {
        let received = self.received.entry(server).or_default();
        received.push_back(now);
        while received.front().is_some_and(|at| now - *at > WINDOW) {
            received.pop_front();
        }
        if now - self.started > STABILITY + WINDOW {
            self.most_in_window = self.most_in_window.max(received.len());
            self.total += 1;
        }
    }
}

const SMALL: LimitSetup = LimitSetup {
    entries: 7,
    servers: 6,
    limit: 1.0,
    demand: 10.0,
    report_loss: 0.01,
    max_delay_steps: 2,
};

#[test_case(SMALL; "in a small fleet")]
#[test_case(LimitSetup { demand: 40.0, ..SMALL }; "in a small fleet under high load")]
#[test_case(LimitSetup { limit: 0.3, ..SMALL }; "in a small fleet with less than one request a second")]
#[test_case(LimitSetup { limit: 30.0, servers: 3, demand: 150.0, ..SMALL }; "in a small fleet with many requests a second")]
#[test_case(LimitSetup { report_loss: 0.2, max_delay_steps: 5, ..SMALL }; "with late and lost reports")]
#[test_case(LimitSetup { entries: 63, servers: 8, demand: 20.0, max_delay_steps: 4, ..SMALL }; "in a large fleet")]
#[test_case(LimitSetup { entries: 63, servers: 8, demand: 100.0, max_delay_steps: 4, ..SMALL }; "in a large fleet under high load")]
#[test_case(LimitSetup { entries: 195, servers: 4, demand: 20.0, max_delay_steps: 5, ..SMALL }; "in a fleet of hundreds")]
fn the_fleet_keeps_a_limit_and_uses_it(setup: LimitSetup) {
    for seed in 0..(SEEDS / setup.entries as u64).max(1) {
        let fleet = LimitFleet::new(seed, setup).run();
        let allowed = 1.5 * setup.limit * WINDOW.as_secs_f64() + 5.0;
        assert!(
            fleet.most_in_window as f64 <= allowed,
            "seed {seed}: {} requests in 4 s, {allowed} allowed",
            fleet.most_in_window
        );
        let counted = STEP * STEPS - STABILITY - WINDOW;
        let possible = setup.limit * setup.servers as f64 * counted.as_secs_f64();
        let demanded = setup.demand * counted.as_secs_f64();
        let share = fleet.total as f64 / possible.min(demanded);
        assert!(share > 0.7, "seed {seed}: {share:.2} of what is possible");
    }
}
