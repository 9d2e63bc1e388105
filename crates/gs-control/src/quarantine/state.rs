//! The state machine of the quarantine.

use std::collections::BTreeSet;
use std::time::{Duration, Instant};

use gs_protocol::ids::{AttemptId, EntryIdentity, EntryName, ServerName};
use gs_protocol::suspicion::{
    BlameRecord, BlameState, RequestFingerprint, ServerBoot, SuspectRun, SuspicionReport,
};

use super::attribution::select_blamed;
use super::blames::{BlameOrigin, BlameTable};
use super::liveness::{LivenessChange, LivenessTable};
use super::messages::{QuarantineDecision, QuarantineEffect, QuarantineEvent, RunEnd};
use super::peers::PeerTable;
use super::reservations::ReservationTable;
use super::runs::{RunPhase, RunTable};
use super::settings::QuarantineSettings;

/// Interval between two removals of expired records.
const EXPIRY_INTERVAL: Duration = Duration::from_millis(100);

/// Maximum time between two events while a request waits; a longer gap then means that the process
/// was paused.
const MAX_EVENT_GAP: Duration = Duration::from_millis(20);

/// Maximum number of suspect runs in one report.
const MAX_RUNS_PER_REPORT: usize = 256;

/// Decides where requests that may crash servers are allowed to run.
#[derive(Clone, Debug)]
pub struct QuarantineState {
    own_entry: EntryName,
    pub(super) settings: QuarantineSettings,
    pub(super) blames: BlameTable,
    pub(super) runs: RunTable,
    liveness: LivenessTable,
    pub(super) peers: PeerTable,
    reservations: ReservationTable,
    /// The end of the probation of each attempt that streams.
    probation_ends: BTreeSet<(Instant, AttemptId)>,
    /// The runs in the last report to peers, except reports that only acknowledge.
    reported_runs: Vec<SuspectRun>,
    reported_at: Option<Instant>,
    report_count: u64,
    /// When the previous event was handled.
    handled_at: Option<Instant>,
    /// Number of entries in the fleet besides this one.
    peer_count: usize,
    /// Whether a peer waits for this entry's acknowledgements.
    is_ack_requested: bool,
    next_expiry_at: Option<Instant>,
}

impl QuarantineState {
    /// Creates the state of an entry without suspects.
    pub fn new(own_entry: EntryName, settings: QuarantineSettings) -> Self {
        Self {
            own_entry,
            settings,
            blames: BlameTable::default(),
            runs: RunTable::default(),
            liveness: LivenessTable::default(),
            peers: PeerTable::default(),
            reservations: ReservationTable::default(),
            probation_ends: BTreeSet::new(),
            reported_runs: Vec::new(),
            reported_at: None,
            report_count: 0,
            handled_at: None,
            peer_count: 0,
            is_ack_requested: false,
            next_expiry_at: None,
        }
    }

    /// Handles an event and appends the resulting effects.
    pub fn handle(
        &mut self,
        now: Instant,
        event: QuarantineEvent,
        effects: &mut Vec<QuarantineEffect>,
    ) {
        self.detect_pause(now);
        self.end_probations(now);
        match event {
            QuarantineEvent::ServersReserved {
                fingerprint,
                servers,
            } => self.reservations.add(now, fingerprint, servers),
            QuarantineEvent::AttemptStarted {
                attempt,
                fingerprint,
                prefill,
                decode,
            } => self.record_start(attempt, fingerprint, prefill, decode),
            QuarantineEvent::PrefillDone(attempt) => self.runs.start_decode(attempt),
            QuarantineEvent::FirstToken(attempt) => self.record_first_token(now, attempt),
            QuarantineEvent::AttemptEnded { attempt, end } => {
                self.record_end(now, attempt, &end, effects);
            }
            QuarantineEvent::LoadReported(reported) => {
                self.handle_load_report(now, &reported, effects);
            }
            QuarantineEvent::ServerDown(server) => {
                let death = self.liveness.last_boot(&server);
                self.liveness.mark_unverified(&server);
                self.runs.mark_all_lost(now, &death);
                self.attribute_death(now, &death, effects);
            }
            QuarantineEvent::PeerReported { peer, report } => {
                self.apply_peer_report(now, &peer, report);
            }
            QuarantineEvent::EntryCountChanged(entries) => {
                self.peer_count = entries.saturating_sub(1) as usize;
                // A new entry has no blames yet.
                self.blames.schedule_resend(now);
                self.reported_at = None;
            }
            QuarantineEvent::Tick => self.expire_old(now),
        }
        self.send_report(now, effects);
    }

