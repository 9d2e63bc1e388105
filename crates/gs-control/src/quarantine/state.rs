//! The quarantine slice's state and its events.

use std::collections::BTreeSet;
use std::time::{Duration, Instant};

use gs_protocol::ids::{AttemptId, EntryIdentity, EntryName, ServerName};
use gs_protocol::suspicion::{
    BlameRecord, BlameState, PromptFingerprint, ServerDeath, SuspectRun, SuspicionReport,
};

use super::attribution::{DeathWitness, blame};
use super::blames::{BlameOrigin, BlameTable};
use super::liveness::{SightingNews, WatchTable};
use super::messages::{QuarantineEffect, QuarantineEvent, RunEnd, SuspectGate};
use super::peers::PeerTable;
use super::reservations::ReservationTable;
use super::runs::{ExposurePhase, ExposureTable};
use super::settings::QuarantineSettings;

/// Between two looks for what has become too old.
const CLEAN_INTERVAL: Duration = Duration::from_millis(100);

/// Longest time between two events while a request waits, unless the process was paused.
const MAX_GAP: Duration = Duration::from_millis(20);

/// Running suspects told at most in one report.
const MAX_RUNNING: usize = 256;

/// Says where requests may run that may crash servers.
#[derive(Clone, Debug)]
pub struct QuarantineState {
    own: EntryName,
    settings: QuarantineSettings,
    blames: BlameTable,
    exposures: ExposureTable,
    watches: WatchTable,
    peers: PeerTable,
    reservations: ReservationTable,
    survivals: BTreeSet<(Instant, AttemptId)>,
    told: Vec<SuspectRun>,
    told_at: Option<Instant>,
    reports: u64,
    handled_at: Option<Instant>,
    /// Entries of the fleet besides this one.
    peer_count: usize,
    /// Whether a peer waits to be told what this entry has heard.
    is_asked: bool,
    clean_at: Option<Instant>,
}

impl QuarantineState {
    /// The state of an entry that suspects nobody.
    pub fn new(own: EntryName, settings: QuarantineSettings) -> Self {
        Self {
            own,
            settings,
            blames: BlameTable::default(),
            exposures: ExposureTable::default(),
            watches: WatchTable::default(),
            peers: PeerTable::default(),
            reservations: ReservationTable::default(),
            survivals: BTreeSet::new(),
            told: Vec::new(),
            told_at: None,
            reports: 0,
            handled_at: None,
            peer_count: 0,
            is_asked: false,
            clean_at: None,
        }
    }

    /// Takes in an event, and adds what is to be done to `effects`.
    pub fn handle(
        &mut self,
        now: Instant,
        event: QuarantineEvent,
        effects: &mut Vec<QuarantineEffect>,
    ) {
        self.note_pause(now);
        self.end_trials(now);
        match event {
            QuarantineEvent::Reserved {
                fingerprint,
                servers,
            } => self.reservations.add(now, fingerprint, servers),
            QuarantineEvent::Started {
                attempt,
                fingerprint,
                prefill,
                decode,
            } => self.start(attempt, fingerprint, prefill, decode),
            QuarantineEvent::PrefillDone(attempt) => self.exposures.pass_on(attempt),
            QuarantineEvent::FirstToken(attempt) => self.begin_trial(now, attempt),
            QuarantineEvent::Ended { attempt, end } => self.end(now, attempt, &end, effects),
            QuarantineEvent::ServerSeen(seen) => self.see(now, &seen, effects),
            QuarantineEvent::ServerDown(server) => {
                let death = self.watches.death(&server);
                self.watches.doubt(&server);
                self.exposures.lose_all(now, &death);
                self.judge(now, &death, effects);
            }
            QuarantineEvent::PeerTold { peer, report } => self.hear(now, &peer, report),
            QuarantineEvent::EntriesSeen(entries) => {
                self.peer_count = entries.saturating_sub(1) as usize;
                // An entry that has just come knows nothing yet.
                self.blames.repeat_all(now);
                self.told_at = None;
            }
            QuarantineEvent::Tick => self.forget_old(now),
        }
        self.report(now, effects);
    }

