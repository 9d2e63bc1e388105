//! Tests of placement by learned speeds: a fleet of entries with delayed views of each other before
//! simulated servers.

use std::time::Instant;

use gs_control::forwarding::{
    CapacityDigest, CapacityTracker, LimitSettings, LimitTracker, ListedServer, LoadDigest,
    LoadSettings, LoadTracker, OriginSettings, OriginTracker, PlacementView, ServerDirectory,
    ServerLoad, WaitingCounts, WorkSample, choose_server,
};
use gs_protocol::ids::{DataCentreName, EntryName, ServerName};
use rand::{Rng, SeedableRng};
use rand_pcg::Pcg64Mcg;
use test_case::test_case;

use super::capacity_choices::directory_of;
use super::support::{milliseconds, server, start};

/// Length of a step of the simulation, in milliseconds.
const STEP_MS: u64 = 5;

/// Work of a request at a usual server, in milliseconds.
const WORK_MS: f64 = 60.0;

const SLOTS: u32 = 6;

/// A request at a server.
struct Running {
    entry: usize,
    sent_ms: u64,
    in_flight: u32,
    work_ms: f64,
}

struct Entry {
    name: EntryName,
    loads: LoadTracker,
    capacity: CapacityTracker,
}

/// Plain servers with the given speeds, and entries that place requests there.
struct PlainFleet {
    rng: Pcg64Mcg,
    base: Instant,
    learns: bool,
    entries: Vec<Entry>,
    directory: ServerDirectory,
    limits: LimitTracker,
    origins: OriginTracker,
    servers: Vec<ListedServer>,
    speeds: Vec<f64>,
    noise: Vec<f64>,
    running: Vec<Vec<Running>>,
    reports: Vec<(u64, usize, LoadDigest, CapacityDigest)>,
    step: u64,
    /// Times of the answers of the second half, in milliseconds.
    times: Vec<u64>,
    /// Requests by server, in each second of the second half.
    sent: Vec<Vec<u32>>,
    /// Changes of learned speeds at all entries.
    changes: usize,
}

impl PlainFleet {
    fn new(entries: usize, speeds: &[f64], learns: bool) -> Self {
        let servers = (0..speeds.len()).map(|number| ListedServer {
            slots: SLOTS,
            ..server(number as u16, None)
        });
        let servers: Vec<ListedServer> = servers.collect();
        let directory = directory_of(&servers);
        let entries = (0..entries).map(|number| Entry {
            name: format!("entry-{number}").as_str().into(),
            loads: LoadTracker::new(LoadSettings::default()),
            capacity: CapacityTracker::default(),
        });
        Self {
            rng: Pcg64Mcg::seed_from_u64(7),
            base: start(),
            learns,
            entries: entries.collect(),
            directory,
            limits: LimitTracker::new(LimitSettings::default()),
            origins: OriginTracker::new(start(), OriginSettings::default()),
            speeds: speeds.to_vec(),
            noise: vec![1.0; servers.len()],
            running: servers.iter().map(|_| Vec::new()).collect(),
            servers,
            reports: Vec::new(),
            step: 0,
            times: Vec::new(),
            sent: Vec::new(),
            changes: 0,
        }
    }

    fn place(&self, now: Instant, entry: usize, salt: u64) -> ServerName {
        let data_centre = DataCentreName::from("north");
        let view = PlacementView {
            now,
            salt,
            data_centre: &data_centre,
            directory: &self.directory,
            loads: &self.entries[entry].loads,
            limits: &self.limits,
            origins: &self.origins,
            capacity: &self.entries[entry].capacity,
        };
        choose_server(&view, &"notes".into(), &[]).expect("a server")
    }

    /// Runs with a number of requests a second, counting the second half.
    fn run(&mut self, rate: f64, seconds: u64) {
        let steps = seconds * 1_000 / STEP_MS;
        for _ in 0..steps {
            self.step += 1;
            let now_ms = self.step * STEP_MS;
            let now = self.base + milliseconds(now_ms);
            if now_ms.is_multiple_of(600) {
                for noise in &mut self.noise {
                    *noise = if self.rng.gen_bool(0.15) { 2.5 } else { 1.0 };
                }
            }
            let is_counted = self.step > steps / 2;
            if is_counted && now_ms.is_multiple_of(1_000) {
                self.sent.push(vec![0; self.servers.len()]);
            }
            let mean = rate * STEP_MS as f64 / 1_000.0;
            for _ in 0..8 {
                if self.rng.gen_bool(mean / 8.0) {
                    self.send(now, now_ms);
                }
            }
            self.work(now, now_ms, is_counted);
            self.exchange_reports(now, now_ms);
        }
    }

