//! Tests of learned speeds: a fleet of entries that observe simulated servers and report to each other.

use std::collections::BTreeSet;
use std::time::{Duration, Instant};

use gs_control::forwarding::{
    CapacityDigest, CapacityTracker, DirectorySettings, ListedServer, ServerDirectory, ServerStage,
    WorkSample,
};
use gs_protocol::ids::EntryName;
use rand::{Rng, SeedableRng};
use rand_pcg::Pcg64Mcg;
use test_case::test_case;

use super::support::{milliseconds, server, start};

const TICK: Duration = Duration::from_millis(200);
const NOISE_PERIOD_TICKS: u64 = 3;

/// Servers with the given speeds, and entries that observe their streams.
struct Fleet {
    rng: Pcg64Mcg,
    base: Instant,
    tick: u64,
    directory: ServerDirectory,
    servers: Vec<ListedServer>,
    speeds: Vec<f64>,
    /// Factor by which a server slows down in the upper half of its load range.
    knees: Vec<f64>,
    noise: Vec<f64>,
    trackers: Vec<CapacityTracker>,
    /// Reports under way: when they arrive, from whom, and to whom.
    reports: Vec<(u64, usize, usize, CapacityDigest)>,
    /// Probability that an entry completes a sample at a server in a tick.
    sample_rate: f64,
    /// Largest report so far, in bytes.
    largest_report: usize,
    /// Bytes of all reports, and their number.
    reported: (usize, usize),
}

impl Fleet {
    fn new(entries: usize, speeds: &[f64], sample_rate: f64, seed: u64) -> Self {
        let listed = |(number, _)| ListedServer {
            slots: 16,
            ..server(number as u16, Some(ServerStage::Decode))
        };
        let servers: Vec<ListedServer> = speeds.iter().enumerate().map(listed).collect();
        let mut directory = ServerDirectory::new(DirectorySettings::default());
        directory.apply_list(start(), servers.clone());
        Self {
            rng: Pcg64Mcg::seed_from_u64(seed),
            base: start(),
            tick: 0,
            directory,
            speeds: speeds.to_vec(),
            knees: vec![1.0; servers.len()],
            noise: vec![1.0; servers.len()],
            servers,
            trackers: (0..entries).map(|_| CapacityTracker::default()).collect(),
            reports: Vec::new(),
            sample_rate,
            largest_report: 0,
            reported: (0, 0),
        }
    }

    fn now(&self) -> Instant {
        self.base + TICK * self.tick as u32
    }

    /// Runs for a number of seconds. Calls `check` after each tick.
    fn run(&mut self, seconds: u64, mut check: impl FnMut(&Self)) {
        let ticks = seconds * 1_000 / TICK.as_millis() as u64;
        for _ in 0..ticks {
            self.tick += 1;
            self.step(self.now());
            check(self);
        }
    }

    fn step(&mut self, now: Instant) {
        if self.tick.is_multiple_of(NOISE_PERIOD_TICKS) {
            for noise in &mut self.noise {
                *noise = if self.rng.gen_bool(0.15) { 2.5 } else { 1.0 };
            }
        }
        for number in 0..self.servers.len() {
            let running = self.rng.gen_range(3..=14_u32);
            for tracker in &mut self.trackers {
                if !self.rng.gen_bool(self.sample_rate) {
                    continue;
                }
                let knee = if running > 8 { self.knees[number] } else { 1.0 };
                let batch = 1.0 + f64::from(running) * 0.03;
                let jitter = self.rng.gen_range(0.85..1.15);
                let slowness = knee * batch * jitter * self.noise[number] / self.speeds[number];
                let gap = milliseconds(45).mul_f64(slowness);
                let sample = WorkSample::Decode { gap, running };
                tracker.observe(now, &self.servers[number], sample);
            }
        }
        self.exchange_reports(now);
    }

    fn exchange_reports(&mut self, now: Instant) {
        let tick = self.tick;
        let count = self.trackers.len();
        for from in 0..count {
            self.trackers[from].refresh(now, &self.directory);
            // Entries report every second, each at another tick.
            if tick % 5 != from as u64 % 5 {
                continue;
            }
            let digest = self.trackers[from].digest();
            self.largest_report = self.largest_report.max(digest.byte_count());
            self.reported.0 += digest.byte_count();
            self.reported.1 += 1;
            for to in (0..count).filter(|to| *to != from) {
                if !self.rng.gen_bool(0.05) {
                    let arrives = tick + self.rng.gen_range(1..=2);
                    self.reports.push((arrives, from, to, digest.clone()));
                }
            }
        }
        let (due, later) = std::mem::take(&mut self.reports)
            .into_iter()
            .partition(|(arrives, ..)| *arrives <= tick);
        self.reports = later;
        let due: Vec<(u64, usize, usize, CapacityDigest)> = due;
        for (_, from, to, digest) in due {
            let name = EntryName::from(format!("entry-{from}").as_str());
            self.trackers[to].apply_digest(now, &name, &digest);
        }
    }

    /// Returns the speeds that an entry has learned.
    fn learned(&self, entry: usize) -> Vec<f64> {
        let tracker = &self.trackers[entry];
        let servers = self.servers.iter();
        servers.map(|server| tracker.speed(server)).collect()
    }

    /// Returns the numbers of the servers that any entry takes for other than usual.
    fn unusual(&self) -> BTreeSet<usize> {
        let entries = 0..self.trackers.len();
        let unusual = entries.flat_map(|entry| {
            let speeds = self.learned(entry).into_iter().enumerate();
            speeds.filter(|(_, speed)| *speed != 1.0)
        });
        unusual.map(|(number, _)| number).collect()
    }
}

