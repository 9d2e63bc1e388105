//! One operation that changes an environment's head.
//!
//! The head is changed by one conditional write. Before that, the writer completes the history: it
//! writes the record of the head that it is about to replace. So history and head together never have
//! a gap, whoever crashes where, and a record only ever holds a head that was in force.
//!
//! A head write whose answer is lost is sent again under the same condition. Either it takes effect
//! now, or the condition no longer holds; then the record of its sequence number tells whose it is.

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

/// The stage whose call is open.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
enum PromotionStage {
    /// The head before the change.
    ReadHead,
    /// The record of the sequence number that this operation wanted.
    ReadTaken,
    /// The record whose document comes back.
    ReadSource,
    /// The head of the environment that must have accepted the document.
    ReadTrialHead,
    /// The proof that the environment accepted it earlier.
    ReadProof,
    /// The document's bytes.
    WriteBody,
    /// The record of the head that is replaced.
    WriteHistory,
    /// The proof that the replaced head's document was accepted.
    WriteProof,
    /// The new head.
    WriteHead,
    /// The head after a conflict.
    ReadBack,
}

/// One operation, step by step, with one call open at a time.
#[derive(Clone, Debug)]
pub struct PromotionState {
    plan: PromotionPlan,
    stage: PromotionStage,
    current: Option<StoredHead>,
    digest: String,
    failures: u32,
    may_be_written: bool,
}