    /// Decides where requests with a fingerprint may run.
    pub fn decide(&self, now: Instant, fingerprint: RequestFingerprint) -> QuarantineDecision {
        let count = self.blames.count(now, fingerprint, None, &self.settings);
        if count.proven >= self.settings.refusal_threshold {
            return QuarantineDecision::Refused;
        }
        if count.total() == 0 {
            return QuarantineDecision::Unrestricted;
        }
        let is_undecided = count.total() >= self.settings.refusal_threshold;
        if is_undecided || self.is_running(fingerprint) {
            return QuarantineDecision::Held;
        }
        let Some(held_since) = self.reservations.held_since(fingerprint) else {
            return QuarantineDecision::Isolated;
        };
        let age = now.saturating_duration_since(held_since);
        let has_peers = self.peer_count > 0;
        let is_unacknowledged =
            age < self.settings.ack_timeout && !self.is_acknowledged(fingerprint);
        match has_peers && (age < self.settings.min_hold || is_unacknowledged) {
            true => QuarantineDecision::Held,
            false => QuarantineDecision::Reserved,
        }
    }

    /// Returns whether all peers have acknowledged the reservation of a fingerprint.
    fn is_acknowledged(&self, fingerprint: RequestFingerprint) -> bool {
        let pending = self.reservations.pending_runs(fingerprint);
        self.peers.count_acknowledged(&pending) >= self.peer_count
    }

    /// Returns the servers that accept no further suspect: suspects run there or have reserved
    /// them, or the server may be dead.
    pub fn servers_closed_to_suspects(&self, now: Instant) -> BTreeSet<ServerName> {
        let own_servers = self.running_suspects(now).into_iter().map(|run| run.server);
        let other_servers = self
            .peers
            .suspect_servers()
            .chain(self.liveness.unverified());
        own_servers.chain(other_servers.cloned()).collect()
    }

    /// Counts the fingerprints that are restricted: isolated, reserved, held or refused.
    pub fn count_suspects(&self, now: Instant) -> usize {
        let decisions = self
            .blames
            .suspected()
            .map(|fingerprint| self.decide(now, fingerprint));
        decisions
            .filter(|decision| *decision != QuarantineDecision::Unrestricted)
            .count()
    }

    /// Counts the fingerprints with blames, including cleared ones.
    pub fn count_fingerprints(&self) -> usize {
        self.blames.len()
    }

    /// Restarts the holds of reservations after a pause of this process, during which it received
    /// no reports of peers.
    fn detect_pause(&mut self, now: Instant) {
        let last = self.handled_at.replace(now);
        if last.is_some_and(|last| now.saturating_duration_since(last) > MAX_EVENT_GAP) {
            self.reservations.restart_holds(now);
            self.peers.clear_acknowledgements();
            self.reported_at = None;
        }
    }

    fn record_start(
        &mut self,
        attempt: AttemptId,
        fingerprint: RequestFingerprint,
        prefill: Option<ServerName>,
        decode: ServerName,
    ) {
        let with_boot = |server: ServerName| {
            let boot = self.liveness.boot(&server);
            (server, boot)
        };
        self.reservations.remove(fingerprint);
        let prefill = prefill.map(with_boot);
        let decode = with_boot(decode);
        self.runs.add(attempt, fingerprint, prefill, decode);
    }

    /// Records that decoding has started, and schedules the end of the attempt's probation.
    fn record_first_token(&mut self, now: Instant, attempt: AttemptId) {
        self.runs.start_decode(attempt);
        let ends_at = now + self.settings.probation;
        self.probation_ends.insert((ends_at, attempt));
    }

