//! Sections of the settings of `gs-entry`.

use std::net::SocketAddr;
use std::time::Duration;

use gs_protocol::ids::{DataCentreName, EntryName, ServerKindName, ServerName};
use gs_protocol::vm::{VmRecord, VmState, VmWorkload};
use serde::Deserialize;
use serde_with::{DurationMilliSeconds, DurationSeconds, serde_as};

/// A backend server configured independently of the platform's list of VMs.
#[derive(Clone, Debug, Deserialize, Eq, PartialEq)]
#[serde(deny_unknown_fields, rename_all = "camelCase")]
pub struct ServerSetting {
    /// The server's name.
    pub name: ServerName,
    /// The server's kind, declared in the document.
    pub kind: ServerKindName,
    /// The address of the server's HTTP interface.
    pub address: SocketAddr,
    /// The data centre that the server runs in.
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

/// Another entry configured independently of the platform's list of VMs.
#[derive(Clone, Debug, Deserialize, Eq, PartialEq)]
#[serde(deny_unknown_fields, rename_all = "camelCase")]
pub struct PeerSetting {
    /// The entry's name.
    pub name: EntryName,
    /// The address that callers connect to.
    pub address: SocketAddr,
    /// The address that other entries connect to.
    pub peer_address: SocketAddr,
    /// The data centre that the entry runs in.
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

/// Limits on requests, answers and connections.
#[serde_as]
#[derive(Clone, Debug, Deserialize, Eq, PartialEq)]
#[serde(default, deny_unknown_fields, rename_all = "camelCase")]
pub struct EntryLimits {
    /// The maximum size of a request's body, in bytes.
    pub max_body_bytes: usize,
    /// The maximum size of a request's headers, in bytes.
    pub max_header_bytes: usize,
    /// The maximum size of a plain service's answer, in bytes.
    pub max_answer_bytes: usize,
    /// The maximum number of open connections from callers, over all traffic threads.
    pub max_connections: usize,
    /// The time for which a caller may cache the list of entries, in seconds.
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

/// Intervals of periodic tasks, in milliseconds.
#[serde_as]
#[derive(Clone, Debug, Deserialize, Eq, PartialEq)]
#[serde(default, deny_unknown_fields, rename_all = "camelCase")]
pub struct IntervalSettings {
    /// The interval between two polls of an engine's load.
    #[serde_as(as = "DurationMilliSeconds<u64>")]
    #[serde(rename = "loadPollMs")]
    pub load_poll: Duration,
    /// The interval between two polls of an engine's cache events.
    #[serde_as(as = "DurationMilliSeconds<u64>")]
    #[serde(rename = "cachePollMs")]
    pub cache_poll: Duration,
    /// The interval between two reads of the head, and the time-out of a watch on it.
    #[serde_as(as = "DurationMilliSeconds<u64>")]
    #[serde(rename = "headPollMs")]
    pub head_poll: Duration,
    /// The interval between two reads of the platform's list of VMs.
    #[serde_as(as = "DurationMilliSeconds<u64>")]
    #[serde(rename = "vmPollMs")]
    pub vm_poll: Duration,
    /// The interval between two heartbeats to another entry.
    #[serde_as(as = "DurationMilliSeconds<u64>")]
    #[serde(rename = "heartbeatMs")]
    pub heartbeat: Duration,
    /// The time without messages after which another entry is suspected of having failed.
    #[serde_as(as = "DurationMilliSeconds<u64>")]
    #[serde(rename = "suspectAfterMs")]
    pub suspect_after: Duration,
    /// The interval between two writes of the entry's status record.
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

/// Time-outs, in milliseconds.
#[serde_as]
#[derive(Clone, Debug, Deserialize, Eq, PartialEq)]
#[serde(default, deny_unknown_fields, rename_all = "camelCase")]
pub struct TimeoutSettings {
    /// Establishing a connection.
    #[serde_as(as = "DurationMilliSeconds<u64>")]
    #[serde(rename = "connectMs")]
    pub connect: Duration,
    /// One call to the platform.
    #[serde_as(as = "DurationMilliSeconds<u64>")]
    #[serde(rename = "platformMs")]
    pub platform: Duration,
    /// Waiting for the answer to a reservation.
    #[serde_as(as = "DurationMilliSeconds<u64>")]
    #[serde(rename = "reserveMs")]
    pub reserve: Duration,
    /// The time without events after which an engine's stream counts as lost.
    #[serde_as(as = "DurationMilliSeconds<u64>")]
    #[serde(rename = "engineSilentMs")]
    pub engine_silent: Duration,
    /// A completion, from the request's arrival to its end.
    #[serde_as(as = "DurationMilliSeconds<u64>")]
    #[serde(rename = "completionMs")]
    pub completion: Duration,
    /// Reading a caller's request.
    #[serde_as(as = "DurationMilliSeconds<u64>")]
    #[serde(rename = "callerReadMs")]
    pub caller_read: Duration,
    /// Waiting for open requests during a shutdown.
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

/// Settings of claims on idempotency keys.
#[serde_as]
#[derive(Clone, Debug, Deserialize, Eq, PartialEq)]
#[serde(default, deny_unknown_fields, rename_all = "camelCase")]
pub struct ClaimSettings {
    /// The number of shards of the key space; must be equal at all entries of an environment.
    pub shards: u32,
    /// The duration of a shard's lease unless it is renewed, in milliseconds.
    #[serde_as(as = "DurationMilliSeconds<u64>")]
    #[serde(rename = "leaseMs")]
    pub lease: Duration,
    /// The limit on claim writes per second by all entries of an environment together, divided
    /// equally among the shards.
    pub writes_per_s: u32,
    /// The time by which a key's timestamp may lie in the future, in milliseconds.
    #[serde_as(as = "DurationMilliSeconds<u64>")]
    #[serde(rename = "clockSkewMs")]
    pub clock_skew: Duration,
    /// The maximum size of an answer that is stored for replay, in bytes.
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
