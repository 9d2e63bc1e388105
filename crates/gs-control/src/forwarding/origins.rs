//! The software versions that began streams.
//!
//! What two versions of a server's software write does not fit together, so a stream goes on only at
//! the version that began it. Entries report the streams that they run while a service has servers of
//! several versions. What must outlive all entries is kept in the registry: the versions that may
//! have begun a running stream, and the origins of the streams of each entry.

use std::collections::{BTreeMap, BTreeSet};
use std::time::{Duration, Instant};

use gs_protocol::ids::{ServiceName, SoftwareVersion};
use serde::{Deserialize, Serialize};
use xxhash_rust::xxh3::xxh3_64;

use super::directory::ListedServer;

/// Identifies a stream by a hash of the ID of the client attempt that brought its first event.
#[derive(Clone, Copy, Debug, Deserialize, Eq, Hash, Ord, PartialEq, PartialOrd, Serialize)]
#[serde(transparent)]
pub struct StreamId(u64);

impl StreamId {
    /// Returns the ID of the stream that a client attempt began.
    pub fn of_request(request_id: &str) -> Self {
        Self(xxh3_64(request_id.as_bytes()))
    }

    /// Returns the ID with this number.
    pub fn from_number(number: u64) -> Self {
        Self(number)
    }

    /// Returns the ID as a number.
    pub fn number(self) -> u64 {
        self.0
    }
}

/// Bounds on what is remembered of streams.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub struct OriginSettings {
    /// How long a stream is remembered after it was last heard of, and a version after a server of
    /// it was last listed. No client takes a stream up later.
    pub lifetime: Duration,
    /// Maximum number of remembered streams; the oldest are forgotten first.
    pub max_streams: usize,
    /// How long after its start an entry leaves it to others to record versions.
    pub start_delay: Duration,
    /// How long an entry leaves it to the recording entry to record a new version.
    pub record_delay: Duration,
}

impl Default for OriginSettings {
    fn default() -> Self {
        Self {
            lifetime: Duration::from_secs(60),
            max_streams: 32_768,
            start_delay: Duration::from_millis(1_500),
            record_delay: Duration::from_millis(700),
        }
    }
}

/// Maximum number of streams in a report to peers, which must fit into a datagram.
const MAX_REPORTED_STREAMS: usize = 256;

/// Streams by the service and the software version that began them.
pub type OriginDigest = Vec<(ServiceName, SoftwareVersion, Vec<StreamId>)>;

/// Where a stream that a client takes up may go on.
#[derive(Clone, Debug, Eq, PartialEq)]
pub enum ResumeTarget {
    /// At servers of this version.
    Software(SoftwareVersion),
    /// Nowhere: more than one version may have begun it.
    Unknown,
}

/// Which software versions may run a stream.
#[derive(Clone, Debug, Eq, PartialEq)]
pub enum SoftwareNeed {
    /// All of them: the stream cannot be resumed.
    Any,
    /// Those that the registry has on record, if a server of one of them is usable: whoever takes
    /// the stream up later must know that its version was in use.
    Recorded,
    /// This one, which began the stream.
    Only(SoftwareVersion),
}

/// The versions of a service as the registry has them on record.
#[derive(Clone, Debug, Default, Eq, PartialEq)]
pub struct SoftwareRecord {
    /// Revision of the record; 0 if there is none.
    pub revision: u64,
    /// Versions that may have begun a running stream.
    pub versions: BTreeSet<SoftwareVersion>,
}

/// A record that is to be written in place of the one with `revision`.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct RecordUpdate {
    /// The service.
    pub service: ServiceName,
    /// The record with its new versions; the revision is that of the record before.
    pub record: SoftwareRecord,
}

/// The versions of one service.
#[derive(Clone, Debug, Default)]
struct ServiceVersions {
    /// When a server of each version was last listed, or the version was first found on record.
    seen_at: BTreeMap<SoftwareVersion, Instant>,
    record: SoftwareRecord,
    /// Since when the record has lacked a version.
    incomplete_since: Option<Instant>,
}

/// The origin of one stream. `origin` is an index into the known pairs of service and version.
#[derive(Clone, Copy, Debug)]
struct KnownStream {
    origin: usize,
    heard_at: Instant,
    is_running: bool,
}

/// Remembers which software version began each resumable stream.
#[derive(Debug)]
pub struct OriginTracker {
    settings: OriginSettings,
    started_at: Instant,
    /// Whether the records of the registry have been read.
    are_records_known: bool,
    services: BTreeMap<ServiceName, ServiceVersions>,
    origins: Vec<(ServiceName, SoftwareVersion)>,
    streams: BTreeMap<StreamId, KnownStream>,
    /// Streams that this entry has run, also in earlier starts.
    own: BTreeSet<StreamId>,
}