impl PromotionState {
    /// Starts an operation; returns its first step.
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
            may_be_written: false,
        };
        let step = state.enter(PromotionStage::ReadHead);
        (state, step)
    }

    /// Takes the answer to the open call; returns the next step.
    pub fn handle(&mut self, reply: StoreReply) -> PromotionStep {
        let next = match reply {
            StoreReply::Failed(fault) => return self.retry(fault),
            StoreReply::Value(value) => self.take_value(&value),
            StoreReply::Written if self.stage == PromotionStage::WriteHead => {
                return self.accept();
            }
            StoreReply::Conflict if self.stage == PromotionStage::WriteHead => {
                Ok(self.enter(PromotionStage::ReadBack))
            }
            // Another operation has written the same bytes under this key.
            StoreReply::Written | StoreReply::Conflict => Ok(self.take_written()),
        };
        next.unwrap_or_else(|fault| self.give_up(fault))
    }

    /// How the operation ends if it is given up while its call is open.
    pub fn abandon(&self) -> PromotionEnd {
        let may_be_written = self.may_be_written || self.stage == PromotionStage::WriteHead;
        unavailable(may_be_written, StoreFault::Unsettled)
    }

    fn target(&self) -> SequenceNumber {
        self.plan.expected.next()
    }

    fn enter(&mut self, stage: PromotionStage) -> PromotionStep {
        self.stage = stage;
        self.call(Duration::ZERO)
    }

    fn call(&self, after: Duration) -> PromotionStep {
        match self.build_call() {
            Ok(call) => PromotionStep::Call { call, after },
            Err(fault) => PromotionStep::End(unavailable(self.may_be_written, fault)),
        }
    }

    fn build_call(&self) -> Result<StoreCall, StoreFault> {
        let environment = &self.plan.environment;
        let read = |key| Ok(StoreCall::Read { key });
        match self.stage {
            PromotionStage::ReadHead | PromotionStage::ReadBack => read(head_key(environment)),
            PromotionStage::ReadTaken => read(history_key(environment, self.target())),
            PromotionStage::ReadSource => read(history_key(environment, self.source_sequence())),
            PromotionStage::ReadTrialHead => read(head_key(self.trial())),
            PromotionStage::ReadProof => read(proof_key(self.trial(), &self.digest)),
            PromotionStage::WriteBody => Ok(write_absent(body_key(&self.digest), self.body())),
            PromotionStage::WriteHistory => {
                let replaced = self.replaced()?;
                let key = history_key(environment, replaced.sequence);
                Ok(write_absent(key, encode_head(replaced)?))
            }
            PromotionStage::WriteProof => {
                let replaced = self.replaced()?;
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

    fn take_value(&mut self, value: &StoredValue) -> Result<PromotionStep, StoreFault> {
        let stored = decode_head(value)?;
        match self.stage {
            PromotionStage::ReadHead => Ok(self.take_head(stored)),
            PromotionStage::ReadBack => self.take_back(stored),
            PromotionStage::ReadTaken => {
                let taken = stored.ok_or(StoreFault::Malformed)?;
                Ok(self.judge_taken(taken.head))
            }
            PromotionStage::ReadSource => Ok(match stored {
                Some(source) => self.prepare(source.head.digest),
                None => PromotionStep::End(PromotionEnd::NoSuchSequence),
            }),
            PromotionStage::ReadTrialHead => Ok(match stored {
                Some(trial) if trial.head.digest == self.digest => self.prepare(trial.head.digest),
                _ => self.enter(PromotionStage::ReadProof),
            }),
            PromotionStage::ReadProof => Ok(match stored {
                Some(proof) => self.prepare(proof.head.digest),
                None => PromotionStep::End(PromotionEnd::NotProven),
            }),
            _ => Err(StoreFault::Malformed),
        }
    }

    fn take_head(&mut self, stored: Option<StoredHead>) -> PromotionStep {
        let sequence = sequence_of(stored.as_ref());
        self.current = stored;
        match sequence.cmp(&self.plan.expected) {
            Ordering::Less => PromotionStep::End(PromotionEnd::NotReached {
                head: self.current.take().map(|current| current.head),
            }),
            Ordering::Greater => self.look_at_taken(),
            Ordering::Equal => self.begin_change(),
        }
    }

    fn take_back(&mut self, stored: Option<StoredHead>) -> Result<PromotionStep, StoreFault> {
        if sequence_of(stored.as_ref()) <= self.plan.expected {
            return Err(StoreFault::Malformed);
        }
        self.current = stored;
        Ok(self.look_at_taken())
    }

    /// Finds the head that has the wanted sequence number: the present one, or one of history.
    fn look_at_taken(&mut self) -> PromotionStep {
        match &self.current {
            Some(current) if current.head.sequence == self.target() => {
                let taken = current.head.clone();
                self.judge_taken(taken)
            }
            _ => self.enter(PromotionStage::ReadTaken),
        }
    }

    fn judge_taken(&mut self, taken: HeadRecord) -> PromotionStep {
        let end = match &self.current {
            _ if taken.operation == self.plan.operation && self.wants(&taken) => {
                PromotionEnd::Accepted {
                    head: taken,
                    repeated: !self.may_be_written,
                }
            }
            _ if taken.operation == self.plan.operation => {
                PromotionEnd::OperationReused { head: taken }
            }
            Some(current) => PromotionEnd::Overtaken {
                winner: taken,
                head: current.head.clone(),
            },
            None => unavailable(self.may_be_written, StoreFault::Malformed),
        };
        PromotionStep::End(end)
    }

    /// Whether a head is what this operation would have accepted.
    fn wants(&self, head: &HeadRecord) -> bool {
        match &self.plan.action {
            PromotionAction::Try { .. } | PromotionAction::Promote { .. } => {
                head.digest == self.digest && !head.roll_back
            }
            PromotionAction::RollBack { .. } => head.roll_back,
        }
    }

    fn begin_change(&mut self) -> PromotionStep {
        if let Some(current) = &self.current
            && current.head.operation == self.plan.operation
        {
            let head = current.head.clone();
            return PromotionStep::End(PromotionEnd::OperationReused { head });
        }
        match &self.plan.action {
            PromotionAction::Try { .. } => self.enter(PromotionStage::WriteBody),
            PromotionAction::Promote { .. } => self.enter(PromotionStage::ReadTrialHead),
            PromotionAction::RollBack { sequence } => self.begin_roll_back(*sequence),
        }
    }

    fn begin_roll_back(&mut self, sequence: SequenceNumber) -> PromotionStep {
        match &self.current {
            Some(current) if current.head.sequence == sequence => {
                let digest = current.head.digest.clone();
                self.prepare(digest)
            }
            Some(current) if current.head.sequence > sequence => {
                self.enter(PromotionStage::ReadSource)
            }
            _ => PromotionStep::End(PromotionEnd::NoSuchSequence),
        }
    }

    /// The document is known and allowed; what is left are the writes.
    fn prepare(&mut self, digest: String) -> PromotionStep {
        self.digest = digest;
        match self.current {
            Some(_) => self.enter(PromotionStage::WriteHistory),
            None => self.enter(PromotionStage::WriteHead),
        }
    }

    fn take_written(&mut self) -> PromotionStep {
        match self.stage {
            PromotionStage::WriteBody => {
                let digest = self.digest.clone();
                self.prepare(digest)
            }
            PromotionStage::WriteHistory if self.plan.proving => {
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

    fn retry(&mut self, fault: StoreFault) -> PromotionStep {
        if self.stage == PromotionStage::WriteHead && fault == StoreFault::Unsettled {
            self.may_be_written = true;
        }
        self.failures += 1;
        if fault == StoreFault::Malformed || self.failures >= self.plan.retry.tries {
            return self.give_up(fault);
        }
        self.call(self.plan.retry.backoff.pause(self.failures))
    }

    fn give_up(&self, fault: StoreFault) -> PromotionStep {
        PromotionStep::End(unavailable(self.may_be_written, fault))
    }

    fn new_head(&self) -> HeadRecord {
        let replaced = self.current.as_ref().map(|current| &current.head);
        let not_before = replaced.map_or(0, |head| head.accepted_at_ms);
        HeadRecord {
            sequence: self.target(),
            digest: self.digest.clone(),
            previous: replaced.map(|head| head.digest.clone()),
            accepted_at_ms: self.plan.accepted_at_ms.max(not_before),
            operator: self.plan.operator.clone(),
            operation: self.plan.operation,
            roll_back: matches!(self.plan.action, PromotionAction::RollBack { .. }),
        }
    }

    fn replaced(&self) -> Result<&HeadRecord, StoreFault> {
        let current = self.current.as_ref().ok_or(StoreFault::Malformed)?;
        Ok(&current.head)
    }

    fn body(&self) -> Arc<[u8]> {
        match &self.plan.action {
            PromotionAction::Try { bytes } => Arc::clone(bytes),
            _ => Arc::default(),
        }
    }

    fn trial(&self) -> &str {
        match &self.plan.action {
            PromotionAction::Promote { trial, .. } => trial,
            _ => &self.plan.environment,
        }
    }

    fn source_sequence(&self) -> SequenceNumber {
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

fn unavailable(may_be_written: bool, fault: StoreFault) -> PromotionEnd {
    let outcome = match may_be_written {
        true => RequestOutcome::Unknown,
        false => RequestOutcome::NotRun,
    };
    PromotionEnd::Unavailable { outcome, fault }
}
