//! Keeps the proof that the configuration is current: the clock, the questions to peers and their answers.

use std::cell::RefCell;
use std::fmt;
use std::net::SocketAddr;
use std::rc::Rc;
use std::time::Duration;

use gs_control::forwarding::{
    AnswerUse, BootTime, CurrencyAnswer, CurrencyChange, CurrencySettings, CurrencyTracker,
    RouteTable, is_proof_reader,
};
use gs_control::membership::MemberCandidate;
use gs_protocol::ids::EntryName;
use nix::time::{ClockId, clock_gettime};
use rand::{Rng, SeedableRng};
use rand_pcg::Pcg64Mcg;
use tokio::sync::Notify;

use crate::datagram::{CurrencyMessage, encode_currency};
use crate::gateway::{Gateway, GatewaySettings};
use crate::peers::ReportSocket;
use crate::plain::DEFAULT_RETRY_AFTER;

/// Interval at which the tasks that wait for a state of the proof check it.
const CHECK_INTERVAL: Duration = Duration::from_millis(100);

/// Reads the time since the boot of the machine; `None` if that fails.
type ReadClock = Box<dyn Fn() -> Option<BootTime>>;

/// State of the proof; without a tracker if removed keys need not stop working in time.
pub(crate) struct CurrencyState {
    tracker: Option<RefCell<CurrencyTracker>>,
    clock: RefCell<ReadClock>,
    /// Notified when a newer configuration is in force, which may be the first with workspaces.
    changed: Notify,
}

impl fmt::Debug for CurrencyState {
    fn fmt(&self, formatter: &mut fmt::Formatter<'_>) -> fmt::Result {
        formatter
            .debug_struct("CurrencyState")
            .field("tracker", &self.tracker)
            .finish_non_exhaustive()
    }
}

impl CurrencyState {
    /// Creates the state of a gateway with these settings.
    pub fn new(settings: &GatewaySettings) -> Self {
        let random = Pcg64Mcg::seed_from_u64(settings.seed).gen_range(0.0..1.0);
        let tracker = settings.revoke_after.map(|revoke_after| {
            RefCell::new(CurrencyTracker::new(
                CurrencySettings { revoke_after },
                random,
            ))
        });
        Self {
            tracker,
            clock: RefCell::new(Box::new(read_boot_time)),
            changed: Notify::new(),
        }
    }
}

/// Reads the time since the boot of the machine. The steady clock would not do: it stands still while the machine is
/// suspended.
fn read_boot_time() -> Option<BootTime> {
    let time = clock_gettime(ClockId::CLOCK_BOOTTIME);
    let time = time.inspect_err(
        |error| log::error!(target: "config", error:%; "cannot read the time since the boot"),
    );
    Some(BootTime::new(Duration::from(time.ok()?)))
}

impl Gateway {
    /// Replaces the clock of the proof, for tests.
    pub fn replace_boot_clock(&self, clock: impl Fn() -> Option<BootTime> + 'static) {
        *self.currency.clock.borrow_mut() = Box::new(clock);
    }

    /// Returns the time since the boot of the machine; `None` if it cannot be read.
    pub fn boot_time(&self) -> Option<BootTime> {
        (self.currency.clock.borrow())()
    }

    fn with_tracker<T>(&self, act: impl FnOnce(&mut CurrencyTracker, BootTime) -> T) -> Option<T> {
        let tracker = self.currency.tracker.as_ref()?;
        let now = self.boot_time()?;
        let mut tracker = tracker.borrow_mut();
        let result = act(&mut tracker, now);
        let table = self.table().filter(|table| table.workspaces.is_some());
        let Some(version) = table.map(|table| table.version) else {
            return Some(result);
        };
        match tracker.observe(now) {
            Some(CurrencyChange::Opened(proof)) => {
                log::info!(target: "config", version, age_ms = now.since(proof.moment).as_millis() as u64, source:? = proof.source; "the configuration is proved to be current: requests with API keys are served");
            }
            Some(CurrencyChange::Closed(proof)) => {
                log::warn!(target: "config", version, age_ms:? = proof.map(|proof| now.since(proof.moment).as_millis()), source:? = proof.map(|proof| proof.source); "the proof that the configuration is current is too old: requests with API keys are refused");
            }
            None => {}
        }
        Some(result)
    }

    /// Whether requests are refused unless the configuration is proved to be current.
    pub fn needs_currency(&self) -> bool {
        self.currency.tracker.is_some()
            && self.table().is_some_and(|table| table.workspaces.is_some())
    }

    /// Returns the time after which a request that needs a key may be sent again; `None` if the configuration is
    /// proved to be current, or need not be.
    pub(crate) fn currency_refusal(
        &self,
        table: &RouteTable,
        request_id: &str,
    ) -> Option<Duration> {
        if self.currency.tracker.is_none() || table.workspaces.is_none() {
            return None;
        }
        let state = self.with_tracker(|tracker, now| {
            let is_current = tracker.is_current(now);
            (is_current, tracker.age(now), tracker.proof())
        });
        let (is_current, age, proof) = state.unwrap_or_default();
        if is_current {
            return None;
        }
        log::info!(target: "request", id = request_id, version = table.version, age_ms:? = age.map(|age| age.as_millis()), source:? = proof.map(|proof| proof.source); "refused: the configuration is not proved to be current");
        Some(DEFAULT_RETRY_AFTER)
    }

    /// Records that a configuration is in force.
    pub(crate) fn record_table_version(&self, version: u64) {
        self.with_tracker(|tracker, _| tracker.record_version(version));
        self.currency.changed.notify_one();
    }

    /// Records the version of the configuration that a peer has in force.
    pub(crate) fn record_peer_table(&self, version: u64) {
        self.with_tracker(|tracker, now| tracker.record_reported(now, version));
    }

