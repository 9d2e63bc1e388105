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
    /// Whether it was a suspect when it was last judged for the server's death.
    pub was_suspect: Option<bool>,
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
    counts: BTreeMap<PromptFingerprint, usize>,
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
            was_suspect: None,
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

    /// Whether a fingerprint is on any server.
    pub fn contains(&self, fingerprint: PromptFingerprint) -> bool {
        self.counts.contains_key(&fingerprint)
    }

    /// The attempts on a start of a server.
    pub fn on(&self, death: &ServerDeath) -> impl Iterator<Item = (AttemptId, &Exposure)> {
        let exposures = self.servers.get(&death.server).into_iter().flatten();
        let exposures = exposures.map(|(attempt, exposure)| (*attempt, exposure));
        exposures.filter(|(_, exposure)| exposure.boot == death.boot)
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

    /// Makes traces of all that ran on a start of a server which has ended.
    pub fn lose_all(&mut self, now: Instant, death: &ServerDeath) {
        for exposure in self
            .on_mut(death)
            .filter(|exposure| exposure.trace.is_none())
        {
            exposure.trace = Some(ExposureTrace {
                ended_at: now,
                is_lost: true,
            });
        }
    }

    /// The attempts on a start of a server.
    pub fn on_mut(&mut self, death: &ServerDeath) -> impl Iterator<Item = &mut Exposure> {
        let exposures = self.servers.get_mut(&death.server).into_iter();
        let exposures = exposures.flat_map(BTreeMap::values_mut);
        exposures.filter(|exposure| exposure.boot == death.boot)
    }

    /// Drops the traces that ended longer ago than `linger`.
    pub fn drop_old_traces(&mut self, now: Instant, linger: Duration) {
        let age = |trace: ExposureTrace| now.saturating_duration_since(trace.ended_at);
        let servers: Vec<_> = self.servers.keys().cloned().collect();
        for server in servers {
            self.retain_on(&server, |exposure| {
                exposure.trace.is_none_or(|trace| age(trace) < linger)
            });
        }
    }

    fn get(&self, attempt: AttemptId, server: &ServerName) -> Option<&Exposure> {
        self.servers.get(server)?.get(&attempt)
    }

    fn insert(&mut self, attempt: AttemptId, server: ServerName, exposure: Exposure) {
        let exposures = self.servers.entry(server).or_default();
        if exposures.insert(attempt, exposure).is_none() {
            *self.counts.entry(exposure.fingerprint).or_default() += 1;
        }
    }

    fn set_phase(&mut self, attempt: AttemptId, server: &ServerName, phase: ExposurePhase) {
        let exposures = self.servers.get_mut(server);
        if let Some(exposure) = exposures.and_then(|exposures| exposures.get_mut(&attempt)) {
            exposure.phase = phase.max(exposure.phase);
        }
    }

    fn remove(&mut self, attempt: AttemptId, server: &ServerName) {
        let Some(exposures) = self.servers.get_mut(server) else {
            return;
        };
        let removed = exposures.remove(&attempt);
        if exposures.is_empty() {
            self.servers.remove(server);
        }
        if let Some(exposure) = removed {
            uncount(&mut self.counts, exposure.fingerprint);
        }
    }

    fn retain_on(&mut self, server: &ServerName, keep: impl Fn(&Exposure) -> bool) {
        let Some(exposures) = self.servers.get_mut(server) else {
            return;
        };
        exposures.retain(|_, exposure| {
            let kept = keep(exposure);
            if !kept {
                uncount(&mut self.counts, exposure.fingerprint);
            }
            kept
        });
        if exposures.is_empty() {
            self.servers.remove(server);
        }
    }
}

fn uncount(counts: &mut BTreeMap<PromptFingerprint, usize>, fingerprint: PromptFingerprint) {
    let Some(count) = counts.get_mut(&fingerprint) else {
        return;
    };
    *count -= 1;
    if *count == 0 {
        counts.remove(&fingerprint);
    }
}
