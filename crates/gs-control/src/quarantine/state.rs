//! The quarantine slice's state and its events.

use std::collections::BTreeSet;
use std::time::Instant;

use gs_protocol::ids::{AttemptId, EntryName, ServerName};
use gs_protocol::suspicion::{
    BlameRecord, BlameState, PromptFingerprint, ServerDeath, SuspectRun, SuspicionReport,
};

use super::blames::{BlameOrigin, BlameTable};
use super::exposures::{ExposurePhase, ExposureTable};
use super::messages::{QuarantineEffect, QuarantineEvent, RunEnd, SuspectGate};
use super::peers::PeerTable;
use super::settings::QuarantineSettings;
use super::verdict::{DeathWitness, blame};
use super::watches::{SightingNews, WatchTable};

/// Running suspects told at most in one report.
const MAX_RUNNING: usize = 256;

/// Says where requests may run that may crash servers.
#[derive(Clone, Debug)]
pub struct QuarantineState {
    settings: QuarantineSettings,
    blames: BlameTable,
    exposures: ExposureTable,
    watches: WatchTable,
    peers: PeerTable,
    survivals: BTreeSet<(Instant, AttemptId)>,
    told: Vec<SuspectRun>,
    told_at: Option<Instant>,
    has_peers: bool,
}

impl QuarantineState {
    /// A state that suspects nobody.
    pub fn new(settings: QuarantineSettings) -> Self {
        Self {
            settings,
            blames: BlameTable::default(),
            exposures: ExposureTable::default(),
            watches: WatchTable::default(),
            peers: PeerTable::default(),
            survivals: BTreeSet::new(),
            told: Vec::new(),
            told_at: None,
            has_peers: false,
        }
    }

