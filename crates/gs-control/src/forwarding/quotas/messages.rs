//! Reports and decisions of the quotas.

use std::time::Duration;

use serde::{Deserialize, Serialize};

/// What an entry reports of one workspace.
#[derive(Clone, Copy, Debug, Deserialize, Eq, PartialEq, Serialize)]
#[serde(from = "(u32, u64, u64)", into = "(u32, u64, u64)")]
pub struct QuotaReport {
    /// Hash of the workspace's name.
    pub workspace: u32,
    /// Cost of the requests that were admitted since the start of the entry, less what was given back.
    pub admitted: u64,
    /// Cost of the requests that were refused since the start of the entry.
    pub refused: u64,
}

impl From<(u32, u64, u64)> for QuotaReport {
    fn from((workspace, admitted, refused): (u32, u64, u64)) -> Self {
        Self {
            workspace,
            admitted,
            refused,
        }
    }
}

impl From<QuotaReport> for (u32, u64, u64) {
    fn from(report: QuotaReport) -> Self {
        (report.workspace, report.admitted, report.refused)
    }
}

/// What an entry reports of the workspaces that were used lately, by the hashes of their names.
pub type QuotaDigest = Vec<QuotaReport>;

/// Whether a request is within the quota of its workspace.
#[derive(Clone, Copy, Debug, PartialEq)]
pub enum QuotaDecision {
    /// The request may run; its cost is counted.
    Admitted {
        /// Whether the peers should hear of it before the next regular report.
        is_report_due: bool,
    },
    /// The quota is used up.
    Refused(QuotaRefusal),
}

/// Why a request was refused, and when it may be sent again.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct QuotaRefusal {
    /// Time after which there is room for the request.
    pub retry_after: Duration,
    /// Cost that the whole fleet may admit at this moment, as this entry knows it.
    pub available: f64,
    /// Cost that callers ask for in a second, as this entry knows it.
    pub demand_rate: f64,
    /// Entries that are heard, this one included.
    pub heard_entries: usize,
    /// Entries that may admit requests, this one included.
    pub entries: usize,
}
