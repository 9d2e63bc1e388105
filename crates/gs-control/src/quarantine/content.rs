//! Quarantine of content that crashes the servers that begin to answer it.
//!
//! The content of a request is what other requests may share with it: parts of its prompt, and the
//! request itself if its caller repeats it. When a server crashes, the content of the requests that it
//! had not begun to answer is suspected. The level of a suspicion counts crashes in a row: a request
//! raises the level that was known when it was sent by one, so that several servers that crash at the
//! same moment count once. Content is ordered from the most shared to the most specific. An answer to
//! any request with the content clears it. From
//! [`ContentSettings::refusal_level`] on, requests with the content are refused for a period that
//! grows with the level; then one entry tries a single one. Entries merge what they know by taking
//! the maximum, so that repeated, reordered and lost reports are harmless.

use std::collections::{BTreeMap, BTreeSet};
use std::time::{Duration, Instant};

use gs_protocol::ids::EntryName;
use gs_protocol::suspicion::{ContentHash, ServerBoot};
use serde::{Deserialize, Serialize};
use xxhash_rust::xxh3::xxh3_64_with_seed;

use super::content_settings::ContentSettings;
use super::contents::RequestContents;

/// What is known of content. Of two values the larger one is newer.
#[derive(Clone, Copy, Debug, Default, Deserialize, Eq, Ord, PartialEq, PartialOrd, Serialize)]
#[serde(from = "(u32, u8)", into = "(u32, u8)")]
pub struct Suspicion {
    /// How often the content has been cleared.
    pub clearances: u32,
    /// Crashes in a row since it was last cleared.
    pub level: u8,
}

impl From<(u32, u8)> for Suspicion {
    fn from((clearances, level): (u32, u8)) -> Self {
        Self { clearances, level }
    }
}

impl From<Suspicion> for (u32, u8) {
    fn from(suspicion: Suspicion) -> Self {
        (suspicion.clearances, suspicion.level)
    }
}

/// The suspicions that an entry reports to its peers.
pub type SuspicionDigest = Vec<(ContentHash, Suspicion)>;

/// A suspicion that this entry has raised or learned.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub struct SuspicionChange {
    /// The suspected or cleared content.
    pub content: ContentHash,
    /// What is known of it now.
    pub suspicion: Suspicion,
}

/// Whether a request may be sent to a server.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum ContentDecision {
    /// It may be sent.
    Allowed,
    /// Its content has crashed too many servers.
    Refused {
        /// The content that is refused.
        content: ContentHash,
        /// Time until the content is tried again.
        retry_after: Duration,
    },
}

/// Identifies a run of this entry.
pub type RunKey = u64;

/// Content of a request at a server, with what was known of it when the request was sent.
type KnownContent = (ContentHash, Suspicion);

/// A request of this entry at a server.
#[derive(Clone, Debug)]
struct ContentRun {
    shared_parts: Vec<KnownContent>,
    request: KnownContent,
    /// The payload, which is suspected for entries of earlier builds.
    payload: KnownContent,
    server: ServerBoot,
    answering_since: Option<Instant>,
    /// When the server stopped answering without having completed or rejected the request.
    lost_at: Option<Instant>,
}

impl ContentRun {
    /// Returns the content that is blamed for a crash, from the most shared to the most specific.
    fn by_specificity(&self) -> impl Iterator<Item = KnownContent> {
        let shared = self.shared_parts.iter().copied();
        shared.chain([self.request])
    }

    fn has_suspect(&self) -> bool {
        self.by_specificity().any(|(_, known)| known.level > 0)
    }
}

#[derive(Clone, Copy, Debug)]
pub(super) struct SuspicionRecord {
    pub(super) suspicion: Suspicion,
    /// The payload of a request that this entry has lost.
    pub(super) payload: Option<ContentHash>,
    pub(super) changed_at: Instant,
    report_until: Instant,
}

/// Content that servers have answered, in two generations so that the oldest is forgotten.
#[derive(Debug, Default)]
struct AnsweredContent {
    recent: BTreeSet<ContentHash>,
    older: BTreeSet<ContentHash>,
}

impl AnsweredContent {
    fn insert(&mut self, content: ContentHash, generation: usize) {
        if self.recent.len() >= generation {
            self.older = std::mem::take(&mut self.recent);
        }
        self.recent.insert(content);
    }