    /// Records that the configuration in the store cannot be read.
    pub fn record_table_unreadable(&self) {
        self.with_tracker(|tracker, _| tracker.record_unreadable());
    }

    /// Records that the store's list of the configuration is read again.
    pub fn begin_table_list(&self) {
        self.with_tracker(|tracker, _| tracker.begin_list());
    }

    /// Whether the list must be read again to prove that the configuration is current.
    pub fn needs_table_list(&self) -> bool {
        let needs_list = self.with_tracker(|tracker, _| tracker.needs_list());
        self.needs_currency() && needs_list == Some(true)
    }

    /// Records an exact read of the configuration that began at `started` and was applied.
    pub fn record_exact_read(&self, started: BootTime) {
        self.with_tracker(|tracker, now| tracker.record_read(now, started));
    }

    /// Returns how a proof reader of its data centre reads the configuration; `None` if this entry is none.
    pub fn proof_reading(&self) -> Option<CurrencySettings> {
        let tracker = self.currency.tracker.as_ref()?;
        let is_reader = self.needs_currency() && self.is_proof_reader();
        is_reader.then(|| *tracker.borrow().settings())
    }

    /// Whether this entry is a proof reader of its data centre.
    pub(crate) fn is_proof_reader(&self) -> bool {
        let names: Vec<EntryName> = self
            .proof_peers()
            .into_iter()
            .map(|peer| peer.name)
            .collect();
        is_proof_reader(&self.settings.own.identity.entry, &names)
    }

    /// Begins an exact read if the proof is too old for an entry that is no proof reader; returns whether it does.
    pub fn begin_due_read(&self) -> bool {
        if !self.needs_currency() {
            return false;
        }
        let random = self.random_fraction();
        let begun = self.with_tracker(|tracker, now| {
            let is_due = tracker.is_read_due(now);
            if is_due {
                tracker.begin_read(now, random);
            }
            is_due
        });
        begun == Some(true)
    }

    /// Waits until the proof is too old for an entry that is no proof reader.
    pub async fn wait_until_read_due(&self) {
        if self.currency.tracker.is_none() {
            std::future::pending::<()>().await;
        }
        loop {
            tokio::time::sleep(CHECK_INTERVAL).await;
            let is_due = self.with_tracker(|tracker, now| tracker.is_read_due(now));
            if is_due == Some(true) && self.needs_currency() {
                return;
            }
        }
    }

    /// Waits until a peer is known to have a newer configuration, which this entry has not read from the store in
    /// time. Returns the peer's address.
    pub async fn wait_for_newer_peer(&self) -> SocketAddr {
        if self.currency.tracker.is_none() {
            std::future::pending::<()>().await;
        }
        loop {
            tokio::time::sleep(CHECK_INTERVAL).await;
            let source = self.with_tracker(|tracker, now| tracker.fetch_source(now));
            if let Some(peer) = source.flatten() {
                return peer;
            }
        }
    }

    /// Returns the other entries of this data centre; all others if it has none.
    fn proof_peers(&self) -> Vec<MemberCandidate> {
        let usable = self.state.borrow().membership.usable_entries();
        let own = &self.settings.own.data_centre;
        match usable.iter().any(|peer| peer.data_centre == *own) {
            true => usable
                .into_iter()
                .filter(|peer| peer.data_centre == *own)
                .collect(),
            false => usable,
        }
    }

    /// Begins a question to a peer; `None` if none is due.
    fn next_question(&self) -> Option<(SocketAddr, CurrencyMessage)> {
        if !self.needs_currency() {
            return None;
        }
        let peers = self.proof_peers();
        let names: Vec<EntryName> = peers.iter().map(|peer| peer.name.clone()).collect();
        let random = self.random_fraction();
        let nonce: u64 = self.state.borrow_mut().rng.r#gen();
        let own = &self.settings.own.identity.entry;
        let chosen = self.with_tracker(|tracker, now| {
            let chosen = tracker.next_source(now, own, &names, random)?;
            tracker.begin_ask(now, nonce);
            Some(chosen)
        });
        let peer = &peers[chosen.flatten()?];
        Some((peer.peer_address, CurrencyMessage::Question(nonce)))
    }

    /// Handles a question or an answer of a peer; returns the answer to a question.
    pub(crate) fn handle_currency(
        &self,
        peer: SocketAddr,
        message: CurrencyMessage,
    ) -> Option<CurrencyMessage> {
        match message {
            CurrencyMessage::Question(nonce) => {
                let answer = self.with_tracker(|tracker, now| tracker.answer(now, nonce));
                answer.flatten().map(CurrencyMessage::Answer)
            }
            CurrencyMessage::Answer(answer) => {
                self.apply_currency_answer(peer, answer);
                None
            }
        }
    }

    fn apply_currency_answer(&self, peer: SocketAddr, answer: CurrencyAnswer) {
        let used = self.with_tracker(|tracker, now| tracker.record_answer(now, peer, answer));
        if used == Some(AnswerUse::NewerVersion) {
            log::debug!(target: "config", "the peer {peer} has the newer configuration {}", answer.version);
        }
    }
}

/// Asks peers for proofs until the process ends; returns at once if none are needed.
pub async fn run_currency(gateway: Rc<Gateway>, socket: Rc<ReportSocket>) {
    if gateway.currency.tracker.is_none() {
        return;
    }
    loop {
        if let Some((peer, question)) = gateway.next_question() {
            socket.send_bytes(&encode_currency(question), peer).await;
        }
        let interval = gateway.with_tracker(|tracker, now| tracker.ask_interval(now));
        tokio::select! {
            () = tokio::time::sleep(interval.unwrap_or(CHECK_INTERVAL)) => {}
            () = gateway.currency.changed.notified() => {}
        }
    }
}
