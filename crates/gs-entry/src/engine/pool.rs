//! Pooled connections to backend servers, with one pool for each server and thread.

use std::cell::RefCell;
use std::collections::HashMap;
use std::net::SocketAddr;
use std::time::Duration;

use awc::{Client, Connector};

/// Time after which an idle connection is closed; shorter than the usual keep-alive time of
/// servers.
const IDLE_KEEP_ALIVE: Duration = Duration::from_secs(3);

/// The connection pools of one thread.
///
/// If a call times out, the other connections to that server may be dead too:
/// [`ClientPool::discard_connections`] drops the server's pool, so the next call opens a new
/// connection.
pub struct ClientPool {
    clients: RefCell<HashMap<SocketAddr, Client>>,
    connect_timeout: Duration,
}

impl ClientPool {
    /// Creates an empty pool with a time limit for establishing connections.
    pub fn new(connect_timeout: Duration) -> Self {
        Self {
            clients: RefCell::default(),
            connect_timeout,
        }
    }

    /// Returns the client for a server, which shares its connections.
    pub fn client(&self, address: SocketAddr) -> Client {
        let mut clients = self.clients.borrow_mut();
        clients
            .entry(address)
            .or_insert_with(|| build_client(self.connect_timeout))
            .clone()
    }

    /// Creates a client that opens new connections.
    pub fn unpooled_client(&self) -> Client {
        build_client(self.connect_timeout)
    }

    /// Drops the pool of a server, so that its connections are not reused.
    pub fn discard_connections(&self, address: SocketAddr) {
        self.clients.borrow_mut().remove(&address);
    }
}

fn build_client(connect_timeout: Duration) -> Client {
    let connector = Connector::new()
        .limit(0)
        .timeout(connect_timeout)
        .conn_keep_alive(IDLE_KEEP_ALIVE);
    Client::builder()
        .connector(connector)
        .disable_timeout()
        .disable_redirects()
        .finish()
}
