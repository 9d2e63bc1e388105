//! Several entries over some servers, one kind of request that crashes them, and innocents beside it.

use std::collections::BTreeMap;
use std::time::{Duration, Instant};

use gs_control::quarantine::{
    QuarantineEffect, QuarantineEvent, QuarantineSettings, QuarantineState, RunEnd, SuspectGate,
};
use gs_protocol::ids::{AttemptId, EntryIdentity, EntryName, Incarnation, ServerName};
use gs_protocol::suspicion::{PromptFingerprint, ServerDeath, SuspicionReport};
use rand::seq::IteratorRandom;
use rand::{Rng, SeedableRng};
use rand_pcg::Pcg64Mcg;
use uuid::Uuid;

const ENTRIES: usize = 3;
const PREFILLS: usize = 2;
const SERVERS: usize = 6;
const CRASHER: PromptFingerprint = PromptFingerprint(0);
const INNOCENTS: u64 = 60;
const TRIES: usize = 6;
const STEP: Duration = Duration::from_millis(5);
const POLL_STEPS: u64 = 20;
const MAX_STEPS: u64 = 20_000;
/// Connections break in the first half of each such time, and the crashing request comes in the second.
const CUT_STEPS: u64 = 400;

/// Where the crashing request ends its server.
#[derive(Clone, Copy, Debug, PartialEq)]
pub enum CrashStage {
    Prefill,
    Load,
    Stream,
}

/// What happens in a world.
#[derive(Clone, Copy, Debug)]
pub struct WorldSetup {
    pub stage: CrashStage,
    /// Copies of the crashing request that the caller sends at once, through different entries.
    pub copies: usize,
    /// Whether connections to living servers break.
    pub cuts: bool,
    /// Whether reports between entries are lost, repeated and reordered.
    pub losses: bool,
    /// The longest time that a report is on its way, in steps.
    pub longest_way: u64,
}

/// How far an attempt has come.
#[derive(Clone, Copy, Debug, PartialEq)]
enum Stage {
    Prefill,
    Load,
    Stream,
}

struct Run {
    entry: usize,
    fingerprint: PromptFingerprint,
    stage: Stage,
    prefill: usize,
    decode: usize,
    next_at: u64,
}

struct Waiting {
    entry: usize,
    fingerprint: PromptFingerprint,
    servers: Option<(usize, usize)>,
}

struct Server {
    boot: u64,
    back_at: Option<u64>,
}

struct Entry {
    name: EntryName,
    state: QuarantineState,
    effects: Vec<QuarantineEffect>,
}

/// Something on its way to an entry.
struct Message {
    at: u64,
    entry: usize,
    event: QuarantineEvent,
    /// What goes again once the entry has been told.
    goes_again: Option<PromptFingerprint>,
}

/// The entries, the servers and the caller that sends the crashing request again and again.
pub struct World {
    random: Pcg64Mcg,
    setup: WorldSetup,
    start: Instant,
    step: u64,
    entries: Vec<Entry>,
    servers: Vec<Server>,
    runs: BTreeMap<AttemptId, Run>,
    waiting: Vec<Waiting>,
    messages: Vec<Message>,
    attempts: u64,
    tries: usize,
    deaths: usize,
    refused_innocents: usize,
}

fn name(server: usize) -> ServerName {
    ServerName::new(format!("server-{server}"))
}

impl World {
    pub fn new(seed: u64, setup: WorldSetup) -> Self {
        let entry = |index| {
            let name = EntryName::new(format!("entry-{index}"));
            Entry {
                state: QuarantineState::new(name.clone(), QuarantineSettings::default()),
                name,
                effects: Vec::new(),
            }
        };
        let server = |_| Server {
            boot: 1,
            back_at: None,
        };
        Self {
            random: Pcg64Mcg::seed_from_u64(seed),
            setup,
            start: Instant::now(),
            step: 0,
            entries: (0..ENTRIES).map(entry).collect(),
            servers: (0..SERVERS).map(server).collect(),
            runs: BTreeMap::new(),
            waiting: Vec::new(),
            messages: Vec::new(),
            attempts: 0,
            tries: 0,
            deaths: 0,
            refused_innocents: 0,
        }
    }

