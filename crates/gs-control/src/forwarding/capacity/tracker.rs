//! Merges the evidence of all entries into the speed of each server.

use std::collections::{BTreeMap, BTreeSet, HashMap};
use std::time::Instant;

use gs_protocol::ids::{EntryName, ServerName, ServiceName};
use xxhash_rust::xxh3::xxh3_64_with_seed;

use super::digest::{CapacityDigest, StartReport};
use super::effect::{LearnedEffect, MergedEvidence, agreed_slowness, class_of, learned_effect};
use super::estimate::{ServerEstimate, StartEvidence};
use super::samples::{LoadCurve, SampleKind, WorkSample};
use super::settings::CapacitySettings;
use crate::forwarding::directory::{ListedServer, ServerDirectory, ServerStage};

/// Seed of the hash that selects the decisions that ignore the estimates.
const PROBE_SEED: u64 = 0x7072_6f62;

/// A server whose learned speed or load has entered or left the usual range.
#[derive(Clone, Debug, PartialEq)]
pub struct CapacityChange {
    /// The server.
    pub server: ServerName,
    /// Speed relative to the median of its service.
    pub speed: f64,
    /// Fraction of its slots that is used.
    pub slots_fraction: f64,
    /// Number of samples behind the estimate, of all entries.
    pub samples: f64,
}

/// The evidence that a peer has reported.
#[derive(Debug)]
struct PeerEvidence {
    received_at: Instant,
    starts: Vec<StartReport>,
}

/// Servers that are compared with one another.
type ServerGroup = (ServiceName, Option<ServerStage>);

/// Learns the speed of each start of a server relative to its service.
#[derive(Debug)]
pub struct CapacityTracker {
    settings: CapacitySettings,
    curves: BTreeMap<(ServiceName, SampleKind), LoadCurve>,
    servers: BTreeMap<ServerName, ServerEstimate>,
    peers: BTreeMap<EntryName, PeerEvidence>,
    mean_prompt_tokens: f64,
    has_effects: bool,
    refreshed_at: Option<Instant>,
}

impl Default for CapacityTracker {
    fn default() -> Self {
        Self::new(CapacitySettings::default())
    }
}

/// Returns what identifies a start of a server in reports.
fn start_of(server: &ListedServer) -> u32 {
    let started_at_ms = server.started_at_ms.unwrap_or(0);
    let hash = xxh3_64_with_seed(server.name.as_str().as_bytes(), started_at_ms);
    (hash >> 32) as u32
}

/// Returns the lower median; 0 if there are no values.
fn median(mut values: Vec<f64>) -> f64 {
    values.sort_by(f64::total_cmp);
    let middle = values.len().saturating_sub(1) / 2;
    values.get(middle).copied().unwrap_or(0.0)
}

impl CapacityTracker {
    /// Creates a tracker to which all servers are alike.
    pub fn new(settings: CapacitySettings) -> Self {
        Self {
            settings,
            curves: BTreeMap::new(),
            servers: BTreeMap::new(),
            peers: BTreeMap::new(),
            mean_prompt_tokens: 0.0,
            has_effects: false,
            refreshed_at: None,
        }
    }

    /// Records work that a server has completed successfully.
    pub fn observe(&mut self, now: Instant, server: &ListedServer, sample: WorkSample) {
        let Some(log_cost) = sample.log_cost() else {
            return;
        };
        if let WorkSample::Prefill { tokens, .. } = sample {
            self.mean_prompt_tokens += 0.05 * (tokens as f64 - self.mean_prompt_tokens);
        }
        let start = start_of(server);
        let estimate = self
            .servers
            .entry(server.name.clone())
            .or_insert_with(|| ServerEstimate::new(now, start));
        if estimate.start != start {
            *estimate = ServerEstimate::new(now, start);
        }
        let half = sample.half(server.slots);
        let agreed = estimate.agreed_in(half);
        let curve = self
            .curves
            .entry((server.service.clone(), sample.kind()))
            .or_default();
        let expected = curve.record(sample.point(server.slots), log_cost - agreed);
        if let Some(expected) = expected {
            estimate.add(now, half, log_cost - expected, self.settings.max_step);
        }
    }

    /// Replaces the evidence of a peer.
    pub fn apply_digest(&mut self, now: Instant, peer: &EntryName, digest: &CapacityDigest) {
        if digest.is_empty() {
            self.peers.remove(peer);
            return;
        }
        let starts = digest.decode().take(self.settings.max_reported);
        let evidence = PeerEvidence {
            received_at: now,
            starts: starts.collect(),
        };
        self.peers.insert(peer.clone(), evidence);
    }