fn assert_close(learned: f64, speed: f64) {
    let ratio = learned / speed;
    assert!((0.8..1.25).contains(&ratio), "{learned} for {speed}");
}

/// Samples of an entry at a server: every 0.4 s for a few entries, and every 6 s for many.
#[test_case(3, 0.5; "three entries")]
#[test_case(75, 0.033; "seventy-five entries")]
fn noisy_neighbours_do_not_make_alike_servers_differ(entries: usize, sample_rate: f64) {
    let mut fleet = Fleet::new(entries, &[1.0; 44], sample_rate, 1);
    let mut unusual = 0;
    fleet.run(120, |fleet| {
        if fleet.tick.is_multiple_of(25) {
            unusual += fleet.unusual().len();
        }
    });
    // A few servers look different to a few entries, which must not fill the reports.
    let (bytes, reports) = fleet.reported;
    assert!(bytes < reports * 44, "{bytes} bytes in {reports} reports");
    assert!(fleet.largest_report <= 44 * 8);
    assert_eq!(unusual, 0);
}

#[test_case(3, 0.5; "three entries")]
#[test_case(75, 0.033; "seventy-five entries")]
fn speeds_are_learned_from_few_samples_of_each_entry(entries: usize, sample_rate: f64) {
    let mut speeds = [1.0; 44];
    speeds[..3].copy_from_slice(&[0.7, 0.7, 1.7]);
    let mut fleet = Fleet::new(entries, &speeds, sample_rate, 2);
    fleet.run(45, |fleet| {
        assert!(fleet.largest_report <= 44 * 8);
    });
    assert!(fleet.largest_report <= 44 * 8);
    assert_eq!(fleet.unusual(), BTreeSet::from([0, 1, 2]));
    for entry in 0..entries {
        for (learned, speed) in fleet.learned(entry).into_iter().zip(speeds) {
            assert_close(learned, speed);
        }
    }
}

/// The design note derives about 20 s for servers that an entry sees every 6 s, and 10 s for more.
#[test_case(3, 0.5, 15; "three entries")]
#[test_case(75, 0.033, 30; "seventy-five entries")]
fn a_change_of_speed_is_followed(entries: usize, sample_rate: f64, seconds: u64) {
    let mut fleet = Fleet::new(entries, &[1.0; 20], sample_rate, 3);
    fleet.run(30, |_| {});
    fleet.speeds[4] = 0.6;
    fleet.run(seconds, |_| {});
    assert_eq!(fleet.unusual(), BTreeSet::from([4]));
    fleet.speeds[4] = 1.0;
    fleet.run(seconds * 3 / 2, |_| {});
    assert_eq!(fleet.unusual(), BTreeSet::new());
}

/// Late reports of the earlier start must not make the new one look slow.
#[test]
fn a_restarted_server_starts_as_a_usual_one() {
    let mut speeds = [1.0; 12];
    speeds[0] = 0.5;
    let mut fleet = Fleet::new(3, &speeds, 0.5, 4);
    fleet.run(30, |_| {});
    assert_eq!(fleet.unusual(), BTreeSet::from([0]));
    fleet.speeds[0] = 1.0;
    fleet.servers[0].started_at_ms = Some(1_000);
    assert_eq!(fleet.unusual(), BTreeSet::new());
    fleet.directory.upsert(fleet.servers[0].clone());
    let mut unusual = BTreeSet::new();
    fleet.run(30, |fleet| unusual.extend(fleet.unusual()));
    assert_eq!(unusual, BTreeSet::new());
}

/// Half of the slots are used while more requests only slow the server, and its speed stays usual.
#[test]
fn a_server_that_slows_before_it_is_full_is_held_at_half_of_its_slots() {
    let mut fleet = Fleet::new(3, &[1.0; 12], 0.5, 5);
    fleet.knees[7] = 2.2;
    fleet.run(60, |_| {});
    for tracker in &fleet.trackers {
        let slots = fleet.servers.iter();
        let slots: Vec<u32> = slots
            .map(|server| tracker.effective_slots(server))
            .collect();
        let mut expected = [16; 12];
        expected[7] = 8;
        assert_eq!(slots, expected);
        assert_eq!(tracker.speed(&fleet.servers[7]), 1.0);
    }
}

/// The bounds of the reports are in bytes on the wire.
#[test]
fn a_report_has_eight_bytes_for_each_server_that_differs() {
    let mut speeds = [1.0; 12];
    speeds[..2].copy_from_slice(&[0.5, 0.5]);
    let mut fleet = Fleet::new(3, &speeds, 0.5, 8);
    fleet.run(30, |_| {});
    let digest = fleet.trackers[0].digest();
    assert_eq!(digest.byte_count(), 16);
    let mut bytes = Vec::new();
    ciborium::into_writer(&digest, &mut bytes).expect("a digest can be written");
    assert!(bytes.len() <= 16 + 3, "{} bytes", bytes.len());
    let read: CapacityDigest = ciborium::from_reader(bytes.as_slice()).expect("a digest");
    assert_eq!(read, digest);
}

/// One entry alone sees too little, and a few slow answers may be chance.
#[test]
fn a_few_samples_decide_nothing() {
    let mut fleet = Fleet::new(1, &[1.0; 12], 0.5, 6);
    fleet.run(30, |_| {});
    let now = fleet.now();
    for _ in 0..6 {
        let gap = milliseconds(500);
        let sample = WorkSample::Decode { gap, running: 6 };
        fleet.trackers[0].observe(now, &fleet.servers[3], sample);
    }
    fleet.sample_rate = 0.0;
    let mut unusual = BTreeSet::new();
    fleet.run(20, |fleet| unusual.extend(fleet.unusual()));
    assert_eq!(unusual, BTreeSet::new());
}
