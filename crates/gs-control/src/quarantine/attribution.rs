//! Who is blamed for a death.

use gs_protocol::ids::AttemptId;
use gs_protocol::suspicion::PromptFingerprint;

use super::runs::{Exposure, ExposurePhase};

/// One attempt that ran on a server which has died.
#[derive(Clone, Copy, Debug)]
pub struct DeathWitness {
    /// The attempt.
    pub attempt: AttemptId,
    /// What ran.
    pub exposure: Exposure,
    /// Whether it was suspected before.
    pub is_suspect: bool,
}

/// The fingerprints that are blamed for a death: those that had not run for long if there are any, and among
/// these only the suspect if there is exactly one, be it a peer's.
pub fn blame(witnesses: &[DeathWitness], peer_suspects: usize) -> Vec<PromptFingerprint> {
    let given = witnesses
        .iter()
        .filter(|witness| witness.exposure.phase != ExposurePhase::Reserved);
    let fresh = given
        .clone()
        .filter(|witness| witness.exposure.phase == ExposurePhase::Fresh);
    let has_fresh = fresh.clone().next().is_some() || peer_suspects > 0;
    let mut pool: Vec<&DeathWitness> = match has_fresh {
        true => fresh.collect(),
        false => given.collect(),
    };
    let mut suspects: Vec<PromptFingerprint> = pool
        .iter()
        .filter(|witness| witness.is_suspect)
        .map(|witness| witness.exposure.fingerprint)
        .collect();
    suspects.sort_unstable();
    suspects.dedup();
    if suspects.len() + peer_suspects == 1 {
        pool.retain(|witness| witness.is_suspect);
    }
    let mut blamed: Vec<_> = pool
        .iter()
        .map(|witness| witness.exposure.fingerprint)
        .collect();
    blamed.sort_unstable();
    blamed.dedup();
    blamed
}
