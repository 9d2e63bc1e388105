//! The state machine of one operation that changes an environment's head.
//!
//! The head is replaced by one conditional write. Before that, the operation writes the history
//! record of the head that it replaces. A crash at any point therefore leaves no gap between
//! history and head, and each history record holds a head that was in force.
//!
//! A head write whose reply is lost is retried under the same precondition. Either it takes effect,
//! or the precondition no longer holds; then the record of its sequence number shows which
//! operation wrote the head.

use std::cmp::Ordering;
use std::sync::Arc;
use std::time::Duration;

use gs_document::digest_document;
use gs_protocol::ids::SequenceNumber;
use gs_protocol::objects::{HeadRecord, body_key, head_key, history_key, proof_key};
use gs_protocol::refusal::RequestOutcome;

use super::calls::{StoreCall, StoreCondition, StoreFault, StoreReply};
use super::outcome::{PromotionEnd, PromotionStep};
use super::plan::{PromotionAction, PromotionPlan};
use super::records::{StoredHead, StoredValue, decode_head, encode_head};

/// The stage of an operation, named by its current call.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
enum PromotionStage {
    /// Read the head before the change.
    ReadHead,
    /// Read the history record of the sequence number that this operation was to write.
    ReadWinner,
    /// Read the history record of the document to roll back to.
    ReadRollBackSource,
    /// Read the head of the environment that must have accepted the document.
    ReadTrialHead,
    /// Read the proof that the environment accepted the document earlier.
    ReadProof,
    /// Write the bytes of the document.
    WriteBody,
    /// Write the history record of the head that is replaced.
    WriteHistory,
    /// Write the proof that the replaced head's document was accepted.
    WriteProof,
    /// Write the new head.
    WriteHead,
    /// Read the head after a conflict.
    ReadConflictingHead,
}

/// The progress of one operation, with one call in progress at a time.
#[derive(Clone, Debug)]
pub struct PromotionState {
    plan: PromotionPlan,
    stage: PromotionStage,
    /// The environment's head as last read.
    current: Option<StoredHead>,
    /// The digest of the document; empty until a roll-back has read its source record.
    digest: String,
    /// Number of failed calls so far.
    failures: u32,
    /// Whether a head write whose reply was lost may have taken effect.
    may_have_written: bool,
}

impl PromotionState {
    /// Starts an operation and returns its first step.
    pub fn start(plan: PromotionPlan) -> (Self, PromotionStep) {
        let digest = match &plan.action {
            PromotionAction::Try { bytes } => digest_document(bytes),
            PromotionAction::Promote { digest, .. } => digest.clone(),
            PromotionAction::RollBack { .. } => String::new(),
        };
        let mut state = Self {
            plan,
            stage: PromotionStage::ReadHead,
            current: None,
            digest,
            failures: 0,
            may_have_written: false,
        };
        let step = state.enter(PromotionStage::ReadHead);
        (state, step)
    }

    /// Handles the reply to the current call and returns the next step.
    pub fn handle(&mut self, reply: StoreReply) -> PromotionStep {
        let next = match reply {
            StoreReply::Failed(fault) => return self.retry(fault),
            StoreReply::Read(value) => self.handle_read(&value),
            StoreReply::Written if self.stage == PromotionStage::WriteHead => {
                return self.accept();
            }
            StoreReply::Conflict if self.stage == PromotionStage::WriteHead => {
                Ok(self.enter(PromotionStage::ReadConflictingHead))
            }
            // On a conflict another operation has written the same bytes under this key.
            StoreReply::Written | StoreReply::Conflict => Ok(self.handle_written()),
        };
        next.unwrap_or_else(|fault| self.fail(fault))
    }

    /// Returns how the operation ends if it is abandoned during its current call.
    pub fn abandon(&self) -> PromotionEnd {
        let may_have_written = self.may_have_written || self.stage == PromotionStage::WriteHead;
        unavailable(may_have_written, StoreFault::Unsettled)
    }

    fn target_sequence(&self) -> SequenceNumber {
        self.plan.expected.next()
    }

    fn enter(&mut self, stage: PromotionStage) -> PromotionStep {
        self.stage = stage;
        self.call(Duration::ZERO)
    }

    fn call(&self, after: Duration) -> PromotionStep {
        match self.build_call() {
            Ok(call) => PromotionStep::Call { call, after },
            Err(fault) => PromotionStep::End(unavailable(self.may_have_written, fault)),
        }
    }

