//! State shared by the request handlers.

use std::sync::{Mutex, MutexGuard, PoisonError};
use std::time::{Duration, Instant};

use gs_platform::memory::ObjectStore;
use tokio::sync::watch;

use super::PlatformOptions;
use super::faults::{FaultSwitches, OutageKind};
use super::limits::{CallKind, CallStats, RateLimit};
use super::refusal::CallRefusal;
use super::vms::{VmChange, VmList};

/// The stand-in's state behind one lock, and the signal that it has changed.
pub(super) struct PlatformState {
    inner: Mutex<PlatformInner>,
    changed: watch::Sender<()>,
    vm_lag: Duration,
}

/// Objects, VM list, rate limits, faults and counts.
pub(super) struct PlatformInner {
    pub store: ObjectStore,
    pub faults: FaultSwitches,
    pub vms: VmList,
    stats: CallStats,
    reads: RateLimit,
    writes: RateLimit,
}

impl PlatformState {
    pub fn new(options: &PlatformOptions) -> Self {
        let now = Instant::now();
        let inner = PlatformInner {
            store: ObjectStore::default(),
            faults: FaultSwitches::default(),
            vms: VmList::default(),
            stats: CallStats::default(),
            reads: RateLimit::new(options.reads_per_s, now),
            writes: RateLimit::new(options.writes_per_s, now),
        };
        Self {
            inner: Mutex::new(inner),
            changed: watch::Sender::new(()),
            vm_lag: Duration::from_millis(options.vm_lag_ms),
        }
    }

    /// Locks the state. Never hold the guard across an await.
    pub fn lock(&self) -> MutexGuard<'_, PlatformInner> {
        self.inner.lock().unwrap_or_else(PoisonError::into_inner)
    }

    /// Wakes waiting watches and the calls held by a silent outage.
    pub fn notify_change(&self) {
        self.changed.send_replace(());
    }

    /// Returns a receiver of all later changes.
    pub fn subscribe(&self) -> watch::Receiver<()> {
        self.changed.subscribe()
    }

    /// Counts a call and applies the rate limit and faults that act before the call takes effect.
    pub async fn admit(&self, kind: CallKind) -> Result<(), CallRefusal> {
        let faults = self.lock().admit(kind, Instant::now())?;
        if faults.slow_ms > 0 {
            tokio::time::sleep(Duration::from_millis(faults.slow_ms)).await;
        }
        self.check_outage().await
    }

    /// Refuses a call during an outage. A silent outage holds the call until the outage ends and
    /// then closes its connection.
    pub async fn check_outage(&self) -> Result<(), CallRefusal> {
        let mut changed = self.subscribe();
        let outage = self.lock().faults.outage;
        match outage {
            OutageKind::None => return Ok(()),
            OutageKind::Refuse | OutageKind::Close => {}
            OutageKind::Silent => {
                while self.lock().faults.outage == OutageKind::Silent {
                    let _ = changed.changed().await;
                }
            }
        }
        self.lock().stats.refused += 1;
        Err(match outage {
            OutageKind::Refuse => CallRefusal::OutOfService,
            _ => CallRefusal::Closed,
        })
    }

    /// Delays the answer to a call that took effect, if the `slow_answer_ms` fault is on.
    pub async fn delay_answer(&self) {
        let delay_ms = self.lock().faults.slow_answer_ms;
        if delay_ms > 0 {
            tokio::time::sleep(Duration::from_millis(delay_ms)).await;
        }
    }

    /// Changes the VM list; the change becomes visible after the configured lag.
    pub fn change_vms(&self, change: VmChange) {
        self.lock()
            .vms
            .schedule_change(change, Instant::now(), self.vm_lag);
    }
}

impl PlatformInner {
    /// Returns the call counts since the start.
    pub fn stats(&self) -> CallStats {
        CallStats {
            peak_reads_per_s: self.reads.peak_calls(),
            peak_writes_per_s: self.writes.peak_calls(),
            ..self.stats
        }
    }

    fn admit(&mut self, kind: CallKind, now: Instant) -> Result<FaultSwitches, CallRefusal> {
        self.stats.count(kind);
        let limit = match kind {
            CallKind::Read | CallKind::Watch => &mut self.reads,
            CallKind::Write => &mut self.writes,
        };
        if !limit.try_acquire(now) {
            self.stats.refused += 1;
            return Err(CallRefusal::OverRate);
        }
        Ok(self.faults)
    }
}
