//! Calls to a registry that does not answer, and the end of its outages.

use std::collections::BTreeMap;
use std::time::{Duration, Instant};

use gs_control::forwarding::{
    FreshnessSettings, OutageTracker, ProbeRole, Recovery, RegistryView, is_exact_reader,
};
use gs_protocol::ids::{EntryIdentity, EntryName, Incarnation};

use crate::gateway::Gateway;

/// Minimum time between two calls because an outage has ended for a peer.
const MIN_RETRY_INTERVAL: Duration = Duration::from_secs(1);

/// Maximum time from the word that the registry answers again to a reader's call.
const MAX_RECOVERY_JITTER: Duration = Duration::from_millis(200);

/// Time after the registry has come back from a copy during which views are read exactly: reads that may be
/// stale may still return what was there before.
const RESTORE_READ_PERIOD: Duration = Duration::from_secs(10);

/// Time after the registry has come back from a copy during which no engine is ordered: the copy may lack the claim
/// of an order that is still to be carried out.
const RESTORE_ORDER_PAUSE: Duration = Duration::from_secs(15);

/// Outages of the registry, at this entry and at its peers.
#[derive(Debug, Default)]
pub(crate) struct RegistryState {
    outage: OutageTracker,
    /// Number of outages that have ended for this entry.
    ended_outages: u64,
    /// The same number of each peer, with the incarnation that reported it.
    peer_outages: BTreeMap<EntryName, (Incarnation, u64)>,
    /// When the registry was last called because an outage had ended for a peer.
    retried_at: Option<Instant>,
    /// Latest era of the registry that this entry knows.
    era: u64,
    /// When this entry learned that the registry has come back from a copy.
    restored_at: Option<Instant>,
}

impl RegistryState {
    /// Returns the number of outages that have ended for this entry.
    pub(crate) fn ended_outages(&self) -> u64 {
        self.ended_outages
    }

    /// Whether the registry has come back from a copy a short time ago.
    pub(crate) fn is_recently_restored(&self, now: Instant) -> bool {
        self.is_restored_within(now, RESTORE_READ_PERIOD)
    }

    /// Whether no engine may be ordered because claims of earlier orders may be lost.
    pub(crate) fn may_lack_claims(&self, now: Instant) -> bool {
        self.is_restored_within(now, RESTORE_ORDER_PAUSE)
    }

    fn is_restored_within(&self, now: Instant, period: Duration) -> bool {
        self.restored_at
            .is_some_and(|at| now.saturating_duration_since(at) < period)
    }

    /// Forgets the peers that do not satisfy a predicate.
    pub(crate) fn retain_peers(&mut self, predicate: impl Fn(&EntryName) -> bool) {
        self.peer_outages.retain(|entry, _| predicate(entry));
    }

    /// Records the number of ended outages that a peer reports; returns whether one has ended since its
    /// report before.
    fn record_peer(&mut self, peer: &EntryIdentity, ended_outages: u64) -> bool {
        let known = self
            .peer_outages
            .insert(peer.entry.clone(), (peer.incarnation, ended_outages));
        known.is_some_and(|(incarnation, known)| {
            incarnation == peer.incarnation && known < ended_outages
        })
    }
}

impl Gateway {
    /// Records that a call to the registry has failed, as `failures` calls of the reader in a row; returns the
    /// time until its next call.
    pub fn record_registry_failure(&self, reader: RegistryView, failures: u32) -> Duration {
        let random = self.random_fraction();
        let mut role = self.probe_role();
        // Its data centre gets proofs from a proof reader, so that it probes as often as an exact reader.
        role.is_exact_reader |= self.proof_reading().is_some();
        let mut guard = self.state.borrow_mut();
        let state = &mut *guard;
        let outage = &mut state.registry.outage;
        let was_outage = outage.is_outage();
        let delay = outage.record_failure(reader, failures, role, random);
        if outage.is_outage() && !was_outage {
            log::info!(target: "store", reader:?, entries = role.entries, exact = role.is_exact_reader; "the registry does not answer");
            state.directory.mark_registry_unreachable();
        }
        delay
    }

    /// Records an answer of the registry.
    pub fn record_registry_answer(&self) {
        let mut state = self.state.borrow_mut();
        match state.registry.outage.record_answer() {
            Recovery::None => return,
            Recovery::OfCall => {}
            Recovery::OfRegistry => {
                state.registry.ended_outages += 1;
                state.directory.mark_registry_reachable(Instant::now());
                log::info!(target: "store", outages = state.registry.ended_outages; "the registry answers again");
            }
        }
        drop(state);
        self.registry_answered.notify_waiters();
    }

    /// Records that the registry has come back from a copy in a new era. Later calls for the same era have no effect.
    pub fn record_registry_restored(&self, era: u64) {
        let now = Instant::now();
        let mut state = self.state.borrow_mut();
        if state.registry.era >= era {
            return;
        }
        state.registry.era = era;
        state.registry.restored_at = Some(now);
        state.directory.mark_registry_restored(now);
        log::warn!(target: "store", era; "the registry has come back from a copy: its newest changes may be lost");
    }

    /// Records the number of ended outages that a peer reports. If one has ended, the reader that probes calls
    /// the registry, at most once in [`MIN_RETRY_INTERVAL`]: the registry may turn this entry away while it
    /// serves others.
    pub(crate) fn record_peer_outages(&self, peer: &EntryIdentity, ended_outages: u64) {
        let now = Instant::now();
        let mut state = self.state.borrow_mut();
        let registry = &mut state.registry;
        let has_ended = registry.record_peer(peer, ended_outages);
        let is_recent = registry
            .retried_at
            .is_some_and(|at| now.saturating_duration_since(at) < MIN_RETRY_INTERVAL);
        if has_ended && !is_recent && registry.outage.is_outage() {
            registry.retried_at = Some(now);
            drop(state);
            self.registry_retry.notify_waiters();
        }
    }

    /// Whether the registry does not answer this entry.
    pub fn is_registry_outage(&self) -> bool {
        self.state.borrow().registry.outage.is_outage()
    }

    /// Waits until the registry answers another reader of this entry; for the reader that probes, until a
    /// peer reports the end of an outage. The times at which the readers of a fleet call then differ by up to
    /// [`MAX_RECOVERY_JITTER`].
    pub async fn wait_for_registry(&self, reader: RegistryView) {
        let answered = self.registry_answered.notified();
        let prober = self.state.borrow().registry.outage.prober();
        match prober {
            None => {}
            Some(prober) if prober == reader => self.registry_retry.notified().await,
            Some(_) => answered.await,
        }
        tokio::time::sleep(MAX_RECOVERY_JITTER.mul_f64(self.random_fraction())).await;
    }

    /// Waits until the registry answers a reader of this entry, during an outage; does not wait otherwise.
    pub async fn wait_for_registry_answer(&self) {
        let answered = self.registry_answered.notified();
        if self.is_registry_outage() {
            answered.await;
        }
    }

    /// Returns what this entry knows of the fleet for its calls to the registry.
    pub(crate) fn probe_role(&self) -> ProbeRole {
        let settings = FreshnessSettings::default();
        let state = self.state.borrow();
        let usable = state.membership.usable_entries();
        let others: Vec<EntryName> = usable.into_iter().map(|member| member.name).collect();
        let own = &self.settings.own.identity.entry;
        ProbeRole {
            is_exact_reader: is_exact_reader(own, &others, settings.exact_readers),
            entries: others.len() as u32 + 1,
        }
    }
}
