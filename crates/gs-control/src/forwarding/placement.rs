//! Chooses the server of a plain request, and the prefill and decode engines of a stream.

use std::time::{Duration, Instant};

use gs_protocol::ids::{DataCentreName, ServerName, ServiceName};
use xxhash_rust::xxh3::xxh3_64_with_seed;

use super::capacity::CapacityTracker;
use super::directory::{ListedServer, ServerDirectory, ServerStage};
use super::limits::LimitTracker;
use super::loads::LoadTracker;
use super::memory::{StreamShape, projected_peak};
use super::origins::{OriginTracker, SoftwareNeed};
use super::plain_queue::ServiceCapacity;
use super::routes::EngineSpec;

/// Cost of a server whose requests all fail, as a multiple of its total slots or memory.
const FAILURE_COST: f64 = 6.0;

/// Cost of a server in another data centre, as a fraction of its slots.
const REMOTE_COST: f64 = 0.34;

/// Requests at a server, in multiples of its slots, from which further ones are held back. Servers queue what is
/// beyond their slots, and the queue of a server is one for all entries: with none of it used, 75 entries refused
/// requests while servers had free slots that they did not know of.
const QUEUE_DEPTH: f64 = 2.5;

/// Maximum random cost of a server with a free slot, as a fraction of its slots. Entries hear of each other's
/// plain requests late, and without it all that see the same loads choose the same server.
const FREE_SERVER_JITTER: f64 = 0.34;

/// Cost of a decode engine in another data centre, as a fraction of its memory.
const DECODE_REMOTE_COST: f64 = 0.08;

/// Cost of a prefill engine in another data centre, in queued prompt tokens.
const PREFILL_REMOTE_TOKENS: f64 = 1_500.0;

/// Maximum random cost of a decode engine, as a fraction of its memory.
const DECODE_JITTER: f64 = 0.08;

/// Maximum random cost of a prefill engine, in queued prompt tokens.
const PREFILL_JITTER_TOKENS: f64 = 1_000.0;

/// Cost of a prefill engine whose requests all fail, in queued prompt tokens.
const PREFILL_FAILURE_TOKENS: f64 = 40_000.0;

/// Cost of a decode engine with a speed of 0.5, as a fraction of its memory. Engines with equal memory in
/// use already receive streams in proportion to their speeds, since the streams of fast ones end
/// sooner. The cost prefers fast engines while there is memory to choose from, for shorter gaps between
/// events.
const DECODE_SPEED_COST: f64 = 0.25;

/// The state that a placement decision is based on.
#[derive(Clone, Copy, Debug)]
pub struct PlacementView<'a> {
    /// The current time.
    pub now: Instant,
    /// Random seed of this decision, so that entries with the same view choose different servers.
    pub salt: u64,
    /// The data centre of this entry.
    pub data_centre: &'a DataCentreName,
    /// The servers that may receive work.
    pub directory: &'a ServerDirectory,
    /// The load and health of the servers.
    pub loads: &'a LoadTracker,
    /// The limits that servers have named.
    pub limits: &'a LimitTracker,
    /// The software versions that began streams.
    pub origins: &'a OriginTracker,
    /// The learned speeds of the servers.
    pub capacity: &'a CapacityTracker,
}

impl PlacementView<'_> {
    /// Returns the usable servers that are not excluded and have not reached their limit.
    fn candidates<'v>(
        &'v self,
        service: &'v ServiceName,
        stage: Option<ServerStage>,
        excluded: &[ServerName],
        software: &SoftwareNeed,
    ) -> Vec<&'v ListedServer> {
        let mut servers = self.reachable_servers(service, stage, excluded, software);
        servers.retain(|server| self.limits.wait(self.now, &server.name).is_zero());
        servers
    }

    /// Returns the usable servers that are not excluded. Unavailable ones are returned only if
    /// there is no other.
    fn reachable_servers<'v>(
        &'v self,
        service: &'v ServiceName,
        stage: Option<ServerStage>,
        excluded: &[ServerName],
        software: &SoftwareNeed,
    ) -> Vec<&'v ListedServer> {
        let usable = self.directory.usable_servers(self.now, service, stage);
        let mut usable: Vec<&ListedServer> = usable
            .filter(|server| !excluded.contains(&server.name))
            .collect();
        self.retain_suitable(&mut usable, software);
        let available: Vec<&ListedServer> = usable
            .iter()
            .copied()
            .filter(|server| !self.loads.is_unavailable(self.now, server))
            .collect();
        if available.is_empty() {
            usable
        } else {
            available
        }
    }

    /// Retains the servers whose software may run a stream.
    fn retain_suitable(&self, servers: &mut Vec<&ListedServer>, software: &SoftwareNeed) {
        match software {
            SoftwareNeed::Any => {}
            SoftwareNeed::Only(version) => servers.retain(|server| server.software == *version),
            SoftwareNeed::Recorded => {
                let is_recorded = |server: &&ListedServer| {
                    self.origins.is_recorded(&server.service, &server.software)
                };
                if servers.iter().any(is_recorded) {
                    servers.retain(is_recorded);
                }
            }
        }
    }

    /// Returns `cost` for a server outside the data centre `from`, and 0 for one inside it.
    fn remote_cost(&self, server: &ListedServer, from: &DataCentreName, cost: f64) -> f64 {
        if server.data_centre == *from {
            0.0
        } else {
            cost
        }
    }

    /// Returns the random part of a server's cost, from 0 to `max`.
    fn jitter(&self, server: &ListedServer, max: f64) -> f64 {
        max * hash_fraction(&server.name, self.salt)
    }

    /// Returns the learned speed and the effective slots of a server. A small part of the decisions
    /// ignores what is learned, so that avoided servers are observed.
    fn learned(&self, server: &ListedServer) -> (f64, u32) {
        match self.capacity.is_probe(self.salt) {
            true => (1.0, server.slots),
            false => (
                self.capacity.speed(server),
                self.capacity.effective_slots(server),
            ),
        }
    }

    fn failure_cost(&self, server: &ListedServer) -> f64 {
        FAILURE_COST * self.loads.failure_rate(self.now, &server.name)
    }
}