    fn build_call(&self) -> Result<StoreCall, StoreFault> {
        let environment = &self.plan.environment;
        let read = |key| Ok(StoreCall::Read { key });
        match self.stage {
            PromotionStage::ReadHead | PromotionStage::ReadConflictingHead => {
                read(head_key(environment))
            }
            PromotionStage::ReadWinner => read(history_key(environment, self.target_sequence())),
            PromotionStage::ReadRollBackSource => {
                read(history_key(environment, self.roll_back_sequence()))
            }
            PromotionStage::ReadTrialHead => read(head_key(self.trial_environment())),
            PromotionStage::ReadProof => read(proof_key(self.trial_environment(), &self.digest)),
            PromotionStage::WriteBody => {
                Ok(write_absent(body_key(&self.digest), self.document_bytes()))
            }
            PromotionStage::WriteHistory => {
                let replaced = self.replaced_head()?;
                let key = history_key(environment, replaced.sequence);
                Ok(write_absent(key, encode_head(replaced)?))
            }
            PromotionStage::WriteProof => {
                let replaced = self.replaced_head()?;
                let key = proof_key(environment, &replaced.digest);
                Ok(write_absent(key, encode_head(replaced)?))
            }
            PromotionStage::WriteHead => Ok(StoreCall::Write {
                key: head_key(environment),
                value: encode_head(&self.new_head())?,
                condition: match &self.current {
                    Some(current) => StoreCondition::Version(current.version),
                    None => StoreCondition::Absent,
                },
            }),
        }
    }

    fn handle_read(&mut self, value: &StoredValue) -> Result<PromotionStep, StoreFault> {
        let stored = decode_head(value)?;
        match self.stage {
            PromotionStage::ReadHead => Ok(self.handle_head(stored)),
            PromotionStage::ReadConflictingHead => self.handle_conflicting_head(stored),
            PromotionStage::ReadWinner => {
                let winner = stored.ok_or(StoreFault::Malformed)?;
                Ok(self.evaluate_winner(winner.head))
            }
            PromotionStage::ReadRollBackSource => Ok(match stored {
                Some(source) => self.start_writes(source.head.digest),
                None => PromotionStep::End(PromotionEnd::NoSuchSequence),
            }),
            PromotionStage::ReadTrialHead => Ok(match stored {
                Some(trial) if trial.head.digest == self.digest => {
                    self.start_writes(trial.head.digest)
                }
                _ => self.enter(PromotionStage::ReadProof),
            }),
            PromotionStage::ReadProof => Ok(match stored {
                Some(proof) => self.start_writes(proof.head.digest),
                None => PromotionStep::End(PromotionEnd::NotProven),
            }),
            _ => Err(StoreFault::Malformed),
        }
    }

    /// Compares the head with the expected sequence number: starts the change, finds the operation
    /// that wrote the target sequence number, or ends the operation.
    fn handle_head(&mut self, stored: Option<StoredHead>) -> PromotionStep {
        let sequence = sequence_of(stored.as_ref());
        self.current = stored;
        match sequence.cmp(&self.plan.expected) {
            Ordering::Less => PromotionStep::End(PromotionEnd::NotReached {
                head: self.current.take().map(|current| current.head),
            }),
            Ordering::Greater => self.find_winner(),
            Ordering::Equal => self.start_change(),
        }
    }

    /// Handles the head that was read after a conflict. The conflict shows that the expected head
    /// was replaced, so a head that is not newer is malformed.
    fn handle_conflicting_head(
        &mut self,
        stored: Option<StoredHead>,
    ) -> Result<PromotionStep, StoreFault> {
        if sequence_of(stored.as_ref()) <= self.plan.expected {
            return Err(StoreFault::Malformed);
        }
        self.current = stored;
        Ok(self.find_winner())
    }

    /// Finds the head that was written with the target sequence number: the current one or one in
    /// the history.
    fn find_winner(&mut self) -> PromotionStep {
        match &self.current {
            Some(current) if current.head.sequence == self.target_sequence() => {
                let winner = current.head.clone();
                self.evaluate_winner(winner)
            }
            _ => self.enter(PromotionStage::ReadWinner),
        }
    }

    /// Ends the operation: accepted if it wrote the winning head, otherwise overtaken or reused.
    fn evaluate_winner(&mut self, winner: HeadRecord) -> PromotionStep {
        let end = match &self.current {
            _ if winner.operation == self.plan.operation && self.matches_plan(&winner) => {
                PromotionEnd::Accepted {
                    head: winner,
                    repeated: !self.may_have_written,
                }
            }
            _ if winner.operation == self.plan.operation => {
                PromotionEnd::OperationReused { head: winner }
            }
            Some(current) => PromotionEnd::Overtaken {
                winner,
                head: current.head.clone(),
            },
            None => unavailable(self.may_have_written, StoreFault::Malformed),
        };
        PromotionStep::End(end)
    }

    /// Returns whether a head is the one that this operation was to write.
    fn matches_plan(&self, head: &HeadRecord) -> bool {
        match &self.plan.action {
            PromotionAction::Try { .. } | PromotionAction::Promote { .. } => {
                head.digest == self.digest && !head.roll_back
            }
            PromotionAction::RollBack { .. } => head.roll_back,
        }
    }

