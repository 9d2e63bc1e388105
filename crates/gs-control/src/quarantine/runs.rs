//! The runs of this entry's attempts on each server.

use std::collections::BTreeMap;
use std::time::{Duration, Instant};

use gs_protocol::ids::{AttemptId, ServerName};
use gs_protocol::suspicion::{RequestFingerprint, ServerBoot};

/// The progress of an attempt on one server.
#[derive(Clone, Copy, Debug, Eq, Ord, PartialEq, PartialOrd)]
pub enum RunPhase {
    /// The server has not received the prompt yet.
    Pending,
    /// The server processes the prompt, which may still crash it.
    Probation,
    /// The server has streamed the answer for `QuarantineSettings::probation` without a crash.
    Stable,
}

/// The run of one attempt on one server.
#[derive(Clone, Copy, Debug)]
pub struct AttemptRun {
    /// The fingerprint of the request.
    pub fingerprint: RequestFingerprint,
    /// The number of the server's boot that runs it; 0 if the server had not sent a load report.
    pub boot: u64,
    /// The progress on the server.
    pub phase: RunPhase,
    /// How the run ended, if the server did not report its end.
    pub unreported_end: Option<UnreportedEnd>,
    /// Whether the fingerprint was a suspect when the blame for the server's death was decided;
    /// none before that.
    pub was_suspect: Option<bool>,
}

/// The end of a run that the server did not report.
#[derive(Clone, Copy, Debug)]
pub struct UnreportedEnd {
    /// When the run ended.
    pub ended_at: Instant,
    /// True if the connection broke or the server died. False if the attempt was abandoned, in
    /// which case the server may still run it.
    pub connection_lost: bool,
}

impl AttemptRun {
    /// Returns whether the run may still crash its server.
    pub fn can_crash_server(&self) -> bool {
        let connection_lost = self.unreported_end.is_some_and(|end| end.connection_lost);
        !connection_lost && self.phase != RunPhase::Stable
    }
}

/// The servers of an attempt that has not ended.
#[derive(Clone, Debug)]
struct AttemptServers {
    fingerprint: RequestFingerprint,
    prefill: Option<ServerName>,
    decode: ServerName,
}

/// All current runs, and those that ended recently without the server's report.
#[derive(Clone, Debug, Default)]
pub struct RunTable {
    attempts: BTreeMap<AttemptId, AttemptServers>,
    runs_by_server: BTreeMap<ServerName, BTreeMap<AttemptId, AttemptRun>>,
    /// Number of runs of each fingerprint on all servers.
    run_counts: BTreeMap<RequestFingerprint, usize>,
}

impl RunTable {
    /// Adds an attempt with its servers and the numbers of their boots.
    pub fn add(
        &mut self,
        attempt: AttemptId,
        fingerprint: RequestFingerprint,
        prefill: Option<(ServerName, u64)>,
        decode: (ServerName, u64),
    ) {
        let run = |boot, phase| AttemptRun {
            fingerprint,
            boot,
            phase,
            unreported_end: None,
            was_suspect: None,
        };
        let phase = match prefill {
            Some(_) => RunPhase::Pending,
            None => RunPhase::Probation,
        };
        let assigned = AttemptServers {
            fingerprint,
            prefill: prefill.as_ref().map(|(server, _)| server.clone()),
            decode: decode.0.clone(),
        };
        self.attempts.insert(attempt, assigned);
        self.insert(attempt, decode.0, run(decode.1, phase));
        if let Some((server, boot)) = prefill {
            self.insert(attempt, server, run(boot, RunPhase::Probation));
        }
    }

    /// Returns the fingerprint of a running attempt's request.
    pub fn fingerprint(&self, attempt: AttemptId) -> Option<RequestFingerprint> {
        self.attempts
            .get(&attempt)
            .map(|assigned| assigned.fingerprint)
    }

    /// Removes an attempt's run on the prefill server and puts its run on the decode server on
    /// probation.
    pub fn start_decode(&mut self, attempt: AttemptId) {
        let Some(assigned) = self.attempts.get_mut(&attempt) else {
            return;
        };
        let prefill = assigned.prefill.take();
        let decode = assigned.decode.clone();
        if let Some(prefill) = prefill {
            self.remove(attempt, &prefill);
        }
        self.set_phase(attempt, &decode, RunPhase::Probation);
    }

    /// Marks an attempt's run on the decode server as stable.
    pub fn mark_stable(&mut self, attempt: AttemptId) {
        if let Some(assigned) = self.attempts.get(&attempt) {
            let decode = assigned.decode.clone();
            self.set_phase(attempt, &decode, RunPhase::Stable);
        }
    }

    /// Removes an attempt and its runs on all servers.
    pub fn remove_attempt(&mut self, attempt: AttemptId) {
        let Some(assigned) = self.attempts.remove(&attempt) else {
            return;
        };
        for server in assigned.prefill.iter().chain([&assigned.decode]) {
            self.remove(attempt, server);
        }
    }

    /// Ends an attempt whose connection to a server was lost. Keeps and returns its run on that
    /// server, unless the server had not received the prompt.
    pub fn record_lost(
        &mut self,
        now: Instant,
        attempt: AttemptId,
        server: &ServerName,
    ) -> Option<AttemptRun> {
        let run = self.get(attempt, server).copied();
        self.remove_attempt(attempt);
        let ended = run.filter(|run| run.phase != RunPhase::Pending)?;
        let lost = AttemptRun {
            unreported_end: Some(UnreportedEnd {
                ended_at: now,
                connection_lost: true,
            }),
            ..ended
        };
        self.insert(attempt, server.clone(), lost);
        Some(lost)
    }