    /// Servers that have died.
    pub fn deaths(&self) -> usize {
        self.deaths
    }

    /// Innocent requests that were refused as quarantined.
    pub fn refused_innocents(&self) -> usize {
        self.refused_innocents
    }

    /// Innocent requests that have not run to their end.
    pub fn waiting_innocents(&self) -> usize {
        let waits = self.waiting.iter().map(|waiting| waiting.fingerprint);
        let runs = self.runs.values().map(|run| run.fingerprint);
        waits.chain(runs).filter(|known| *known != CRASHER).count()
    }

    /// Whether every entry refuses the crashing request.
    pub fn knows_crasher(&self) -> bool {
        (0..ENTRIES).all(|entry| self.gate(entry, CRASHER) == SuspectGate::Refused)
    }

    /// Runs until the caller has tried often enough and everything else has ended.
    pub fn run(&mut self) {
        for entry in 0..ENTRIES {
            self.tell(entry, QuarantineEvent::EntriesSeen(ENTRIES as u32));
            self.poll(entry);
        }
        let mut innocents = 1..=INNOCENTS;
        while self.step < MAX_STEPS {
            self.step += 1;
            if self.random.gen_bool(0.1) {
                let entry = self.random.gen_range(0..ENTRIES);
                if let Some(number) = innocents.next() {
                    self.arrive(entry, PromptFingerprint(number));
                }
            }
            self.send_crasher();
            self.step_servers();
            self.step_runs();
            self.deliver();
            self.start_waiting();
            self.exchange();
            if self.tries == TRIES
                && self.waiting.is_empty()
                && self.runs.is_empty()
                && self.messages.is_empty()
            {
                return;
            }
        }
    }

    fn now(&self) -> Instant {
        self.start + STEP * u32::try_from(self.step).expect("worlds are short")
    }

    fn gate(&self, entry: usize, fingerprint: PromptFingerprint) -> SuspectGate {
        self.entries[entry].state.gate(self.now(), fingerprint)
    }

    fn arrive(&mut self, entry: usize, fingerprint: PromptFingerprint) {
        let servers = None;
        self.waiting.push(Waiting {
            entry,
            fingerprint,
            servers,
        });
    }

    /// Sends the crashing request again when the last try has ended and all entries know the same of it.
    fn send_crasher(&mut self) {
        let runs = self.runs.values().map(|run| run.fingerprint);
        let waits = self.waiting.iter().map(|waiting| waiting.fingerprint);
        let lost = self.messages.iter().filter_map(|known| known.goes_again);
        let under_way = runs.chain(waits).chain(lost).any(|known| known == CRASHER);
        let gates: Vec<_> = (0..ENTRIES)
            .map(|entry| self.gate(entry, CRASHER))
            .collect();
        let agreed = gates.iter().all(|gate| *gate == gates[0]);
        // A cut shortly before a crash cannot be told from the crash.
        let too_near = self.setup.cuts && !(200..280).contains(&(self.step % CUT_STEPS));
        if under_way || too_near || !agreed || self.tries == TRIES || self.random.gen_bool(0.9) {
            return;
        }
        self.tries += 1;
        let first = self.random.gen_range(0..ENTRIES);
        for copy in 0..self.setup.copies {
            self.arrive((first + copy) % ENTRIES, CRASHER);
        }
    }

    fn step_servers(&mut self) {
        for server in &mut self.servers {
            if server.back_at.is_some_and(|at| at <= self.step) {
                server.back_at = None;
                server.boot += 1;
            }
        }
        for entry in 0..ENTRIES {
            if (self.step + entry as u64).is_multiple_of(POLL_STEPS) {
                self.poll(entry);
            }
            self.tell(entry, QuarantineEvent::Tick);
        }
    }

