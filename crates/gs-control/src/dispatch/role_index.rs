//! Servers of one model and role, ordered by load within each data centre.

use std::collections::{BTreeMap, BTreeSet};

use gs_protocol::ids::DataCentreName;
use rand::Rng;

use super::server_record::ServerId;

/// A server's place in the order: load first, then a salt of its own at each entry.
#[derive(Clone, Copy, Debug, Eq, Ord, PartialEq, PartialOrd)]
pub struct LoadKey {
    /// Load in coarse steps; smaller is better.
    pub load: u64,
    /// Orders servers of equal load.
    pub salt: u32,
    /// The server.
    pub server: ServerId,
}

/// Open servers by load.
#[derive(Clone, Debug, Default)]
pub struct RoleIndex {
    data_centres: BTreeMap<DataCentreName, BTreeSet<LoadKey>>,
    servers: Vec<ServerId>,
    positions: BTreeMap<ServerId, usize>,
    next_start: usize,
}

impl RoleIndex {
    /// How many servers are open.
    pub fn len(&self) -> usize {
        self.servers.len()
    }

    /// Whether no server is open.
    pub fn is_empty(&self) -> bool {
        self.servers.is_empty()
    }

    /// Lists a server that is not listed.
    pub fn insert(&mut self, data_centre: &DataCentreName, key: LoadKey) {
        self.data_centres
            .entry(data_centre.clone())
            .or_default()
            .insert(key);
        self.positions.insert(key.server, self.servers.len());
        self.servers.push(key.server);
    }

    /// Moves a listed server within its data centre.
    pub fn reorder(&mut self, data_centre: &DataCentreName, old: LoadKey, new: LoadKey) {
        if let Some(keys) = self.data_centres.get_mut(data_centre) {
            keys.remove(&old);
            keys.insert(new);
        }
    }

    /// Takes a server out.
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

    /// The least loaded servers of every data centre, at most `count` of each.
    pub fn least_loaded(&self, count: usize) -> impl Iterator<Item = LoadKey> {
        self.data_centres
            .values()
            .flat_map(move |keys| keys.iter().take(count).copied())
    }

    /// A server at random.
    pub fn random(&self, rng: &mut impl Rng) -> Option<ServerId> {
        if self.servers.is_empty() {
            return None;
        }
        self.servers
            .get(rng.gen_range(0..self.servers.len()))
            .copied()
    }

    /// Servers in turn, at most `count`; the next call begins one further.
    pub fn next_round_robin(&mut self, count: usize) -> Vec<ServerId> {
        self.next_start = self.next_start.wrapping_add(1);
        let len = self.servers.len();
        (0..count.min(len))
            .filter_map(|offset| self.servers.get((self.next_start + offset) % len).copied())
            .collect()
    }
}
