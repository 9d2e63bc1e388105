//! What the peers have met at servers that the registry still names.
//!
//! The load it answers: servers that crash or go dark under a large fleet. Each entry would find out by a
//! request of its own, so that one dead server costs as many requests as there are entries; instead the
//! entries tell each other what they have met for as long as they avoid the server themselves.

use std::collections::BTreeMap;
use std::time::{Duration, Instant};

use gs_protocol::ids::{EntryName, ServerName};
use serde::{Deserialize, Serialize};

use super::directory::{ServerEntry, ServerStage};

/// How many peers must not have reached a server before it is avoided here. One alone may be cut off itself.
const UNREACHED_PEERS: usize = 2;

/// What an entry has met at a server.
#[derive(Clone, Copy, Debug, Deserialize, Eq, PartialEq, Serialize)]
pub enum ServerIssue {
    /// It could not be reached or did not answer.
    #[serde(rename = "u")]
    Unreachable,
    /// Another server has answered at its address; it was the start at this Unix millisecond that was meant.
    #[serde(rename = "m")]
    Misdirected(Option<u64>),
    /// It was ordered to another stage and runs nothing until that is done.
    #[serde(rename = "s")]
    Switching(ServerStage),
}

impl ServerIssue {
    /// The stage that the server will have.
    fn stage(self) -> Option<ServerStage> {
        match self {
            Self::Switching(stage) => Some(stage),
            Self::Unreachable | Self::Misdirected(_) => None,
        }
    }
}

/// What one entry has met, by server.
pub type IssueReport = Vec<(ServerName, ServerIssue)>;

#[derive(Clone, Copy, Debug)]
struct ToldTrouble {
    trouble: ServerIssue,
    heard: Instant,
}

/// The newest reports of all peers.
#[derive(Debug, Default)]
pub struct IssueTable {
    told: BTreeMap<ServerName, BTreeMap<EntryName, ToldTrouble>>,
}

impl IssueTable {
    /// Takes in a peer's report in place of its last one.
    pub fn hear(&mut self, now: Instant, peer: &EntryName, report: IssueReport) {
        self.told.retain(|_, peers| {
            peers.remove(peer);
            !peers.is_empty()
        });
        for (server, trouble) in report {
            let told = ToldTrouble {
                trouble,
                heard: now,
            };
            self.told
                .entry(server)
                .or_default()
                .insert(peer.clone(), told);
        }
    }

    /// Forgets reports that were not renewed.
    pub fn drop_old(&mut self, now: Instant, lifetime: Duration) {
        self.told.retain(|_, peers| {
            peers.retain(|_, told| now.saturating_duration_since(told.heard) <= lifetime);
            !peers.is_empty()
        });
    }

    /// Whether the peers' reports speak against sending anything to a server.
    pub fn speaks_against(&self, entry: &ServerEntry) -> bool {
        let Some(peers) = self.told.get(&entry.name) else {
            return false;
        };
        let troubles = || peers.values().map(|told| told.trouble);
        let is_replaced = |trouble| trouble == ServerIssue::Misdirected(entry.started_at_ms);
        let unreached = troubles().filter(|trouble| *trouble == ServerIssue::Unreachable);
        unreached.count() >= UNREACHED_PEERS
            || troubles().any(|trouble| is_replaced(trouble) || trouble.stage().is_some())
    }

    /// Servers that peers have ordered to another stage.
    pub fn switching(&self) -> impl Iterator<Item = (&ServerName, ServerStage)> {
        self.told.iter().filter_map(|(server, peers)| {
            let stage = peers.values().find_map(|told| told.trouble.stage());
            stage.map(|stage| (server, stage))
        })
    }
}