impl OriginTracker {
    /// Creates the tracker of an entry that starts now.
    pub fn new(now: Instant, settings: OriginSettings) -> Self {
        Self {
            settings,
            started_at: now,
            are_records_known: false,
            services: BTreeMap::new(),
            origins: Vec::new(),
            streams: BTreeMap::new(),
            own: BTreeSet::new(),
        }
    }

    /// Records which versions the listed engines have.
    pub fn observe_servers<'a>(
        &mut self,
        now: Instant,
        servers: impl Iterator<Item = &'a ListedServer>,
    ) {
        for server in servers.filter(|server| server.stage.is_some()) {
            let versions = match self.services.get_mut(&server.service) {
                Some(versions) => versions,
                None => self.services.entry(server.service.clone()).or_default(),
            };
            match versions.seen_at.get_mut(&server.software) {
                Some(seen_at) => *seen_at = now,
                None => drop(versions.seen_at.insert(server.software.clone(), now)),
            }
        }
        for versions in self.services.values_mut() {
            let is_complete = versions
                .seen_at
                .keys()
                .all(|version| versions.record.versions.contains(version));
            match is_complete {
                true => versions.incomplete_since = None,
                false => drop(versions.incomplete_since.get_or_insert(now)),
            }
        }
    }

    /// Replaces the records of all services by those of the registry.
    pub fn replace_records(
        &mut self,
        now: Instant,
        records: BTreeMap<ServiceName, SoftwareRecord>,
    ) {
        self.are_records_known = true;
        for versions in self.services.values_mut() {
            versions.record = SoftwareRecord::default();
        }
        for (service, record) in records {
            self.put_record(now, service, record);
        }
    }

    /// Applies the record of a service.
    pub fn put_record(&mut self, now: Instant, service: ServiceName, record: SoftwareRecord) {
        let versions = self.services.entry(service).or_default();
        for version in &record.versions {
            versions.seen_at.entry(version.clone()).or_insert(now);
        }
        versions.record = record;
    }

    /// Returns the record to write next, if one differs from what this entry knows. A new version is
    /// recorded at once by the recording entry of the fleet and later by any other; one that is out
    /// of use is left to the recording entry.
    pub fn next_record(&self, now: Instant, is_recorder: bool) -> Option<RecordUpdate> {
        let is_new = now.saturating_duration_since(self.started_at) < self.settings.start_delay;
        if !self.are_records_known || is_new {
            return None;
        }
        self.services.iter().find_map(|(service, versions)| {
            let is_overdue = versions.incomplete_since.is_some_and(|since| {
                now.saturating_duration_since(since) >= self.settings.record_delay
            });
            let current: BTreeSet<SoftwareVersion> =
                self.current_versions(now, versions).cloned().collect();
            let is_due = current != versions.record.versions && (is_recorder || is_overdue);
            is_due.then(|| RecordUpdate {
                service: service.clone(),
                record: SoftwareRecord {
                    revision: versions.record.revision,
                    versions: current,
                },
            })
        })
    }

    /// Returns whether the registry has a version of a service on record.
    pub fn is_recorded(&self, service: &ServiceName, software: &SoftwareVersion) -> bool {
        self.services
            .get(service)
            .is_some_and(|versions| versions.record.versions.contains(software))
    }

    fn current_versions<'a>(
        &'a self,
        now: Instant,
        versions: &'a ServiceVersions,
    ) -> impl Iterator<Item = &'a SoftwareVersion> {
        let lifetime = self.settings.lifetime;
        let seen_at = versions.seen_at.iter();
        seen_at
            .filter(move |(_, seen_at)| now.saturating_duration_since(**seen_at) < lifetime)
            .map(|(version, _)| version)
    }

    /// Returns whether streams of a service may have been begun by different versions.
    pub fn is_mixed(&self, now: Instant, service: &ServiceName) -> bool {
        let versions = self.services.get(service);
        versions.is_some_and(|versions| self.current_versions(now, versions).count() > 1)
    }

    /// Records that a stream begins, or goes on, at this entry by a server of a version.
    pub fn record_started(
        &mut self,
        now: Instant,
        stream: StreamId,
        service: &ServiceName,
        software: &SoftwareVersion,
    ) {
        let origin = self.origin_index(service, software);
        let known = KnownStream {
            origin,
            heard_at: now,
            is_running: true,
        };
        self.streams.insert(stream, known);
        self.own.insert(stream);
    }

    /// Records that a stream has ended at this entry. Its client may take it up.
    pub fn record_ended(&mut self, now: Instant, stream: StreamId) {
        if let Some(known) = self.streams.get_mut(&stream) {
            known.is_running = false;
            known.heard_at = now;
        }
    }

    /// Returns the streams that run at this entry, to be reported to peers, for services of several
    /// versions.
    pub fn digest(&self, now: Instant) -> OriginDigest {
        self.own_streams(now, MAX_REPORTED_STREAMS, |known| known.is_running)
    }

    /// Returns all streams of this entry that a client may take up, to be kept in the registry, for
    /// services of several versions.
    pub fn durable_digest(&self, now: Instant) -> OriginDigest {
        self.own_streams(now, self.settings.max_streams, |_| true)
    }

    fn own_streams(
        &self,
        now: Instant,
        max_streams: usize,
        is_wanted: impl Fn(&KnownStream) -> bool,
    ) -> OriginDigest {
        let mixed: BTreeSet<usize> = (0..self.origins.len())
            .filter(|origin| self.is_mixed(now, &self.origins[*origin].0))
            .collect();
        if mixed.is_empty() {
            return OriginDigest::new();
        }
        let mut by_origin: BTreeMap<usize, Vec<StreamId>> = BTreeMap::new();
        let own = self
            .own
            .iter()
            .filter_map(|stream| Some((stream, self.streams.get(stream)?)))
            .filter(|(_, known)| mixed.contains(&known.origin) && is_wanted(known));
        for (stream, known) in own.take(max_streams) {
            by_origin.entry(known.origin).or_default().push(*stream);
        }
        let groups = by_origin.into_iter().map(|(origin, streams)| {
            let (service, software) = self.origins[origin].clone();
            (service, software, streams)
        });
        groups.collect()
    }

    /// Applies the streams that a peer reports. Its latest report holds: a stream that has brought no event may
    /// have begun anew at another version.
    pub fn apply_digest(&mut self, now: Instant, digest: &OriginDigest) {
        self.apply(now, digest);
        for (service, software, streams) in digest {
            let origin = self.origin_index(service, software);
            for stream in streams {
                if let Some(known) = self.streams.get_mut(stream)
                    && !known.is_running
                {
                    known.origin = origin;
                }
            }
        }
    }

    /// Applies streams that were kept in the registry; `is_own` if by an earlier start of this entry.
    pub fn apply_kept(&mut self, now: Instant, digest: &OriginDigest, is_own: bool) {
        self.apply(now, digest);
        if is_own {
            let streams = digest.iter().flat_map(|(_, _, streams)| streams);
            self.own.extend(streams);
        }
    }

    /// Adds streams that are not known yet.
    fn apply(&mut self, now: Instant, digest: &OriginDigest) {
        for (service, software, streams) in digest {
            let origin = self.origin_index(service, software);
            for stream in streams {
                let known = self.streams.entry(*stream).or_insert(KnownStream {
                    origin,
                    heard_at: now,
                    is_running: false,
                });
                // What this entry has run itself is known better.
                if !known.is_running {
                    known.heard_at = now;
                }
            }
        }
    }

    /// Returns where a stream that a client takes up may go on; `stream` is `None` if the client does
    /// not tell which attempt began it.
    pub fn resume_target(
        &self,
        now: Instant,
        service: &ServiceName,
        stream: Option<StreamId>,
    ) -> ResumeTarget {
        let known = stream.and_then(|stream| self.streams.get(&stream));
        if let Some((origin_service, software)) = known.map(|known| &self.origins[known.origin])
            && origin_service == service
        {
            return ResumeTarget::Software(software.clone());
        }
        let versions = self.services.get(service);
        let Some(versions) = versions.filter(|_| self.are_records_known) else {
            return ResumeTarget::Unknown;
        };
        let mut current = self.current_versions(now, versions);
        match (current.next(), current.next()) {
            (Some(only), None) => ResumeTarget::Software(only.clone()),
            _ => ResumeTarget::Unknown,
        }
    }

    /// Forgets streams and versions that were not heard of for a lifetime, and the oldest streams
    /// beyond the maximum.
    pub fn expire_old(&mut self, now: Instant) {
        let lifetime = self.settings.lifetime;
        let is_current = |at: Instant| now.saturating_duration_since(at) < lifetime;
        self.streams
            .retain(|_, known| known.is_running || is_current(known.heard_at));
        for versions in self.services.values_mut() {
            versions.seen_at.retain(|_, seen_at| is_current(*seen_at));
        }
        let excess = self.streams.len().saturating_sub(self.settings.max_streams);
        if excess > 0 {
            let mut ages: Vec<(bool, Instant, StreamId)> = self
                .streams
                .iter()
                .map(|(stream, known)| (known.is_running, known.heard_at, *stream))
                .collect();
            ages.select_nth_unstable(excess - 1);
            for (_, _, stream) in &ages[..excess] {
                self.streams.remove(stream);
            }
        }
        let streams = &self.streams;
        self.own.retain(|stream| streams.contains_key(stream));
    }

    /// Returns the number of remembered streams.
    pub fn len(&self) -> usize {
        self.streams.len()
    }

    /// Returns whether no stream is remembered.
    pub fn is_empty(&self) -> bool {
        self.streams.is_empty()
    }

    fn origin_index(&mut self, service: &ServiceName, software: &SoftwareVersion) -> usize {
        let known = self
            .origins
            .iter()
            .position(|(known_service, known_software)| {
                known_service == service && known_software == software
            });
        known.unwrap_or_else(|| {
            self.origins.push((service.clone(), software.clone()));
            self.origins.len() - 1
        })
    }
}