/// Returns the candidate with the lowest cost.
fn lowest_cost(scored: impl Iterator<Item = (f64, ServerName)>) -> Option<ServerName> {
    scored
        .min_by(|left, right| left.0.total_cmp(&right.0))
        .map(|(_, name)| name)
}

/// Returns the additional time for a unit of work at a server, relative to a usual one: 0 at a speed of 1.
fn extra_time(speed: f64) -> f64 {
    1.0 / speed - 1.0
}

/// Returns the server of a plain service with the lowest cost: the expected time until it completes the
/// request, plus penalties for recent failures and for being in another data centre. The time is counted
/// from that of an idle usual server, so for usual servers it is the utilization of slots. `excluded`
/// servers are not considered.
pub fn choose_server(
    view: &PlacementView<'_>,
    service: &ServiceName,
    excluded: &[ServerName],
) -> Option<ServerName> {
    let candidates = view.candidates(service, None, excluded, &SoftwareNeed::Any);
    cheapest_server(view, candidates.into_iter(), 0.0)
}

fn cheapest_server<'v>(
    view: &PlacementView<'_>,
    candidates: impl Iterator<Item = &'v ListedServer>,
    max_jitter: f64,
) -> Option<ServerName> {
    lowest_cost(candidates.map(|server| {
        let load = view.loads.load(&server.name);
        let (speed, slots) = view.learned(server);
        let busy = f64::from(load.requests) / (f64::from(slots.max(1)) * speed);
        let cost = busy
            + extra_time(speed)
            + view.failure_cost(server)
            + view.remote_cost(server, view.data_centre, REMOTE_COST)
            + view.jitter(server, max_jitter);
        (cost, server.name.clone())
    }))
}

/// Result of the search for a server of a plain service with a free slot.
#[derive(Clone, Debug, Eq, PartialEq)]
pub enum FreeServer {
    /// The server with the lowest cost among those with a free slot or a short queue.
    Free(ServerName),
    /// All servers are known to have long queues.
    Full,
    /// No server takes requests.
    NoServer,
}

/// Returns the server of a plain service with the lowest cost among those that are not known to have a long
/// queue and have not just refused a request. `excluded` servers are not considered.
pub fn choose_free_server(
    view: &PlacementView<'_>,
    service: &ServiceName,
    excluded: &[ServerName],
) -> FreeServer {
    let candidates = view.candidates(service, None, excluded, &SoftwareNeed::Any);
    if candidates.is_empty() {
        return FreeServer::NoServer;
    }
    let has_slot = |server: &&ListedServer| {
        let is_full = view.loads.is_full(view.now, &server.name);
        let slots = f64::from(view.capacity.effective_slots(server));
        let requests = f64::from(view.loads.load(&server.name).requests);
        !is_full && requests < slots * QUEUE_DEPTH
    };
    let free = candidates.into_iter().filter(has_slot);
    cheapest_server(view, free, FREE_SERVER_JITTER).map_or(FreeServer::Full, FreeServer::Free)
}

/// Returns the capacity of the servers of a plain service that take requests, for one of `entries`.
pub fn service_capacity(
    view: &PlacementView<'_>,
    service: &ServiceName,
    entries: u32,
) -> ServiceCapacity {
    let candidates = view.candidates(service, None, &[], &SoftwareNeed::Any);
    let mut capacity = ServiceCapacity {
        entries,
        ..ServiceCapacity::default()
    };
    for server in candidates {
        capacity.slots += view.capacity.effective_slots(server);
        capacity.own_requests += view.loads.own_requests(&server.name);
    }
    capacity
}

/// Returns how long all servers of a plain service that are not excluded have reached their limits;
/// `None` if there is no such server.
pub fn limit_wait(
    view: &PlacementView<'_>,
    service: &ServiceName,
    excluded: &[ServerName],
) -> Option<Duration> {
    let servers = view.reachable_servers(service, None, excluded, &SoftwareNeed::Any);
    let servers = servers.into_iter();
    let waits = servers.map(|server| view.limits.wait(view.now, &server.name));
    waits.min()
}

