//! Simulates entries that share servers, a request that crashes servers, and harmless requests.

use std::collections::BTreeMap;
use std::time::{Duration, Instant};

use gs_control::quarantine::{
    QuarantineDecision, QuarantineEffect, QuarantineEvent, QuarantineSettings, QuarantineState,
    RunEnd,
};
use gs_protocol::ids::{AttemptId, EntryIdentity, EntryName, Incarnation, ServerName};
use gs_protocol::suspicion::{RequestFingerprint, ServerBoot, SuspicionReport};
use rand::seq::IteratorRandom;
use rand::{Rng, SeedableRng};
use rand_pcg::Pcg64Mcg;
use uuid::Uuid;

const ENTRY_COUNT: usize = 3;
const PREFILL_COUNT: usize = 2;
const SERVER_COUNT: usize = 6;
const CRASHING: RequestFingerprint = RequestFingerprint(0);
const HARMLESS_REQUESTS: u64 = 60;
const CRASH_TRIES: usize = 6;
const STEP_TIME: Duration = Duration::from_millis(5);
const POLL_INTERVAL_STEPS: u64 = 20;
const MAX_STEPS: u64 = 20_000;
/// Connections are cut in the first quarter of each such period; the crashing request is sent after
/// its middle.
const CUT_STEPS: u64 = 400;

/// The stage in which the crashing request crashes its server.
#[derive(Clone, Copy, Debug, PartialEq)]
pub enum CrashStage {
    Prefill,
    /// On the decode server before the first token.
    Load,
    Stream,
}

/// The faults in a simulation.
#[derive(Clone, Copy, Debug)]
pub struct SimulationSetup {
    pub stage: CrashStage,
    /// Copies of the crashing request that the caller sends at once through different entries.
    pub copies: usize,
    /// Whether connections to live servers are cut.
    pub cuts: bool,
    /// Whether reports between entries are lost, repeated and reordered.
    pub unreliable_reports: bool,
    /// Maximum delay of a report between entries, in steps.
    pub max_report_delay: u64,
}

/// The stage that an attempt has reached.
#[derive(Clone, Copy, Debug, PartialEq)]
enum RunStage {
    Prefill,
    Load,
    Stream,
}

struct SimulatedRun {
    entry: usize,
    fingerprint: RequestFingerprint,
    stage: RunStage,
    prefill: usize,
    decode: usize,
    due_at: u64,
}

struct WaitingRequest {
    entry: usize,
    fingerprint: RequestFingerprint,
    reserved_servers: Option<(usize, usize)>,
}

struct SimulatedServer {
    boot: u64,
    /// The step at which the server restarts; none while it is alive.
    restart_at: Option<u64>,
}

struct SimulatedEntry {
    name: EntryName,
    state: QuarantineState,
    effects: Vec<QuarantineEffect>,
}

/// An event that is delivered to an entry later.
struct PendingEvent {
    deliver_at: u64,
    entry: usize,
    event: QuarantineEvent,
    /// The fingerprint of the request that is retried after the delivery.
    retry: Option<RequestFingerprint>,
}

/// The entries, the servers, and a caller that retries the crashing request.
pub struct Simulation {
    random: Pcg64Mcg,
    setup: SimulationSetup,
    start: Instant,
    step: u64,
    entries: Vec<SimulatedEntry>,
    servers: Vec<SimulatedServer>,
    runs: BTreeMap<AttemptId, SimulatedRun>,
    waiting: Vec<WaitingRequest>,
    pending_events: Vec<PendingEvent>,
    attempts: u64,
    tries: usize,
    deaths: usize,
    refused_harmless: usize,
}

fn server_name(server: usize) -> ServerName {
    ServerName::new(format!("server-{server}"))
}

impl Simulation {
    pub fn new(seed: u64, setup: SimulationSetup) -> Self {
        let entry = |index| {
            let name = EntryName::new(format!("entry-{index}"));
            SimulatedEntry {
                state: QuarantineState::new(name.clone(), QuarantineSettings::default()),
                name,
                effects: Vec::new(),
            }
        };
        let server = |_| SimulatedServer {
            boot: 1,
            restart_at: None,
        };
        Self {
            random: Pcg64Mcg::seed_from_u64(seed),
            setup,
            start: Instant::now(),
            step: 0,
            entries: (0..ENTRY_COUNT).map(entry).collect(),
            servers: (0..SERVER_COUNT).map(server).collect(),
            runs: BTreeMap::new(),
            waiting: Vec::new(),
            pending_events: Vec::new(),
            attempts: 0,
            tries: 0,
            deaths: 0,
            refused_harmless: 0,
        }
    }