    /// Returns the evidence for the peers: on servers that differ by this entry's own samples, and on
    /// those in question.
    pub fn digest(&self) -> CapacityDigest {
        let reported = self.servers.values().filter(|estimate| {
            let weight = estimate.aligned.whole().weight;
            let is_wanted = estimate.in_question_since.is_some() || estimate.is_asked;
            weight >= 0.5 && (is_wanted || self.is_notable(estimate.aligned))
        });
        let mut reported: Vec<&ServerEstimate> = reported.collect();
        if reported.len() > self.settings.max_reported {
            let by_difference = |estimate: &&ServerEstimate| -estimate.aligned.whole().mean.abs();
            reported.sort_by(|left, right| by_difference(left).total_cmp(&by_difference(right)));
            reported.truncate(self.settings.max_reported);
        }
        CapacityDigest::encode(reported.into_iter().map(|estimate| StartReport {
            start: estimate.start,
            evidence: estimate.aligned,
            is_in_question: estimate.in_question_since.is_some(),
        }))
    }

    /// Whether own evidence is reported even if no peer has any.
    fn is_notable(&self, evidence: StartEvidence) -> bool {
        evidence.largest_difference() >= self.settings.question_band
            && evidence.significance(self.settings.sample_deviation)
                >= self.settings.report_significance
    }

    /// Merges the evidence into the effects on placement, if the last time was long enough ago. Returns
    /// the servers whose effect has begun or ended.
    pub fn refresh(&mut self, now: Instant, directory: &ServerDirectory) -> Vec<CapacityChange> {
        let since = self
            .refreshed_at
            .map(|at| now.saturating_duration_since(at));
        if since.is_some_and(|since| since < self.settings.refresh_interval) {
            return Vec::new();
        }
        self.refreshed_at = Some(now);
        let lifetime = self.settings.peer_lifetime;
        self.peers
            .retain(|_, peer| now.saturating_duration_since(peer.received_at) < lifetime);
        self.retain_listed(directory);
        self.align(now, directory);
        let reported = self.reported_evidence(now);
        self.insert_reported(now, directory, &reported);
        let merged = self.question(now, &reported);
        self.update_effects(now, directory, &merged)
    }

    /// Releases what belongs to starts and services that are no longer listed.
    fn retain_listed(&mut self, directory: &ServerDirectory) {
        self.servers.retain(|name, estimate| {
            let listed = directory.get(name);
            listed.is_some_and(|listed| start_of(listed) == estimate.start)
        });
        let services: BTreeSet<&ServiceName> =
            directory.servers().map(|server| &server.service).collect();
        self.curves
            .retain(|(service, _), _| services.contains(service));
    }

    /// Aligns own evidence with what is agreed, so that the evidence of entries whose curves differ
    /// can be merged.
    fn align(&mut self, now: Instant, directory: &ServerDirectory) {
        let mut differences: BTreeMap<ServerGroup, Vec<f64>> = BTreeMap::new();
        for (name, estimate) in &self.servers {
            let own = estimate.own_evidence(now);
            let whole = own.whole();
            if let Some(group) = group_of(directory, name).filter(|_| whole.weight >= 1.0) {
                let [low, high] = estimate.agreed;
                let agreed = (low * own.low.weight + high * own.high.weight) / whole.weight;
                differences
                    .entry(group)
                    .or_default()
                    .push(whole.mean - agreed);
            }
        }
        let offsets: BTreeMap<ServerGroup, f64> = differences
            .into_iter()
            .map(|(group, differences)| (group, median(differences)))
            .collect();
        for (name, estimate) in &mut self.servers {
            let group = group_of(directory, name);
            let offset = group.and_then(|group| offsets.get(&group).copied());
            estimate.align(now, offset.unwrap_or(0.0));
        }
    }

    /// Returns what the peers have reported, by start.
    fn reported_evidence(&self, now: Instant) -> HashMap<u32, StartReport> {
        let mut reported: HashMap<u32, StartReport> = HashMap::new();
        let half_life = self.settings.peer_half_life.as_secs_f64();
        for peer in self.peers.values() {
            let age = now.saturating_duration_since(peer.received_at);
            let kept = 0.5_f64.powf(age.as_secs_f64() / half_life);
            for report in &peer.starts {
                let mut evidence = report.evidence;
                evidence.low.weight *= kept;
                evidence.high.weight *= kept;
                let known = reported.entry(report.start).or_default();
                known.evidence = known.evidence.merged_with(evidence);
                known.is_in_question |= report.is_in_question;
            }
        }
        reported
    }

    /// Adds estimates for the servers that only peers have observed.
    fn insert_reported(
        &mut self,
        now: Instant,
        directory: &ServerDirectory,
        reported: &HashMap<u32, StartReport>,
    ) {
        if reported.is_empty() {
            return;
        }
        for server in directory.servers() {
            let start = start_of(server);
            if reported.contains_key(&start) && !self.servers.contains_key(&server.name) {
                let estimate = ServerEstimate::new(now, start);
                self.servers.insert(server.name.clone(), estimate);
            }
        }
    }