    fn poll(&mut self, entry: usize) {
        for server in 0..SERVERS {
            let event = match self.servers[server].back_at {
                Some(_) => QuarantineEvent::ServerDown(name(server)),
                None => QuarantineEvent::ServerSeen(ServerDeath {
                    server: name(server),
                    boot: self.servers[server].boot,
                }),
            };
            self.tell(entry, event);
        }
    }

    fn step_runs(&mut self) {
        let due = self.runs.iter().filter(|(_, run)| run.next_at <= self.step);
        for attempt in due.map(|(attempt, _)| *attempt).collect::<Vec<_>>() {
            self.step_run(attempt);
        }
        let breaks = self.setup.cuts && self.step % CUT_STEPS < CUT_STEPS / 4;
        if breaks && self.random.gen_bool(0.2) {
            let chosen = self.runs.keys().copied().choose(&mut self.random);
            if let Some(attempt) = chosen {
                self.lose(attempt);
            }
        }
    }

    fn step_run(&mut self, attempt: AttemptId) {
        let Some(run) = self.runs.get_mut(&attempt) else {
            return;
        };
        let entry = run.entry;
        let crashes = run.fingerprint == CRASHER;
        let stage = self.setup.stage;
        match run.stage {
            Stage::Prefill if crashes && stage == CrashStage::Prefill => self.crash(attempt),
            Stage::Prefill => {
                run.stage = Stage::Load;
                run.next_at = self.step + self.random.gen_range(1..10);
                self.tell(entry, QuarantineEvent::PrefillDone(attempt));
            }
            Stage::Load if crashes && stage == CrashStage::Load => self.crash(attempt),
            Stage::Load => {
                run.stage = Stage::Stream;
                // A crash in the stream comes before the time of streaming that proves a request harmless.
                let longest = if crashes { 30 } else { 200 };
                run.next_at = self.step + self.random.gen_range(1..longest);
                self.tell(entry, QuarantineEvent::FirstToken(attempt));
            }
            Stage::Stream if crashes => self.crash(attempt),
            Stage::Stream => {
                self.runs.remove(&attempt);
                let end = RunEnd::Whole;
                self.tell(entry, QuarantineEvent::Ended { attempt, end });
            }
        }
    }

    /// Ends the server that runs an attempt; everything there is lost.
    fn crash(&mut self, attempt: AttemptId) {
        let Some(server) = self.runs.get(&attempt).map(place_of) else {
            return;
        };
        self.deaths += 1;
        self.servers[server].back_at = Some(self.step + self.random.gen_range(2..400));
        let runs = self.runs.iter();
        let hit = runs.filter(|(_, run)| place_of(run) == server || run.decode == server);
        for attempt in hit.map(|(attempt, _)| *attempt).collect::<Vec<_>>() {
            self.lose(attempt);
        }
    }

    /// The entry finds a little later that an attempt's connection has broken.
    fn lose(&mut self, attempt: AttemptId) {
        let Some(run) = self.runs.remove(&attempt) else {
            return;
        };
        let end = RunEnd::Lost(name(place_of(&run)));
        let at = self.step + self.random.gen_range(0..6);
        let event = QuarantineEvent::Ended { attempt, end };
        let entry = run.entry;
        self.messages.push(Message {
            at,
            entry,
            event,
            goes_again: Some(run.fingerprint),
        });
    }

    fn deliver(&mut self) {
        let messages = std::mem::take(&mut self.messages);
        let (due, later) = messages
            .into_iter()
            .partition(|known| known.at <= self.step);
        self.messages = later;
        let due: Vec<Message> = due;
        for message in due {
            self.tell(message.entry, message.event);
            if let Some(fingerprint) = message.goes_again {
                self.arrive(message.entry, fingerprint);
            }
        }
    }

    fn start_waiting(&mut self) {
        for waiting in std::mem::take(&mut self.waiting) {
            match self.gate(waiting.entry, waiting.fingerprint) {
                SuspectGate::Refused => {
                    self.refused_innocents += usize::from(waiting.fingerprint != CRASHER);
                }
                SuspectGate::Held => self.waiting.push(waiting),
                SuspectGate::Open => self.start(waiting, &|_| true),
                SuspectGate::Reserved if waiting.servers.is_some() => {
                    self.start(waiting, &|_| true);
                }
                SuspectGate::Reserved => self.waiting.push(waiting),
                SuspectGate::Apart => self.reserve(waiting),
            }
        }
    }