    /// Returns how often a server has died.
    pub fn deaths(&self) -> usize {
        self.deaths
    }

    /// Returns the number of harmless requests that were refused as quarantined.
    pub fn refused_harmless(&self) -> usize {
        self.refused_harmless
    }

    /// Counts the harmless requests that have arrived but not ended.
    pub fn unfinished_harmless(&self) -> usize {
        let waits = self.waiting.iter().map(|waiting| waiting.fingerprint);
        let runs = self.runs.values().map(|run| run.fingerprint);
        waits.chain(runs).filter(|id| *id != CRASHING).count()
    }

    /// Returns whether every entry refuses the crashing request.
    pub fn all_refuse_crashing(&self) -> bool {
        (0..ENTRY_COUNT).all(|entry| self.decide(entry, CRASHING) == QuarantineDecision::Refused)
    }

    /// Runs until all tries are used and all requests have ended, for at most `MAX_STEPS`.
    pub fn run(&mut self) {
        for entry in 0..ENTRY_COUNT {
            self.handle(
                entry,
                QuarantineEvent::EntryCountChanged(ENTRY_COUNT as u32),
            );
            self.poll(entry);
        }
        let mut harmless = 1..=HARMLESS_REQUESTS;
        while self.step < MAX_STEPS {
            self.step += 1;
            if self.random.gen_bool(0.1) {
                let entry = self.random.gen_range(0..ENTRY_COUNT);
                if let Some(number) = harmless.next() {
                    self.enqueue(entry, RequestFingerprint(number));
                }
            }
            self.send_crashing();
            self.step_servers();
            self.step_runs();
            self.deliver_events();
            self.start_waiting();
            self.exchange_reports();
            if self.tries == CRASH_TRIES
                && self.waiting.is_empty()
                && self.runs.is_empty()
                && self.pending_events.is_empty()
            {
                return;
            }
        }
    }

    fn now(&self) -> Instant {
        self.start + STEP_TIME * u32::try_from(self.step).expect("simulations are short")
    }

    fn decide(&self, entry: usize, fingerprint: RequestFingerprint) -> QuarantineDecision {
        self.entries[entry].state.decide(self.now(), fingerprint)
    }

    fn enqueue(&mut self, entry: usize, fingerprint: RequestFingerprint) {
        let reserved_servers = None;
        self.waiting.push(WaitingRequest {
            entry,
            fingerprint,
            reserved_servers,
        });
    }

    /// Retries the crashing request after its last try, once all entries decide alike about it.
    fn send_crashing(&mut self) {
        let runs = self.runs.values().map(|run| run.fingerprint);
        let waits = self.waiting.iter().map(|waiting| waiting.fingerprint);
        let retries = self.pending_events.iter().filter_map(|event| event.retry);
        let is_active = runs.chain(waits).chain(retries).any(|id| id == CRASHING);
        let decisions: Vec<_> = (0..ENTRY_COUNT)
            .map(|entry| self.decide(entry, CRASHING))
            .collect();
        let entries_agree = decisions.iter().all(|decision| *decision == decisions[0]);
        // A cut shortly before a crash cannot be distinguished from the crash.
        let is_near_cut = self.setup.cuts && !(200..280).contains(&(self.step % CUT_STEPS));
        if is_active
            || is_near_cut
            || !entries_agree
            || self.tries == CRASH_TRIES
            || self.random.gen_bool(0.9)
        {
            return;
        }
        self.tries += 1;
        let first = self.random.gen_range(0..ENTRY_COUNT);
        for copy in 0..self.setup.copies {
            self.enqueue((first + copy) % ENTRY_COUNT, CRASHING);
        }
    }

    fn step_servers(&mut self) {
        for server in &mut self.servers {
            if server.restart_at.is_some_and(|at| at <= self.step) {
                server.restart_at = None;
                server.boot += 1;
            }
        }
        for entry in 0..ENTRY_COUNT {
            if (self.step + entry as u64).is_multiple_of(POLL_INTERVAL_STEPS) {
                self.poll(entry);
            }
            self.handle(entry, QuarantineEvent::Tick);
        }
    }