    /// Ends the probations that are over, and clears their fingerprints.
    fn end_probations(&mut self, now: Instant) {
        while let Some((at, attempt)) = self.probation_ends.first().copied() {
            if at > now {
                return;
            }
            self.probation_ends.pop_first();
            if let Some(fingerprint) = self.runs.fingerprint(attempt) {
                self.runs.mark_stable(attempt);
                self.clear(now, fingerprint);
            }
        }
    }

    fn record_end(
        &mut self,
        now: Instant,
        attempt: AttemptId,
        end: &RunEnd,
        effects: &mut Vec<QuarantineEffect>,
    ) {
        match end {
            RunEnd::Completed => {
                let fingerprint = self.runs.fingerprint(attempt);
                self.runs.remove_attempt(attempt);
                if let Some(fingerprint) = fingerprint {
                    self.clear(now, fingerprint);
                }
            }
            RunEnd::Refused => self.runs.remove_attempt(attempt),
            RunEnd::PromptNotSent(server) => {
                self.runs.remove_attempt(attempt);
                self.liveness.mark_unverified(server);
            }
            RunEnd::ConnectionLost(server) => {
                self.handle_lost_connection(now, attempt, server, effects);
            }
            RunEnd::Abandoned => self.runs.record_abandoned(now, attempt),
        }
    }

    /// Clears a fingerprint that ran without a crash, unless it is already refused.
    fn clear(&mut self, now: Instant, fingerprint: RequestFingerprint) {
        let count = self.blames.count(now, fingerprint, None, &self.settings);
        if count.proven < self.settings.refusal_threshold {
            self.blames.clear(now, fingerprint, &self.settings);
        }
    }

    /// Records an attempt that lost its connection. If a later boot of the server is known, the
    /// death is proven and attributed at once; otherwise an attempt on probation may be blamed as
    /// suspected until the death is proven or disproven.
    fn handle_lost_connection(
        &mut self,
        now: Instant,
        attempt: AttemptId,
        server: &ServerName,
        effects: &mut Vec<QuarantineEffect>,
    ) {
        let Some(lost) = self.runs.record_lost(now, attempt, server) else {
            return;
        };
        let death = ServerBoot {
            server: server.clone(),
            boot: lost.boot,
        };
        if lost.boot != self.liveness.boot(server) {
            self.attribute_death(now, &death, effects);
            return;
        }
        self.liveness.mark_unverified(server);
        let peer_suspects = self.count_peer_suspects(now, &death);
        let blamed = select_blamed(&self.death_candidates(now, &death), peer_suspects);
        if lost.phase == RunPhase::Probation && blamed.contains(&lost.fingerprint) {
            self.merge_blame(
                now,
                attempt,
                lost.fingerprint,
                &death,
                BlameState::Suspected,
            );
        }
    }

    fn handle_load_report(
        &mut self,
        now: Instant,
        reported: &ServerBoot,
        effects: &mut Vec<QuarantineEffect>,
    ) {
        match self.liveness.apply_load_report(reported) {
            LivenessChange::Unchanged => {}
            LivenessChange::Verified => {
                self.runs.remove_ended(reported);
                self.blames.clear_death(now, reported, &self.settings);
            }
            LivenessChange::Died(death) => self.attribute_death(now, &death, effects),
        }
    }

    /// Applies a peer's report; its blames are merged even if it is repeated or out of order. A
    /// server whose death is newly blamed is unverified until further load reports.
    fn apply_peer_report(&mut self, now: Instant, peer: &EntryIdentity, report: SuspicionReport) {
        if self.peers.apply_report(now, &self.own_entry, peer, &report) {
            let running = &report.running;
            self.reservations
                .yield_to(&self.own_entry, &peer.entry, running);
            self.is_ack_requested |= report.requests_ack;
        }
        for blame in report.blames {
            let server = blame.death.server.clone();
            let is_blamed = blame.state != BlameState::Cleared;
            let changed = self
                .blames
                .merge(now, blame, BlameOrigin::Peer, &self.settings);
            if changed && is_blamed {
                self.liveness.mark_unverified(&server);
            }
        }
    }

