//! The deaths that each fingerprint is blamed for, in bounded memory.

use std::collections::{BTreeMap, BTreeSet};
use std::time::{Duration, Instant};

use gs_protocol::suspicion::{BlameRecord, BlameState, PromptFingerprint, ServerDeath};

use super::settings::QuarantineSettings;

/// Deaths remembered at most for one fingerprint.
const MAX_DEATHS: usize = 16;

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

/// One fingerprint's part in one death.
#[derive(Clone, Copy, Debug)]
struct Blame {
    state: BlameState,
    origin: BlameOrigin,
    raised_at: Instant,
}

/// One fingerprint.
#[derive(Clone, Debug)]
struct SuspectRecord {
    blames: BTreeMap<ServerDeath, Blame>,
    changed_at: Instant,
    repeat_at: Option<Instant>,
    repeat: Duration,
}

impl SuspectRecord {
    /// Forgets a death beyond the bound, a cleared one if there is any.
    fn bound_deaths(&mut self) {
        if self.blames.len() <= MAX_DEATHS {
            return;
        }
        let mut cleared = self.blames.iter();
        let cleared = cleared.find(|(_, blame)| blame.state == BlameState::Cleared);
        let Some(death) = cleared.map(|(death, _)| death.clone()) else {
            self.blames.pop_first();
            return;
        };
        self.blames.remove(&death);
    }
}

/// How many deaths a fingerprint is blamed for.
#[derive(Clone, Copy, Debug, Default, Eq, PartialEq)]
pub struct BlameCount {
    /// Deaths that may not have happened.
    pub suspected: usize,
    /// Deaths that did happen.
    pub proven: usize,
    /// When the last unproven one was raised.
    pub last_suspected: Option<Instant>,
}

/// All fingerprints that are blamed or have been cleared lately.
#[derive(Clone, Debug, Default)]
pub struct BlameTable {
    records: BTreeMap<PromptFingerprint, SuspectRecord>,
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
    /// Whether nothing is remembered.
    pub fn is_empty(&self) -> bool {
        self.records.is_empty()
    }

    /// How many fingerprints are remembered.
    pub fn len(&self) -> usize {
        self.records.len()
    }

    /// All fingerprints that are remembered.
    pub fn fingerprints(&self) -> impl Iterator<Item = PromptFingerprint> {
        self.records.keys().copied()
    }

    /// How many deaths a fingerprint is blamed for, but for one. What was not proven in time does not count.
    pub fn count(
        &self,
        now: Instant,
        fingerprint: PromptFingerprint,
        but: Option<&ServerDeath>,
        settings: &QuarantineSettings,
    ) -> BlameCount {
        let mut count = BlameCount::default();
        let Some(record) = self.records.get(&fingerprint) else {
            return count;
        };
        for (death, blame) in &record.blames {
            if Some(death) == but {
                continue;
            }
            let age = now.saturating_duration_since(blame.raised_at);
            match blame.state {
                BlameState::Suspected if age < settings.proof_within => {
                    count.suspected += 1;
                    count.last_suspected = count.last_suspected.max(Some(blame.raised_at));
                }
                BlameState::Proven => count.proven += 1,
                BlameState::Cleared | BlameState::Suspected => {}
            }
        }
        count
    }

    /// What is known of a fingerprint's part in a death.
    pub fn state(&self, fingerprint: PromptFingerprint, death: &ServerDeath) -> Option<BlameState> {
        let record = self.records.get(&fingerprint)?;
        record.blames.get(death).map(|blame| blame.state)
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
        let known = record.blames.get(&blame.death);
        if known.is_some_and(|known| known.state >= blame.state) {
            return false;
        }
        let raised = Blame {
            state: blame.state,
            origin,
            raised_at: now,
        };
        record.blames.insert(blame.death, raised);
        record.bound_deaths();
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
        let Some(record) = self.records.get(&fingerprint) else {
            return;
        };
        for death in record.blames.keys().cloned().collect::<Vec<_>>() {
            self.raise(now, cleared(fingerprint, death), BlameOrigin::Own, settings);
        }
    }

    /// Clears every fingerprint of a death that did not happen.
    pub fn clear_death(
        &mut self,
        now: Instant,
        death: &ServerDeath,
        settings: &QuarantineSettings,
    ) {
        let blamed = self.records.iter().filter(|(_, record)| {
            let blame = record.blames.get(death);
            blame.is_some_and(|blame| blame.state != BlameState::Cleared)
        });
        for fingerprint in blamed
            .map(|(fingerprint, _)| *fingerprint)
            .collect::<Vec<_>>()
        {
            let record = cleared(fingerprint, death.clone());
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
            due.extend(own.map(|(death, blame)| BlameRecord {
                fingerprint,
                death: death.clone(),
                state: blame.state,
            }));
        }
        due
    }

    fn forget_oldest(&mut self) {
        let Some((_, fingerprint)) = self.ages.pop_first() else {
            return;
        };
        let record = self.records.remove(&fingerprint);
        if let Some(at) = record.and_then(|record| record.repeat_at) {
            self.repeats.remove(&(at, fingerprint));
        }
    }
}

fn cleared(fingerprint: PromptFingerprint, death: ServerDeath) -> BlameRecord {
    BlameRecord {
        fingerprint,
        death,
        state: BlameState::Cleared,
    }
}