    fn poll(&mut self, entry: usize) {
        for server in 0..SERVER_COUNT {
            let event = match self.servers[server].restart_at {
                Some(_) => QuarantineEvent::ServerDown(server_name(server)),
                None => QuarantineEvent::LoadReported(ServerBoot {
                    server: server_name(server),
                    boot: self.servers[server].boot,
                }),
            };
            self.handle(entry, event);
        }
    }

    fn step_runs(&mut self) {
        let due = self.runs.iter().filter(|(_, run)| run.due_at <= self.step);
        for attempt in due.map(|(attempt, _)| *attempt).collect::<Vec<_>>() {
            self.step_run(attempt);
        }
        let is_cut_time = self.setup.cuts && self.step % CUT_STEPS < CUT_STEPS / 4;
        if is_cut_time && self.random.gen_bool(0.2) {
            let chosen = self.runs.keys().copied().choose(&mut self.random);
            if let Some(attempt) = chosen {
                self.lose_connection(attempt);
            }
        }
    }

    fn step_run(&mut self, attempt: AttemptId) {
        let Some(run) = self.runs.get_mut(&attempt) else {
            return;
        };
        let entry = run.entry;
        let crashes = run.fingerprint == CRASHING;
        let stage = self.setup.stage;
        match run.stage {
            RunStage::Prefill if crashes && stage == CrashStage::Prefill => self.crash(attempt),
            RunStage::Prefill => {
                run.stage = RunStage::Load;
                run.due_at = self.step + self.random.gen_range(1..10);
                self.handle(entry, QuarantineEvent::PrefillDone(attempt));
            }
            RunStage::Load if crashes && stage == CrashStage::Load => self.crash(attempt),
            RunStage::Load => {
                run.stage = RunStage::Stream;
                // A crash in the stream comes before the probation ends, which would clear the
                // request.
                let longest = if crashes { 30 } else { 200 };
                run.due_at = self.step + self.random.gen_range(1..longest);
                self.handle(entry, QuarantineEvent::FirstToken(attempt));
            }
            RunStage::Stream if crashes => self.crash(attempt),
            RunStage::Stream => {
                self.runs.remove(&attempt);
                let end = RunEnd::Completed;
                self.handle(entry, QuarantineEvent::AttemptEnded { attempt, end });
            }
        }
    }

    /// Crashes the server that runs an attempt, and loses the connections of all attempts on it.
    fn crash(&mut self, attempt: AttemptId) {
        let Some(server) = self.runs.get(&attempt).map(active_server) else {
            return;
        };
        self.deaths += 1;
        self.servers[server].restart_at = Some(self.step + self.random.gen_range(2..400));
        let runs = self.runs.iter();
        let lost = runs.filter(|(_, run)| active_server(run) == server || run.decode == server);
        for attempt in lost.map(|(attempt, _)| *attempt).collect::<Vec<_>>() {
            self.lose_connection(attempt);
        }
    }

    /// Breaks an attempt's connection; its entry detects that 0 to 5 steps later.
    fn lose_connection(&mut self, attempt: AttemptId) {
        let Some(run) = self.runs.remove(&attempt) else {
            return;
        };
        let end = RunEnd::ConnectionLost(server_name(active_server(&run)));
        let deliver_at = self.step + self.random.gen_range(0..6);
        let event = QuarantineEvent::AttemptEnded { attempt, end };
        let entry = run.entry;
        self.pending_events.push(PendingEvent {
            deliver_at,
            entry,
            event,
            retry: Some(run.fingerprint),
        });
    }

    fn deliver_events(&mut self) {
        let pending_events = std::mem::take(&mut self.pending_events);
        let (due, later) = pending_events
            .into_iter()
            .partition(|event| event.deliver_at <= self.step);
        self.pending_events = later;
        let due: Vec<PendingEvent> = due;
        for pending in due {
            self.handle(pending.entry, pending.event);
            if let Some(fingerprint) = pending.retry {
                self.enqueue(pending.entry, fingerprint);
            }
        }
    }

    fn start_waiting(&mut self) {
        for waiting in std::mem::take(&mut self.waiting) {
            match self.decide(waiting.entry, waiting.fingerprint) {
                QuarantineDecision::Refused => {
                    self.refused_harmless += usize::from(waiting.fingerprint != CRASHING);
                }
                QuarantineDecision::Held => self.waiting.push(waiting),
                QuarantineDecision::Unrestricted => self.start(waiting, &|_| true),
                QuarantineDecision::Reserved if waiting.reserved_servers.is_some() => {
                    self.start(waiting, &|_| true);
                }
                QuarantineDecision::Reserved => self.waiting.push(waiting),
                QuarantineDecision::Isolated => self.reserve(waiting),
            }
        }
    }

