//! Index of the available servers of one model and role, ordered by load within each data centre.

use std::collections::{BTreeMap, BTreeSet};

use gs_protocol::ids::DataCentreName;
use rand::Rng;

use super::server_record::ServerId;

/// Sort key of a server: load, then a random tie-breaker of this entry.
#[derive(Clone, Copy, Debug, Eq, Ord, PartialEq, PartialOrd)]
pub struct LoadKey {
    /// Load level; lower is preferred.
    pub load: u64,
    /// Tie-breaker between servers of equal load.
    pub salt: u32,
    /// Server.
    pub server: ServerId,
}

/// Available servers by data centre and load.
#[derive(Clone, Debug, Default)]
pub struct RoleIndex {
    data_centres: BTreeMap<DataCentreName, BTreeSet<LoadKey>>,
    /// Servers in no particular order, for random and round-robin selection.
    servers: Vec<ServerId>,
    /// Position of each server in `servers`.
    positions: BTreeMap<ServerId, usize>,
    /// Position at which the last round-robin selection began, modulo the number of servers.
    last_start: usize,
}

impl RoleIndex {
    /// Number of available servers.
    pub fn len(&self) -> usize {
        self.servers.len()
    }

    /// Whether no server is available.
    pub fn is_empty(&self) -> bool {
        self.servers.is_empty()
    }

    /// Adds a server that is not in the index yet.
    pub fn insert(&mut self, data_centre: &DataCentreName, key: LoadKey) {
        self.data_centres
            .entry(data_centre.clone())
            .or_default()
            .insert(key);
        self.positions.insert(key.server, self.servers.len());
        self.servers.push(key.server);
    }

    /// Updates the load of a server.
    pub fn reorder(&mut self, data_centre: &DataCentreName, old: LoadKey, new: LoadKey) {
        if let Some(keys) = self.data_centres.get_mut(data_centre) {
            keys.remove(&old);
            keys.insert(new);
        }
    }

    /// Removes a server.
    pub fn remove(&mut self, data_centre: &DataCentreName, key: LoadKey) {
        if let Some(keys) = self.data_centres.get_mut(data_centre) {
            keys.remove(&key);
            if keys.is_empty() {
                self.data_centres.remove(data_centre);
            }
        }
        let Some(position) = self.positions.remove(&key.server) else {
            return;
        };
        self.servers.swap_remove(position);
        if let Some(moved) = self.servers.get(position) {
            self.positions.insert(*moved, position);
        }
    }

    /// Up to `count` least loaded servers of each data centre.
    pub fn least_loaded(&self, count: usize) -> impl Iterator<Item = LoadKey> {
        self.data_centres
            .values()
            .flat_map(move |keys| keys.iter().take(count).copied())
    }

    /// Returns a random server.
    pub fn random(&self, rng: &mut impl Rng) -> Option<ServerId> {
        if self.servers.is_empty() {
            return None;
        }
        self.servers
            .get(rng.gen_range(0..self.servers.len()))
            .copied()
    }

    /// Returns up to `count` servers in round-robin order. Each call begins one server further.
    pub fn next_round_robin(&mut self, count: usize) -> Vec<ServerId> {
        self.last_start = self.last_start.wrapping_add(1);
        let len = self.servers.len();
        (0..count.min(len))
            .filter_map(|offset| self.servers.get((self.last_start + offset) % len).copied())
            .collect()
    }
}
