//! Segments of a shard: sealing of ended claims, look-up of old ones, removal of expired ones.

use std::collections::BTreeMap;
use std::time::Instant;

use gs_protocol::claims::ClaimId;
use gs_protocol::ids::{AttemptId, FenceNumber};

use super::claim::PendingClaim;
use super::context::ShardContext;
use super::messages::{StoreOperationId, StoreReply};
use super::record::{ClaimRecord, SegmentRef, decode, encode};

/// A segment's fencing number and index, which name it within its shard.
pub(super) type SegmentName = (FenceNumber, u32);

impl SegmentRef {
    pub(super) fn name(&self) -> SegmentName {
        (self.fence, self.index)
    }
}

/// A segment, and the prefixes of its claims once it has been read.
#[derive(Debug)]
struct KnownSegment {
    entry: SegmentRef,
    index: Option<Vec<u64>>,
}

impl KnownSegment {
    fn may_hold(&self, id: ClaimId, time_ms: u64) -> bool {
        let known = self.index.as_ref();
        self.entry.covers(time_ms)
            && known.is_none_or(|index| index.binary_search(&id.prefix()).is_ok())
    }
}

/// A call that runs, or one that waits for its next try.
#[derive(Debug)]
enum SegmentStep {
    Running(StoreOperationId),
    RetryAt(Instant),
}

impl SegmentStep {
    fn is(&self, operation: StoreOperationId) -> bool {
        matches!(self, Self::Running(running) if *running == operation)
    }

    fn is_due(&self, now: Instant) -> bool {
        matches!(self, Self::RetryAt(at) if *at <= now)
    }
}

/// A segment that is being written.
#[derive(Debug)]
struct SealFlight {
    entry: SegmentRef,
    ids: Vec<ClaimId>,
    value: Vec<u8>,
    step: SegmentStep,
}

/// A segment that is being read, and the claims that wait for it.
#[derive(Debug)]
struct ReadFlight {
    entry: SegmentRef,
    parked: Vec<PendingClaim>,
    step: SegmentStep,
}

/// A segment that is being removed: first read for its version, then removed.
#[derive(Debug)]
struct RemoveFlight {
    entry: SegmentRef,
    step: SegmentStep,
}

/// What became of a call of the platform's service for a segment.
pub(super) enum SegmentOutcome {
    /// The call was for no segment.
    Foreign,
    /// Nothing to do yet.
    Pending,
    /// These claims are in a segment now.
    Sealed(Vec<ClaimId>),
    /// These claims can be looked up again, and this is what the segment holds of them.
    Loaded(Vec<(PendingClaim, Option<ClaimRecord>)>),
    /// The list of segments has become shorter.
    Removed,
}

/// The segments of a shard that this entry owns.
#[derive(Debug)]
pub(super) struct SegmentStore {
    segments: Vec<KnownSegment>,
    next_index: u32,
    sealing: Option<SealFlight>,
    reading: BTreeMap<SegmentName, ReadFlight>,
    removing: Option<RemoveFlight>,
}

impl SegmentStore {
    pub fn new(entries: &[SegmentRef]) -> Self {
        let segments = entries.iter().map(|entry| KnownSegment {
            entry: *entry,
            index: None,
        });
        Self {
            segments: segments.collect(),
            next_index: 0,
            sealing: None,
            reading: BTreeMap::new(),
            removing: None,
        }
    }

    pub fn entries(&self) -> Vec<SegmentRef> {
        self.segments.iter().map(|segment| segment.entry).collect()
    }

    pub fn stored_claims(&self) -> u64 {
        self.segments
            .iter()
            .map(|segment| u64::from(segment.entry.claims))
            .sum()
    }

    pub fn is_sealing(&self) -> bool {
        self.sealing.is_some()
    }

