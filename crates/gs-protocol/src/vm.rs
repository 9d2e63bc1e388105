//! Records of the platform's list of VMs, which lags behind the actual state.

use std::net::SocketAddr;

use serde::{Deserialize, Serialize};

use crate::ids::{DataCentreName, EntryName, ServerKindName, ServerName};

/// The lifecycle state of a VM.
#[derive(Clone, Copy, Debug, Deserialize, Eq, Hash, Ord, PartialEq, PartialOrd, Serialize)]
#[serde(rename_all = "kebab-case")]
pub enum VmState {
    /// The VM is in use.
    Live,
    /// The VM is about to be removed and accepts no new work.
    Leaving,
}

/// The process that a VM runs.
#[derive(Clone, Debug, Deserialize, Eq, Hash, Ord, PartialEq, PartialOrd, Serialize)]
#[serde(
    rename_all = "camelCase",
    rename_all_fields = "camelCase",
    tag = "duty"
)]
pub enum VmWorkload {
    /// An entry.
    Entry {
        /// The entry's name.
        name: EntryName,
        /// The address that other entries connect to.
        peer_address: SocketAddr,
    },
    /// A backend server: a model engine or a plain service.
    Server {
        /// The server's name.
        name: ServerName,
        /// The server's kind, declared in the document.
        kind: ServerKindName,
    },
}

/// One VM in the platform's list.
#[derive(Clone, Debug, Deserialize, Eq, Hash, PartialEq, Serialize)]
#[serde(rename_all = "camelCase")]
pub struct VmRecord {
    /// The process that the VM runs.
    #[serde(flatten)]
    pub workload: VmWorkload,
    /// The address of the VM's HTTP server.
    pub address: SocketAddr,
    /// The data centre that the VM runs in.
    pub data_centre: DataCentreName,
    /// The VM's lifecycle state.
    pub state: VmState,
}
