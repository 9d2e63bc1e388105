//! Sections of an entry's settings.

use std::net::SocketAddr;
use std::time::Duration;

use gs_protocol::ids::{DataCentreName, EntryName, ServerKindName, ServerName};
use gs_protocol::vm::{VmRecord, VmState, VmWorkload};
use serde::Deserialize;
use serde_with::{DurationMilliSeconds, DurationSeconds, serde_as};

/// A backend server that is known without the platform's list.
#[derive(Clone, Debug, Deserialize, Eq, PartialEq)]
#[serde(deny_unknown_fields, rename_all = "camelCase")]
pub struct ServerSetting {
    /// The server's name.
    pub name: ServerName,
    /// The kind, which the document describes.
    pub kind: ServerKindName,
    /// Where the server serves HTTP.
    pub address: SocketAddr,
    /// Where the server stands.
    pub data_centre: DataCentreName,
}

impl From<&ServerSetting> for VmRecord {
    fn from(setting: &ServerSetting) -> Self {
        Self {
            workload: VmWorkload::Server {
                name: setting.name.clone(),
                kind: setting.kind.clone(),
            },
            address: setting.address,
            data_centre: setting.data_centre.clone(),
            state: VmState::Live,
        }
    }
}

/// Another entry that is known without the platform's list.
#[derive(Clone, Debug, Deserialize, Eq, PartialEq)]
#[serde(deny_unknown_fields, rename_all = "camelCase")]
pub struct PeerSetting {
    /// The entry's name.
    pub name: EntryName,
    /// Where callers connect.
    pub address: SocketAddr,
    /// Where other entries connect.
    pub peer_address: SocketAddr,
    /// Where the entry stands.
    pub data_centre: DataCentreName,
}

impl From<&PeerSetting> for VmRecord {
    fn from(setting: &PeerSetting) -> Self {
        Self {
            workload: VmWorkload::Entry {
                name: setting.name.clone(),
                peer_address: setting.peer_address,
            },
            address: setting.address,
            data_centre: setting.data_centre.clone(),
            state: VmState::Live,
        }
    }
}

/// Bounds on what callers send and get.
#[serde_as]
#[derive(Clone, Debug, Deserialize, Eq, PartialEq)]
#[serde(default, deny_unknown_fields, rename_all = "camelCase")]
pub struct EntryLimits {
    /// Bytes of a request's body.
    pub max_body_bytes: usize,
    /// Bytes of a request's headers.
    pub max_header_bytes: usize,
    /// Bytes of a plain service's answer.
    pub max_answer_bytes: usize,
    /// Callers' connections that are open at once, on all traffic threads.
    pub max_connections: usize,
    /// Seconds for which a caller may use the list of entries.
    #[serde_as(as = "DurationSeconds<u64>")]
    #[serde(rename = "entryListTtlS")]
    pub entry_list_ttl: Duration,
}

impl Default for EntryLimits {
    fn default() -> Self {
        Self {
            max_body_bytes: 1_048_576,
            max_header_bytes: 16_384,
            max_answer_bytes: 4_194_304,
            max_connections: 16_384,
            entry_list_ttl: Duration::from_secs(10),
        }
    }
}

/// How often something is done, in milliseconds.
#[serde_as]
#[derive(Clone, Debug, Deserialize, Eq, PartialEq)]
#[serde(default, deny_unknown_fields, rename_all = "camelCase")]
pub struct IntervalSettings {
    /// Between two reads of an engine's load.
    #[serde_as(as = "DurationMilliSeconds<u64>")]
    #[serde(rename = "loadPollMs")]
    pub load_poll: Duration,
    /// Between two reads of an engine's cache events.
    #[serde_as(as = "DurationMilliSeconds<u64>")]
    #[serde(rename = "cachePollMs")]
    pub cache_poll: Duration,
    /// Between two reads of the head, and the longest watch on it.
    #[serde_as(as = "DurationMilliSeconds<u64>")]
    #[serde(rename = "headPollMs")]
    pub head_poll: Duration,
    /// Between two reads of the platform's list of VMs.
    #[serde_as(as = "DurationMilliSeconds<u64>")]
    #[serde(rename = "vmPollMs")]
    pub vm_poll: Duration,
    /// Between two heartbeats to another entry.
    #[serde_as(as = "DurationMilliSeconds<u64>")]
    #[serde(rename = "heartbeatMs")]
    pub heartbeat: Duration,
    /// Silence after which another entry is suspected.
    #[serde_as(as = "DurationMilliSeconds<u64>")]
    #[serde(rename = "suspectAfterMs")]
    pub suspect_after: Duration,
    /// Between two reports of the entry's own status to the platform.
    #[serde_as(as = "DurationMilliSeconds<u64>")]
    #[serde(rename = "statusMs")]
    pub status: Duration,
}

