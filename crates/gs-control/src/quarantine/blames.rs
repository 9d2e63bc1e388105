//! The deaths that attempts of each fingerprint are blamed for, in bounded memory.

use std::collections::{BTreeMap, BTreeSet};
use std::time::{Duration, Instant};

use gs_protocol::ids::AttemptId;
use gs_protocol::suspicion::{BlameRecord, BlameState, PromptFingerprint, ServerDeath};

use super::settings::QuarantineSettings;

/// Blames remembered at most for one fingerprint.
const MAX_BLAMES: usize = 32;

/// Blames sent at most in one report.
const MAX_REPORTED: usize = 512;

/// Where a blame was learned.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum BlameOrigin {
    /// This entry saw it and tells its peers.
    Own,
    /// A peer said so.
    Peer,
}

/// One attempt's part in a death.
#[derive(Clone, Debug)]
struct Blame {
    death: ServerDeath,
    state: BlameState,
    origin: BlameOrigin,
    raised_at: Instant,
}

impl Blame {
    fn record(
        &self,
        attempt: AttemptId,
        fingerprint: PromptFingerprint,
        state: BlameState,
    ) -> BlameRecord {
        BlameRecord {
            attempt,
            fingerprint,
            death: self.death.clone(),
            state,
        }
    }
}

/// One fingerprint.
#[derive(Clone, Debug)]
struct SuspectRecord {
    blames: BTreeMap<AttemptId, Blame>,
    changed_at: Instant,
    repeat_at: Option<Instant>,
    repeat: Duration,
}

impl SuspectRecord {
    /// Whether it is cleared of every death.
    fn is_cleared(&self) -> bool {
        let mut blames = self.blames.values();
        blames.all(|blame| blame.state == BlameState::Cleared)
    }

    /// Forgets a blame beyond the bound, a cleared one if there is any.
    fn bound_blames(&mut self) {
        if self.blames.len() <= MAX_BLAMES {
            return;
        }
        let mut cleared = self.blames.iter();
        let cleared = cleared.find(|(_, blame)| blame.state == BlameState::Cleared);
        let Some(attempt) = cleared.map(|(attempt, _)| *attempt) else {
            self.blames.pop_first();
            return;
        };
        self.blames.remove(&attempt);
    }
}

/// How many deaths a fingerprint is blamed for.
#[derive(Clone, Copy, Debug, Default, Eq, PartialEq)]
pub struct BlameCount {
    /// Deaths that may not have happened.
    pub suspected: usize,
    /// Deaths that did happen.
    pub proven: usize,
}

/// All fingerprints that are blamed or have been cleared lately.
#[derive(Clone, Debug, Default)]
pub struct BlameTable {
    records: BTreeMap<PromptFingerprint, SuspectRecord>,
    suspected: BTreeSet<PromptFingerprint>,
    ages: BTreeSet<(Instant, PromptFingerprint)>,
    repeats: BTreeSet<(Instant, PromptFingerprint)>,
}

impl BlameCount {
    /// Deaths, whether proven or not.
    pub fn total(&self) -> usize {
        self.suspected + self.proven
    }
}

impl BlameTable {
    /// How many fingerprints are remembered.
    pub fn len(&self) -> usize {
        self.records.len()
    }

    /// The fingerprints that are not cleared of every death.
    pub fn suspected(&self) -> impl Iterator<Item = PromptFingerprint> {
        self.suspected.iter().copied()
    }

    /// How many deaths a fingerprint is blamed for, but for one. What was not proven in time does not count.
    pub fn count(
        &self,
        now: Instant,
        fingerprint: PromptFingerprint,
        but: Option<&ServerDeath>,
        settings: &QuarantineSettings,
    ) -> BlameCount {
        let mut proven = BTreeSet::new();
        let mut suspected = BTreeSet::new();
        let blames = self.records.get(&fingerprint).into_iter();
        for blame in blames.flat_map(|record| record.blames.values()) {
            let age = now.saturating_duration_since(blame.raised_at);
            match blame.state {
                _ if Some(&blame.death) == but => {}
                BlameState::Proven => {
                    proven.insert(&blame.death);
                }
                BlameState::Suspected if age < settings.proof_within => {
                    suspected.insert(&blame.death);
                }
                BlameState::Cleared | BlameState::Suspected => {}
            }
        }
        BlameCount {
            suspected: suspected.difference(&proven).count(),
            proven: proven.len(),
        }
    }

    /// What is known of an attempt's part in a death.
    pub fn state(&self, fingerprint: PromptFingerprint, attempt: AttemptId) -> Option<BlameState> {
        let record = self.records.get(&fingerprint)?;
        record.blames.get(&attempt).map(|blame| blame.state)
    }

