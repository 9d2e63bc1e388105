//! Which entries a report is sent to.

use std::cmp::Reverse;
use std::collections::BTreeMap;
use std::net::SocketAddr;
use std::time::Duration;

use gs_protocol::ids::{DataCentreName, EntryName};
use xxhash_rust::xxh3::xxh3_64_with_seed;

use super::budget::{BudgetSettings, ReportRates, ReportRoute};

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
    /// Bytes per second that its link carries in each direction; `None` if that is not known.
    pub link_rate: Option<u64>,
}

/// The addresses that an entry sends reports to.
#[derive(Clone, Debug, Default, PartialEq)]
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
    /// How fast reports may be sent.
    pub rates: ReportRates,
}

impl RelayTopology {
    /// Decides where the entry `own` sends reports. `others` are all other entries that are known.
    ///
    /// The relays of a data centre are the entries with the fastest links, of equal ones those with the lowest
    /// name hashes, and each of them sends to all relays elsewhere, so that the end of one in each data centre loses nothing. Of a
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
        let rank = |member: &RelayMember| (relay_rank(member), member.name.clone());
        let lower = local
            .iter()
            .filter(|other| other.is_alive && rank(other) < rank(own));
        let foreign_relays: Vec<&RelayMember> = match lower.count() < settings.relays {
            true => data_centres
                .values()
                .flat_map(|candidates| choose_relays(candidates, round, settings))
                .collect(),
            false => Vec::new(),
        };
        let is_relayed = others.len() >= settings.max_direct_entries;
        let direct = match is_relayed {
            true => local.clone(),
            false => others.iter().collect(),
        };
        let rates = report_rates(own, &direct, &foreign_relays, &local, settings.relays);
        let [local, direct, foreign_relays] =
            [&local, &direct, &foreign_relays].map(|members| addresses(members));
        Self {
            local,
            direct,
            is_relayed,
            foreign_relays,
            presence_interval: settings
                .min_presence_interval
                .max(settings.presence_interval_per_entry * others.len() as u32),
            rates,
        }
    }

    /// Returns the receivers of reports on a route.
    pub fn receivers(&self, route: ReportRoute) -> &[SocketAddr] {
        match route {
            ReportRoute::Direct => &self.direct,
            ReportRoute::BetweenRelays => &self.foreign_relays,
            ReportRoute::Relayed => &self.local,
        }
    }
}

fn addresses(members: &[&RelayMember]) -> Vec<SocketAddr> {
    members.iter().map(|member| member.peer_address).collect()
}

/// Returns how fast an entry may send to these receivers. As many entries send to a receiver of direct reports, and
/// to a relay, as the entry itself sends to; to a receiver of relayed ones, all relays of its data centre do.
fn report_rates(
    own: &RelayMember,
    direct: &[&RelayMember],
    foreign_relays: &[&RelayMember],
    local: &[&RelayMember],
    relays: usize,
) -> ReportRates {
    let fraction = BudgetSettings::default().link_fraction;
    let slowest = |members: &[&RelayMember]| {
        let links = members.iter().filter_map(|member| member.link_rate).min();
        links.map(|link| link as f64 * fraction)
    };
    let local_per_relay = local.len() as f64 / relays.max(1) as f64;
    ReportRates {
        link: own.link_rate.map(|link| link as f64 * fraction),
        direct: slowest(direct),
        between_relays: slowest(foreign_relays),
        relayed: slowest(local).map(|rate| rate * local_per_relay),
    }
}

/// Orders the entries of a data centre by their fitness as relays, the fittest first.
fn relay_rank(member: &RelayMember) -> (Reverse<u64>, u64) {
    let link_rate = member.link_rate.unwrap_or(0);
    (Reverse(link_rate), hash_name(&member.name, 0))
}

/// Returns the relays of another data centre.
fn choose_relays<'a>(
    candidates: &[&'a RelayMember],
    round: u64,
    settings: &TopologySettings,
) -> Vec<&'a RelayMember> {
    let is_alive = |candidate: &&RelayMember| candidate.is_alive;
    let mut relays: Vec<&'a RelayMember> = candidates.iter().copied().filter(is_alive).collect();
    if relays.is_empty() {
        relays = candidates.to_vec();
        relays.sort_by_cached_key(|relay| (hash_name(&relay.name, round), &relay.name));
    } else {
        relays.sort_by_cached_key(|relay| (relay_rank(relay), &relay.name));
    }
    relays.truncate(settings.relays);
    relays
}

fn hash_name(name: &EntryName, salt: u64) -> u64 {
    xxh3_64_with_seed(name.as_str().as_bytes(), salt)
}