    /// Parks the claim if a segment that was not looked into yet may hold it.
    pub fn park(&mut self, context: &mut ShardContext, claim: &PendingClaim) -> bool {
        let open = |segment: &&KnownSegment| {
            segment.may_hold(claim.id, claim.time_ms)
                && !claim.cleared.contains(&segment.entry.name())
        };
        let candidates: Vec<SegmentRef> = self
            .segments
            .iter()
            .filter(open)
            .map(|segment| segment.entry)
            .collect();
        let Some(first) = candidates.first() else {
            return false;
        };
        for entry in &candidates {
            self.start_read(context, entry);
        }
        if let Some(flight) = self.reading.get_mut(&first.name()) {
            flight
                .parked
                .retain(|parked| parked.attempt != claim.attempt);
            flight.parked.push(claim.clone());
        }
        true
    }

    fn start_read(&mut self, context: &mut ShardContext, entry: &SegmentRef) {
        if self.reading.contains_key(&entry.name()) {
            return;
        }
        let key = entry.key(&context.settings.environment, context.shard);
        let step = SegmentStep::Running(context.read(key));
        self.reading.insert(
            entry.name(),
            ReadFlight {
                entry: *entry,
                parked: Vec::new(),
                step,
            },
        );
    }

    /// Writes ended claims to a new segment; the name is used by this owner alone.
    pub fn seal(
        &mut self,
        context: &mut ShardContext,
        fence: FenceNumber,
        records: &[ClaimRecord],
    ) {
        let times = || records.iter().map(|record| record.time_ms);
        let (Some(first_ms), Some(last_ms)) = (times().min(), times().max()) else {
            return;
        };
        let Ok(value) = encode(&records) else {
            return;
        };
        let claims = records.len() as u32;
        let entry = SegmentRef {
            fence,
            index: self.next_index,
            first_ms,
            last_ms,
            claims,
        };
        self.next_index += 1;
        let key = entry.key(&context.settings.environment, context.shard);
        let step = SegmentStep::Running(context.write(key, value.clone(), None));
        let ids = records.iter().map(|record| record.id).collect();
        self.sealing = Some(SealFlight {
            entry,
            ids,
            value,
            step,
        });
    }

    /// Starts calls that are due again, and the removal of a segment behind the written horizon.
    pub fn pump(&mut self, context: &mut ShardContext, horizon_ms: u64) {
        let environment = context.settings.environment.clone();
        let shard = context.shard;
        if let Some(flight) = &mut self.sealing
            && flight.step.is_due(context.now)
        {
            let key = flight.entry.key(&environment, shard);
            flight.step = SegmentStep::Running(context.write(key, flight.value.clone(), None));
        }
        for flight in self.reading.values_mut() {
            if flight.step.is_due(context.now) {
                let key = flight.entry.key(&environment, shard);
                flight.step = SegmentStep::Running(context.read(key));
            }
        }
        self.pump_removal(context, horizon_ms);
    }

    fn pump_removal(&mut self, context: &mut ShardContext, horizon_ms: u64) {
        let due = self
            .removing
            .as_ref()
            .is_none_or(|flight| flight.step.is_due(context.now));
        let expired = self
            .segments
            .iter()
            .find(|segment| segment.entry.last_ms <= horizon_ms);
        let (true, Some(segment)) = (due, expired) else {
            return;
        };
        let key = segment
            .entry
            .key(&context.settings.environment, context.shard);
        let step = SegmentStep::Running(context.read(key));
        self.removing = Some(RemoveFlight {
            entry: segment.entry,
            step,
        });
    }

    /// Takes the end of a call of the platform's service.
    pub fn stored(
        &mut self,
        context: &mut ShardContext,
        operation: StoreOperationId,
        reply: &StoreReply,
    ) -> SegmentOutcome {
        if self
            .sealing
            .as_ref()
            .is_some_and(|flight| flight.step.is(operation))
        {
            return self.seal_ended(context, reply);
        }
        if self
            .removing
            .as_ref()
            .is_some_and(|flight| flight.step.is(operation))
        {
            return self.remove_ended(context, reply);
        }
        let reading = self
            .reading
            .iter()
            .find(|(_, flight)| flight.step.is(operation));
        match reading.map(|(name, _)| *name) {
            Some(name) => self.read_ended(context, name, reply),
            None => SegmentOutcome::Foreign,
        }
    }

