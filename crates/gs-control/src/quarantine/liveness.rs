//! Which start of each server is known, and what was seen of it since it was last doubted.

use std::collections::BTreeMap;

use gs_protocol::ids::ServerName;
use gs_protocol::suspicion::ServerDeath;

/// Load reports that prove a server alive. The call for the first may have been answered before the doubt.
const PROVING_SIGHTINGS: u32 = 2;

/// One server.
#[derive(Clone, Copy, Debug)]
struct ServerWatch {
    boot: u64,
    is_doubted: bool,
    sightings: u32,
}

/// What a load report shows.
#[derive(Clone, Debug, Eq, PartialEq)]
pub enum SightingNews {
    /// Nothing new.
    Nothing,
    /// The start that was doubted is alive.
    Alive,
    /// An earlier start has ended.
    Died(ServerDeath),
}

/// All servers that have sent a load report.
#[derive(Clone, Debug, Default)]
pub struct WatchTable {
    watches: BTreeMap<ServerName, ServerWatch>,
}

impl WatchTable {
    /// Takes in a load report.
    pub fn see(&mut self, seen: &ServerDeath) -> SightingNews {
        let fresh = ServerWatch {
            boot: seen.boot,
            is_doubted: false,
            sightings: 0,
        };
        let Some(watch) = self.watches.get_mut(&seen.server) else {
            self.watches.insert(seen.server.clone(), fresh);
            return SightingNews::Nothing;
        };
        if watch.boot != seen.boot {
            let boot = std::mem::replace(watch, fresh).boot;
            let server = seen.server.clone();
            return SightingNews::Died(ServerDeath { server, boot });
        }
        watch.sightings = watch.sightings.saturating_add(1);
        if !watch.is_doubted || watch.sightings < PROVING_SIGHTINGS {
            return SightingNews::Nothing;
        }
        watch.is_doubted = false;
        SightingNews::Alive
    }

    /// Asks for a new proof that a server is alive.
    pub fn doubt(&mut self, server: &ServerName) {
        if let Some(watch) = self.watches.get_mut(server) {
            watch.is_doubted = true;
            watch.sightings = 0;
        }
    }

    /// Servers of which it is not known whether they are alive.
    pub fn doubted(&self) -> impl Iterator<Item = &ServerName> {
        let doubted = self.watches.iter().filter(|(_, watch)| watch.is_doubted);
        doubted.map(|(server, _)| server)
    }

    /// The known start of a server; 0 if it was never seen.
    pub fn boot(&self, server: &ServerName) -> u64 {
        self.watches.get(server).map_or(0, |watch| watch.boot)
    }

    /// The end of the known start of a server.
    pub fn death(&self, server: &ServerName) -> ServerDeath {
        ServerDeath {
            server: server.clone(),
            boot: self.boot(server),
        }
    }
}