impl Default for IntervalSettings {
    fn default() -> Self {
        Self {
            load_poll: Duration::from_millis(100),
            cache_poll: Duration::from_millis(250),
            head_poll: Duration::from_secs(2),
            vm_poll: Duration::from_secs(1),
            heartbeat: Duration::from_millis(250),
            suspect_after: Duration::from_millis(1_000),
            status: Duration::from_secs(10),
        }
    }
}

/// How long something may take, in milliseconds.
#[serde_as]
#[derive(Clone, Debug, Deserialize, Eq, PartialEq)]
#[serde(default, deny_unknown_fields, rename_all = "camelCase")]
pub struct TimeoutSettings {
    /// Making a connection.
    #[serde_as(as = "DurationMilliSeconds<u64>")]
    #[serde(rename = "connectMs")]
    pub connect: Duration,
    /// One call to the platform's service.
    #[serde_as(as = "DurationMilliSeconds<u64>")]
    #[serde(rename = "platformMs")]
    pub platform: Duration,
    /// The answer to a reservation.
    #[serde_as(as = "DurationMilliSeconds<u64>")]
    #[serde(rename = "reserveMs")]
    pub reserve: Duration,
    /// Silence of an engine's stream after which it counts as lost.
    #[serde_as(as = "DurationMilliSeconds<u64>")]
    #[serde(rename = "engineSilentMs")]
    pub engine_silent: Duration,
    /// A completion, from its arrival to its end.
    #[serde_as(as = "DurationMilliSeconds<u64>")]
    #[serde(rename = "completionMs")]
    pub completion: Duration,
    /// Reading a caller's request.
    #[serde_as(as = "DurationMilliSeconds<u64>")]
    #[serde(rename = "callerReadMs")]
    pub caller_read: Duration,
    /// Waiting for open requests at a shutdown.
    #[serde_as(as = "DurationMilliSeconds<u64>")]
    #[serde(rename = "shutdownMs")]
    pub shutdown: Duration,
}

impl Default for TimeoutSettings {
    fn default() -> Self {
        Self {
            connect: Duration::from_millis(500),
            platform: Duration::from_millis(2_000),
            reserve: Duration::from_millis(500),
            engine_silent: Duration::from_millis(2_000),
            completion: Duration::from_secs(300),
            caller_read: Duration::from_secs(10),
            shutdown: Duration::from_secs(330),
        }
    }
}

/// How idempotency keys are claimed.
#[serde_as]
#[derive(Clone, Debug, Deserialize, Eq, PartialEq)]
#[serde(default, deny_unknown_fields, rename_all = "camelCase")]
pub struct ClaimSettings {
    /// Shards of the key space; all entries of an environment have the same.
    pub shards: u32,
    /// Milliseconds for which an entry owns a shard unless it renews the lease.
    #[serde_as(as = "DurationMilliSeconds<u64>")]
    #[serde(rename = "leaseMs")]
    pub lease: Duration,
    /// Claim writes a second of all entries of an environment together; each shard has an equal part.
    pub writes_per_s: u32,
    /// Milliseconds by which a key's time may lie in the future.
    #[serde_as(as = "DurationMilliSeconds<u64>")]
    #[serde(rename = "clockSkewMs")]
    pub clock_skew: Duration,
    /// Bytes of an answer that is kept for repeats.
    pub max_kept_bytes: usize,
}

impl Default for ClaimSettings {
    fn default() -> Self {
        Self {
            shards: 16,
            lease: Duration::from_millis(5_000),
            writes_per_s: 90,
            clock_skew: Duration::from_secs(30),
            max_kept_bytes: 4_096,
        }
    }
}
