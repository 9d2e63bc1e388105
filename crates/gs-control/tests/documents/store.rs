//! An object store with lost, delayed and refused calls. It records every head that was written.

use std::collections::BTreeMap;

use bytes::Bytes;
use gs_control::documents::{StoreCall, StoreCondition, StoreFault, StoreReply};
use gs_platform::memory::ObjectStore;
use gs_platform::{PlatformError, WriteCondition};
use gs_protocol::ids::SequenceNumber;
use gs_protocol::objects::{HeadRecord, head_key, history_key};

pub const TRIAL: &str = "trial";
pub const PRODUCTION: &str = "production";

/// How the store treats a call.
#[derive(Clone, Copy, Debug, PartialEq)]
pub enum CallOutcome {
    Answered,
    AnswerLost,
    CallLost,
    /// The answer is lost, and the call takes effect later.
    Delayed,
    Refused,
}

/// A head that came into force and the run that wrote it.
pub struct Commit {
    pub head: HeadRecord,
    pub run: usize,
}

/// The store, its delayed calls, and the heads that were written in each environment.
#[derive(Default)]
pub struct FaultyStore {
    store: ObjectStore,
    delayed: Vec<(usize, StoreCall)>,
    pub commits: BTreeMap<&'static str, Vec<Commit>>,
}

impl FaultyStore {
    pub fn call(&mut self, run: usize, call: &StoreCall, outcome: CallOutcome) -> StoreReply {
        match outcome {
            CallOutcome::Answered => return self.apply(run, call),
            CallOutcome::AnswerLost => drop(self.apply(run, call)),
            CallOutcome::Delayed => self.delayed.push((run, call.clone())),
            CallOutcome::CallLost => {}
            CallOutcome::Refused => return StoreReply::Failed(StoreFault::Refused),
        }
        StoreReply::Failed(StoreFault::Unsettled)
    }

    pub fn apply_delayed(&mut self, index: usize) {
        if !self.delayed.is_empty() {
            let (run, call) = self.delayed.remove(index % self.delayed.len());
            self.apply(run, &call);
        }
    }

    pub fn apply_all_delayed(&mut self) {
        while !self.delayed.is_empty() {
            self.apply_delayed(0);
        }
    }

    pub fn head(&self, environment: &str) -> Option<HeadRecord> {
        self.read_head(&head_key(environment))
    }

    pub fn commits(&self, environment: &str) -> &[Commit] {
        self.commits.get(environment).map_or(&[], Vec::as_slice)
    }

    fn read_head(&self, key: &str) -> Option<HeadRecord> {
        let object = self.store.read(key)?;
        Some(serde_json::from_slice(&object.value).expect("a head record"))
    }

    fn apply(&mut self, run: usize, call: &StoreCall) -> StoreReply {
        match call {
            StoreCall::Read { key } => {
                let object = self.store.read(key);
                StoreReply::Read(object.map(|object| (object.version, object.value[..].into())))
            }
            StoreCall::Write {
                key,
                value,
                condition,
            } => {
                let condition = match condition {
                    StoreCondition::Absent => WriteCondition::Absent,
                    StoreCondition::Version(version) => WriteCondition::Version(*version),
                };
                let value = Bytes::copy_from_slice(value);
                match self.store.write(key, value, condition) {
                    Ok(_) => {
                        self.check_commit(run, key);
                        StoreReply::Written
                    }
                    Err(PlatformError::Conflict { .. }) => StoreReply::Conflict,
                    Err(error) => panic!("{error}"),
                }
            }
        }
    }

    /// Checks that a new head follows the previous one, was accepted in trial if it is in
    /// production, comes from an operation that has not run before, and that the history has a
    /// correct record of all earlier heads.
    fn check_commit(&mut self, run: usize, key: &str) {
        let Some(environment) = [TRIAL, PRODUCTION]
            .into_iter()
            .find(|environment| head_key(environment) == key)
        else {
            return;
        };
        let head = self.head(environment).expect("the head was written");
        let trial = self.commits(TRIAL);
        let proven = trial.iter().any(|commit| commit.head.digest == head.digest);
        assert!(environment == TRIAL || proven, "not proven: {head:?}");
        let commits = self.commits.entry(environment).or_default();
        let same_operation = |commit: &Commit| commit.head.operation == head.operation;
        assert!(!commits.iter().any(same_operation), "ran twice: {head:?}");
        assert_eq!(head.sequence, SequenceNumber(commits.len() as u64 + 1));
        let previous = commits.last().map(|commit| commit.head.digest.clone());
        assert_eq!(head.previous, previous);
        commits.push(Commit { head, run });
        self.check_history(environment);
    }

    fn check_history(&self, environment: &str) {
        let commits = self.commits(environment);
        for commit in &commits[..commits.len() - 1] {
            let key = history_key(environment, commit.head.sequence);
            assert_eq!(self.read_head(&key).as_ref(), Some(&commit.head));
        }
    }
}
