//! The settings of `gs-entry`.

use std::collections::BTreeMap;
use std::net::SocketAddr;
use std::num::NonZeroUsize;
use std::time::Duration;

use gs_protocol::ids::{DataCentreName, EntryName};
use gs_protocol::vm::VmRecord;
use serde::Deserialize;
use serde_with::{DurationMilliSeconds, serde_as};

use crate::source::{CheckReport, MistakeList, NodeView, read_source};

use super::defaults;
use super::secret::PeerKey;
use super::sections::{
    ClaimSettings, EntryLimits, IntervalSettings, PeerSetting, ServerSetting, TimeoutSettings,
};
use super::shape::ENTRY_SETTINGS;

/// How engines are chosen.
#[derive(Clone, Copy, Debug, Default, Deserialize, Eq, Hash, Ord, PartialEq, PartialOrd)]
#[serde(rename_all = "kebab-case")]
pub enum PlacementPolicy {
    /// The cheapest pair by predicted time to the first token, chosen at random among near-best ones.
    #[default]
    Cost,
    /// The least loaded servers as last reported.
    LeastLoad,
    /// Every server in turn.
    RoundRobin,
    /// The less loaded of two random servers as last reported.
    TwoChoices,
}

/// The settings of one entry.
#[serde_as]
#[derive(Clone, Debug, Deserialize, PartialEq)]
#[serde(deny_unknown_fields, rename_all = "camelCase")]
pub struct EntrySettings {
    /// The entry's name, unique within the deployment.
    pub name: EntryName,
    /// Where the entry stands.
    pub data_centre: DataCentreName,
    /// The environment whose document is applied.
    pub environment: String,
    /// Where callers connect.
    pub listen: SocketAddr,
    /// Where other entries connect.
    pub peer_listen: SocketAddr,
    /// The platform's service.
    pub platform: SocketAddr,
    /// The secret that all entries of the deployment share.
    pub peer_key: PeerKey,
    /// Threads that serve callers.
    #[serde(default = "defaults::traffic_threads")]
    pub traffic_threads: NonZeroUsize,
    /// Backend servers that are known before the platform answers.
    #[serde(default)]
    pub servers: Vec<ServerSetting>,
    /// Other entries that are known before the platform answers.
    #[serde(default)]
    pub peers: Vec<PeerSetting>,
    /// One-way delays to other data centres, in milliseconds.
    #[serde_as(as = "BTreeMap<_, DurationMilliSeconds<u64>>")]
    #[serde(default)]
    pub delays: BTreeMap<DataCentreName, Duration>,
    /// How engines are chosen.
    #[serde(default)]
    pub placement: PlacementPolicy,
    /// A part of the seed of random choices, beside the entry's name and start.
    #[serde(default)]
    pub seed: Option<u64>,
    /// Bounds on what callers send and get.
    #[serde(default)]
    pub limits: EntryLimits,
    /// How often something is done.
    #[serde(default)]
    pub intervals: IntervalSettings,
    /// How long something may take.
    #[serde(default)]
    pub timeouts: TimeoutSettings,
    /// How idempotency keys are claimed.
    #[serde(default)]
    pub claims: ClaimSettings,
}

impl EntrySettings {
    /// The VMs that are known before the platform answers.
    pub fn vm_records(&self) -> Vec<VmRecord> {
        let servers = self.servers.iter().map(VmRecord::from);
        let peers = self.peers.iter().map(VmRecord::from);
        servers.chain(peers).collect()
    }

    /// The one-way delay to a data centre: zero within the own one, none if it is not known.
    pub fn delay_to(&self, data_centre: &DataCentreName) -> Option<Duration> {
        if *data_centre == self.data_centre {
            return Some(Duration::ZERO);
        }
        self.delays.get(data_centre).copied()
    }
}

/// Reads an entry's settings. `file` is only used to name the place of a mistake.
pub fn parse_entry_settings(file: &str, text: &str) -> Result<EntrySettings, MistakeList> {
    read_source(file, text, &ENTRY_SETTINGS, check_entry)
}

fn check_entry(root: &NodeView<'_>, report: &mut CheckReport<'_>) {
    for list in ["servers", "peers"] {
        check_names(root, list, report);
    }
}

/// Adds a mistake for each item whose name stands twice in a list.
fn check_names(root: &NodeView<'_>, list: &str, report: &mut CheckReport<'_>) {
    let items = root.field(list).map_or_else(Vec::new, |list| list.items());
    let mut first_lines = BTreeMap::new();
    for name in items.iter().filter_map(|item| item.field("name")) {
        let Some(text) = name.text() else {
            continue;
        };
        let line = report.line(&name);
        if let Some(first_line) = first_lines.insert(text, line) {
            report.add_repeated(&name, text, first_line);
        }
    }
}
