//! Proof that the configuration in force is the newest one, so that removed API keys stop working in time.
//!
//! An entry that cannot prove that its configuration was the newest a short time ago refuses requests with API
//! keys. Each proof is dated by the start of the operation that gives it, and ages are differences of one
//! entry's own clock, so that no delay of a message makes a proof look younger than it is.

use std::collections::BTreeMap;
use std::net::SocketAddr;
use std::time::Duration;

use gs_protocol::ids::EntryName;
use serde::{Deserialize, Serialize};
use xxhash_rust::xxh3::xxh3_64;

/// Number of entries of a data centre that read the configuration exactly. One of them may fail.
const PROOF_READERS: usize = 2;

/// Reads and questions to peers in a revocation time.
const STEPS: u32 = 10;

/// Questions to peers in a revocation time while the proof is old.
const URGENT_STEPS: u32 = 25;

/// Maximum wait of a proof reader's watch, as a fraction of the revocation time. A proof is dated by the start of
/// the watch, so that each wait makes it older.
const WATCH_FRACTION: f64 = 0.05;

/// Age from which a proof counts as old, as a fraction of the revocation time. The usual age is below it.
const OLD_FRACTION: f64 = 0.3;

/// Least age at which an entry that is no proof reader reads exactly, as a fraction of the revocation time.
const READ_FRACTION: f64 = 0.4;

/// Fraction of the revocation time by which this age differs between entries.
const READ_SPREAD: f64 = 0.1;

/// Part of the revocation time by which keyed requests are refused earlier. It covers the way of a request to a
/// server and the difference between the rates of two clocks.
const REFUSE_MARGIN: u32 = 20;

/// Questions whose answers are still accepted. The start of a forgotten one would be too old to be of use.
const MAX_OPEN_ASKS: usize = 32;

/// Time that an entry waits for a newer configuration from the store before it reads it from a peer.
const FETCH_GRACE: Duration = Duration::from_millis(300);

/// Time since the boot of the machine, including the time for which it was suspended.
#[derive(Clone, Copy, Debug, Default, Eq, Ord, PartialEq, PartialOrd)]
pub struct BootTime(Duration);

impl BootTime {
    /// Creates the time from the duration since the boot.
    pub fn new(since_boot: Duration) -> Self {
        Self(since_boot)
    }

    /// Returns the time that has passed since an earlier moment; zero if the moment is later.
    pub fn since(self, earlier: Self) -> Duration {
        self.0.saturating_sub(earlier.0)
    }

    /// Returns the moment this much earlier; `None` if that is before the boot.
    pub fn checked_sub(self, age: Duration) -> Option<Self> {
        self.0.checked_sub(age).map(Self)
    }
}

impl std::ops::Add<Duration> for BootTime {
    type Output = Self;

    fn add(self, duration: Duration) -> Self {
        Self(self.0.saturating_add(duration))
    }
}

/// Times of the proof.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub struct CurrencySettings {
    /// Time after the removal of a key from which no request with it may be sent to a server.
    pub revoke_after: Duration,
}

impl CurrencySettings {
    /// Returns the age of the proof from which keyed requests are refused.
    pub fn refuse_age(&self) -> Duration {
        self.revoke_after - self.revoke_after / REFUSE_MARGIN
    }

    /// Returns the interval of the reads of a proof reader.
    pub fn read_interval(&self) -> Duration {
        self.revoke_after / STEPS
    }

    /// Returns the maximum wait of a proof reader's watch.
    pub fn watch_wait(&self) -> Duration {
        self.revoke_after.mul_f64(WATCH_FRACTION)
    }

    fn old_age(&self) -> Duration {
        self.revoke_after.mul_f64(OLD_FRACTION)
    }

    fn read_age(&self, random: f64) -> Duration {
        let fraction = READ_FRACTION + READ_SPREAD * random;
        self.revoke_after.mul_f64(fraction)
    }
}

/// Where a proof comes from.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum ProofSource {
    /// An exact read of the store by this entry.
    Store,
    /// The statement of a peer.
    Peer,
}

