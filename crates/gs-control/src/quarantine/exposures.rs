//! Which attempts of this entry ran on which server.

use std::collections::BTreeMap;
use std::time::{Duration, Instant};

use gs_protocol::ids::{AttemptId, ServerName};
use gs_protocol::suspicion::{PromptFingerprint, ServerDeath};

/// How far an attempt has come on a server.
#[derive(Clone, Copy, Debug, Eq, Ord, PartialEq, PartialOrd)]
pub enum ExposurePhase {
    /// The server has not been given the prompt.
    Reserved,
    /// The server works on the prompt.
    Fresh,
    /// The server has run it for long enough.
    Survived,
}

/// One attempt on one server.
#[derive(Clone, Copy, Debug)]
pub struct Exposure {
    /// What runs.
    pub fingerprint: PromptFingerprint,
    /// Which start of the server runs it.
    pub boot: u64,
    /// How far it has come.
    pub phase: ExposurePhase,
    /// How it ended here, if it did so without the server's word.
    pub trace: Option<ExposureTrace>,
}

/// The end of an attempt of which the server has not said anything.
#[derive(Clone, Copy, Debug)]
pub struct ExposureTrace {
    /// When.
    pub ended_at: Instant,
    /// Whether the connection broke; if not, the caller is gone and the server may still run it.
    pub is_lost: bool,
}

impl Exposure {
    /// Whether the server may still be harmed by it.
    pub fn is_live(&self) -> bool {
        let is_lost = self.trace.is_some_and(|trace| trace.is_lost);
        !is_lost && self.phase != ExposurePhase::Survived
    }
}

/// Where an attempt runs.
#[derive(Clone, Debug)]
struct AttemptPlaces {
    fingerprint: PromptFingerprint,
    prefill: Option<ServerName>,
    decode: ServerName,
}

/// All attempts that run, and those that ended lately without the server's word.
#[derive(Clone, Debug, Default)]
pub struct ExposureTable {
    attempts: BTreeMap<AttemptId, AttemptPlaces>,
    servers: BTreeMap<ServerName, BTreeMap<AttemptId, Exposure>>,
}

impl ExposureTable {
    /// Adds an attempt with its servers and their starts.
    pub fn add(
        &mut self,
        attempt: AttemptId,
        fingerprint: PromptFingerprint,
        prefill: Option<(ServerName, u64)>,
        decode: (ServerName, u64),
    ) {
        let exposure = |boot, phase| Exposure {
            fingerprint,
            boot,
            phase,
            trace: None,
        };
        let phase = match prefill {
            Some(_) => ExposurePhase::Reserved,
            None => ExposurePhase::Fresh,
        };
        let places = AttemptPlaces {
            fingerprint,
            prefill: prefill.as_ref().map(|(server, _)| server.clone()),
            decode: decode.0.clone(),
        };
        self.attempts.insert(attempt, places);
        self.insert(attempt, decode.0, exposure(decode.1, phase));
        if let Some((server, boot)) = prefill {
            self.insert(attempt, server, exposure(boot, ExposurePhase::Fresh));
        }
    }

    /// What an attempt runs.
    pub fn fingerprint(&self, attempt: AttemptId) -> Option<PromptFingerprint> {
        self.attempts.get(&attempt).map(|places| places.fingerprint)
    }

    /// The prefill engine is done with an attempt, and the decode engine begins.
    pub fn pass_on(&mut self, attempt: AttemptId) {
        let Some(places) = self.attempts.get_mut(&attempt) else {
            return;
        };
        let prefill = places.prefill.take();
        let decode = places.decode.clone();
        if let Some(prefill) = prefill {
            self.remove(attempt, &prefill);
        }
        self.set_phase(attempt, &decode, ExposurePhase::Fresh);
    }

    /// The decode engine has run an attempt for long enough.
    pub fn survive(&mut self, attempt: AttemptId) {
        if let Some(places) = self.attempts.get(&attempt) {
            let decode = places.decode.clone();
            self.set_phase(attempt, &decode, ExposurePhase::Survived);
        }
    }

