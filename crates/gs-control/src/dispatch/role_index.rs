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
    centres: BTreeMap<DataCentreName, BTreeSet<LoadKey>>,
    members: Vec<ServerId>,
    positions: BTreeMap<ServerId, usize>,
    turn: usize,
}

impl RoleIndex {
    /// How many servers are open.
    pub fn len(&self) -> usize {
        self.members.len()
    }

    /// Whether no server is open.
    pub fn is_empty(&self) -> bool {
        self.members.is_empty()
    }

    /// Lists a server that is not listed.
    pub fn insert(&mut self, centre: &DataCentreName, key: LoadKey) {
        self.centres.entry(centre.clone()).or_default().insert(key);
        self.positions.insert(key.server, self.members.len());
        self.members.push(key.server);
    }

    /// Moves a listed server within its data centre.
    pub fn reorder(&mut self, centre: &DataCentreName, old: LoadKey, new: LoadKey) {
        if let Some(keys) = self.centres.get_mut(centre) {
            keys.remove(&old);
            keys.insert(new);
        }
    }

    /// Takes a server out.
    pub fn remove(&mut self, centre: &DataCentreName, key: LoadKey) {
        if let Some(keys) = self.centres.get_mut(centre) {
            keys.remove(&key);
            if keys.is_empty() {
                self.centres.remove(centre);
            }
        }
        let Some(position) = self.positions.remove(&key.server) else {
            return;
        };
        self.members.swap_remove(position);
        if let Some(moved) = self.members.get(position) {
            self.positions.insert(*moved, position);
        }
    }

    /// The least loaded servers of every data centre, at most `count` of each.
    pub fn least(&self, count: usize) -> impl Iterator<Item = LoadKey> {
        self.centres
            .values()
            .flat_map(move |keys| keys.iter().take(count).copied())
    }

    /// A server at random.
    pub fn random(&self, rng: &mut impl Rng) -> Option<ServerId> {
        if self.members.is_empty() {
            return None;
        }
        self.members
            .get(rng.gen_range(0..self.members.len()))
            .copied()
    }

    /// Servers in turn, at most `count`; the next call begins one further.
    pub fn take_turn(&mut self, count: usize) -> Vec<ServerId> {
        self.turn = self.turn.wrapping_add(1);
        let len = self.members.len();
        (0..count.min(len))
            .filter_map(|offset| self.members.get((self.turn + offset) % len).copied())
            .collect()
    }
}
