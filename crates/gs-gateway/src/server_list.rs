//! The servers that the registry lists, and restarts that their records show.

use std::time::Instant;

use gs_control::forwarding::ListedServer;
use gs_protocol::ids::{ServerName, SoftwareVersion};
use gs_protocol::suspicion::ServerBoot;

use crate::gateway::{Gateway, GatewayState};

impl GatewayState {
    /// Records which software versions the known servers have.
    pub(crate) fn observe_software(&mut self, now: Instant) {
        let Self {
            directory, origins, ..
        } = self;
        origins.observe_servers(now, directory.servers());
    }

    /// Returns the current boot of a server, if it is known.
    fn known_boot(&self, server: &ServerName) -> Option<ServerBoot> {
        self.directory.get(server)?;
        Some(self.server_boot(server))
    }

    /// Returns which of these boots have ended because their servers have started again.
    fn ended_boots(&self, boots: Vec<ServerBoot>) -> Vec<ServerBoot> {
        let has_ended = |boot: &ServerBoot| {
            self.known_boot(&boot.server)
                .is_some_and(|current| current != *boot)
        };
        boots.into_iter().filter(has_ended).collect()
    }
}

impl Gateway {
    /// Replaces all known servers by the complete list of the registry.
    pub fn replace_servers(&self, servers: Vec<ListedServer>) {
        let now = Instant::now();
        let mut guard = self.state.borrow_mut();
        let state = &mut *guard;
        log::info!(target: "servers", count = servers.len(); "server list replaced");
        let boots = servers
            .iter()
            .filter_map(|server| state.known_boot(&server.name));
        let boots: Vec<ServerBoot> = boots.collect();
        state.directory.apply_list(now, servers);
        state.observe_software(now);
        let restarted = state.ended_boots(boots);
        state.is_server_list_known = true;
        let directory = &state.directory;
        state
            .loads
            .retain_servers(|server| directory.get(server).is_some());
        state
            .limits
            .retain_servers(|server| directory.get(server).is_some());
        state
            .intake
            .retain_servers(|server| directory.get(server).is_some());
        let stage_orders = &mut state.stage_orders;
        stage_orders.retain(|server, _| directory.get(server).is_some());
        drop(guard);
        self.record_restarts(&restarted);
        self.capacity_changed.notify_one();
    }

    /// Handles the ends of boots whose servers have started again.
    fn record_restarts(&self, boots: &[ServerBoot]) {
        for boot in boots {
            self.state.borrow_mut().limits.end_pause(&boot.server);
            self.record_crash(boot);
        }
    }

    /// Adds or updates one server.
    pub fn put_server(&self, server: ListedServer) {
        let mut state = self.state.borrow_mut();
        if state.directory.get(&server.name) != Some(&server) {
            log::info!(target: "servers", server:% = server.name, address:% = server.address, service:% = server.service, stage:? = server.stage, leaving = server.is_leaving, software:% = server.software, born:? = server.started_at_ms; "server added or changed");
        }
        let boot = state.known_boot(&server.name);
        state.directory.upsert(server);
        state.observe_software(Instant::now());
        let restarted = state.ended_boots(boot.into_iter().collect());
        drop(state);
        self.record_restarts(&restarted);
        self.capacity_changed.notify_one();
    }

    /// Returns the version of a server's software, if it is known.
    pub(crate) fn server_software(&self, server: &ServerName) -> Option<SoftwareVersion> {
        let state = self.state.borrow();
        Some(state.directory.get(server)?.software.clone())
    }

    /// Whether a record is the one that this entry goes by for its server.
    pub fn is_server_current(&self, server: &ListedServer) -> bool {
        self.state.borrow().directory.get(&server.name) == Some(server)
    }

    /// Handles the removal of a server from the registry.
    pub fn remove_server(&self, server: &ServerName) {
        log::info!(target: "servers", server:%; "server removed from the registry");
        let mut state = self.state.borrow_mut();
        state.directory.remove(Instant::now(), server);
    }
}