/// Returns how long no decode engine of a service takes a stream, because of limits or pauses; zero if
/// one does or none is known.
pub fn decode_wait(view: &PlacementView<'_>, service: &ServiceName) -> Duration {
    let stage = Some(ServerStage::Decode);
    let servers = view.reachable_servers(service, stage, &[], &SoftwareNeed::Any);
    let waits = servers.into_iter();
    let waits = waits.map(|server| view.limits.wait(view.now, &server.name));
    waits.min().unwrap_or_default()
}

/// What a stream requires of a decode engine.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct DecodeDemand<'a> {
    /// The memory of the stream.
    pub shape: StreamShape,
    /// Maximum fraction of the engine's memory that its streams may reach, this one included.
    pub memory_fraction: f64,
    /// The engines that this entry may choose from.
    pub subset: EngineSubset,
    /// The software versions that may run the stream.
    pub software: &'a SoftwareNeed,
}

/// A random subset of the decode engines, in proportion to this entry's share of the waiting
/// streams.
///
/// Entries with waiting streams choose from different subsets, so that memory that becomes free is
/// not claimed by all of them at once.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct EngineSubset {
    /// Random seed of this entry, drawn anew for each round of admission.
    pub salt: u64,
    /// Fraction of the engines in the subset; 1 if no stream waits at another entry.
    pub fraction: f64,
}

impl EngineSubset {
    /// All engines.
    pub const ALL: Self = Self {
        salt: 0,
        fraction: 1.0,
    };

    /// Returns the subset of an entry, given the number of streams that wait at it and at its
    /// peers.
    pub fn new(salt: u64, own_waiting: u32, peers_waiting: u32) -> Self {
        let own = f64::from(own_waiting.max(1));
        Self {
            salt,
            fraction: own / (own + f64::from(peers_waiting)),
        }
    }

    fn contains(&self, server: &ServerName) -> bool {
        self.fraction >= 1.0 || hash_fraction(server, self.salt) < self.fraction
    }
}

/// Returns a hash of a server and a salt as a number from 0 to 1.
fn hash_fraction(server: &ServerName, salt: u64) -> f64 {
    xxh3_64_with_seed(server.as_str().as_bytes(), salt) as f64 / u64::MAX as f64
}

/// Returns the decode engine with the lowest cost that can hold another stream: the projected peak
/// of its memory, plus penalties for a low speed, recent failures and being in another data centre.
///
/// An idle engine accepts a stream of any size. `excluded` engines are not considered.
pub fn choose_decode(
    view: &PlacementView<'_>,
    service: &ServiceName,
    spec: &EngineSpec,
    demand: DecodeDemand<'_>,
    excluded: &[ServerName],
) -> Option<ServerName> {
    let candidates = view.candidates(
        service,
        Some(ServerStage::Decode),
        excluded,
        demand.software,
    );
    let memory = spec.memory_tokens.max(1) as f64;
    lowest_cost(candidates.into_iter().filter_map(|server| {
        if view.loads.is_full(view.now, &server.name) || !demand.subset.contains(&server.name) {
            return None;
        }
        let mut shapes = view.loads.streams(view.now, &server.name);
        let is_alone = shapes.is_empty();
        let (speed, slots) = view.learned(server);
        let is_beyond_learned = slots < server.slots && shapes.len() >= slots as usize;
        if shapes.len() >= spec.slots as usize || is_beyond_learned {
            return None;
        }
        shapes.push(demand.shape);
        let fraction = projected_peak(&mut shapes) as f64 / memory;
        if fraction > demand.memory_fraction && !is_alone {
            return None;
        }
        let cost = fraction
            + DECODE_SPEED_COST * extra_time(speed)
            + view.failure_cost(server)
            + view.remote_cost(server, view.data_centre, DECODE_REMOTE_COST)
            + view.jitter(server, DECODE_JITTER);
        Some((cost, server.name.clone()))
    }))
}

/// Returns the prefill engine with the lowest cost: its queued prompt tokens, as many as a usual engine
/// processes in the time until it completes the prompt, plus penalties for recent failures and for being
/// in another data centre than the decode engine. `excluded` engines are not considered.
pub fn choose_prefill(
    view: &PlacementView<'_>,
    service: &ServiceName,
    decode: &ServerName,
    excluded: &[ServerName],
) -> Option<ServerName> {
    let origin = view.directory.get(decode);
    let origin = origin.map_or(view.data_centre, |server| &server.data_centre);
    let candidates = view.candidates(
        service,
        Some(ServerStage::Prefill),
        excluded,
        &SoftwareNeed::Any,
    );
    lowest_cost(candidates.into_iter().map(|server| {
        let load = view.loads.load(&server.name);
        let (speed, _) = view.learned(server);
        let cost = load.prompt_tokens as f64 / speed
            + view.capacity.mean_prompt_tokens() * extra_time(speed)
            + view.loads.failure_rate(view.now, &server.name) * PREFILL_FAILURE_TOKENS
            + view.remote_cost(server, origin, PREFILL_REMOTE_TOKENS)
            + view.jitter(server, PREFILL_JITTER_TOKENS);
        (cost, server.name.clone())
    }))
}