/// A moment at which the configuration in force was the newest one.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub struct CurrencyProof {
    /// The moment.
    pub moment: BootTime,
    /// Where the proof comes from.
    pub source: ProofSource,
}

/// Answer of an entry to the question how current its configuration is.
#[derive(Clone, Copy, Debug, Deserialize, Eq, PartialEq, Serialize)]
#[serde(from = "(u64, u64, Option<u64>)", into = "(u64, u64, Option<u64>)")]
pub struct CurrencyAnswer {
    /// Nonce of the question.
    pub nonce: u64,
    /// Version of the configuration in force at the answering entry.
    pub version: u64,
    /// Age of its proof, in microseconds; absent if it has none.
    pub age_us: Option<u64>,
}

impl From<(u64, u64, Option<u64>)> for CurrencyAnswer {
    fn from((nonce, version, age_us): (u64, u64, Option<u64>)) -> Self {
        Self {
            nonce,
            version,
            age_us,
        }
    }
}

impl From<CurrencyAnswer> for (u64, u64, Option<u64>) {
    fn from(answer: CurrencyAnswer) -> Self {
        (answer.nonce, answer.version, answer.age_us)
    }
}

/// What became of a peer's answer.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum AnswerUse {
    /// It answers no open question, or gives no proof.
    None,
    /// The proof was taken.
    Proof,
    /// The peer has a newer configuration, which must be read before the proof counts.
    NewerVersion,
}

/// Keyed service opens or closes.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum CurrencyChange {
    /// A proof has come.
    Opened(CurrencyProof),
    /// The proof, if there ever was one, has become too old.
    Closed(Option<CurrencyProof>),
}

/// A peer's statement on a newer configuration than the one in force here.
#[derive(Clone, Copy, Debug)]
struct PendingProof {
    version: u64,
    /// The moment that it proves; `None` if the peer has no proof itself.
    moment: Option<BootTime>,
    peer: SocketAddr,
    /// When this entry first heard of the version.
    heard: BootTime,
}

/// Keeps the latest moment for which the configuration in force was proved to be the newest.
#[derive(Clone, Debug)]
pub struct CurrencyTracker {
    settings: CurrencySettings,
    /// Version of the configuration in force.
    version: Option<u64>,
    /// Newest version that peers have in force, and when one was last heard to have it.
    reported: Option<(u64, BootTime)>,
    /// Whether the newest configuration in the store could not be read, so that its version is not known.
    is_unreadable: bool,
    proof: Option<CurrencyProof>,
    pending: Option<PendingProof>,
    /// Open questions: when each was sent, by its nonce.
    asks: BTreeMap<u64, BootTime>,
    /// Questions since the last answer that gave a proof.
    unanswered: u32,
    /// Age of the proof from which this entry reads exactly itself, and when it may do so next.
    read_age: Duration,
    next_read: BootTime,
    was_current: bool,
}

impl CurrencyTracker {
    /// Creates the tracker of an entry without a configuration; `random` is from 0 (inclusive) to 1 (exclusive).
    pub fn new(settings: CurrencySettings, random: f64) -> Self {
        Self {
            settings,
            version: None,
            reported: None,
            is_unreadable: false,
            proof: None,
            pending: None,
            asks: BTreeMap::new(),
            unanswered: 0,
            read_age: settings.read_age(random),
            next_read: BootTime::default(),
            was_current: false,
        }
    }

    /// Returns the settings.
    pub fn settings(&self) -> &CurrencySettings {
        &self.settings
    }

    /// Records that a configuration of this version, newer than the one before, is in force.
    pub fn record_version(&mut self, version: u64) {
        self.version = self.version.max(Some(version));
        self.is_unreadable = false;
        if let Some(pending) = self.pending.take_if(|pending| pending.version <= version)
            && let Some(moment) = pending.moment
        {
            self.take_proof(moment, ProofSource::Peer);
        }
    }

    /// Records the version of the configuration in force at a peer.
    pub fn record_reported(&mut self, now: BootTime, version: u64) {
        if self.reported.is_none_or(|(known, _)| known <= version) || !self.knows_newer(now) {
            self.reported = Some((version, now));
        }
    }

