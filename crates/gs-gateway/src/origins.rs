//! Where streams that clients take up may go on, and what the registry keeps for that.

use std::collections::BTreeMap;
use std::future::Future;
use std::rc::Rc;
use std::time::{Duration, Instant};

use gs_control::forwarding::{
    OriginDigest, RecordUpdate, ResumeTarget, RouteKind, SoftwareNeed, SoftwareRecord, StreamId,
    is_exact_reader,
};
use gs_protocol::ids::{EntryName, ServerName, ServiceName};

use crate::gateway::Gateway;
use crate::generation::{GenerationJob, reserve_decode};
use crate::plain::{DEFAULT_RETRY_AFTER, ForwardJob};
use crate::reservation::StreamReservation;

/// Interval at which records are checked if nothing else triggers it.
const CHECK_INTERVAL: Duration = Duration::from_millis(250);

/// Base of the minimum time between two writes of this entry's streams; [`WRITE_GAP_PER_ENTRY`] is added.
const BASE_WRITE_GAP: Duration = Duration::from_millis(100);

/// Time added to the minimum time between two writes for each entry of the fleet.
const WRITE_GAP_PER_ENTRY: Duration = Duration::from_millis(10);

/// Maximum time that a stream of unknown origin waits for what the registry keeps.
const MAX_READ_WAIT: Duration = Duration::from_millis(500);

/// Minimum time between two reads of what the registry keeps.
const MIN_READ_INTERVAL: Duration = Duration::from_secs(2);

/// Interval at which a stream that is taken up looks for capacity at the servers of its version.
const CAPACITY_POLL_INTERVAL: Duration = Duration::from_millis(20);

/// Retry delay given to a client whose stream can go on nowhere as far as is known.
const UNKNOWN_ORIGIN_RETRY_AFTER: Duration = Duration::from_secs(5);

/// Keeps in the registry which software versions began the running streams.
pub trait OriginRecords {
    /// Error of a failed call.
    type Error: std::fmt::Display;

    /// Replaces the record of a service if it has not changed since. Returns the revision of the new record, or `None`
    /// if it has changed.
    fn write_record(
        &self,
        update: &RecordUpdate,
    ) -> impl Future<Output = Result<Option<u64>, Self::Error>>;

    /// Replaces the streams that are kept for this entry.
    fn write_streams(
        &self,
        streams: &OriginDigest,
    ) -> impl Future<Output = Result<(), Self::Error>>;

    /// Returns the streams that are kept for each entry.
    fn read_streams(
        &self,
    ) -> impl Future<Output = Result<Vec<(EntryName, OriginDigest)>, Self::Error>>;
}

/// Writes records and streams, and reads kept streams when one of unknown origin is taken up, until the process ends.
pub async fn run_origin_records(gateway: Rc<Gateway>, records: impl OriginRecords) {
    let mut streams = KeptStreams::default();
    loop {
        tokio::select! {
            () = gateway.origins_wanted.notified() => {}
            () = gateway.origins_changed.notified() => {}
            () = tokio::time::sleep(CHECK_INTERVAL) => {}
        }
        gateway.state.borrow_mut().observe_software(Instant::now());
        let is_wanted = gateway.are_origins_wanted.take();
        streams.read_if_due(&gateway, &records, is_wanted).await;
        if is_wanted {
            gateway.origins_read.notify_waiters();
        }
        if let Some(update) = gateway.next_software_record() {
            gateway.write_record(&records, update).await;
        }
        streams.write_if_due(&gateway, &records).await;
    }
}

/// The streams that the registry keeps for this entry, and when they were read and written.
#[derive(Debug, Default)]
struct KeptStreams {
    written: OriginDigest,
    written_at: Option<Instant>,
    read_at: Option<Instant>,
}

