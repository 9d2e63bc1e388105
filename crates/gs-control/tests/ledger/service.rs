//! The backend service as the checker sees it: what really ran, and what callers were told.

use std::collections::{BTreeMap, BTreeSet};

use gs_protocol::claims::{ClaimFingerprint, ClaimId, KeptAnswer};
use gs_protocol::ids::AttemptId;
use gs_protocol::refusal::{RefusalReason, RequestOutcome};

/// A caller's try.
#[derive(Clone, Copy, Debug)]
pub struct RequestTry {
    pub id: ClaimId,
    pub fingerprint: ClaimFingerprint,
    /// Whether this body had run under the key when the try was made.
    pub ran_before: bool,
}

/// The service and its records.
#[derive(Default)]
pub struct ServiceRecord {
    pub tries: BTreeMap<AttemptId, RequestTry>,
    ran: BTreeMap<ClaimId, (AttemptId, ClaimFingerprint)>,
    told: BTreeMap<AttemptId, Option<RequestOutcome>>,
    not_run: BTreeSet<AttemptId>,
}

impl ServiceRecord {
    pub fn runs(&self) -> usize {
        self.ran.len()
    }

    /// Notes a try.
    pub fn begin(&mut self, attempt: AttemptId, id: ClaimId, fingerprint: ClaimFingerprint) {
        let ran_before = self
            .ran
            .get(&id)
            .is_some_and(|(_, ran)| *ran == fingerprint);
        self.tries.insert(
            attempt,
            RequestTry {
                id,
                fingerprint,
                ran_before,
            },
        );
    }

    /// Runs a request: under one key this must happen once.
    pub fn run(&mut self, attempt: AttemptId) -> KeptAnswer {
        let request = self.tries[&attempt];
        let earlier = self.ran.insert(request.id, (attempt, request.fingerprint));
        assert!(
            earlier.is_none(),
            "{earlier:?} ran, and then {attempt} under the same key"
        );
        assert!(
            !self.not_run.contains(&attempt),
            "{attempt} ran after it was told not-run"
        );
        answer_of(attempt)
    }

    /// Notes that a try was granted.
    pub fn granted(&mut self, attempt: AttemptId) {
        let earlier = self.told.insert(attempt, None);
        assert!(earlier.is_none(), "{attempt} was granted after {earlier:?}");
    }

    /// Notes a refusal after the grant: the service said that it did not run the request.
    pub fn released(&mut self, attempt: AttemptId) {
        self.not_run.insert(attempt);
    }

    /// Notes a replay: it must be the answer of the run.
    pub fn replayed(&mut self, attempt: AttemptId, answer: &KeptAnswer) {
        let earlier = self.told.insert(attempt, None);
        assert!(earlier.is_none(), "{attempt} was answered twice");
        let request = self.tries[&attempt];
        let (ran, fingerprint) = self.ran[&request.id];
        assert_eq!(answer, &answer_of(ran));
        assert_eq!(
            fingerprint, request.fingerprint,
            "the answer is for another body"
        );
    }

    /// Notes a refusal: when it says not-run, that must be true.
    pub fn refused(&mut self, attempt: AttemptId, reason: RefusalReason, outcome: RequestOutcome) {
        let earlier = self.told.insert(attempt, Some(outcome));
        assert!(earlier.is_none(), "{attempt} was answered twice");
        if outcome != RequestOutcome::NotRun {
            return;
        }
        let request = self.tries[&attempt];
        let ran = self.ran.get(&request.id).map(|(ran, _)| *ran);
        assert_ne!(
            ran,
            Some(attempt),
            "{attempt} ran and was told not-run for {reason:?}"
        );
        let is_certain = matches!(reason, RefusalReason::KeyReused | RefusalReason::KeyInvalid);
        assert!(
            !(is_certain && request.ran_before),
            "{attempt}: {reason:?} hides an earlier run"
        );
        self.not_run.insert(attempt);
    }

    /// Whether the try has an answer.
    pub fn is_answered(&self, attempt: AttemptId) -> bool {
        self.told.contains_key(&attempt)
    }
}

fn answer_of(attempt: AttemptId) -> KeptAnswer {
    let body = attempt.0.as_bytes().to_vec();
    KeptAnswer {
        status: 200,
        content_type: "application/json".to_owned(),
        body,
    }
}