    fn expire_old(&mut self, now: Instant) {
        if self.next_expiry_at.is_some_and(|at| now < at) {
            return;
        }
        self.next_expiry_at = Some(now + EXPIRY_INTERVAL);
        self.runs.expire_ended(now, self.settings.run_retention);
        self.peers.expire_old(now, self.settings.peer_timeout);
        self.reservations.expire_old(now, &self.settings);
        self.blames.expire_old(now, &self.settings);
    }

    pub(super) fn merge_blame(
        &mut self,
        now: Instant,
        attempt: AttemptId,
        fingerprint: RequestFingerprint,
        death: &ServerBoot,
        state: BlameState,
    ) -> bool {
        let record = BlameRecord {
            attempt,
            fingerprint,
            death: death.clone(),
            state,
        };
        self.blames
            .merge(now, record, BlameOrigin::Own, &self.settings)
    }

    pub(super) fn is_suspect(
        &self,
        now: Instant,
        fingerprint: RequestFingerprint,
        excluded_death: Option<&ServerBoot>,
    ) -> bool {
        let count = self
            .blames
            .count(now, fingerprint, excluded_death, &self.settings);
        count.total() > 0
    }

    /// Returns whether a run of this entry with the fingerprint may still crash its server, or a
    /// peer runs the fingerprint or has reserved servers for it.
    fn is_running(&self, fingerprint: RequestFingerprint) -> bool {
        let own_runs = self.runs.iter();
        let mut own_runs = own_runs.filter(|(_, run)| run.fingerprint == fingerprint);
        let has_own_run = self.runs.contains(fingerprint);
        (has_own_run && own_runs.any(|(_, run)| run.can_crash_server()))
            || self.peers.has_run(fingerprint)
    }

    /// Returns this entry's suspect runs for reports to peers: those that may still crash their
    /// server, and the pending runs of reservations.
    fn running_suspects(&self, now: Instant) -> Vec<SuspectRun> {
        let mut suspected = self.blames.suspected();
        if !suspected.any(|fingerprint| self.runs.contains(fingerprint)) {
            return self.reservations.iter().collect();
        }
        let live = self.runs.iter().filter(|(_, run)| {
            run.can_crash_server() && self.is_suspect(now, run.fingerprint, None)
        });
        let mut running: Vec<_> = live
            .map(|(server, run)| SuspectRun {
                fingerprint: run.fingerprint,
                server: server.clone(),
                has_started: true,
            })
            .chain(self.reservations.iter())
            .collect();
        running.sort();
        running.dedup();
        running
    }

    /// Sends a report to peers when something changed, when running suspects are due to be sent
    /// again, or when a peer waits for acknowledgements.
    fn send_report(&mut self, now: Instant, effects: &mut Vec<QuarantineEffect>) {
        let blames = self.blames.take_due_blames(now);
        let mut running = self.running_suspects(now);
        running.truncate(MAX_RUNS_PER_REPORT);
        let is_old = self
            .reported_at
            .is_none_or(|at| now.saturating_duration_since(at) >= self.settings.resend_interval);
        let is_resend_due = !running.is_empty() && is_old;
        let has_news = !blames.is_empty() || running != self.reported_runs || is_resend_due;
        let sends_acks = std::mem::take(&mut self.is_ack_requested);
        if !has_news && !sends_acks {
            return;
        }
        // A report that only acknowledges requests no acknowledgement; otherwise two entries would
        // answer each other endlessly.
        let mut reserved = self.reservations.fingerprints();
        let requests_ack =
            has_news && reserved.any(|fingerprint| !self.is_acknowledged(fingerprint));
        if has_news {
            self.reported_runs = running.clone();
            self.reported_at = Some(now);
        }
        self.report_count += 1;
        effects.push(QuarantineEffect::SendReport(SuspicionReport {
            number: self.report_count,
            blames,
            running,
            pending_runs: self.peers.pending_runs(),
            requests_ack,
        }));
    }
}