    fn choose(&mut self, fits: &dyn Fn(usize) -> bool) -> Option<(usize, usize)> {
        let servers = &self.servers;
        let usable = |server: &usize| servers[*server].back_at.is_none() && fits(*server);
        let prefill = (0..PREFILLS).filter(usable).choose(&mut self.random)?;
        let decode = (PREFILLS..SERVERS)
            .filter(usable)
            .choose(&mut self.random)?;
        Some((prefill, decode))
    }

    fn reserve(&mut self, mut waiting: Waiting) {
        let closed = self.entries[waiting.entry].state.closed_servers(self.now());
        waiting.servers = self.choose(&|server| !closed.contains(&name(server)));
        if let Some((prefill, decode)) = waiting.servers {
            let event = QuarantineEvent::Reserved {
                fingerprint: waiting.fingerprint,
                servers: vec![name(prefill), name(decode)],
            };
            self.tell(waiting.entry, event);
        }
        self.waiting.push(waiting);
    }

    fn start(&mut self, waiting: Waiting, fits: &dyn Fn(usize) -> bool) {
        let servers = waiting.servers.or_else(|| self.choose(fits));
        let Some((prefill, decode)) = servers else {
            self.waiting.push(waiting);
            return;
        };
        self.attempts += 1;
        let attempt = AttemptId(Uuid::from_u64_pair(0, self.attempts));
        let run = Run {
            entry: waiting.entry,
            fingerprint: waiting.fingerprint,
            stage: Stage::Prefill,
            prefill,
            decode,
            next_at: self.step + self.random.gen_range(1..10),
        };
        self.runs.insert(attempt, run);
        let event = QuarantineEvent::Started {
            attempt,
            fingerprint: waiting.fingerprint,
            prefill: Some(name(prefill)),
            decode: name(decode),
        };
        self.tell(waiting.entry, event);
        let is_dead = [prefill, decode].map(|server| self.servers[server].back_at.is_some());
        if is_dead.contains(&true) {
            self.refuse(attempt);
        }
    }

    /// A server that died between the choice and the start takes nothing.
    fn refuse(&mut self, attempt: AttemptId) {
        if let Some(run) = self.runs.remove(&attempt) {
            let end = RunEnd::Refused;
            self.tell(run.entry, QuarantineEvent::Ended { attempt, end });
            self.arrive(run.entry, run.fingerprint);
        }
    }

    fn tell(&mut self, entry: usize, event: QuarantineEvent) {
        let now = self.now();
        let Entry { state, effects, .. } = &mut self.entries[entry];
        state.handle(now, event, effects);
    }

    /// Sends what entries report to their peers.
    fn exchange(&mut self) {
        for from in 0..ENTRIES {
            for effect in std::mem::take(&mut self.entries[from].effects) {
                if let QuarantineEffect::Report(report) = effect {
                    self.send_report(from, &report);
                }
            }
        }
    }

    fn send_report(&mut self, from: usize, report: &SuspicionReport) {
        for entry in (0..ENTRIES).filter(|entry| *entry != from) {
            let copies = match self.setup.losses {
                true => self.random.gen_range(0..3),
                false => 1,
            };
            for _ in 0..copies {
                let event = QuarantineEvent::PeerTold {
                    peer: EntryIdentity {
                        entry: self.entries[from].name.clone(),
                        incarnation: Incarnation(1),
                    },
                    report: report.clone(),
                };
                let at = self.step + self.random.gen_range(1..=self.setup.longest_way);
                self.messages.push(Message {
                    at,
                    entry,
                    event,
                    goes_again: None,
                });
            }
        }
    }
}

/// The server that works on an attempt.
fn place_of(run: &Run) -> usize {
    match run.stage {
        Stage::Prefill => run.prefill,
        Stage::Load | Stage::Stream => run.decode,
    }
}
