//! The deaths that the attempts of each fingerprint are blamed for, in bounded memory.

use std::collections::{BTreeMap, BTreeSet};
use std::time::{Duration, Instant};

use gs_protocol::ids::AttemptId;
use gs_protocol::suspicion::{BlameRecord, BlameState, RequestFingerprint, ServerBoot};

use super::settings::QuarantineSettings;

/// Maximum number of blames kept for one fingerprint.
const MAX_BLAMES_PER_FINGERPRINT: usize = 32;

/// Number of blames from which no further fingerprint is added to a report. The blames of one
/// fingerprint are not split, so a report can be longer.
const MAX_BLAMES_PER_REPORT: usize = 512;

/// The entry that raised a blame.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum BlameOrigin {
    /// This entry, which reports the blame to its peers.
    Own,
    /// A peer.
    Peer,
}

/// The blame of one attempt for a death.
#[derive(Clone, Debug)]
struct Blame {
    /// The server boot that died.
    death: ServerBoot,
    state: BlameState,
    origin: BlameOrigin,
    updated_at: Instant,
}

impl Blame {
    /// Returns the record of this blame with the given state, for reports and merges.
    fn to_record(
        &self,
        attempt: AttemptId,
        fingerprint: RequestFingerprint,
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

/// The blames of one fingerprint and the schedule for sending them to peers.
#[derive(Clone, Debug)]
struct SuspectRecord {
    blames: BTreeMap<AttemptId, Blame>,
    changed_at: Instant,
    /// When the blames are sent to peers next; none if this entry raised none of them.
    resend_at: Option<Instant>,
    resend_interval: Duration,
}

impl SuspectRecord {
    /// Returns whether the fingerprint is cleared of every death.
    fn is_cleared(&self) -> bool {
        let mut blames = self.blames.values();
        blames.all(|blame| blame.state == BlameState::Cleared)
    }

    /// Evicts one blame if there are more than `MAX_BLAMES_PER_FINGERPRINT`, preferably a cleared
    /// one.
    fn evict_excess_blame(&mut self) {
        if self.blames.len() <= MAX_BLAMES_PER_FINGERPRINT {
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

/// The number of deaths that a fingerprint is blamed for.
#[derive(Clone, Copy, Debug, Default, Eq, PartialEq)]
pub struct BlameCount {
    /// Deaths that are not proven: the server may be alive.
    pub suspected: usize,
    /// Deaths that are proven.
    pub proven: usize,
}

/// All fingerprints that are blamed or were recently cleared, with indexes by state, age and time
/// of the next report.
#[derive(Clone, Debug, Default)]
pub struct BlameTable {
    records: BTreeMap<RequestFingerprint, SuspectRecord>,
    suspected: BTreeSet<RequestFingerprint>,
    by_age: BTreeSet<(Instant, RequestFingerprint)>,
    resend_queue: BTreeSet<(Instant, RequestFingerprint)>,
}

impl BlameCount {
    /// Returns the number of deaths, proven or not.
    pub fn total(&self) -> usize {
        self.suspected + self.proven
    }
}

impl BlameTable {
    /// Returns the number of fingerprints with blames, including cleared ones.
    pub fn len(&self) -> usize {
        self.records.len()
    }

    /// Iterates over the fingerprints that are not cleared of every death.
    pub fn suspected(&self) -> impl Iterator<Item = RequestFingerprint> {
        self.suspected.iter().copied()
    }

    /// Iterates over the fingerprints that peers blame for a death.
    pub fn blamed_by_peers(&self, death: &ServerBoot) -> impl Iterator<Item = RequestFingerprint> {
        let is_blamed = move |blame: &Blame| {
            blame.origin == BlameOrigin::Peer
                && blame.state != BlameState::Cleared
                && blame.death == *death
        };
        self.suspected().filter(move |fingerprint| {
            let record = self.records.get(fingerprint);
            record.is_some_and(|record| record.blames.values().any(is_blamed))
        })
    }

    /// Counts the deaths that a fingerprint is blamed for, except `excluded_death`. Blames that are
    /// not proven within `proof_timeout` do not count.
    pub fn count(
        &self,
        now: Instant,
        fingerprint: RequestFingerprint,
        excluded_death: Option<&ServerBoot>,
        settings: &QuarantineSettings,
    ) -> BlameCount {
        let mut proven = BTreeSet::new();
        let mut suspected = BTreeSet::new();
        let blames = self.records.get(&fingerprint).into_iter();
        for blame in blames.flat_map(|record| record.blames.values()) {
            let age = now.saturating_duration_since(blame.updated_at);
            match blame.state {
                _ if Some(&blame.death) == excluded_death => {}
                BlameState::Proven => {
                    proven.insert(&blame.death);
                }
                BlameState::Suspected if age < settings.proof_timeout => {
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

    /// Returns the state of an attempt's blame.
    pub fn state(&self, fingerprint: RequestFingerprint, attempt: AttemptId) -> Option<BlameState> {
        let record = self.records.get(&fingerprint)?;
        record.blames.get(&attempt).map(|blame| blame.state)
    }

    /// Merges a blame by keeping the maximum of the known and the given state; returns whether that
    /// changed anything.
    pub fn merge(
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
            resend_at: None,
            resend_interval: settings.resend_interval,
        });
        let known = record.blames.get(&blame.attempt);
        if known.is_some_and(|known| known.state >= blame.state) {
            return false;
        }
        let updated = Blame {
            death: blame.death,
            state: blame.state,
            origin,
            updated_at: now,
        };
        record.blames.insert(blame.attempt, updated);
        record.evict_excess_blame();
        match record.is_cleared() {
            true => self.suspected.remove(&fingerprint),
            false => self.suspected.insert(fingerprint),
        };
        self.by_age.remove(&(record.changed_at, fingerprint));
        record.changed_at = now;
        self.by_age.insert((now, fingerprint));
        if origin == BlameOrigin::Own {
            if let Some(at) = record.resend_at.replace(now) {
                self.resend_queue.remove(&(at, fingerprint));
            }
            record.resend_interval = settings.resend_interval;
            self.resend_queue.insert((now, fingerprint));
        }
        while self.records.len() > settings.max_fingerprints {
            self.evict_oldest();
        }
        true
    }

    /// Clears a fingerprint of every death that it is blamed for.
    pub fn clear(
        &mut self,
        now: Instant,
        fingerprint: RequestFingerprint,
        settings: &QuarantineSettings,
    ) {
        self.clear_where(now, fingerprint, |_| true, settings);
    }

    /// Clears every fingerprint of a death that is disproven because the server is alive.
    pub fn clear_death(&mut self, now: Instant, death: &ServerBoot, settings: &QuarantineSettings) {
        for fingerprint in self.suspected.iter().copied().collect::<Vec<_>>() {
            self.clear_where(now, fingerprint, |blame| blame.death == *death, settings);
        }
    }

    fn clear_where(
        &mut self,
        now: Instant,
        fingerprint: RequestFingerprint,
        matches: impl Fn(&Blame) -> bool,
        settings: &QuarantineSettings,
    ) {
        let blames = self.records.get(&fingerprint).into_iter();
        let blames = blames.flat_map(|record| &record.blames);
        let cleared: Vec<_> = blames
            .filter(|(_, blame)| matches(blame))
            .map(|(attempt, blame)| blame.to_record(*attempt, fingerprint, BlameState::Cleared))
            .collect();
        for record in cleared {
            self.merge(now, record, BlameOrigin::Own, settings);
        }
    }

    /// Removes fingerprints whose last change is at least `blame_retention` old.
    pub fn expire_old(&mut self, now: Instant, settings: &QuarantineSettings) {
        while let Some((at, _)) = self.by_age.first() {
            if now.saturating_duration_since(*at) < settings.blame_retention {
                return;
            }
            self.evict_oldest();
        }
    }

    /// Schedules all of this entry's blames to be reported now.
    pub fn schedule_resend(&mut self, now: Instant) {
        let known = self.resend_queue.iter();
        self.resend_queue = known.map(|(_, fingerprint)| (now, *fingerprint)).collect();
        for (_, fingerprint) in &self.resend_queue {
            if let Some(record) = self.records.get_mut(fingerprint) {
                record.resend_at = Some(now);
            }
        }
    }

    /// Returns this entry's blames that are due to be reported to peers, and schedules their next
    /// report with a doubled interval.
    pub fn take_due_blames(&mut self, now: Instant) -> Vec<BlameRecord> {
        let mut due = Vec::new();
        while let Some((at, fingerprint)) = self.resend_queue.first().copied() {
            if at > now || due.len() >= MAX_BLAMES_PER_REPORT {
                break;
            }
            self.resend_queue.pop_first();
            let Some(record) = self.records.get_mut(&fingerprint) else {
                continue;
            };
            let next = now + record.resend_interval;
            record.resend_interval *= 2;
            record.resend_at = Some(next);
            self.resend_queue.insert((next, fingerprint));
            let own = record
                .blames
                .iter()
                .filter(|(_, blame)| blame.origin == BlameOrigin::Own);
            due.extend(
                own.map(|(attempt, blame)| blame.to_record(*attempt, fingerprint, blame.state)),
            );
        }
        due
    }

    /// Removes the fingerprint whose last change is the oldest.
    fn evict_oldest(&mut self) {
        let Some((_, fingerprint)) = self.by_age.pop_first() else {
            return;
        };
        self.suspected.remove(&fingerprint);
        let record = self.records.remove(&fingerprint);
        if let Some(at) = record.and_then(|record| record.resend_at) {
            self.resend_queue.remove(&(at, fingerprint));
        }
    }
}
