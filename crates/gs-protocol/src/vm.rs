//! Records of the platform's lagging list of VMs.

use std::net::SocketAddr;

use serde::{Deserialize, Serialize};

use crate::ids::{DataCentreName, EntryName, ServerKindName, ServerName};

/// What the platform says of a VM.
#[derive(Clone, Copy, Debug, Deserialize, Eq, Hash, Ord, PartialEq, PartialOrd, Serialize)]
#[serde(rename_all = "kebab-case")]
pub enum VmState {
    /// In use.
    Live,
    /// About to be removed: takes no new work.
    Leaving,
}

/// What a VM runs.
#[derive(Clone, Debug, Deserialize, Eq, Hash, Ord, PartialEq, PartialOrd, Serialize)]
#[serde(
    rename_all = "camelCase",
    rename_all_fields = "camelCase",
    tag = "duty"
)]
pub enum VmWorkload {
    /// An entry of this system.
    Entry {
        /// The entry's name.
        name: EntryName,
        /// Where other entries connect.
        peer_address: SocketAddr,
    },
    /// A backend server: a model engine or a plain service.
    Server {
        /// The server's name.
        name: ServerName,
        /// The kind, which the document describes.
        kind: ServerKindName,
    },
}

/// One VM of the platform's list.
#[derive(Clone, Debug, Deserialize, Eq, Hash, PartialEq, Serialize)]
#[serde(rename_all = "camelCase")]
pub struct VmRecord {
    /// What the VM runs.
    #[serde(flatten)]
    pub workload: VmWorkload,
    /// Where the VM serves HTTP.
    pub address: SocketAddr,
    /// Where the VM stands.
    pub data_centre: DataCentreName,
    /// Whether the VM is leaving.
    pub state: VmState,
}