    /// Takes in an event, and adds what is to be done to `effects`.
    pub fn handle(
        &mut self,
        now: Instant,
        event: QuarantineEvent,
        effects: &mut Vec<QuarantineEffect>,
    ) {
        self.end_trials(now);
        match event {
            QuarantineEvent::Started {
                attempt,
                fingerprint,
                prefill,
                decode,
            } => self.start(attempt, fingerprint, prefill, decode),
            QuarantineEvent::PrefillDone(attempt) => self.exposures.pass_on(attempt),
            QuarantineEvent::FirstToken(attempt) => self.begin_trial(now, attempt),
            QuarantineEvent::Ended { attempt, end } => self.end(now, attempt, &end),
            QuarantineEvent::ServerSeen(seen) => self.see(now, &seen, effects),
            QuarantineEvent::ServerDown(server) => {
                let death = self.watches.death(&server);
                self.watches.doubt(&server);
                self.judge(now, &death, effects);
            }
            QuarantineEvent::PeerTold { peer, report } => self.hear(now, peer, report),
            QuarantineEvent::EntriesSeen(entries) => self.has_peers = entries > 1,
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
        let settling = count
            .last_suspected
            .is_some_and(|at| now.saturating_duration_since(at) < self.settings.settle);
        let is_undecided = count.total() >= self.settings.refused_deaths;
        if (self.has_peers && settling) || is_undecided || self.runs(fingerprint) {
            return SuspectGate::Held;
        }
        SuspectGate::Apart
    }

    /// The servers that take no suspect now.
    pub fn closed_servers(&self, now: Instant) -> BTreeSet<ServerName> {
        let own = self.running_suspects(now).into_iter().map(|run| run.server);
        own.chain(self.peers.servers().cloned()).collect()
    }

    /// How many fingerprints run apart, are held or are refused.
    pub fn count_suspects(&self, now: Instant) -> usize {
        let gates = self
            .blames
            .fingerprints()
            .map(|known| self.gate(now, known));
        gates.filter(|gate| *gate != SuspectGate::Open).count()
    }

    /// How many fingerprints are remembered.
    pub fn count_remembered(&self) -> usize {
        self.blames.len()
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

    fn end(&mut self, now: Instant, attempt: AttemptId, end: &RunEnd) {
        match end {
            RunEnd::Whole => {
                let fingerprint = self.exposures.fingerprint(attempt);
                self.exposures.end(attempt);
                if let Some(fingerprint) = fingerprint {
                    self.clear(now, fingerprint);
                }
            }
            RunEnd::Refused => self.exposures.end(attempt),
            RunEnd::Lost(server) => self.lose(now, attempt, server),
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
    fn lose(&mut self, now: Instant, attempt: AttemptId, server: &ServerName) {
        let Some(lost) = self.exposures.lose(now, attempt, server) else {
            return;
        };
        self.watches.doubt(server);
        let death = ServerDeath {
            server: server.clone(),
            boot: lost.boot,
        };
        let witnesses = self.witnesses(now, &death);
        let peer_suspects = self.peers.count_on(server);
        let is_fresh = lost.phase == ExposurePhase::Fresh;
        if is_fresh && blame(&witnesses, peer_suspects).contains(&lost.fingerprint) {
            self.raise(now, lost.fingerprint, &death, BlameState::Suspected);
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

    /// Blames what ran on a server that has died.
    fn judge(&mut self, now: Instant, death: &ServerDeath, effects: &mut Vec<QuarantineEffect>) {
        let witnesses = self.witnesses(now, death);
        let peer_suspects = self.peers.count_on(&death.server);
        let blamed = blame(&witnesses, peer_suspects);
        for witness in &witnesses {
            let fingerprint = witness.exposure.fingerprint;
            let is_suspected = self.blames.state(fingerprint, death) == Some(BlameState::Suspected);
            if is_suspected && !blamed.contains(&fingerprint) {
                self.raise(now, fingerprint, death, BlameState::Cleared);
            }
        }
        for fingerprint in blamed {
            if self.raise(now, fingerprint, death, BlameState::Proven) {
                let death = death.clone();
                effects.push(QuarantineEffect::Blamed { fingerprint, death });
            }
        }
        self.exposures.drop_dead(death);
    }

    fn witnesses(&self, now: Instant, death: &ServerDeath) -> Vec<DeathWitness> {
        let ran = self.exposures.on(&death.server);
        ran.filter(|(_, exposure)| exposure.boot == death.boot)
            .map(|(_, exposure)| DeathWitness {
                exposure: *exposure,
                is_suspect: self.is_suspect(now, exposure.fingerprint, Some(death)),
            })
            .collect()
    }

    fn hear(&mut self, now: Instant, peer: EntryName, report: SuspicionReport) {
        self.peers.hear(now, peer, report.running);
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
        self.exposures.drop_old_traces(now, self.settings.linger);
        self.peers.forget_old(now, self.settings.peer_stale);
        self.blames.forget_old(now, &self.settings);
    }

    fn raise(
        &mut self,
        now: Instant,
        fingerprint: PromptFingerprint,
        death: &ServerDeath,
        state: BlameState,
    ) -> bool {
        let record = BlameRecord {
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
        let mut own = self.exposures.iter();
        own.any(|(_, exposure)| exposure.fingerprint == fingerprint && exposure.is_live())
            || self.peers.runs(fingerprint)
    }

    fn running_suspects(&self, now: Instant) -> Vec<SuspectRun> {
        if self.blames.is_empty() {
            return Vec::new();
        }
        let live = self.exposures.iter().filter(|(_, exposure)| {
            exposure.is_live() && self.is_suspect(now, exposure.fingerprint, None)
        });
        let mut running: Vec<_> = live
            .map(|(server, exposure)| SuspectRun {
                fingerprint: exposure.fingerprint,
                server: server.clone(),
            })
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
        if blames.is_empty() && running == self.told && !repeats {
            return;
        }
        self.told = running.clone();
        self.told_at = Some(now);
        effects.push(QuarantineEffect::Report(SuspicionReport {
            blames,
            running,
        }));
    }
}