    /// Where a fingerprint may run.
    pub fn gate(&self, now: Instant, fingerprint: PromptFingerprint) -> SuspectGate {
        let count = self.blames.count(now, fingerprint, None, &self.settings);
        if count.proven >= self.settings.refused_deaths {
            return SuspectGate::Refused;
        }
        if count.total() == 0 {
            return SuspectGate::Open;
        }
        let is_undecided = count.total() >= self.settings.refused_deaths;
        if is_undecided || self.runs(fingerprint) {
            return SuspectGate::Held;
        }
        let Some(since) = self.reservations.since(fingerprint) else {
            return SuspectGate::Apart;
        };
        let age = now.saturating_duration_since(since);
        let has_peers = self.peer_count > 0;
        let is_unconfirmed = age < self.settings.confirm_within && !self.is_confirmed(fingerprint);
        match has_peers && (age < self.settings.hold || is_unconfirmed) {
            true => SuspectGate::Held,
            false => SuspectGate::Reserved,
        }
    }

    /// Whether all peers have heard what is about to run of a fingerprint.
    fn is_confirmed(&self, fingerprint: PromptFingerprint) -> bool {
        let runs = self.reservations.runs(fingerprint);
        self.peers.count_confirmed(&runs) >= self.peer_count
    }

    /// The servers that take no suspect now.
    pub fn closed_servers(&self, now: Instant) -> BTreeSet<ServerName> {
        let own = self.running_suspects(now).into_iter().map(|run| run.server);
        let others = self.peers.servers().chain(self.watches.doubted());
        own.chain(others.cloned()).collect()
    }

    /// How many fingerprints run apart, are held or are refused.
    pub fn count_suspects(&self, now: Instant) -> usize {
        let gates = self.blames.suspected().map(|known| self.gate(now, known));
        gates.filter(|gate| *gate != SuspectGate::Open).count()
    }

    /// How many fingerprints are remembered.
    pub fn count_remembered(&self) -> usize {
        self.blames.len()
    }

    /// Holds reservations anew after a pause of this process, in which reports of peers were not read.
    fn note_pause(&mut self, now: Instant) {
        let last = self.handled_at.replace(now);
        if last.is_some_and(|last| now.saturating_duration_since(last) > MAX_GAP) {
            self.reservations.restart(now);
            self.peers.forget_confirmed();
            self.told_at = None;
        }
    }

    fn start(
        &mut self,
        attempt: AttemptId,
        fingerprint: PromptFingerprint,
        prefill: Option<ServerName>,
        decode: ServerName,
    ) {
        let with_boot = |server: ServerName| {
            let boot = self.watches.boot(&server);
            (server, boot)
        };
        self.reservations.remove(fingerprint);
        let prefill = prefill.map(with_boot);
        let decode = with_boot(decode);
        self.exposures.add(attempt, fingerprint, prefill, decode);
    }

    fn begin_trial(&mut self, now: Instant, attempt: AttemptId) {
        self.exposures.pass_on(attempt);
        let ends_at = now + self.settings.survival;
        self.survivals.insert((ends_at, attempt));
    }

    /// Clears what has streamed for long enough.
    fn end_trials(&mut self, now: Instant) {
        while let Some((at, attempt)) = self.survivals.first().copied() {
            if at > now {
                return;
            }
            self.survivals.pop_first();
            if let Some(fingerprint) = self.exposures.fingerprint(attempt) {
                self.exposures.survive(attempt);
                self.clear(now, fingerprint);
            }
        }
    }

    fn end(
        &mut self,
        now: Instant,
        attempt: AttemptId,
        end: &RunEnd,
        effects: &mut Vec<QuarantineEffect>,
    ) {
        match end {
            RunEnd::Whole => {
                let fingerprint = self.exposures.fingerprint(attempt);
                self.exposures.end(attempt);
                if let Some(fingerprint) = fingerprint {
                    self.clear(now, fingerprint);
                }
            }
            RunEnd::Refused => self.exposures.end(attempt),
            RunEnd::Lost(server) => self.lose(now, attempt, server, effects),
            RunEnd::Abandoned => self.exposures.abandon(now, attempt),
        }
    }