    fn contains(&self, content: &ContentHash) -> bool {
        self.recent.contains(content) || self.older.contains(content)
    }
}

/// Suspicions of this entry and its peers, and this entry's requests at servers.
#[derive(Debug)]
pub struct ContentQuarantine {
    pub(super) settings: ContentSettings,
    own_entry: EntryName,
    pub(super) records: BTreeMap<ContentHash, SuspicionRecord>,
    runs: BTreeMap<RunKey, ContentRun>,
    next_run: RunKey,
    answered: AnsweredContent,
    /// Server boots that have crashed recently.
    crashed: BTreeMap<ServerBoot, Instant>,
}

impl ContentQuarantine {
    /// Creates a quarantine that suspects nothing.
    pub fn new(settings: ContentSettings, own_entry: EntryName) -> Self {
        Self {
            settings,
            own_entry,
            records: BTreeMap::new(),
            runs: BTreeMap::new(),
            next_run: 0,
            answered: AnsweredContent::default(),
            crashed: BTreeMap::new(),
        }
    }

    /// Decides whether a request with the given content may be sent. `peers` are the other entries
    /// that serve clients; one entry of all tries content again whose refusal has ended.
    pub fn decide(
        &self,
        now: Instant,
        contents: &RequestContents,
        peers: impl Fn() -> Vec<EntryName>,
    ) -> ContentDecision {
        let shared = contents.shared_parts.iter();
        let shared = shared.filter_map(|part| Some((*part, self.refusing_record(*part)?)));
        let own = self.refusing_request(contents);
        for (content, record) in shared.chain(own.map(|record| (contents.request, record))) {
            let period = self.refusal_period(record.suspicion.level);
            let period = period.unwrap_or_default();
            let age = now.saturating_duration_since(record.changed_at);
            let is_tried = age >= period && self.tries_again(content, record, &peers());
            if !is_tried {
                return ContentDecision::Refused {
                    content,
                    retry_after: period.saturating_sub(age).max(self.settings.probation),
                };
            }
        }
        ContentDecision::Allowed
    }

    /// Returns the record of content whose level is high enough to refuse it at this entry.
    pub(super) fn refusing_record(&self, content: ContentHash) -> Option<&SuspicionRecord> {
        let record = self.records.get(&content)?;
        let min_level = match self.answered.contains(&content) {
            true => self.settings.sound_refusal_level,
            false => self.settings.refusal_level,
        };
        (record.suspicion.level >= min_level).then_some(record)
    }

    pub(super) fn is_refused(&self, record: &SuspicionRecord) -> bool {
        record.suspicion.level >= self.settings.refusal_level
    }

    /// Returns whether this entry may send a request with content whose refusal has ended: it is
    /// the one that tries this content, and has no such request at a server.
    fn tries_again(
        &self,
        content: ContentHash,
        record: &SuspicionRecord,
        peers: &[EntryName],
    ) -> bool {
        let seed = content.0 ^ u64::from(record.suspicion.level);
        let score = |entry: &EntryName| xxh3_64_with_seed(entry.as_str().as_bytes(), seed);
        let own_score = score(&self.own_entry);
        let is_chosen = peers.iter().all(|peer| score(peer) < own_score);
        let mut runs = self.runs.values();
        is_chosen && !runs.any(|run| run.by_specificity().any(|(known, _)| known == content))
    }

    /// Returns how long content is refused at a level; `None` if it is not.
    fn refusal_period(&self, level: u8) -> Option<Duration> {
        let settings = &self.settings;
        let excess = u32::from(level.checked_sub(settings.refusal_level)?);
        let factor = settings.refusal_growth.saturating_pow(excess);
        let period = settings.refusal_period.saturating_mul(factor);
        Some(period.min(settings.max_refusal_period))
    }

    /// Records that a request is sent to a server.
    pub fn start_run(&mut self, contents: &RequestContents, server: ServerBoot) -> RunKey {
        let key = self.next_run;
        self.next_run += 1;
        let known = |content| (content, self.suspicion(content));
        let run = ContentRun {
            shared_parts: contents.shared_parts.iter().copied().map(known).collect(),
            request: known(contents.request),
            payload: known(contents.payload),
            server,
            answering_since: None,
            lost_at: None,
        };
        self.runs.insert(key, run);
        key
    }