    fn send(&mut self, now: Instant, now_ms: u64) {
        let entry = self.rng.gen_range(0..self.entries.len());
        let salt = self.rng.r#gen();
        let name = self.place(now, entry, salt);
        let chosen = self.servers.iter().position(|server| server.name == name);
        let chosen = chosen.expect("a listed server");
        let loads = &mut self.entries[entry].loads;
        let in_flight = loads.load(&name).requests;
        loads.add(&name, ServerLoad::REQUEST);
        self.running[chosen].push(Running {
            entry,
            sent_ms: now_ms,
            in_flight,
            work_ms: WORK_MS * self.rng.gen_range(0.8..1.2),
        });
        if let Some(second) = self.sent.last_mut() {
            second[chosen] += 1;
        }
    }

    /// Each server works on its first requests, as many as it has slots.
    fn work(&mut self, now: Instant, now_ms: u64, is_counted: bool) {
        for (number, running) in self.running.iter_mut().enumerate() {
            let done = STEP_MS as f64 * self.speeds[number] / self.noise[number];
            for request in running.iter_mut().take(SLOTS as usize) {
                request.work_ms -= done;
            }
            let (ended, rest) = std::mem::take(running)
                .into_iter()
                .partition(|request| request.work_ms <= 0.0);
            *running = rest;
            let ended: Vec<Running> = ended;
            for request in ended {
                let server = &self.servers[number];
                let entry = &mut self.entries[request.entry];
                entry.loads.remove(&server.name, ServerLoad::REQUEST);
                let took_ms = now_ms - request.sent_ms;
                let took = milliseconds(took_ms.max(1));
                let in_flight = request.in_flight;
                if self.learns {
                    let sample = WorkSample::Plain { took, in_flight };
                    entry.capacity.observe(now, server, sample);
                }
                if is_counted {
                    self.times.push(took_ms);
                }
            }
        }
    }

    /// Every entry reports each 400 ms, and the report arrives after up to 150 ms.
    fn exchange_reports(&mut self, now: Instant, now_ms: u64) {
        for number in 0..self.entries.len() {
            if now_ms % 400 == (number as u64 * STEP_MS) % 400 {
                let entry = &mut self.entries[number];
                let changes = entry.capacity.refresh(now, &self.directory);
                self.changes += changes.len();
                let arrives = now_ms + self.rng.gen_range(20..150);
                let (loads, capacity) = (entry.loads.own_digest(), entry.capacity.digest());
                self.reports.push((arrives, number, loads, capacity));
            }
        }
        let (due, later): (Vec<_>, Vec<_>) = std::mem::take(&mut self.reports)
            .into_iter()
            .partition(|(arrives, ..)| *arrives <= now_ms);
        self.reports = later;
        for (_, from, digest, capacity) in due {
            let name = self.entries[from].name.clone();
            for (number, entry) in self.entries.iter_mut().enumerate() {
                if number != from {
                    let waiting = WaitingCounts::default();
                    entry
                        .loads
                        .apply_peer_digest(now, &name, digest.clone(), waiting);
                    entry.capacity.apply_digest(now, &name, &capacity);
                }
            }
        }
    }

    fn percentile(&mut self, part: f64) -> u64 {
        self.times.sort_unstable();
        self.times[(self.times.len() as f64 * part) as usize]
    }
}

/// Returns the mean variance of a server's requests in a second.
fn variance(sent: &[Vec<u32>]) -> f64 {
    let seconds = sent.len() as f64;
    let of_server = |number: usize| {
        let counts = || sent.iter().map(|second| f64::from(second[number]));
        let mean = counts().sum::<f64>() / seconds;
        counts().map(|count| (count - mean).powi(2)).sum::<f64>() / seconds
    };
    let servers = 0..sent[0].len();
    servers.map(of_server).sum::<f64>() / sent[0].len() as f64
}

/// Compares the same load with and without learning. The load of the servers must not oscillate more, and
/// estimates must not come and go.
#[test_case(3, 400.0, [0.7, 0.7, 1.7, 1.0, 1.0, 1.0], 1.0; "three entries, three classes")]
#[test_case(75, 250.0, [0.5, 0.5, 1.0, 1.0, 1.0, 1.0], 0.9; "seventy-five entries, two slow servers")]
fn learned_speeds_shorten_long_times_without_oscillation(
    entries: usize,
    rate: f64,
    speeds: [f64; 6],
    max_ratio: f64,
) {
    let mut fleets = [false, true].map(|learns| {
        let mut fleet = PlainFleet::new(entries, &speeds, learns);
        fleet.run(rate, 40);
        fleet.sent.pop();
        fleet
    });
    let [p90_before, p90] = fleets.each_mut().map(|fleet| fleet.percentile(0.9));
    let [variance_before, variance] = fleets.each_ref().map(|fleet| variance(&fleet.sent));
    let [_, fleet] = &fleets;
    let ratio = p90 as f64 / p90_before as f64;
    assert!(ratio <= max_ratio, "{p90} ms after {p90_before} ms");
    assert!(
        variance <= variance_before * 1.2,
        "{variance} after {variance_before}"
    );
    // Each entry may notice a change at another time, but not several times.
    assert!(fleet.changes <= entries * 6, "{} changes", fleet.changes);
}
