//! Finds out whether this entry reaches any server, and which entries clients should use.

use std::net::SocketAddr;
use std::rc::Rc;
use std::time::Instant;

use gs_control::forwarding::{IsolationChange, ListedServer, ServingEntry, serving_entries};
use gs_protocol::ids::{DataCentreName, ServerName};
use rand::seq::SliceRandom;

use crate::connection::{CallError, ServerConnection};
use crate::gateway::{EntryEndpoint, Gateway, GatewayState};
use crate::plain::CONNECT_TIMEOUT;

/// Minimum number of endpoints returned to a client, provided that many entries are known.
const MIN_ENTRY_ENDPOINTS: usize = 3;

impl Gateway {
    /// Connects to a server.
    pub(crate) async fn open_server(
        &self,
        address: SocketAddr,
    ) -> Result<ServerConnection, CallError> {
        let connection = ServerConnection::open(address, CONNECT_TIMEOUT).await?;
        self.record_reached();
        Ok(connection)
    }

    /// Whether this entry reaches no server.
    pub fn is_isolated(&self) -> bool {
        self.state.borrow().isolation.is_isolated()
    }

    fn record_reached(&self) {
        let change = self.state.borrow_mut().isolation.record_reached();
        self.apply_isolation(change);
    }

    /// Records that a connection to a server has failed, for the question whether any can be reached.
    pub(crate) fn record_link_failure(&self, server: &ServerName) {
        let change = {
            let mut state = self.state.borrow_mut();
            let servers = state.directory.len();
            let now = Instant::now();
            state.isolation.record_unreachable(now, server, servers)
        };
        self.isolation_suspected.notify_one();
        self.apply_isolation(change);
    }

    fn apply_isolation(&self, change: Option<IsolationChange>) {
        match change {
            None => return,
            Some(IsolationChange::Isolated) => {
                log::warn!(target: "servers", "no server can be reached: requests go through other entries");
            }
            Some(IsolationChange::Connected) => {
                log::info!(target: "servers", "a server can be reached again");
            }
        }
        self.report_changed.notify_one();
    }

    /// Selects a server to find out whether any can be reached, at random, one that has not failed if there is one.
    fn probed_server(&self) -> Option<ListedServer> {
        let mut guard = self.state.borrow_mut();
        let GatewayState {
            directory,
            isolation,
            rng,
            ..
        } = &mut *guard;
        let now = Instant::now();
        if !isolation.needs_probe(now) {
            return None;
        }
        let servers: Vec<&ListedServer> = directory.servers().collect();
        let untried = servers.iter().copied();
        let untried: Vec<&ListedServer> = untried
            .filter(|server| !isolation.has_failed(&server.name))
            .collect();
        let chosen = untried.choose(rng).or_else(|| servers.choose(rng));
        chosen.map(|server| (*server).clone())
    }

    /// Returns the entries that clients of a data centre should use, those of that data centre first. Entries that
    /// reach no server are left out if others do. Empty if no usable entry is known.
    pub fn endpoints_for(&self, data_centre: &DataCentreName) -> Vec<EntryEndpoint> {
        let is_ready = self.is_ready();
        let mut guard = self.state.borrow_mut();
        let state = &mut *guard;
        let own = &self.settings.own;
        let own_entry = is_ready.then(|| ServingEntry {
            entry: EntryEndpoint {
                address: own.address,
                data_centre: own.data_centre.clone(),
            },
            is_local: own.data_centre == *data_centre,
            is_isolated: state.isolation.is_isolated(),
        });
        let members = state.membership.usable_entries().into_iter();
        let others = members.map(|member| ServingEntry {
            is_local: member.data_centre == *data_centre,
            is_isolated: state.relays.peer(&member.name).is_isolated,
            entry: EntryEndpoint {
                address: member.address,
                data_centre: member.data_centre,
            },
        });
        let entries: Vec<ServingEntry<EntryEndpoint>> =
            own_entry.into_iter().chain(others).collect();
        let local_count = entries.iter().filter(|entry| entry.is_local).count();
        let are_any_isolated = entries.iter().any(|entry| entry.is_isolated);
        let mut serving = serving_entries(entries);
        if are_any_isolated {
            // Clients of isolated entries spread over all that take their place.
            serving.shuffle(&mut state.rng);
        }
        serving.sort_by_key(|entry| !entry.is_local);
        serving.truncate(local_count.max(MIN_ENTRY_ENDPOINTS));
        serving.into_iter().map(|entry| entry.entry).collect()
    }

    /// Returns where peers that reach servers take requests, in the order in which to try them.
    pub fn substitutes(&self) -> Vec<SocketAddr> {
        let mut guard = self.state.borrow_mut();
        let state = &mut *guard;
        let own_centre = &self.settings.own.data_centre;
        let members = state.membership.usable_entries().into_iter();
        let peers = members.filter_map(|member| {
            let traits = state.relays.peer(&member.name);
            Some(ServingEntry {
                entry: traits.forward_address?,
                is_local: member.data_centre == *own_centre,
                is_isolated: traits.is_isolated,
            })
        });
        let own = ServingEntry {
            entry: self.settings.own.address,
            is_local: true,
            is_isolated: true,
        };
        let mut serving = serving_entries(peers.chain([own]).collect());
        serving.retain(|peer| !peer.is_isolated);
        serving.shuffle(&mut state.rng);
        serving.into_iter().map(|peer| peer.entry).collect()
    }
}

/// Opens connections to servers while it is not known whether any can be reached, until the process ends.
pub async fn run_reachability(gateway: Rc<Gateway>) {
    let interval = gateway.state.borrow().isolation.settings().probe_interval;
    loop {
        let Some(server) = gateway.probed_server() else {
            gateway.isolation_suspected.notified().await;
            continue;
        };
        let started = Instant::now();
        if gateway.open_server(server.address).await.is_err() {
            gateway.record_link_failure(&server.name);
        }
        if gateway.is_isolated() {
            tokio::time::sleep_until((started + interval).into()).await;
        }
    }
}