    /// Records that a server has sent a part of the answer to a request. Returns the content that
    /// this clears.
    pub fn record_output(&mut self, now: Instant, key: RunKey) -> Vec<SuspicionChange> {
        let Some(run) = self.runs.get_mut(&key) else {
            return Vec::new();
        };
        let since = *run.answering_since.get_or_insert(now);
        match now.saturating_duration_since(since) >= self.settings.probation {
            true => self.complete_run(now, key),
            false => Vec::new(),
        }
    }

    /// Records that a server has answered a request. Returns the content that this clears.
    pub fn complete_run(&mut self, now: Instant, key: RunKey) -> Vec<SuspicionChange> {
        let Some(run) = self.runs.remove(&key) else {
            return Vec::new();
        };
        let ((payload, _), (request, _)) = (run.payload, run.request);
        let keeps_payload = self.suspicion(payload).level >= self.settings.sound_refusal_level
            && self.has_refused_request(payload, request);
        let payload = (!keeps_payload).then_some(run.payload);
        let mut changes = Vec::new();
        for (content, _) in run.by_specificity().chain(payload) {
            self.answered.insert(content, self.settings.min_answered);
            let mut suspicion = self.suspicion(content);
            if suspicion.level > 0 {
                suspicion.clearances += 1;
                suspicion.level = 0;
                changes.extend(self.merge(now, content, suspicion));
            }
        }
        changes
    }

    /// Returns whether a request is still recorded, so that its server is not known to answer it.
    pub fn is_running(&self, key: RunKey) -> bool {
        self.runs.contains_key(&key)
    }

    /// Forgets a request that its server has rejected or only prepared.
    pub fn discard_run(&mut self, key: RunKey) {
        self.runs.remove(&key);
    }

    /// Records that a request was lost or given up at a server that has not answered it. Returns the
    /// content that is suspected if the server is known to have crashed.
    pub fn lose_run(&mut self, now: Instant, key: RunKey) -> Vec<SuspicionChange> {
        let Some(run) = self.runs.get_mut(&key) else {
            return Vec::new();
        };
        run.lost_at = Some(now);
        let server = run.server.clone();
        match self.crashed.contains_key(&server) {
            true => self.suspect_lost(now, &server),
            false => Vec::new(),
        }
    }

    /// Records that a boot of a server has ended by a crash. Returns the content that is suspected.
    pub fn record_crash(&mut self, now: Instant, server: &ServerBoot) -> Vec<SuspicionChange> {
        self.crashed.insert(server.clone(), now);
        self.suspect_lost(now, server)
    }

    /// Suspects the content of the requests that were lost at a server. If some of it was suspected
    /// before, only the requests that have it are blamed.
    fn suspect_lost(&mut self, now: Instant, server: &ServerBoot) -> Vec<SuspicionChange> {
        let is_lost = |run: &ContentRun| run.lost_at.is_some() && run.server == *server;
        let (lost, kept) = std::mem::take(&mut self.runs)
            .into_iter()
            .partition(|(_, run)| is_lost(run));
        self.runs = kept;
        let lost: BTreeMap<RunKey, ContentRun> = lost;
        let is_any_suspect = lost.values().any(ContentRun::has_suspect);
        let mut changes = Vec::new();
        for run in lost.into_values() {
            if !is_any_suspect || run.has_suspect() {
                changes.extend(self.suspect_contents(now, &run));
            }
        }
        changes
    }

    /// Raises the level of the content of a lost request. Only the most specific of the most
    /// suspected content can reach the level from which it is refused: sound requests that share
    /// the less specific content are still sent, and either clear it or raise its own level.
    fn suspect_contents(&mut self, now: Instant, run: &ContentRun) -> Vec<SuspicionChange> {
        let levels = run.by_specificity().enumerate();
        let most_suspected = levels.max_by_key(|(position, (_, known))| (known.level, *position));
        let most_suspected = most_suspected.map(|(position, _)| position);
        let max_shared_level = self.settings.refusal_level.saturating_sub(1);
        let raise = |(content, known): KnownContent, is_most_suspected: bool| {
            let raised = known.level.saturating_add(1);
            let level = match is_most_suspected {
                true => raised,
                false => raised.min(max_shared_level).max(known.level),
            };
            (content, Suspicion { level, ..known })
        };
        let contents = run.by_specificity().enumerate();
        let suspected =
            contents.map(|(position, known)| raise(known, Some(position) == most_suspected));
        // The payload rises with the request, which is the last content.
        let is_request_blamed = most_suspected == Some(run.shared_parts.len());
        let suspected: Vec<KnownContent> = suspected
            .chain([raise(run.payload, is_request_blamed)])
            .collect();
        let changes = suspected
            .into_iter()
            .filter_map(|(content, suspicion)| self.merge(now, content, suspicion))
            .collect();
        let (request, _) = run.request;
        if let Some(record) = self.records.get_mut(&request) {
            let (payload, _) = run.payload;
            record.payload = Some(payload);
        }
        changes
    }

