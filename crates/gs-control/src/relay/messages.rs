//! Reports of entries. They are encoded as arrays in place of maps, because traffic between data
//! centres is expensive.

use std::net::SocketAddr;

use gs_protocol::ids::{
    DataCentreName, EntryIdentity, EntryName, Incarnation, SequenceNumber, ServerName,
};
use gs_protocol::peer::{PeerIdentity, PeerState};
use serde::{Deserialize, Serialize};

use crate::forwarding::{
    CapacityDigest, IssueReport, LimitDigest, LoadDigest, OriginDigest, QuotaDigest, RankCounts,
    RankWaiting, RegistryVersion, ServerLoad, ServerWork, StreamShape, WaitingCounts,
};
use crate::quarantine::SuspicionDigest;

/// What one entry reports about itself at one moment.
#[derive(Clone, Debug, Deserialize, PartialEq, Serialize)]
#[serde(from = "ReportFields", into = "ReportFields")]
pub struct EntryReport {
    /// Name of the entry.
    pub entry: EntryName,
    /// Incarnation of the entry.
    pub incarnation: Incarnation,
    /// Number of the report since the start of the entry.
    pub number: u64,
    /// Location and state; absent from reports between the regular ones.
    pub presence: Option<EntryPresence>,
    /// Load of the entry.
    pub load: EntryLoad,
}

/// Location and state of an entry.
#[derive(Clone, Debug, Deserialize, PartialEq, Serialize)]
#[serde(from = "PresenceFields", into = "PresenceFields")]
pub struct EntryPresence {
    /// Data centre that the entry runs in.
    pub data_centre: DataCentreName,
    /// Address that clients connect to.
    pub address: SocketAddr,
    /// Address that peers send to.
    pub peer_address: SocketAddr,
    /// Whether the entry is shutting down or not ready.
    pub is_leaving: bool,
    /// Version of the routes in force; 0 if there are none.
    pub routes_version: u64,
    /// Newest version of the server list that the entry has read.
    pub servers_version: RegistryVersion,
    /// Number of outages of the registry that have ended for the entry.
    pub ended_outages: u64,
    /// Bytes per second that the link of the entry carries in each direction; 0 if that is not known.
    pub link_rate: u64,
    /// Whether the entry reaches no server.
    pub is_isolated: bool,
    /// Address at which the entry takes requests from entries that reach no server; absent if it takes none.
    pub forward_address: Option<SocketAddr>,
}

/// Load of an entry.
#[derive(Clone, Debug, Default, Deserialize, PartialEq, Serialize)]
#[serde(from = "LoadFields", into = "LoadFields")]
pub struct EntryLoad {
    /// Streams in the admission queue.
    pub waiting: WaitingCounts,
    /// Work at each server.
    pub digest: LoadDigest,
    /// Servers that the entry avoids, each with its issue.
    pub issues: IssueReport,
    /// Content that is suspected of crashing servers, or was cleared recently.
    pub suspicions: SuspicionDigest,
    /// Limits of servers, and how many requests the entry has sent there.
    pub limits: LimitDigest,
    /// Streams that run at the entry, by the software versions that began them.
    pub origins: OriginDigest,
    /// Cost of the requests of workspaces that were used lately; empty without quotas.
    pub quotas: QuotaDigest,
    /// Evidence on the speeds of servers; empty in reports between the regular ones.
    pub capacity: CapacityDigest,
}

type ReportFields = (
    EntryName,
    Incarnation,
    u64,
    Option<EntryPresence>,
    EntryLoad,
);

type PresenceFields = (
    DataCentreName,
    SocketAddr,
    SocketAddr,
    bool,
    u64,
    RegistryVersion,
    u64,
    u64,
    bool,
    Option<SocketAddr>,
);

/// Waiting streams that are on time and late, work at each server, issues, suspicions, limits, origins
/// of streams, quotas, and speeds of servers.
type LoadFields = (
    WaitingField,
    u32,
    Vec<WorkFields>,
    IssueReport,
    SuspicionDigest,
    LimitDigest,
    OriginDigest,
    QuotaDigest,
    CapacityDigest,
);

/// Waiting streams that are on time. Where the configuration has workspaces: for each rank with waiting
/// streams, the number of those that are on time and late. Without workspaces ranks thus take no bytes.
#[derive(Debug, Deserialize, Serialize)]
#[serde(untagged)]
enum WaitingField {
    OnTime(u32),
    ByRank(Vec<(u8, u32, u32)>),
}

impl WaitingField {
    /// Encodes the streams that are on time, with the ranks if there are any.
    fn encode(waiting: &WaitingCounts) -> Self {
        let ranks = waiting.by_rank.iter();
        let ranks: Vec<(u8, u32, u32)> = ranks
            .map(|(rank, waiting)| (rank, waiting.on_time, waiting.late))
            .collect();
        match ranks.is_empty() {
            true => Self::OnTime(waiting.on_time),
            false => Self::ByRank(ranks),
        }
    }

