//! Tracks the boot of each server and whether the server is known to be alive.

use std::collections::BTreeMap;

use gs_protocol::ids::ServerName;
use gs_protocol::suspicion::ServerBoot;

/// Load reports that verify that a server is alive. The first may have been sent before the server
/// was marked unverified, so one does not suffice.
const MIN_VERIFYING_REPORTS: u32 = 2;

/// The current boot of one server, and the number of its load reports after the first one of that
/// boot, or since it was marked unverified.
#[derive(Clone, Copy, Debug)]
struct ServerLiveness {
    boot: u64,
    is_unverified: bool,
    reports: u32,
}

/// What a load report reveals about a server's boots.
#[derive(Clone, Debug, Eq, PartialEq)]
pub enum LivenessChange {
    /// The report changes nothing.
    Unchanged,
    /// The unverified boot is alive.
    Verified,
    /// The server was restarted; this earlier boot has ended.
    Died(ServerBoot),
}

/// The liveness of all servers that have sent a load report.
#[derive(Clone, Debug, Default)]
pub struct LivenessTable {
    servers: BTreeMap<ServerName, ServerLiveness>,
}

impl LivenessTable {
    /// Updates a server from a load report of one of its boots.
    pub fn apply_load_report(&mut self, reported: &ServerBoot) -> LivenessChange {
        let fresh = ServerLiveness {
            boot: reported.boot,
            is_unverified: false,
            reports: 0,
        };
        let Some(liveness) = self.servers.get_mut(&reported.server) else {
            self.servers.insert(reported.server.clone(), fresh);
            return LivenessChange::Unchanged;
        };
        if liveness.boot != reported.boot {
            let boot = std::mem::replace(liveness, fresh).boot;
            let server = reported.server.clone();
            return LivenessChange::Died(ServerBoot { server, boot });
        }
        liveness.reports = liveness.reports.saturating_add(1);
        if !liveness.is_unverified || liveness.reports < MIN_VERIFYING_REPORTS {
            return LivenessChange::Unchanged;
        }
        liveness.is_unverified = false;
        LivenessChange::Verified
    }

    /// Marks a server unverified until it sends `MIN_VERIFYING_REPORTS` more load reports.
    pub fn mark_unverified(&mut self, server: &ServerName) {
        if let Some(liveness) = self.servers.get_mut(server) {
            liveness.is_unverified = true;
            liveness.reports = 0;
        }
    }

    /// Iterates over the servers that may be dead.
    pub fn unverified(&self) -> impl Iterator<Item = &ServerName> {
        let unverified = self
            .servers
            .iter()
            .filter(|(_, liveness)| liveness.is_unverified);
        unverified.map(|(server, _)| server)
    }

    /// Returns the number of a server's last known boot; 0 if it has not sent a load report.
    pub fn boot(&self, server: &ServerName) -> u64 {
        self.servers.get(server).map_or(0, |liveness| liveness.boot)
    }

    /// Returns a server with its last known boot.
    pub fn last_boot(&self, server: &ServerName) -> ServerBoot {
        ServerBoot {
            server: server.clone(),
            boot: self.boot(server),
        }
    }
}