    pub(super) fn suspicion(&self, content: ContentHash) -> Suspicion {
        let record = self.records.get(&content);
        record.map_or_else(Suspicion::default, |record| record.suspicion)
    }

    /// Returns the number of contents that are refused or tried again.
    pub fn count_refused(&self) -> usize {
        let levels = self.records.values().map(|record| record.suspicion.level);
        levels
            .filter(|level| *level >= self.settings.refusal_level)
            .count()
    }

    /// Keeps the maximum of the known and the given suspicion; returns it if it is new.
    pub(super) fn merge(
        &mut self,
        now: Instant,
        content: ContentHash,
        suspicion: Suspicion,
    ) -> Option<SuspicionChange> {
        if suspicion <= self.suspicion(content) {
            return None;
        }
        let record = SuspicionRecord {
            suspicion,
            payload: self.records.get(&content).and_then(|known| known.payload),
            changed_at: now,
            report_until: now + self.settings.report_period,
        };
        self.records.insert(content, record);
        if self.records.len() > self.settings.max_suspicions {
            let oldest = self.records.iter();
            let oldest =
                oldest.min_by_key(|(_, record)| (record.suspicion.level, record.changed_at));
            let oldest = oldest.map(|(content, _)| *content);
            oldest.map(|content| self.records.remove(&content));
        }
        Some(SuspicionChange { content, suspicion })
    }

    /// Returns the suspicions to report to peers, by content: those that changed recently and those
    /// of refused content.
    pub fn digest(&self, now: Instant) -> SuspicionDigest {
        let is_refused =
            |record: &SuspicionRecord| record.suspicion.level >= self.settings.refusal_level;
        let records = self.records.iter();
        let mut reported: Vec<_> = records
            .filter(|(_, record)| is_refused(record) || now < record.report_until)
            .collect();
        reported.sort_by_key(|(_, record)| (!is_refused(record), now - record.changed_at));
        reported.truncate(self.settings.max_reported);
        let pairs = reported.into_iter();
        let mut digest: SuspicionDigest = pairs
            .map(|(content, record)| (*content, record.suspicion))
            .collect();
        digest.sort_unstable();
        digest
    }

    /// Merges the report of a peer; returns what was new. What the peer has missed is reported
    /// again.
    pub fn apply_digest(&mut self, now: Instant, digest: SuspicionDigest) -> Vec<SuspicionChange> {
        let mut changes = Vec::new();
        for (content, suspicion) in digest {
            changes.extend(self.merge(now, content, suspicion));
            let report_until = now + self.settings.report_period;
            if let Some(record) = self.records.get_mut(&content)
                && record.suspicion > suspicion
            {
                record.report_until = report_until;
            }
        }
        let raised = changes.iter().filter(|change| change.suspicion.level > 0);
        let raised: Vec<ContentHash> = raised.map(|change| change.content).collect();
        for content in raised {
            changes.extend(self.refuse_payload(now, content));
        }
        changes
    }

    /// Forgets old suspicions, requests and crashes.
    pub fn expire_old(&mut self, now: Instant) {
        let age = |at: Instant| now.saturating_duration_since(at);
        let timeout = self.settings.proof_timeout;
        self.runs
            .retain(|_, run| run.lost_at.is_none_or(|at| age(at) < timeout));
        self.crashed.retain(|_, at| age(*at) < timeout);
        let mut records = std::mem::take(&mut self.records);
        records.retain(|_, record| {
            let refused = self.refusal_period(record.suspicion.level);
            age(record.changed_at) < self.settings.retention + refused.unwrap_or_default()
        });
        self.records = records;
    }
}
