//! The settings of `gs-entry`.

use std::collections::BTreeMap;
use std::net::SocketAddr;
use std::num::NonZeroUsize;
use std::time::Duration;

use gs_protocol::ids::{DataCentreName, EntryName};
use gs_protocol::vm::VmRecord;
use serde::Deserialize;
use serde_with::{DurationMilliSeconds, serde_as};

use crate::source::{MistakeList, NodeView, SourceChecker, read_source};

use super::defaults;
use super::schema::ENTRY_SETTINGS;
use super::secret::PeerKey;
use super::sections::{
    ClaimSettings, EntryLimits, IntervalSettings, PeerSetting, ServerSetting, TimeoutSettings,
};

/// The policy for choosing engines.
#[derive(Clone, Copy, Debug, Default, Deserialize, Eq, Hash, Ord, PartialEq, PartialOrd)]
#[serde(rename_all = "kebab-case")]
pub enum PlacementPolicy {
    /// The prefill and decode pair with the lowest predicted time to first token, chosen at random
    /// among near-best pairs.
    #[default]
    Cost,
    /// The servers with the lowest load, as last reported.
    LeastLoad,
    /// All servers in turn.
    RoundRobin,
    /// The server with the lower load, as last reported, of two random ones.
    TwoChoices,
}

/// The settings of a `gs-entry` process.
#[serde_as]
#[derive(Clone, Debug, Deserialize, PartialEq)]
#[serde(deny_unknown_fields, rename_all = "camelCase")]
pub struct EntrySettings {
    /// The entry's name, unique within the deployment.
    pub name: EntryName,
    /// The data centre that the entry runs in.
    pub data_centre: DataCentreName,
    /// The environment whose document the entry applies.
    pub environment: String,
    /// The address to listen on for callers.
    pub listen: SocketAddr,
    /// The address to listen on for other entries.
    pub peer_listen: SocketAddr,
    /// The address of the platform.
    pub platform: SocketAddr,
    /// The secret shared by all entries of the deployment.
    pub peer_key: PeerKey,
    /// The number of threads that serve callers.
    #[serde(default = "defaults::traffic_threads")]
    pub traffic_threads: NonZeroUsize,
    /// Backend servers that are used before the platform's list of VMs has been read.
    #[serde(default)]
    pub servers: Vec<ServerSetting>,
    /// Other entries that are used before the platform's list of VMs has been read.
    #[serde(default)]
    pub peers: Vec<PeerSetting>,
    /// One-way delays to other data centres, in milliseconds.
    #[serde_as(as = "BTreeMap<_, DurationMilliSeconds<u64>>")]
    #[serde(default)]
    pub delays: BTreeMap<DataCentreName, Duration>,
    /// The policy for choosing engines.
    #[serde(default)]
    pub placement: PlacementPolicy,
    /// An input to the seed of random choices, combined with the entry's name and incarnation.
    #[serde(default)]
    pub seed: Option<u64>,
    /// Limits on requests, answers and connections.
    #[serde(default)]
    pub limits: EntryLimits,
    /// The intervals of periodic tasks.
    #[serde(default)]
    pub intervals: IntervalSettings,
    /// The time-outs.
    #[serde(default)]
    pub timeouts: TimeoutSettings,
    /// The settings of claims on idempotency keys.
    #[serde(default)]
    pub claims: ClaimSettings,
}

impl EntrySettings {
    /// Returns the VM records of the configured servers and peers.
    pub fn vm_records(&self) -> Vec<VmRecord> {
        let servers = self.servers.iter().map(VmRecord::from);
        let peers = self.peers.iter().map(VmRecord::from);
        servers.chain(peers).collect()
    }

    /// Returns the one-way delay to a data centre: zero for the entry's own, `None` if it is not
    /// configured.
    pub fn delay_to(&self, data_centre: &DataCentreName) -> Option<Duration> {
        if *data_centre == self.data_centre {
            return Some(Duration::ZERO);
        }
        self.delays.get(data_centre).copied()
    }
}

/// Parses and checks the settings of `gs-entry`. `file` is only used to give the location of a
/// mistake.
///
/// # Errors
///
/// Returns all mistakes of the settings, or the first syntax error.
pub fn parse_entry_settings(file: &str, text: &str) -> Result<EntrySettings, MistakeList> {
    read_source(file, text, &ENTRY_SETTINGS, check_entry)
}

fn check_entry(root: &NodeView<'_>, checker: &mut SourceChecker<'_>) {
    for list in ["servers", "peers"] {
        check_unique_names(root, list, checker);
    }
}

/// Adds a mistake for each item of a list whose name duplicates an earlier one.
fn check_unique_names(root: &NodeView<'_>, list: &str, checker: &mut SourceChecker<'_>) {
    let items = root.field(list).map_or_else(Vec::new, |list| list.items());
    let mut first_lines = BTreeMap::new();
    for name in items.iter().filter_map(|item| item.field("name")) {
        let Some(text) = name.text() else {
            continue;
        };
        let line = checker.line(&name);
        if let Some(first_line) = first_lines.insert(text, line) {
            checker.add_duplicate(&name, text, first_line);
        }
    }
}