    fn seal_ended(&mut self, context: &mut ShardContext, reply: &StoreReply) -> SegmentOutcome {
        let Some(mut flight) = self.sealing.take() else {
            return SegmentOutcome::Foreign;
        };
        // Nobody else writes under this name: a conflict means that an earlier try took effect.
        if !matches!(reply, StoreReply::Written(_) | StoreReply::Conflict) {
            flight.step = SegmentStep::RetryAt(context.jittered(context.settings.backoff_limit));
            self.sealing = Some(flight);
            return SegmentOutcome::Pending;
        }
        let index = Some(index_of(&flight.ids));
        self.segments.push(KnownSegment {
            entry: flight.entry,
            index,
        });
        SegmentOutcome::Sealed(flight.ids)
    }

    fn read_ended(
        &mut self,
        context: &mut ShardContext,
        name: SegmentName,
        reply: &StoreReply,
    ) -> SegmentOutcome {
        let records = match reply {
            StoreReply::Read(Some((_, value))) => decode::<Vec<ClaimRecord>>(value).ok(),
            _ => None,
        };
        let Some(records) = records else {
            let at = context.jittered(context.settings.backoff * 4);
            if let Some(flight) = self.reading.get_mut(&name) {
                flight.step = SegmentStep::RetryAt(at);
            }
            return SegmentOutcome::Pending;
        };
        let parked = self
            .reading
            .remove(&name)
            .map(|flight| flight.parked)
            .unwrap_or_default();
        let ids: Vec<ClaimId> = records.iter().map(|record| record.id).collect();
        let segment = self
            .segments
            .iter_mut()
            .find(|segment| segment.entry.name() == name);
        if let Some(segment) = segment {
            segment.index = Some(index_of(&ids));
        }
        let find = |id| records.iter().find(|record| record.id == id).cloned();
        let loaded = parked.into_iter().map(|mut claim| {
            claim.cleared.push(name);
            let record = find(claim.id);
            (claim, record)
        });
        SegmentOutcome::Loaded(loaded.collect())
    }

    fn remove_ended(&mut self, context: &mut ShardContext, reply: &StoreReply) -> SegmentOutcome {
        let Some(mut flight) = self.removing.take() else {
            return SegmentOutcome::Foreign;
        };
        match reply {
            StoreReply::Read(Some((version, _))) => {
                let key = flight
                    .entry
                    .key(&context.settings.environment, context.shard);
                flight.step = SegmentStep::Running(context.remove(key, *version));
            }
            StoreReply::Read(None) | StoreReply::Removed => {
                self.segments
                    .retain(|segment| segment.entry.name() != flight.entry.name());
                return SegmentOutcome::Removed;
            }
            _ => {
                let at = context.jittered(context.settings.backoff_limit);
                flight.step = SegmentStep::RetryAt(at);
            }
        }
        self.removing = Some(flight);
        SegmentOutcome::Pending
    }

    /// Withdraws an attempt that waits for a segment.
    pub fn withdraw(&mut self, attempt: AttemptId) {
        for flight in self.reading.values_mut() {
            flight.parked.retain(|claim| claim.attempt != attempt);
        }
    }

    /// Gives up the segments and returns the claims that waited for one.
    pub fn close(self) -> Vec<PendingClaim> {
        self.reading
            .into_values()
            .flat_map(|flight| flight.parked)
            .collect()
    }
}

fn index_of(ids: &[ClaimId]) -> Vec<u64> {
    let mut index: Vec<u64> = ids.iter().map(|id| id.prefix()).collect();
    index.sort_unstable();
    index
}
