//! Which entries a report is sent to.

use std::collections::BTreeMap;
use std::net::SocketAddr;
use std::time::Duration;

use gs_protocol::ids::{DataCentreName, EntryName};
use xxhash_rust::xxh3::xxh3_64_with_seed;

/// Sizes that decide how reports spread.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub struct TopologySettings {
    /// Number of relays in a data centre. A report crosses between two data centres once for each
    /// pair of them.
    pub relays: usize,
    /// Number of entries up to which every entry sends to all others.
    pub max_direct_entries: usize,
    /// Minimum time between two reports of the presence of an entry that a relay passes on though
    /// they bring nothing new.
    pub min_presence_interval: Duration,
    /// The same time for each entry of the fleet.
    pub presence_interval_per_entry: Duration,
}

impl Default for TopologySettings {
    fn default() -> Self {
        Self {
            relays: 2,
            max_direct_entries: 16,
            min_presence_interval: Duration::from_millis(800),
            presence_interval_per_entry: Duration::from_millis(8),
        }
    }
}

/// An entry that reports can be sent to.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct RelayMember {
    /// Name of the entry.
    pub name: EntryName,
    /// Data centre that it runs in.
    pub data_centre: DataCentreName,
    /// Address that peers send to.
    pub peer_address: SocketAddr,
    /// Whether it was heard lately.
    pub is_alive: bool,
}

/// The addresses that an entry sends reports to.
#[derive(Clone, Debug, Default, Eq, PartialEq)]
pub struct RelayTopology {
    /// Addresses of the other entries of its data centre.
    pub local: Vec<SocketAddr>,
    /// Addresses for the entry's own reports: those of its data centre, or of all entries of a small
    /// fleet.
    pub direct: Vec<SocketAddr>,
    /// Whether the entry's own reports reach other data centres through relays.
    pub is_relayed: bool,
    /// Addresses of relays in other data centres, for the reports of the entry's data centre; empty
    /// if the entry is no relay. Entries may differ in whether their reports are relayed, as they
    /// differ in the entries that they know.
    pub foreign_relays: Vec<SocketAddr>,
    /// Minimum time between two reports of the presence of an entry that a relay passes on though
    /// they bring nothing new.
    pub presence_interval: Duration,
}

impl RelayTopology {
    /// Decides where the entry `own` sends reports. `others` are all other entries that are known.
    ///
    /// The relays of a data centre are the entries with the lowest name hashes, and each of them
    /// sends to all relays elsewhere, so that the end of one in each data centre loses nothing. Of a
    /// data centre where nobody is known to be alive, other entries are tried in each `round`.
    pub fn new(
        own: &RelayMember,
        others: &[RelayMember],
        round: u64,
        settings: &TopologySettings,
    ) -> Self {
        let mut data_centres: BTreeMap<&DataCentreName, Vec<&RelayMember>> = BTreeMap::new();
        for other in others {
            data_centres
                .entry(&other.data_centre)
                .or_default()
                .push(other);
        }
        let local = data_centres.remove(&own.data_centre).unwrap_or_default();
        let rank = |member: &RelayMember| (hash_name(&member.name, 0), member.name.clone());
        let lower = local
            .iter()
            .filter(|other| other.is_alive && rank(other) < rank(own));
        let foreign_relays = match lower.count() < settings.relays {
            true => data_centres
                .values()
                .flat_map(|candidates| choose_relays(candidates, round, settings))
                .collect(),
            false => Vec::new(),
        };
        let local: Vec<SocketAddr> = local.iter().map(|member| member.peer_address).collect();
        let is_relayed = others.len() >= settings.max_direct_entries;
        let direct = match is_relayed {
            true => local.clone(),
            false => others.iter().map(|other| other.peer_address).collect(),
        };
        Self {
            local,
            direct,
            is_relayed,
            foreign_relays,
            presence_interval: settings
                .min_presence_interval
                .max(settings.presence_interval_per_entry * others.len() as u32),
        }
    }
}

/// Returns the addresses of the relays of another data centre.
fn choose_relays(
    candidates: &[&RelayMember],
    round: u64,
    settings: &TopologySettings,
) -> Vec<SocketAddr> {
    let is_alive = |candidate: &&RelayMember| candidate.is_alive;
    let mut relays: Vec<&RelayMember> = candidates.iter().copied().filter(is_alive).collect();
    let mut salt = 0;
    if relays.is_empty() {
        relays = candidates.to_vec();
        salt = round;
    }
    relays.sort_by_cached_key(|relay| (hash_name(&relay.name, salt), &relay.name));
    let relays = relays.iter().take(settings.relays);
    relays.map(|relay| relay.peer_address).collect()
}

fn hash_name(name: &EntryName, salt: u64) -> u64 {
    xxh3_64_with_seed(name.as_str().as_bytes(), salt)
}