    fn choose(&mut self, is_allowed: &dyn Fn(usize) -> bool) -> Option<(usize, usize)> {
        let servers = &self.servers;
        let usable = |server: &usize| servers[*server].restart_at.is_none() && is_allowed(*server);
        let prefill = (0..PREFILL_COUNT).filter(usable).choose(&mut self.random)?;
        let decode = (PREFILL_COUNT..SERVER_COUNT)
            .filter(usable)
            .choose(&mut self.random)?;
        Some((prefill, decode))
    }

    fn reserve(&mut self, mut waiting: WaitingRequest) {
        let closed = self.entries[waiting.entry]
            .state
            .servers_closed_to_suspects(self.now());
        waiting.reserved_servers = self.choose(&|server| !closed.contains(&server_name(server)));
        if let Some((prefill, decode)) = waiting.reserved_servers {
            let event = QuarantineEvent::ServersReserved {
                fingerprint: waiting.fingerprint,
                servers: vec![server_name(prefill), server_name(decode)],
            };
            self.handle(waiting.entry, event);
        }
        self.waiting.push(waiting);
    }

    fn start(&mut self, waiting: WaitingRequest, is_allowed: &dyn Fn(usize) -> bool) {
        let servers = waiting.reserved_servers.or_else(|| self.choose(is_allowed));
        let Some((prefill, decode)) = servers else {
            self.waiting.push(waiting);
            return;
        };
        self.attempts += 1;
        let attempt = AttemptId(Uuid::from_u64_pair(0, self.attempts));
        let run = SimulatedRun {
            entry: waiting.entry,
            fingerprint: waiting.fingerprint,
            stage: RunStage::Prefill,
            prefill,
            decode,
            due_at: self.step + self.random.gen_range(1..10),
        };
        self.runs.insert(attempt, run);
        let event = QuarantineEvent::AttemptStarted {
            attempt,
            fingerprint: waiting.fingerprint,
            prefill: Some(server_name(prefill)),
            decode: server_name(decode),
        };
        self.handle(waiting.entry, event);
        let is_dead = [prefill, decode].map(|server| self.servers[server].restart_at.is_some());
        if is_dead.contains(&true) {
            self.refuse_attempt(attempt);
        }
    }

    /// Refuses an attempt whose server died between the choice and the start.
    fn refuse_attempt(&mut self, attempt: AttemptId) {
        if let Some(run) = self.runs.remove(&attempt) {
            let end = RunEnd::Refused;
            self.handle(run.entry, QuarantineEvent::AttemptEnded { attempt, end });
            self.enqueue(run.entry, run.fingerprint);
        }
    }

    fn handle(&mut self, entry: usize, event: QuarantineEvent) {
        let now = self.now();
        let SimulatedEntry { state, effects, .. } = &mut self.entries[entry];
        state.handle(now, event, effects);
    }

    /// Sends the reports of all entries to their peers.
    fn exchange_reports(&mut self) {
        for from in 0..ENTRY_COUNT {
            for effect in std::mem::take(&mut self.entries[from].effects) {
                if let QuarantineEffect::SendReport(report) = effect {
                    self.send_report(from, &report);
                }
            }
        }
    }

    fn send_report(&mut self, from: usize, report: &SuspicionReport) {
        for entry in (0..ENTRY_COUNT).filter(|entry| *entry != from) {
            let copies = match self.setup.unreliable_reports {
                true => self.random.gen_range(0..3),
                false => 1,
            };
            for _ in 0..copies {
                let event = QuarantineEvent::PeerReported {
                    peer: EntryIdentity {
                        entry: self.entries[from].name.clone(),
                        incarnation: Incarnation(1),
                    },
                    report: report.clone(),
                };
                let deliver_at = self.step + self.random.gen_range(1..=self.setup.max_report_delay);
                self.pending_events.push(PendingEvent {
                    deliver_at,
                    entry,
                    event,
                    retry: None,
                });
            }
        }
    }
}

/// Returns the server that is working on an attempt.
fn active_server(run: &SimulatedRun) -> usize {
    match run.stage {
        RunStage::Prefill => run.prefill,
        RunStage::Load | RunStage::Stream => run.decode,
    }
}