impl KeptStreams {
    /// Reads the streams of all entries if the origin of one is wanted, or before the first write: those of an earlier
    /// start must not be overwritten unread.
    async fn read_if_due(
        &mut self,
        gateway: &Gateway,
        records: &impl OriginRecords,
        is_wanted: bool,
    ) {
        let is_read_recently = self
            .read_at
            .is_some_and(|at| at.elapsed() < MIN_READ_INTERVAL);
        let is_unread = self.read_at.is_none() && !gateway.durable_streams().is_empty();
        if (!is_wanted || is_read_recently) && !is_unread {
            return;
        }
        match records.read_streams().await {
            Ok(kept) => {
                self.read_at = Some(Instant::now());
                gateway.apply_kept_streams(&kept);
            }
            Err(error) => log::info!(target: "origins", error:%; "cannot read the kept streams"),
        }
    }

    /// Writes the streams of this entry if they have changed.
    async fn write_if_due(&mut self, gateway: &Gateway, records: &impl OriginRecords) {
        let current = gateway.durable_streams();
        let gap = BASE_WRITE_GAP + WRITE_GAP_PER_ENTRY * gateway.entry_count();
        let is_due = self.written_at.is_none_or(|at| at.elapsed() >= gap);
        if current == self.written || !is_due || self.read_at.is_none() {
            return;
        }
        self.written_at = Some(Instant::now());
        match records.write_streams(&current).await {
            Ok(()) => self.written = current,
            Err(error) => log::info!(target: "origins", error:%; "cannot keep the streams"),
        }
    }
}

impl Gateway {
    /// Replaces the software versions on record by those that the registry lists.
    pub fn replace_software_records(&self, records: BTreeMap<ServiceName, SoftwareRecord>) {
        let mut state = self.state.borrow_mut();
        state.origins.replace_records(Instant::now(), records);
    }

    /// Applies the software versions on record for a service.
    pub fn put_software_record(&self, service: ServiceName, record: SoftwareRecord) {
        log::info!(target: "origins", service:%, versions:? = record.versions; "software versions on record");
        let mut state = self.state.borrow_mut();
        state.origins.put_record(Instant::now(), service, record);
        drop(state);
        self.capacity_changed.notify_one();
    }

    /// Returns the record to write next, if any.
    fn next_software_record(&self) -> Option<RecordUpdate> {
        let state = self.state.borrow();
        let usable = state.membership.usable_entries();
        let others: Vec<EntryName> = usable.into_iter().map(|member| member.name).collect();
        let is_recorder = is_exact_reader(&self.settings.own.identity.entry, &others, 1);
        state.origins.next_record(Instant::now(), is_recorder)
    }

    async fn write_record(&self, records: &impl OriginRecords, update: RecordUpdate) {
        match records.write_record(&update).await {
            Ok(Some(revision)) => {
                let record = SoftwareRecord {
                    revision,
                    ..update.record
                };
                self.put_software_record(update.service, record);
            }
            Ok(None) => {
                log::debug!(target: "origins", "the software versions on record have changed meanwhile");
            }
            Err(error) => {
                log::info!(target: "origins", service:% = update.service, error:%; "cannot record the software versions");
            }
        }
    }

    /// Returns the streams of this entry that the registry is to keep.
    fn durable_streams(&self) -> OriginDigest {
        let state = self.state.borrow();
        state.origins.durable_digest(Instant::now())
    }

    fn apply_kept_streams(&self, kept: &[(EntryName, OriginDigest)]) {
        let now = Instant::now();
        let mut state = self.state.borrow_mut();
        let own = &self.settings.own.identity.entry;
        for (entry, digest) in kept {
            state.origins.apply_kept(now, digest, entry == own);
        }
        log::info!(target: "origins", entries = kept.len(), streams = state.origins.len(); "kept streams read");
    }

    /// Records that a server runs a stream. Only resumable ones count.
    pub(crate) fn record_stream_started(&self, job: &ForwardJob, server: &ServerName) {
        let Some(stream) = resumable_stream(job) else {
            return;
        };
        let mut guard = self.state.borrow_mut();
        let state = &mut *guard;
        let Some(software) = state.directory.get(server).map(|listed| &listed.software) else {
            return;
        };
        state
            .origins
            .record_started(Instant::now(), stream, &job.service, software);
        drop(guard);
        self.origins_changed.notify_one();
    }

