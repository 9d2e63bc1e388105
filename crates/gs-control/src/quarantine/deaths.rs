//! Attributes the death of a server to the runs on it.

use std::collections::BTreeSet;
use std::time::Instant;

use gs_protocol::suspicion::{BlameState, ServerBoot};

use super::attribution::{DeathCandidate, select_blamed};
use super::messages::QuarantineEffect;
use super::state::QuarantineState;

impl QuarantineState {
    /// Blames runs on a boot that died, among those that ended without the server's report. Runs
    /// whose end is recorded later are handled by a later call.
    pub(super) fn attribute_death(
        &mut self,
        now: Instant,
        death: &ServerBoot,
        effects: &mut Vec<QuarantineEffect>,
    ) {
        let has_ended = |candidate: &DeathCandidate| candidate.run.unreported_end.is_some();
        let mut candidates = self.death_candidates(now, death);
        candidates.retain(has_ended);
        let blamed = select_blamed(&candidates, self.count_peer_suspects(now, death));
        let is_unattributed = |candidate: &&DeathCandidate| candidate.run.was_suspect.is_none();
        for candidate in candidates.iter().filter(is_unattributed) {
            let fingerprint = candidate.run.fingerprint;
            let attempt = candidate.attempt;
            let state = self.blames.state(fingerprint, attempt);
            let is_suspected = state == Some(BlameState::Suspected);
            if !blamed.contains(&fingerprint) {
                if is_suspected {
                    self.merge_blame(now, attempt, fingerprint, death, BlameState::Cleared);
                }
            } else if self.merge_blame(now, attempt, fingerprint, death, BlameState::Proven) {
                let death = death.clone();
                effects.push(QuarantineEffect::Blamed { fingerprint, death });
            }
        }
        self.record_suspects(&candidates, death);
    }

    /// Counts the suspects that peers ran on a boot when it died: those that they run there, and those
    /// that they blame for this death, whose runs have ended.
    pub(super) fn count_peer_suspects(&self, now: Instant, death: &ServerBoot) -> usize {
        let blamed = self.blames.blamed_by_peers(death);
        let blamed = blamed.filter(|suspect| self.is_suspect(now, *suspect, Some(death)));
        let suspects: BTreeSet<_> = blamed.chain(self.peers.started(&death.server)).collect();
        suspects.len()
    }

    /// Records which runs were suspects, so that later calls for the same death use the same
    /// suspects.
    fn record_suspects(&mut self, candidates: &[DeathCandidate], death: &ServerBoot) {
        let suspects: BTreeSet<_> = candidates
            .iter()
            .filter(|candidate| candidate.is_suspect)
            .map(|candidate| candidate.run.fingerprint)
            .collect();
        let runs = self.runs.on_boot_mut(death);
        for run in runs.filter(|run| run.unreported_end.is_some()) {
            run.was_suspect = Some(suspects.contains(&run.fingerprint));
        }
    }

    pub(super) fn death_candidates(&self, now: Instant, death: &ServerBoot) -> Vec<DeathCandidate> {
        let runs = self.runs.on_boot(death);
        runs.map(|(attempt, run)| DeathCandidate {
            attempt,
            run: *run,
            is_suspect: run
                .was_suspect
                .unwrap_or_else(|| self.is_suspect(now, run.fingerprint, Some(death))),
        })
        .collect()
    }
}