    /// Clears a fingerprint that has shown that it does no harm.
    fn clear(&mut self, now: Instant, fingerprint: PromptFingerprint) {
        let count = self.blames.count(now, fingerprint, None, &self.settings);
        if count.proven < self.settings.refused_deaths {
            self.blames.clear(now, fingerprint, &self.settings);
        }
    }

    /// Suspects what lost its connection, until it is known whether the server died.
    fn lose(
        &mut self,
        now: Instant,
        attempt: AttemptId,
        server: &ServerName,
        effects: &mut Vec<QuarantineEffect>,
    ) {
        let Some(lost) = self.exposures.lose(now, attempt, server) else {
            return;
        };
        let death = ServerDeath {
            server: server.clone(),
            boot: lost.boot,
        };
        if lost.boot != self.watches.boot(server) {
            self.judge(now, &death, effects);
            return;
        }
        self.watches.doubt(server);
        let peer_suspects = self.peers.count_on(server);
        let blamed = blame(&self.witnesses(now, &death), peer_suspects);
        if lost.phase == ExposurePhase::Fresh && blamed.contains(&lost.fingerprint) {
            self.raise(
                now,
                attempt,
                lost.fingerprint,
                &death,
                BlameState::Suspected,
            );
        }
    }

    fn see(&mut self, now: Instant, seen: &ServerDeath, effects: &mut Vec<QuarantineEffect>) {
        match self.watches.see(seen) {
            SightingNews::Nothing => {}
            SightingNews::Alive => {
                self.exposures.drop_traces(seen);
                self.blames.clear_death(now, seen, &self.settings);
            }
            SightingNews::Died(death) => self.judge(now, &death, effects),
        }
    }

    /// Blames what was lost with a server that has died. What is found lost later is judged then.
    fn judge(&mut self, now: Instant, death: &ServerDeath, effects: &mut Vec<QuarantineEffect>) {
        let lost = |witness: &DeathWitness| witness.exposure.trace.is_some();
        let mut witnesses = self.witnesses(now, death);
        witnesses.retain(lost);
        let blamed = blame(&witnesses, self.peers.count_on(&death.server));
        let is_new = |witness: &&DeathWitness| witness.exposure.was_suspect.is_none();
        for witness in witnesses.iter().filter(is_new) {
            let fingerprint = witness.exposure.fingerprint;
            let attempt = witness.attempt;
            let state = self.blames.state(fingerprint, attempt);
            let is_suspected = state == Some(BlameState::Suspected);
            if !blamed.contains(&fingerprint) {
                if is_suspected {
                    self.raise(now, attempt, fingerprint, death, BlameState::Cleared);
                }
            } else if self.raise(now, attempt, fingerprint, death, BlameState::Proven) {
                let death = death.clone();
                effects.push(QuarantineEffect::Blamed { fingerprint, death });
            }
        }
        self.note_judged(&witnesses, death);
    }

    /// Remembers who was a suspect, so that what is judged later for the same death is judged alike.
    fn note_judged(&mut self, witnesses: &[DeathWitness], death: &ServerDeath) {
        let suspects: BTreeSet<_> = witnesses
            .iter()
            .filter(|witness| witness.is_suspect)
            .map(|witness| witness.exposure.fingerprint)
            .collect();
        let lost = self.exposures.on_mut(death);
        for exposure in lost.filter(|exposure| exposure.trace.is_some()) {
            exposure.was_suspect = Some(suspects.contains(&exposure.fingerprint));
        }
    }

    fn witnesses(&self, now: Instant, death: &ServerDeath) -> Vec<DeathWitness> {
        let ran = self.exposures.on(death);
        ran.map(|(attempt, exposure)| DeathWitness {
            attempt,
            exposure: *exposure,
            is_suspect: exposure
                .was_suspect
                .unwrap_or_else(|| self.is_suspect(now, exposure.fingerprint, Some(death))),
        })
        .collect()
    }