    /// Decides which servers are in question, and returns the merged evidence on those that have been
    /// for long enough.
    fn question(
        &mut self,
        now: Instant,
        reported: &HashMap<u32, StartReport>,
    ) -> BTreeMap<ServerName, MergedEvidence> {
        let settings = self.settings;
        let mut merged = BTreeMap::new();
        for (name, estimate) in &mut self.servers {
            let peers = reported.get(&estimate.start).copied().unwrap_or_default();
            estimate.is_asked = peers.is_in_question;
            let evidence = estimate.aligned.merged_with(peers.evidence);
            let significance = evidence.significance(settings.sample_deviation);
            let is_in_question = evidence.largest_difference() >= settings.question_band
                && significance >= settings.question_significance;
            // A server that has an effect is in question until the effect ends.
            if !is_in_question && estimate.effect == LearnedEffect::USUAL {
                estimate.in_question_since = None;
                estimate.agreed = [0.0; 2];
                continue;
            }
            let since = *estimate.in_question_since.get_or_insert(now);
            let age = now.saturating_duration_since(since);
            if age >= settings.question_period {
                merged.insert(name.clone(), MergedEvidence { evidence, age });
            }
        }
        merged
    }

    fn update_effects(
        &mut self,
        now: Instant,
        directory: &ServerDirectory,
        all_merged: &BTreeMap<ServerName, MergedEvidence>,
    ) -> Vec<CapacityChange> {
        for (name, merged) in all_merged {
            if let Some(estimate) = self.servers.get_mut(name) {
                estimate.agreed = agreed_slowness(&self.settings, estimate.effect, *merged);
            }
        }
        let medians = self.agreed_medians(directory, all_merged);
        let mut changes = Vec::new();
        for (name, merged) in all_merged {
            let Some(group) = group_of(directory, name) else {
                continue;
            };
            let center = medians.get(&group).copied().unwrap_or(0.0);
            let Some(estimate) = self.servers.get_mut(name) else {
                continue;
            };
            estimate.agreed = estimate.agreed.map(|slowness| slowness - center);
            let before = estimate.effect;
            estimate.effect = learned_effect(&self.settings, before, estimate.agreed, *merged);
            if class_of(before) != class_of(estimate.effect) {
                changes.push(CapacityChange {
                    server: name.clone(),
                    speed: estimate.effect.speed,
                    slots_fraction: estimate.effect.slots_fraction,
                    samples: merged.evidence.whole().weight,
                });
            }
            if estimate.effect == LearnedEffect::USUAL && before != LearnedEffect::USUAL {
                estimate.in_question_since = Some(now);
            }
        }
        let mut effects = self.servers.values().map(|estimate| estimate.effect);
        self.has_effects = effects.any(|effect| effect != LearnedEffect::USUAL);
        changes
    }

    /// Returns the median of the agreed log slowness of each group that has servers in question.
    fn agreed_medians(
        &self,
        directory: &ServerDirectory,
        merged: &BTreeMap<ServerName, MergedEvidence>,
    ) -> BTreeMap<ServerGroup, f64> {
        if merged.is_empty() {
            return BTreeMap::new();
        }
        let mut agreed: BTreeMap<ServerGroup, Vec<f64>> = BTreeMap::new();
        for server in directory.servers() {
            let estimate = self.servers.get(&server.name);
            let estimate = estimate.filter(|_| merged.contains_key(&server.name));
            let slowness = estimate.map_or(0.0, |estimate| estimate.agreed[0]);
            let group = (server.service.clone(), server.stage);
            agreed.entry(group).or_default().push(slowness);
        }
        agreed
            .into_iter()
            .map(|(group, values)| (group, median(values)))
            .collect()
    }

    fn effect(&self, server: &ListedServer) -> LearnedEffect {
        if !self.has_effects {
            return LearnedEffect::USUAL;
        }
        let estimate = self.servers.get(&server.name);
        let estimate = estimate.filter(|estimate| {
            estimate.effect != LearnedEffect::USUAL && estimate.start == start_of(server)
        });
        estimate.map_or(LearnedEffect::USUAL, |estimate| estimate.effect)
    }

    /// Returns the speed of a server relative to the median of its service: 1 for servers that are as
    /// usual.
    pub fn speed(&self, server: &ListedServer) -> f64 {
        self.effect(server).speed
    }

    /// Returns the speed of the latest observed start of a server.
    pub fn named_speed(&self, server: &ServerName) -> f64 {
        let estimate = self.servers.get(server);
        estimate.map_or(1.0, |estimate| estimate.effect.speed)
    }

    /// Returns the number of requests that a server processes at once without being slowed.
    pub fn effective_slots(&self, server: &ListedServer) -> u32 {
        let fraction = self.effect(server).slots_fraction;
        ((f64::from(server.slots) * fraction) as u32).max(1)
    }

    /// Returns the mean number of tokens of the prompts that this entry has sent to prefill engines.
    pub fn mean_prompt_tokens(&self) -> f64 {
        self.mean_prompt_tokens
    }

    /// Whether the decision with a random salt ignores the estimates, to observe avoided servers.
    pub fn is_probe(&self, salt: u64) -> bool {
        let draw = xxh3_64_with_seed(&salt.to_le_bytes(), PROBE_SEED) as f64 / u64::MAX as f64;
        self.has_effects && draw < self.settings.probe_fraction
    }
}

fn group_of(directory: &ServerDirectory, name: &ServerName) -> Option<ServerGroup> {
    let server = directory.get(name)?;
    Some((server.service.clone(), server.stage))
}