    /// Starts the change of a head that has the expected sequence number. If this operation wrote
    /// that head, its ID was used for an earlier change.
    fn start_change(&mut self) -> PromotionStep {
        if let Some(current) = &self.current
            && current.head.operation == self.plan.operation
        {
            let head = current.head.clone();
            return PromotionStep::End(PromotionEnd::OperationReused { head });
        }
        match &self.plan.action {
            PromotionAction::Try { .. } => self.enter(PromotionStage::WriteBody),
            PromotionAction::Promote { .. } => self.enter(PromotionStage::ReadTrialHead),
            PromotionAction::RollBack { sequence } => self.start_roll_back(*sequence),
        }
    }

    fn start_roll_back(&mut self, sequence: SequenceNumber) -> PromotionStep {
        match &self.current {
            Some(current) if current.head.sequence == sequence => {
                let digest = current.head.digest.clone();
                self.start_writes(digest)
            }
            Some(current) if current.head.sequence > sequence => {
                self.enter(PromotionStage::ReadRollBackSource)
            }
            _ => PromotionStep::End(PromotionEnd::NoSuchSequence),
        }
    }

    /// Starts the writes, once the document is known and its acceptance is allowed.
    fn start_writes(&mut self, digest: String) -> PromotionStep {
        self.digest = digest;
        match self.current {
            Some(_) => self.enter(PromotionStage::WriteHistory),
            None => self.enter(PromotionStage::WriteHead),
        }
    }

    fn handle_written(&mut self) -> PromotionStep {
        match self.stage {
            PromotionStage::WriteBody => {
                let digest = self.digest.clone();
                self.start_writes(digest)
            }
            PromotionStage::WriteHistory if self.plan.writes_proofs => {
                self.enter(PromotionStage::WriteProof)
            }
            _ => self.enter(PromotionStage::WriteHead),
        }
    }

    fn accept(&self) -> PromotionStep {
        PromotionStep::End(PromotionEnd::Accepted {
            head: self.new_head(),
            repeated: false,
        })
    }

    /// Retries the current call after a backoff, unless its reply is malformed or `max_failures`
    /// calls have failed.
    fn retry(&mut self, fault: StoreFault) -> PromotionStep {
        if self.stage == PromotionStage::WriteHead && fault == StoreFault::Unsettled {
            self.may_have_written = true;
        }
        self.failures += 1;
        if fault == StoreFault::Malformed || self.failures >= self.plan.retry.max_failures {
            return self.fail(fault);
        }
        self.call(self.plan.retry.backoff.delay(self.failures))
    }

    fn fail(&self, fault: StoreFault) -> PromotionStep {
        PromotionStep::End(unavailable(self.may_have_written, fault))
    }

    fn new_head(&self) -> HeadRecord {
        let replaced = self.current.as_ref().map(|current| &current.head);
        let min_accepted_at_ms = replaced.map_or(0, |head| head.accepted_at_ms);
        HeadRecord {
            sequence: self.target_sequence(),
            digest: self.digest.clone(),
            previous: replaced.map(|head| head.digest.clone()),
            accepted_at_ms: self.plan.accepted_at_ms.max(min_accepted_at_ms),
            operator: self.plan.operator.clone(),
            operation: self.plan.operation,
            roll_back: matches!(self.plan.action, PromotionAction::RollBack { .. }),
        }
    }

    fn replaced_head(&self) -> Result<&HeadRecord, StoreFault> {
        let current = self.current.as_ref().ok_or(StoreFault::Malformed)?;
        Ok(&current.head)
    }

    fn document_bytes(&self) -> Arc<[u8]> {
        match &self.plan.action {
            PromotionAction::Try { bytes } => Arc::clone(bytes),
            _ => Arc::default(),
        }
    }

    fn trial_environment(&self) -> &str {
        match &self.plan.action {
            PromotionAction::Promote { trial, .. } => trial,
            _ => &self.plan.environment,
        }
    }

    fn roll_back_sequence(&self) -> SequenceNumber {
        match self.plan.action {
            PromotionAction::RollBack { sequence } => sequence,
            _ => self.plan.expected,
        }
    }
}

fn sequence_of(stored: Option<&StoredHead>) -> SequenceNumber {
    stored.map_or(SequenceNumber(0), |stored| stored.head.sequence)
}

fn write_absent(key: String, value: Arc<[u8]>) -> StoreCall {
    StoreCall::Write {
        key,
        value,
        condition: StoreCondition::Absent,
    }
}

fn unavailable(may_have_written: bool, fault: StoreFault) -> PromotionEnd {
    let outcome = match may_have_written {
        true => RequestOutcome::Unknown,
        false => RequestOutcome::NotRun,
    };
    PromotionEnd::Unavailable { outcome, fault }
}
