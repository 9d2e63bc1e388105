//! Reports of entries. They are tuples, so that an encoding has arrays in place of maps: traffic
//! between data centres is expensive.

use std::net::SocketAddr;

use gs_protocol::ids::{
    DataCentreName, EntryIdentity, EntryName, Incarnation, SequenceNumber, ServerName,
};
use gs_protocol::peer::{PeerIdentity, PeerState};
use serde::{Deserialize, Serialize};

use crate::forwarding::{
    IssueReport, LoadDigest, ServerLoad, ServerWork, StreamShape, WaitingCounts,
};

/// What one entry reports about itself at one moment.
#[derive(Clone, Debug, Deserialize, PartialEq, Serialize)]
pub struct EntryReport(
    /// Name of the entry.
    pub EntryName,
    /// Incarnation of the entry.
    pub Incarnation,
    /// Number of the report since the start of the entry.
    pub u64,
    /// Absent from reports between the regular ones.
    pub Option<EntryPresence>,
    /// Load of the entry.
    pub LoadFrame,
);

/// Location and state of an entry.
#[derive(Clone, Debug, Deserialize, PartialEq, Serialize)]
pub struct EntryPresence(
    /// Data centre that the entry runs in.
    pub DataCentreName,
    /// Address that clients connect to.
    pub SocketAddr,
    /// Address that peers send to.
    pub SocketAddr,
    /// Whether the entry is shutting down or not ready.
    pub bool,
    /// Version of the routes in force.
    pub u64,
    /// Newest version of the server list that the entry has read.
    pub u64,
    /// Number of outages of the registry that have ended for the entry.
    pub u64,
);

/// Load of an entry.
#[derive(Clone, Debug, Deserialize, PartialEq, Serialize)]
pub struct LoadFrame(
    /// Streams in the admission queue that can still meet their latency target.
    pub u32,
    /// Streams in the admission queue that will miss their latency target.
    pub u32,
    /// Load at each server.
    pub Vec<ServerFrame>,
    /// Servers that the entry avoids, each with its issue.
    pub IssueReport,
);

/// Load of an entry at one server.
#[derive(Clone, Debug, Deserialize, PartialEq, Serialize)]
pub struct ServerFrame(
    /// Name of the server.
    pub ServerName,
    /// Requests in progress, without streams.
    pub u32,
    /// Prompt tokens that are not processed yet.
    pub u64,
    /// For each stream, the tokens it holds in memory and the tokens it is expected to add.
    pub Vec<(u32, u32)>,
);

impl EntryReport {
    /// Returns the identity of the entry.
    pub fn identity(&self) -> EntryIdentity {
        EntryIdentity {
            entry: self.0.clone(),
            incarnation: self.1,
        }
    }

    /// Returns what orders the reports of an entry.
    pub fn version(&self) -> (Incarnation, u64) {
        (self.1, self.2)
    }

    /// Returns the identity and the state for membership, from a regular report.
    pub fn peer(&self) -> Option<(PeerIdentity, PeerState)> {
        let presence = self.3.as_ref()?;
        let peer = PeerIdentity {
            identity: self.identity(),
            data_centre: presence.0.clone(),
            address: presence.1,
            peer_address: presence.2,
        };
        let state = PeerState {
            leaving: presence.3,
            sequence: SequenceNumber(presence.4),
        };
        Some((peer, state))
    }
}

impl EntryPresence {
    /// Creates the presence of an entry. `servers_version` and `ended_outages` are those of its
    /// reads of the registry.
    pub fn new(
        peer: &PeerIdentity,
        state: PeerState,
        servers_version: u64,
        ended_outages: u64,
    ) -> Self {
        Self(
            peer.data_centre.clone(),
            peer.address,
            peer.peer_address,
            state.leaving,
            state.sequence.0,
            servers_version,
            ended_outages,
        )
    }

    /// Returns what may only grow: the versions of the views and the number of ended outages.
    pub fn progress(&self) -> [u64; 3] {
        [self.4, self.5, self.6]
    }
}

impl LoadFrame {
    /// Encodes the load of an entry.
    pub fn new(waiting: WaitingCounts, digest: LoadDigest, issues: IssueReport) -> Self {
        let servers = digest.into_iter().map(|(server, work)| {
            let streams = work
                .streams
                .iter()
                .map(|shape| (shape.held_tokens, shape.remaining_tokens));
            let load = work.load;
            ServerFrame(server, load.requests, load.prompt_tokens, streams.collect())
        });
        Self(waiting.on_time, waiting.late, servers.collect(), issues)
    }

    /// Returns the numbers of waiting streams.
    pub fn waiting(&self) -> WaitingCounts {
        WaitingCounts {
            on_time: self.0,
            late: self.1,
        }
    }

    /// Decodes the load at each server, and the issues.
    pub fn into_parts(self) -> (LoadDigest, IssueReport) {
        let servers = self.2.into_iter();
        let digest = servers
            .map(|ServerFrame(server, requests, prompt_tokens, streams)| {
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
            })
            .collect();
        (digest, self.3)
    }
}
