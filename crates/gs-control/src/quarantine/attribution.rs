//! Selects the fingerprints that are blamed for a server's death.

use gs_protocol::ids::AttemptId;
use gs_protocol::suspicion::RequestFingerprint;

use super::runs::{AttemptRun, RunPhase};

/// An attempt that ran on a server when it died.
#[derive(Clone, Copy, Debug)]
pub struct DeathCandidate {
    /// The attempt that ran.
    pub attempt: AttemptId,
    /// The state of its run on the server.
    pub run: AttemptRun,
    /// Whether its fingerprint was a suspect before the death.
    pub is_suspect: bool,
}

/// Returns the fingerprints to blame for a death, sorted and without duplicates.
///
/// Pending runs are not blamed. Stable runs are blamed only if no run was on probation and no peer
/// ran a suspect on the server; `peer_suspects` counts the suspects of peers there. If the blamable
/// runs and the peers together had exactly one suspect, that suspect alone is blamed; if it is a
/// peer's, the result is empty.
pub fn select_blamed(
    candidates: &[DeathCandidate],
    peer_suspects: usize,
) -> Vec<RequestFingerprint> {
    let received = candidates
        .iter()
        .filter(|candidate| candidate.run.phase != RunPhase::Pending);
    let on_probation = received
        .clone()
        .filter(|candidate| candidate.run.phase == RunPhase::Probation);
    let has_probation = on_probation.clone().next().is_some() || peer_suspects > 0;
    let mut blamable: Vec<&DeathCandidate> = match has_probation {
        true => on_probation.collect(),
        false => received.collect(),
    };
    let mut suspects: Vec<RequestFingerprint> = blamable
        .iter()
        .filter(|candidate| candidate.is_suspect)
        .map(|candidate| candidate.run.fingerprint)
        .collect();
    suspects.sort_unstable();
    suspects.dedup();
    if suspects.len() + peer_suspects == 1 {
        blamable.retain(|candidate| candidate.is_suspect);
    }
    let mut blamed: Vec<_> = blamable
        .iter()
        .map(|candidate| candidate.run.fingerprint)
        .collect();
    blamed.sort_unstable();
    blamed.dedup();
    blamed
}