    /// Ends an attempt but keeps its runs on all servers, which may still be in progress there.
    pub fn record_abandoned(&mut self, now: Instant, attempt: AttemptId) {
        let Some(assigned) = self.attempts.remove(&attempt) else {
            return;
        };
        for server in assigned.prefill.iter().chain([&assigned.decode]) {
            let runs = self.runs_by_server.get_mut(server);
            if let Some(run) = runs.and_then(|runs| runs.get_mut(&attempt)) {
                run.unreported_end = Some(UnreportedEnd {
                    ended_at: now,
                    connection_lost: false,
                });
            }
        }
    }

    /// Returns whether a fingerprint has a run on any server, current or ended.
    pub fn contains(&self, fingerprint: RequestFingerprint) -> bool {
        self.run_counts.contains_key(&fingerprint)
    }

    /// Iterates over the runs on one boot of a server.
    pub fn on_boot(
        &self,
        server_boot: &ServerBoot,
    ) -> impl Iterator<Item = (AttemptId, &AttemptRun)> {
        let runs = self
            .runs_by_server
            .get(&server_boot.server)
            .into_iter()
            .flatten();
        let runs = runs.map(|(attempt, run)| (*attempt, run));
        runs.filter(|(_, run)| run.boot == server_boot.boot)
    }

    /// Iterates over all runs with their servers.
    pub fn iter(&self) -> impl Iterator<Item = (&ServerName, &AttemptRun)> {
        self.runs_by_server
            .iter()
            .flat_map(|(server, runs)| runs.values().map(move |run| (server, run)))
    }

    /// Removes the ended runs on a boot that is verified to be alive.
    pub fn remove_ended(&mut self, server_boot: &ServerBoot) {
        self.retain_on(&server_boot.server, |run| {
            run.boot != server_boot.boot || run.unreported_end.is_none()
        });
    }

    /// Marks all current runs on a boot that has died as lost.
    pub fn mark_all_lost(&mut self, now: Instant, server_boot: &ServerBoot) {
        for run in self
            .on_boot_mut(server_boot)
            .filter(|run| run.unreported_end.is_none())
        {
            run.unreported_end = Some(UnreportedEnd {
                ended_at: now,
                connection_lost: true,
            });
        }
    }

    /// Iterates mutably over the runs on one boot of a server.
    pub fn on_boot_mut(
        &mut self,
        server_boot: &ServerBoot,
    ) -> impl Iterator<Item = &mut AttemptRun> {
        let runs = self.runs_by_server.get_mut(&server_boot.server).into_iter();
        let runs = runs.flat_map(BTreeMap::values_mut);
        runs.filter(|run| run.boot == server_boot.boot)
    }

    /// Removes the runs that ended at least `retention` ago.
    pub fn expire_ended(&mut self, now: Instant, retention: Duration) {
        let age = |end: UnreportedEnd| now.saturating_duration_since(end.ended_at);
        let servers: Vec<_> = self.runs_by_server.keys().cloned().collect();
        for server in servers {
            self.retain_on(&server, |run| {
                run.unreported_end.is_none_or(|end| age(end) < retention)
            });
        }
    }

    fn get(&self, attempt: AttemptId, server: &ServerName) -> Option<&AttemptRun> {
        self.runs_by_server.get(server)?.get(&attempt)
    }

    fn insert(&mut self, attempt: AttemptId, server: ServerName, run: AttemptRun) {
        let runs = self.runs_by_server.entry(server).or_default();
        if runs.insert(attempt, run).is_none() {
            *self.run_counts.entry(run.fingerprint).or_default() += 1;
        }
    }

    fn set_phase(&mut self, attempt: AttemptId, server: &ServerName, phase: RunPhase) {
        let runs = self.runs_by_server.get_mut(server);
        if let Some(run) = runs.and_then(|runs| runs.get_mut(&attempt)) {
            run.phase = phase.max(run.phase);
        }
    }

    fn remove(&mut self, attempt: AttemptId, server: &ServerName) {
        let Some(runs) = self.runs_by_server.get_mut(server) else {
            return;
        };
        let removed = runs.remove(&attempt);
        if runs.is_empty() {
            self.runs_by_server.remove(server);
        }
        if let Some(run) = removed {
            decrement_count(&mut self.run_counts, run.fingerprint);
        }
    }

    fn retain_on(&mut self, server: &ServerName, predicate: impl Fn(&AttemptRun) -> bool) {
        let Some(runs) = self.runs_by_server.get_mut(server) else {
            return;
        };
        runs.retain(|_, run| {
            let is_kept = predicate(run);
            if !is_kept {
                decrement_count(&mut self.run_counts, run.fingerprint);
            }
            is_kept
        });
        if runs.is_empty() {
            self.runs_by_server.remove(server);
        }
    }
}

fn decrement_count(
    counts: &mut BTreeMap<RequestFingerprint, usize>,
    fingerprint: RequestFingerprint,
) {
    let Some(count) = counts.get_mut(&fingerprint) else {
        return;
    };
    *count -= 1;
    if *count == 0 {
        counts.remove(&fingerprint);
    }
}