    /// Records that the store holds a configuration that cannot be read. Reads prove nothing until a list or a newer
    /// version has been read.
    pub fn record_unreadable(&mut self) {
        self.is_unreadable = true;
    }

    /// Records that the store's list is read again; what was unreadable before is then known.
    pub fn begin_list(&mut self) {
        self.is_unreadable = false;
    }

    /// Whether the list must be read again since an object of it could not be read.
    pub fn needs_list(&self) -> bool {
        self.is_unreadable
    }

    /// Whether a peer has lately had a newer configuration in force than this entry. The version of a peer that is
    /// not heard any more does not count for ever: the store may have lost it with all entries that had it.
    fn knows_newer(&self, now: BootTime) -> bool {
        self.reported.is_some_and(|(version, heard)| {
            Some(version) > self.version && now.since(heard) < self.settings.revoke_after
        })
    }

    fn take_proof(&mut self, moment: BootTime, source: ProofSource) {
        if self.proof.is_none_or(|proof| proof.moment < moment) {
            self.proof = Some(CurrencyProof { moment, source });
        }
    }

    /// Records an exact read of the store that began at `started` and whose result was applied; returns whether it
    /// is a proof. The store may have lost a version that is in force here, but not one that is in force elsewhere
    /// and unknown here.
    pub fn record_read(&mut self, now: BootTime, started: BootTime) -> bool {
        let is_proof = self.version.is_some() && !self.is_unreadable && !self.knows_newer(now);
        if is_proof {
            self.take_proof(started, ProofSource::Store);
        }
        is_proof
    }

    /// Records that this entry begins an exact read because its proof is old; `random` is from 0 (inclusive) to 1
    /// (exclusive).
    pub fn begin_read(&mut self, now: BootTime, random: f64) {
        self.next_read = now + self.settings.read_interval().mul_f64(1.0 + random);
        self.read_age = self.settings.read_age(random);
    }

    /// Whether an entry that is no proof reader must read exactly itself, for lack of a young proof.
    pub fn is_read_due(&self, now: BootTime) -> bool {
        let is_old = self.age(now).is_none_or(|age| age >= self.read_age);
        is_old && now >= self.next_read
    }

    /// Records that a question is sent to a peer.
    pub fn begin_ask(&mut self, now: BootTime, nonce: u64) {
        if self.asks.len() >= MAX_OPEN_ASKS
            && let Some((&oldest, _)) = self.asks.iter().min_by_key(|(_, sent)| **sent)
        {
            self.asks.remove(&oldest);
        }
        self.asks.insert(nonce, now);
        self.unanswered = self.unanswered.saturating_add(1);
    }

    /// Returns the answer to a peer's question; `None` if there is no configuration. The age of a proof that a peer
    /// has given is passed on as it is now, which is as sound as that of an own read.
    pub fn answer(&self, now: BootTime, nonce: u64) -> Option<CurrencyAnswer> {
        let age = self.age(now);
        Some(CurrencyAnswer {
            nonce,
            version: self.version?,
            age_us: age.map(|age| {
                // Rounded up: a proof must not seem younger than it is.
                u64::try_from(age.as_nanos().div_ceil(1_000)).unwrap_or(u64::MAX)
            }),
        })
    }

    /// Applies the answer of a peer at an address. The proved moment is the one at which the question was sent, less
    /// the age that the peer names.
    pub fn record_answer(
        &mut self,
        now: BootTime,
        peer: SocketAddr,
        answer: CurrencyAnswer,
    ) -> AnswerUse {
        let Some(sent) = self.asks.remove(&answer.nonce) else {
            return AnswerUse::None;
        };
        let age = answer.age_us.map(Duration::from_micros);
        // A proof from before this machine's boot cannot be dated.
        let moment = age.and_then(|age| sent.checked_sub(age));
        self.record_reported(now, answer.version);
        if Some(answer.version) > self.version {
            self.record_pending(now, peer, answer.version, moment);
            return AnswerUse::NewerVersion;
        }
        match moment.filter(|_| !self.knows_newer(now)) {
            Some(moment) => {
                if now.since(moment) < self.settings.old_age() {
                    self.unanswered = 0;
                }
                self.take_proof(moment, ProofSource::Peer);
                AnswerUse::Proof
            }
            None => AnswerUse::None,
        }
    }