    /// Records that a stream has ended here.
    pub(crate) fn record_stream_ended(&self, job: &ForwardJob) {
        if let Some(stream) = resumable_stream(job) {
            let mut state = self.state.borrow_mut();
            state.origins.record_ended(Instant::now(), stream);
        }
    }

    fn resume_target(&self, job: &ForwardJob) -> ResumeTarget {
        let resumed = job.metadata.resumed_request.as_deref();
        let state = self.state.borrow();
        let stream = resumed.map(StreamId::of_request);
        state
            .origins
            .resume_target(Instant::now(), &job.service, stream)
    }

    /// Returns which software versions may run a stream. An error holds the time after which the client of a stream
    /// that can go on nowhere should retry.
    pub(crate) async fn software_need(&self, job: &ForwardJob) -> Result<SoftwareNeed, Duration> {
        if resumable_stream(job).is_none() {
            return Ok(SoftwareNeed::Any);
        }
        if job.metadata.resume.is_none() {
            return Ok(SoftwareNeed::Recorded);
        }
        let mut target = self.resume_target(job);
        if target == ResumeTarget::Unknown {
            let read = self.origins_read.notified();
            self.are_origins_wanted.set(true);
            self.origins_wanted.notify_one();
            // Without an answer in time the origin remains unknown.
            let _ = tokio::time::timeout(MAX_READ_WAIT, read).await;
            target = self.resume_target(job);
        }
        log::info!(target: "origins", id:% = job.metadata.request_id, resumes:? = job.metadata.resumed_request, target:?; "stream taken up");
        match target {
            ResumeTarget::Software(software) => Ok(SoftwareNeed::Only(software)),
            ResumeTarget::Unknown => Err(UNKNOWN_ORIGIN_RETRY_AFTER),
        }
    }

    /// Whether any server of a software version may receive streams of a service.
    fn has_software(&self, generation: &GenerationJob) -> bool {
        let SoftwareNeed::Only(software) = &generation.demand.software else {
            return true;
        };
        let state = self.state.borrow();
        let service = &generation.demand.service;
        let stage = Some(gs_control::forwarding::ServerStage::Decode);
        let mut usable = state
            .directory
            .usable_servers(Instant::now(), service, stage);
        usable.any(|server| server.software == *software)
    }
}

/// Returns the stream of a request whose answer may be resumed.
fn resumable_stream(job: &ForwardJob) -> Option<StreamId> {
    let RouteKind::Streaming {
        is_resumable: true, ..
    } = job.rule.kind
    else {
        return None;
    };
    let resumed = job.metadata.resumed_request.as_deref();
    let began = resumed.filter(|_| job.metadata.resume.is_some());
    Some(StreamId::of_request(
        began.unwrap_or(&job.metadata.request_id),
    ))
}

/// Reserves capacity for a stream that its client takes up, at a server of the version that began it. The stream
/// goes before those that wait for admission: a part of it is delivered already. An error holds the time after
/// which the client should retry.
pub(crate) async fn reserve_taken_up(
    gateway: &Rc<Gateway>,
    generation: &GenerationJob,
) -> Result<StreamReservation, Duration> {
    let job = &generation.job;
    let wait_end = job.answer_due().min(job.arrived + job.rule.latency_target);
    loop {
        if !gateway.has_software(generation) {
            return Err(UNKNOWN_ORIGIN_RETRY_AFTER);
        }
        if let Some(reservation) = reserve_decode(gateway, generation, &[]) {
            return Ok(reservation);
        }
        if Instant::now() + CAPACITY_POLL_INTERVAL >= wait_end {
            return Err(DEFAULT_RETRY_AFTER);
        }
        tokio::time::sleep(CAPACITY_POLL_INTERVAL).await;
    }
}