    fn hear(&mut self, now: Instant, peer: &EntryIdentity, report: SuspicionReport) {
        if self.peers.hear(now, &self.own, peer, &report) {
            let running = &report.running;
            self.reservations.yield_to(&self.own, &peer.entry, running);
            self.is_asked |= report.asks;
        }
        for blame in report.blames {
            let server = blame.death.server.clone();
            let is_new = blame.state != BlameState::Cleared;
            let raised = self
                .blames
                .raise(now, blame, BlameOrigin::Peer, &self.settings);
            if raised && is_new {
                self.watches.doubt(&server);
            }
        }
    }

    fn forget_old(&mut self, now: Instant) {
        if self.clean_at.is_some_and(|at| now < at) {
            return;
        }
        self.clean_at = Some(now + CLEAN_INTERVAL);
        self.exposures.drop_old_traces(now, self.settings.linger);
        self.peers.forget_old(now, self.settings.peer_stale);
        self.reservations.forget_old(now, &self.settings);
        self.blames.forget_old(now, &self.settings);
    }

    fn raise(
        &mut self,
        now: Instant,
        attempt: AttemptId,
        fingerprint: PromptFingerprint,
        death: &ServerDeath,
        state: BlameState,
    ) -> bool {
        let record = BlameRecord {
            attempt,
            fingerprint,
            death: death.clone(),
            state,
        };
        self.blames
            .raise(now, record, BlameOrigin::Own, &self.settings)
    }

    fn is_suspect(
        &self,
        now: Instant,
        fingerprint: PromptFingerprint,
        but: Option<&ServerDeath>,
    ) -> bool {
        let count = self.blames.count(now, fingerprint, but, &self.settings);
        count.total() > 0
    }

    /// Whether a fingerprint runs anywhere and has not survived there yet.
    fn runs(&self, fingerprint: PromptFingerprint) -> bool {
        let own = self.exposures.iter();
        let mut own = own.filter(|(_, exposure)| exposure.fingerprint == fingerprint);
        let runs_here = self.exposures.contains(fingerprint);
        (runs_here && own.any(|(_, exposure)| exposure.is_live())) || self.peers.runs(fingerprint)
    }

    fn running_suspects(&self, now: Instant) -> Vec<SuspectRun> {
        let mut suspected = self.blames.suspected();
        if !suspected.any(|known| self.exposures.contains(known)) {
            return self.reservations.iter().collect();
        }
        let live = self.exposures.iter().filter(|(_, exposure)| {
            exposure.is_live() && self.is_suspect(now, exposure.fingerprint, None)
        });
        let mut running: Vec<_> = live
            .map(|(server, exposure)| SuspectRun {
                fingerprint: exposure.fingerprint,
                server: server.clone(),
                has_started: true,
            })
            .chain(self.reservations.iter())
            .collect();
        running.sort();
        running.dedup();
        running
    }

    /// Tells peers what has changed, and again from time to time.
    fn report(&mut self, now: Instant, effects: &mut Vec<QuarantineEffect>) {
        let blames = self.blames.take_due(now);
        let mut running = self.running_suspects(now);
        running.truncate(MAX_RUNNING);
        let is_old = self
            .told_at
            .is_none_or(|at| now.saturating_duration_since(at) >= self.settings.repeat);
        let repeats = !running.is_empty() && is_old;
        let has_news = !blames.is_empty() || running != self.told || repeats;
        let answers = std::mem::take(&mut self.is_asked);
        if !has_news && !answers {
            return;
        }
        // An answer alone asks for none, or two entries would answer each other for good.
        let mut kept = self.reservations.fingerprints();
        let asks = has_news && kept.any(|fingerprint| !self.is_confirmed(fingerprint));
        if has_news {
            self.told = running.clone();
            self.told_at = Some(now);
        }
        self.reports += 1;
        effects.push(QuarantineEffect::Report(SuspicionReport {
            number: self.reports,
            blames,
            running,
            heard: self.peers.announced(),
            asks,
        }));
    }
}
