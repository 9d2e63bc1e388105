//! A model of the backend service: it records which requests ran and which outcomes callers
//! received, and checks one against the other.

use std::collections::{BTreeMap, BTreeSet};

use gs_protocol::claims::{ClaimFingerprint, ClaimId, StoredAnswer};
use gs_protocol::ids::AttemptId;
use gs_protocol::refusal::{RefusalReason, RequestOutcome};

/// One attempt of a caller's request.
#[derive(Clone, Copy, Debug)]
pub struct RequestAttempt {
    pub id: ClaimId,
    pub fingerprint: ClaimFingerprint,
    /// Whether a request with the same fingerprint had run under the key when the attempt started.
    pub ran_before: bool,
}

/// The service with the records that the checks need.
#[derive(Default)]
pub struct ServiceModel {
    pub attempts: BTreeMap<AttemptId, RequestAttempt>,
    /// The attempt that ran under each key, with its fingerprint.
    runs: BTreeMap<ClaimId, (AttemptId, ClaimFingerprint)>,
    /// The outcome that was reported for each attempt; none for a grant or a replay.
    reported_outcomes: BTreeMap<AttemptId, Option<RequestOutcome>>,
    /// Attempts that were reported as not run.
    not_run: BTreeSet<AttemptId>,
}

impl ServiceModel {
    pub fn run_count(&self) -> usize {
        self.runs.len()
    }

    /// Records a new attempt.
    pub fn record_attempt(
        &mut self,
        attempt: AttemptId,
        id: ClaimId,
        fingerprint: ClaimFingerprint,
    ) {
        let ran_before = self
            .runs
            .get(&id)
            .is_some_and(|(_, ran)| *ran == fingerprint);
        self.attempts.insert(
            attempt,
            RequestAttempt {
                id,
                fingerprint,
                ran_before,
            },
        );
    }

    /// Runs a request. Fails if another ran under the same key, or if the attempt was reported as
    /// not run.
    pub fn run_request(&mut self, attempt: AttemptId) -> StoredAnswer {
        let request = self.attempts[&attempt];
        let earlier = self.runs.insert(request.id, (attempt, request.fingerprint));
        assert!(
            earlier.is_none(),
            "{attempt} ran after {earlier:?} had run under the same key"
        );
        assert!(
            !self.not_run.contains(&attempt),
            "{attempt} ran after it was reported as not run"
        );
        answer_for(attempt)
    }

    /// Records that an attempt was granted.
    pub fn record_grant(&mut self, attempt: AttemptId) {
        let earlier = self.reported_outcomes.insert(attempt, None);
        assert!(earlier.is_none(), "{attempt} was granted after {earlier:?}");
    }

    /// Records that a granted attempt was released: the service did not run it and must not run it
    /// later.
    pub fn record_release(&mut self, attempt: AttemptId) {
        self.not_run.insert(attempt);
    }

    /// Records a replay and checks that its answer is that of the run under the key.
    pub fn check_replay(&mut self, attempt: AttemptId, answer: &StoredAnswer) {
        let earlier = self.reported_outcomes.insert(attempt, None);
        assert!(
            earlier.is_none(),
            "{attempt} received a second reply after {earlier:?}"
        );
        let request = self.attempts[&attempt];
        let (ran, fingerprint) = self.runs[&request.id];
        assert_eq!(answer, &answer_for(ran));
        assert_eq!(
            fingerprint, request.fingerprint,
            "{attempt} received the answer to a request with another fingerprint"
        );
    }

    /// Records a refusal and checks that a refusal with outcome not-run is true. A refusal for the
    /// key alone must not hide an earlier run of the same request.
    pub fn check_refusal(
        &mut self,
        attempt: AttemptId,
        reason: RefusalReason,
        outcome: RequestOutcome,
    ) {
        let earlier = self.reported_outcomes.insert(attempt, Some(outcome));
        assert!(
            earlier.is_none(),
            "{attempt} received a second reply after {earlier:?}"
        );
        if outcome != RequestOutcome::NotRun {
            return;
        }
        let request = self.attempts[&attempt];
        let ran = self.runs.get(&request.id).map(|(ran, _)| *ran);
        assert_ne!(
            ran,
            Some(attempt),
            "{attempt} ran but was reported as not run, with {reason:?}"
        );
        let is_key_refusal = matches!(reason, RefusalReason::KeyReused | RefusalReason::KeyInvalid);
        assert!(
            !(is_key_refusal && request.ran_before),
            "{attempt} was refused with {reason:?} although the same request ran earlier"
        );
        self.not_run.insert(attempt);
    }

    /// Whether the attempt was granted, replayed or refused.
    pub fn is_answered(&self, attempt: AttemptId) -> bool {
        self.reported_outcomes.contains_key(&attempt)
    }
}

/// Returns the answer that the service gives when it runs this attempt.
fn answer_for(attempt: AttemptId) -> StoredAnswer {
    let body = attempt.0.as_bytes().to_vec();
    StoredAnswer {
        status: 200,
        content_type: "application/json".to_owned(),
        body,
    }
}