    fn record_pending(
        &mut self,
        now: BootTime,
        peer: SocketAddr,
        version: u64,
        moment: Option<BootTime>,
    ) {
        let before = self.pending.filter(|pending| pending.version <= version);
        if self.pending.is_some() && before.is_none() {
            return;
        }
        let same = before.filter(|before| before.version == version);
        self.pending = Some(PendingProof {
            version,
            moment: moment.max(same.and_then(|same| same.moment)),
            peer,
            heard: before.map_or(now, |before| before.heard),
        });
    }

    /// Returns the peer from which to read a newer configuration that the store has not given in time. With an old
    /// proof, the store is not waited for.
    pub fn fetch_source(&self, now: BootTime) -> Option<SocketAddr> {
        let pending = self.pending?;
        let is_due = self.is_old(now) || now.since(pending.heard) >= FETCH_GRACE;
        is_due.then_some(pending.peer)
    }

    /// Returns the age of the proof; `None` if there is none.
    pub fn age(&self, now: BootTime) -> Option<Duration> {
        self.proof.map(|proof| now.since(proof.moment))
    }

    /// Returns the latest proof.
    pub fn proof(&self) -> Option<CurrencyProof> {
        self.proof
    }

    /// Whether keyed requests may be sent to servers.
    pub fn is_current(&self, now: BootTime) -> bool {
        let refuse_age = self.settings.refuse_age();
        self.age(now).is_some_and(|age| age < refuse_age)
    }

    /// Returns whether keyed service has opened or closed since the last call.
    pub fn observe(&mut self, now: BootTime) -> Option<CurrencyChange> {
        let is_current = self.is_current(now);
        let was_current = std::mem::replace(&mut self.was_current, is_current);
        match (was_current, is_current, self.proof) {
            (false, true, Some(proof)) => Some(CurrencyChange::Opened(proof)),
            (true, false, proof) => Some(CurrencyChange::Closed(proof)),
            _ => None,
        }
    }

    fn is_old(&self, now: BootTime) -> bool {
        let old_age = self.settings.old_age();
        self.age(now).is_none_or(|age| age >= old_age)
    }

    /// Returns the time until the next question to a peer.
    pub fn ask_interval(&self, now: BootTime) -> Duration {
        match self.is_old(now) {
            true => self.settings.revoke_after / URGENT_STEPS,
            false => self.settings.revoke_after / STEPS,
        }
    }

    /// Chooses which of the other entries of the data centre to ask, as an index. A proof reader asks only if its
    /// reads fail. While the proof is old, any other entry may have a younger one; `random` is from 0 (inclusive) to 1
    /// (exclusive).
    pub fn next_source(
        &self,
        now: BootTime,
        own: &EntryName,
        others: &[EntryName],
        random: f64,
    ) -> Option<usize> {
        let is_old = self.is_old(now);
        let readers = proof_readers(own, others);
        let is_reader = readers.contains(&own);
        if is_reader && !is_old {
            return None;
        }
        let asks_any = is_old && self.unanswered % 2 == 1;
        let is_source = |name: &EntryName| asks_any || readers.contains(&name);
        let mut sources: Vec<usize> = (0..others.len()).collect();
        sources.retain(|index| is_source(&others[*index]));
        let chosen = (random * sources.len() as f64) as usize;
        sources.get(chosen).copied()
    }
}

/// Whether an entry is one of the proof readers of its data centre, given the others there.
pub fn is_proof_reader(own: &EntryName, others: &[EntryName]) -> bool {
    proof_readers(own, others).contains(&own)
}

/// Returns the entries with the lowest name hashes. Entries with the same member list agree on them.
fn proof_readers<'a>(own: &'a EntryName, others: &'a [EntryName]) -> Vec<&'a EntryName> {
    let mut names: Vec<&EntryName> = others.iter().chain([own]).collect();
    names.sort_by_cached_key(|name| (xxh3_64(name.as_str().as_bytes()), (*name).clone()));
    names.truncate(PROOF_READERS);
    names
}
