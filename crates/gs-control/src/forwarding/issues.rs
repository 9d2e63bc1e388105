//! Issues with listed servers that peers report.
//!
//! When a server crashes or becomes unreachable in a large fleet, each entry would lose a request
//! to it before it notices, so that one dead server costs as many requests as there are entries.
//! Entries therefore report a server to their peers for as long as they avoid it themselves.

use std::collections::BTreeMap;
use std::time::{Duration, Instant};

use gs_protocol::ids::{EntryName, ServerName};
use serde::{Deserialize, Serialize};

use super::directory::{ListedServer, ServerStage};

/// Number of peers that must report a server as unreachable before it is avoided. A single peer may
/// itself be partitioned from the server.
const MIN_UNREACHABLE_REPORTS: usize = 2;

/// An issue that an entry has found with a server.
#[derive(Clone, Copy, Debug, Deserialize, Eq, PartialEq, Serialize)]
pub enum ServerIssue {
    /// The server could not be reached or did not answer.
    #[serde(rename = "u")]
    Unreachable,
    /// Another server answered at its address. The value is the start time of the intended server
    /// in Unix milliseconds, as listed by the registry.
    #[serde(rename = "m")]
    Misdirected(Option<u64>),
    /// The server has said in an answer that it is leaving. The value is its start time in Unix
    /// milliseconds, as listed by the registry.
    #[serde(rename = "l")]
    Leaving(Option<u64>),
    /// The engine was ordered to change to this stage and accepts no work until the change is done.
    #[serde(rename = "s")]
    Switching(ServerStage),
}

impl ServerIssue {
    /// Returns the new stage of an engine that changes its stage.
    fn stage(self) -> Option<ServerStage> {
        match self {
            Self::Switching(stage) => Some(stage),
            Self::Unreachable | Self::Misdirected(_) | Self::Leaving(_) => None,
        }
    }
}

/// The issues that one entry has found, by server.
pub type IssueReport = Vec<(ServerName, ServerIssue)>;

/// An issue that a peer reported, and when.
#[derive(Clone, Copy, Debug)]
struct ReportedIssue {
    issue: ServerIssue,
    received_at: Instant,
}

/// The newest issue reports of all peers, by server.
#[derive(Debug, Default)]
pub struct IssueTable {
    reported: BTreeMap<ServerName, BTreeMap<EntryName, ReportedIssue>>,
}

impl IssueTable {
    /// Replaces the report of a peer.
    pub fn apply_report(&mut self, now: Instant, peer: &EntryName, report: IssueReport) {
        self.reported.retain(|_, peers| {
            peers.remove(peer);
            !peers.is_empty()
        });
        for (server, issue) in report {
            let reported = ReportedIssue {
                issue,
                received_at: now,
            };
            self.reported
                .entry(server)
                .or_default()
                .insert(peer.clone(), reported);
        }
    }

    /// Removes issues that were last reported longer than `lifetime` ago.
    pub fn expire_reports(&mut self, now: Instant, lifetime: Duration) {
        self.reported.retain(|_, peers| {
            peers.retain(|_, reported| {
                now.saturating_duration_since(reported.received_at) <= lifetime
            });
            !peers.is_empty()
        });
    }

    /// Returns whether the reports rule out a server: enough peers cannot reach it, another server
    /// answers at its address, it is leaving, or it is changing its stage.
    pub fn rules_out(&self, server: &ListedServer) -> bool {
        let Some(peers) = self.reported.get(&server.name) else {
            return false;
        };
        let issues = || peers.values().map(|reported| reported.issue);
        let start = server.started_at_ms;
        let is_left = |issue| {
            issue == ServerIssue::Misdirected(start) || issue == ServerIssue::Leaving(start)
        };
        let unreachable = issues().filter(|issue| *issue == ServerIssue::Unreachable);
        unreachable.count() >= MIN_UNREACHABLE_REPORTS
            || issues().any(|issue| is_left(issue) || issue.stage().is_some())
    }

    /// Returns the engines that peers have ordered to change stage, and their new stages.
    pub fn stage_changes(&self) -> impl Iterator<Item = (&ServerName, ServerStage)> {
        self.reported.iter().filter_map(|(server, peers)| {
            let stage = peers.values().find_map(|reported| reported.issue.stage());
            stage.map(|stage| (server, stage))
        })
    }
}