    /// Ends an attempt on all servers.
    pub fn end(&mut self, attempt: AttemptId) {
        let Some(places) = self.attempts.remove(&attempt) else {
            return;
        };
        for server in places.prefill.iter().chain([&places.decode]) {
            self.remove(attempt, server);
        }
    }

    /// Ends an attempt and keeps the trace of it on one server; returns that.
    pub fn lose(
        &mut self,
        now: Instant,
        attempt: AttemptId,
        server: &ServerName,
    ) -> Option<Exposure> {
        let kept = self.get(attempt, server).copied();
        self.end(attempt);
        let kept = kept.filter(|exposure| exposure.phase != ExposurePhase::Reserved)?;
        let lost = Exposure {
            trace: Some(ExposureTrace {
                ended_at: now,
                is_lost: true,
            }),
            ..kept
        };
        self.insert(attempt, server.clone(), lost);
        Some(lost)
    }

    /// Ends an attempt and keeps the traces of it on all servers.
    pub fn abandon(&mut self, now: Instant, attempt: AttemptId) {
        let Some(places) = self.attempts.remove(&attempt) else {
            return;
        };
        for server in places.prefill.iter().chain([&places.decode]) {
            let exposures = self.servers.get_mut(server);
            if let Some(exposure) = exposures.and_then(|exposures| exposures.get_mut(&attempt)) {
                exposure.trace = Some(ExposureTrace {
                    ended_at: now,
                    is_lost: false,
                });
            }
        }
    }

    /// The attempts on a server.
    pub fn on(&self, server: &ServerName) -> impl Iterator<Item = (AttemptId, &Exposure)> {
        let exposures = self.servers.get(server).into_iter().flatten();
        exposures.map(|(attempt, exposure)| (*attempt, exposure))
    }

    /// All attempts on all servers.
    pub fn iter(&self) -> impl Iterator<Item = (&ServerName, &Exposure)> {
        self.servers.iter().flat_map(|(server, exposures)| {
            exposures.values().map(move |exposure| (server, exposure))
        })
    }

    /// Drops the traces on a start of a server that turned out to be alive.
    pub fn drop_traces(&mut self, death: &ServerDeath) {
        self.retain_on(&death.server, |exposure| {
            exposure.boot != death.boot || exposure.trace.is_none()
        });
    }

    /// Drops everything on a start of a server that has ended.
    pub fn drop_dead(&mut self, death: &ServerDeath) {
        self.retain_on(&death.server, |exposure| exposure.boot != death.boot);
    }

    /// Drops the traces that ended longer ago than `linger`.
    pub fn drop_old_traces(&mut self, now: Instant, linger: Duration) {
        self.servers.retain(|_, exposures| {
            exposures.retain(|_, exposure| {
                let age = |trace: ExposureTrace| now.saturating_duration_since(trace.ended_at);
                exposure.trace.is_none_or(|trace| age(trace) < linger)
            });
            !exposures.is_empty()
        });
    }

    fn get(&self, attempt: AttemptId, server: &ServerName) -> Option<&Exposure> {
        self.servers.get(server)?.get(&attempt)
    }

    fn insert(&mut self, attempt: AttemptId, server: ServerName, exposure: Exposure) {
        let exposures = self.servers.entry(server).or_default();
        exposures.insert(attempt, exposure);
    }

    fn set_phase(&mut self, attempt: AttemptId, server: &ServerName, phase: ExposurePhase) {
        let exposures = self.servers.get_mut(server);
        if let Some(exposure) = exposures.and_then(|exposures| exposures.get_mut(&attempt)) {
            exposure.phase = phase.max(exposure.phase);
        }
    }

    fn remove(&mut self, attempt: AttemptId, server: &ServerName) {
        let exposures = self.servers.get_mut(server);
        let exposures = exposures.map(|exposures| {
            exposures.remove(&attempt);
            exposures.is_empty()
        });
        if exposures == Some(true) {
            self.servers.remove(server);
        }
    }

    fn retain_on(&mut self, server: &ServerName, keep: impl Fn(&Exposure) -> bool) {
        let Some(exposures) = self.servers.get_mut(server) else {
            return;
        };
        exposures.retain(|_, exposure| keep(exposure));
        if exposures.is_empty() {
            self.servers.remove(server);
        }
    }
}