    /// Raises a blame to a state; returns whether that changed anything.
    pub fn raise(
        &mut self,
        now: Instant,
        blame: BlameRecord,
        origin: BlameOrigin,
        settings: &QuarantineSettings,
    ) -> bool {
        let fingerprint = blame.fingerprint;
        let record = self.records.entry(fingerprint);
        let record = record.or_insert_with(|| SuspectRecord {
            blames: BTreeMap::new(),
            changed_at: now,
            repeat_at: None,
            repeat: settings.repeat,
        });
        let known = record.blames.get(&blame.attempt);
        if known.is_some_and(|known| known.state >= blame.state) {
            return false;
        }
        let raised = Blame {
            death: blame.death,
            state: blame.state,
            origin,
            raised_at: now,
        };
        record.blames.insert(blame.attempt, raised);
        record.bound_blames();
        match record.is_cleared() {
            true => self.suspected.remove(&fingerprint),
            false => self.suspected.insert(fingerprint),
        };
        self.ages.remove(&(record.changed_at, fingerprint));
        record.changed_at = now;
        self.ages.insert((now, fingerprint));
        if origin == BlameOrigin::Own {
            if let Some(at) = record.repeat_at.replace(now) {
                self.repeats.remove(&(at, fingerprint));
            }
            record.repeat = settings.repeat;
            self.repeats.insert((now, fingerprint));
        }
        while self.records.len() > settings.capacity {
            self.forget_oldest();
        }
        true
    }

    /// Clears a fingerprint of every death it is blamed for.
    pub fn clear(
        &mut self,
        now: Instant,
        fingerprint: PromptFingerprint,
        settings: &QuarantineSettings,
    ) {
        self.clear_where(now, fingerprint, |_| true, settings);
    }

    /// Clears every fingerprint of a death that did not happen.
    pub fn clear_death(
        &mut self,
        now: Instant,
        death: &ServerDeath,
        settings: &QuarantineSettings,
    ) {
        for fingerprint in self.suspected.iter().copied().collect::<Vec<_>>() {
            self.clear_where(now, fingerprint, |blame| blame.death == *death, settings);
        }
    }

    fn clear_where(
        &mut self,
        now: Instant,
        fingerprint: PromptFingerprint,
        concerns: impl Fn(&Blame) -> bool,
        settings: &QuarantineSettings,
    ) {
        let blames = self.records.get(&fingerprint).into_iter();
        let blames = blames.flat_map(|record| &record.blames);
        let cleared: Vec<_> = blames
            .filter(|(_, blame)| concerns(blame))
            .map(|(attempt, blame)| blame.record(*attempt, fingerprint, BlameState::Cleared))
            .collect();
        for record in cleared {
            self.raise(now, record, BlameOrigin::Own, settings);
        }
    }

    /// Drops what has become too old.
    pub fn forget_old(&mut self, now: Instant, settings: &QuarantineSettings) {
        while let Some((at, _)) = self.ages.first() {
            if now.saturating_duration_since(*at) < settings.memory {
                return;
            }
            self.forget_oldest();
        }
    }

    /// Tells peers of everything again.
    pub fn repeat_all(&mut self, now: Instant) {
        let known = self.repeats.iter();
        self.repeats = known.map(|(_, fingerprint)| (now, *fingerprint)).collect();
        for (_, fingerprint) in &self.repeats {
            if let Some(record) = self.records.get_mut(fingerprint) {
                record.repeat_at = Some(now);
            }
        }
    }

    /// Takes the blames that are due to be told to peers.
    pub fn take_due(&mut self, now: Instant) -> Vec<BlameRecord> {
        let mut due = Vec::new();
        while let Some((at, fingerprint)) = self.repeats.first().copied() {
            if at > now || due.len() >= MAX_REPORTED {
                break;
            }
            self.repeats.pop_first();
            let Some(record) = self.records.get_mut(&fingerprint) else {
                continue;
            };
            let next = now + record.repeat;
            record.repeat *= 2;
            record.repeat_at = Some(next);
            self.repeats.insert((next, fingerprint));
            let own = record
                .blames
                .iter()
                .filter(|(_, blame)| blame.origin == BlameOrigin::Own);
            due.extend(
                own.map(|(attempt, blame)| blame.record(*attempt, fingerprint, blame.state)),
            );
        }
        due
    }

    fn forget_oldest(&mut self) {
        let Some((_, fingerprint)) = self.ages.pop_first() else {
            return;
        };
        self.suspected.remove(&fingerprint);
        let record = self.records.remove(&fingerprint);
        if let Some(at) = record.and_then(|record| record.repeat_at) {
            self.repeats.remove(&(at, fingerprint));
        }
    }
}