    /// Decodes the waiting streams; `late` is the number of those that are late.
    fn decode(self, late: u32) -> WaitingCounts {
        let mut by_rank = RankCounts::NONE;
        let on_time = match self {
            Self::OnTime(on_time) => on_time,
            Self::ByRank(ranks) => {
                let mut total = 0_u32;
                for (rank, on_time, late) in ranks {
                    total = total.saturating_add(on_time);
                    by_rank.add(rank, RankWaiting { on_time, late });
                }
                total
            }
        };
        WaitingCounts {
            on_time,
            late,
            by_rank,
        }
    }
}

/// Server, open requests, prompt tokens, and for each stream the held and the remaining tokens.
type WorkFields = (ServerName, u32, u64, Vec<(u32, u32)>);

impl EntryReport {
    /// Returns the identity of the entry.
    pub fn identity(&self) -> EntryIdentity {
        EntryIdentity {
            entry: self.entry.clone(),
            incarnation: self.incarnation,
        }
    }

    /// Adds the presence and the speeds of an earlier report of the same start, unless this report has
    /// them itself.
    pub fn with_presence_of(mut self, earlier: Self) -> Self {
        let is_same_start = earlier.incarnation == self.incarnation;
        if is_same_start && self.load.capacity.is_empty() {
            self.load.capacity = earlier.load.capacity;
        }
        let earlier_presence = earlier.presence.filter(|_| is_same_start);
        self.presence = self.presence.or(earlier_presence);
        self
    }

    /// Returns what orders the reports of an entry.
    pub fn version(&self) -> (Incarnation, u64) {
        (self.incarnation, self.number)
    }

    /// Returns the identity and the state for membership, from a regular report.
    pub fn peer(&self) -> Option<(PeerIdentity, PeerState)> {
        let presence = self.presence.as_ref()?;
        let peer = PeerIdentity {
            identity: self.identity(),
            data_centre: presence.data_centre.clone(),
            address: presence.address,
            peer_address: presence.peer_address,
        };
        let state = PeerState {
            leaving: presence.is_leaving,
            sequence: SequenceNumber(presence.routes_version),
        };
        Some((peer, state))
    }
}

impl EntryPresence {
    /// Returns what may only grow: the versions of the views and the number of ended outages.
    pub fn progress(&self) -> [RegistryVersion; 3] {
        [
            RegistryVersion::across_eras(self.routes_version),
            self.servers_version,
            RegistryVersion::across_eras(self.ended_outages),
        ]
    }
}

impl From<ReportFields> for EntryReport {
    fn from((entry, incarnation, number, presence, load): ReportFields) -> Self {
        Self {
            entry,
            incarnation,
            number,
            presence,
            load,
        }
    }
}

impl From<EntryReport> for ReportFields {
    fn from(report: EntryReport) -> Self {
        (
            report.entry,
            report.incarnation,
            report.number,
            report.presence,
            report.load,
        )
    }
}

impl From<PresenceFields> for EntryPresence {
    fn from(fields: PresenceFields) -> Self {
        let (
            data_centre,
            address,
            peer_address,
            is_leaving,
            routes,
            servers,
            ended_outages,
            link_rate,
            is_isolated,
            forward_address,
        ) = fields;
        Self {
            data_centre,
            address,
            peer_address,
            is_leaving,
            routes_version: routes,
            servers_version: servers,
            ended_outages,
            link_rate,
            is_isolated,
            forward_address,
        }
    }
}

impl From<EntryPresence> for PresenceFields {
    fn from(presence: EntryPresence) -> Self {
        (
            presence.data_centre,
            presence.address,
            presence.peer_address,
            presence.is_leaving,
            presence.routes_version,
            presence.servers_version,
            presence.ended_outages,
            presence.link_rate,
            presence.is_isolated,
            presence.forward_address,
        )
    }
}

impl From<LoadFields> for EntryLoad {
    fn from(fields: LoadFields) -> Self {
        let (on_time, late, works, issues, suspicions, limits, origins, quotas, capacity) = fields;
        let digest = works
            .into_iter()
            .map(|(server, requests, prompt_tokens, streams)| {
                let shapes = streams.into_iter();
                let work = ServerWork {
                    load: ServerLoad {
                        requests,
                        prompt_tokens,
                    },
                    streams: shapes
                        .map(|(held_tokens, remaining_tokens)| StreamShape {
                            held_tokens,
                            remaining_tokens,
                        })
                        .collect(),
                };
                (server, work)
            });
        Self {
            waiting: on_time.decode(late),
            digest: digest.collect(),
            issues,
            suspicions,
            limits,
            origins,
            quotas,
            capacity,
        }
    }
}

impl From<EntryLoad> for LoadFields {
    fn from(load: EntryLoad) -> Self {
        let works = load.digest.into_iter().map(|(server, work)| {
            let streams = work.streams.iter();
            let streams = streams.map(|shape| (shape.held_tokens, shape.remaining_tokens));
            let ServerLoad {
                requests,
                prompt_tokens,
            } = work.load;
            (server, requests, prompt_tokens, streams.collect())
        });
        (
            WaitingField::encode(&load.waiting),
            load.waiting.late,
            works.collect(),
            load.issues,
            load.suspicions,
            load.limits,
            load.origins,
            load.quotas,
            load.capacity,
        )
    }
}
