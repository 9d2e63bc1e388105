//! Suspicions of payloads, by which entries of earlier builds know requests.

use std::time::Instant;

use gs_protocol::suspicion::ContentHash;

use super::content::{ContentQuarantine, Suspicion, SuspicionChange, SuspicionRecord};
use super::contents::RequestContents;

impl ContentQuarantine {
    /// Returns the record by which a request itself is refused. Entries of earlier builds report the payload only,
    /// which requests of other callers may share: it counts for a request that is suspected itself, unless another
    /// request with the payload is refused.
    pub(super) fn refusing_request(&self, contents: &RequestContents) -> Option<&SuspicionRecord> {
        let own = self.refusing_record(contents.request);
        own.or_else(|| {
            let is_suspected = self.suspicion(contents.request).level > 0;
            let record = self.refusing_record(contents.payload)?;
            let is_others = self.has_refused_request(contents.payload, contents.request);
            (is_suspected && !is_others).then_some(record)
        })
    }

    /// Returns whether a request with the payload is refused, other than the given one.
    pub(super) fn has_refused_request(&self, payload: ContentHash, except: ContentHash) -> bool {
        let mut requests = self.requests_with(payload);
        requests.any(|(request, record)| request != except && self.is_refused(record))
    }

    /// Returns the records of requests with a payload.
    fn requests_with(
        &self,
        payload: ContentHash,
    ) -> impl Iterator<Item = (ContentHash, &SuspicionRecord)> {
        let records = self.records.range(payload.derived_range());
        let requests = records.filter(move |(content, _)| **content != payload);
        requests.map(|(content, record)| (*content, record))
    }

    /// Raises a payload to the level at which earlier builds refuse it even if requests of other callers were
    /// answered, if a peer has suspected it without a request, as such a build does, and one that is refused
    /// here has it.
    pub(super) fn refuse_payload(
        &mut self,
        now: Instant,
        payload: ContentHash,
    ) -> Option<SuspicionChange> {
        let mut has_refused = false;
        for (_, record) in self.requests_with(payload) {
            if record.changed_at == now {
                return None;
            }
            has_refused |= record.payload == Some(payload) && self.is_refused(record);
        }
        if !has_refused {
            return None;
        }
        let known = self.suspicion(payload);
        let level = known.level.max(self.settings.sound_refusal_level);
        self.merge(now, payload, Suspicion { level, ..known })
    }
}
