//! Pooled connections to backend servers, one pool for each server and thread.

use std::cell::RefCell;
use std::collections::HashMap;
use std::net::SocketAddr;
use std::time::Duration;

use awc::{Client, Connector};

/// How long an idle connection is kept. Less than what servers commonly keep theirs.
const IDLE_KEEP_ALIVE: Duration = Duration::from_secs(3);

/// The connections of one thread.
///
/// A connection that fell silent makes its siblings suspect: [`ClientPool::distrust`] drops the whole
/// pool of that server, so that the next call opens a new connection.
pub struct ClientPool {
    clients: RefCell<HashMap<SocketAddr, Client>>,
    connect_timeout: Duration,
}

impl ClientPool {
    /// An empty pool whose connections must be made within the timeout.
    pub fn new(connect_timeout: Duration) -> Self {
        Self {
            clients: RefCell::default(),
            connect_timeout,
        }
    }

    /// The client for a server; its connections are shared.
    pub fn client(&self, address: SocketAddr) -> Client {
        let mut clients = self.clients.borrow_mut();
        clients
            .entry(address)
            .or_insert_with(|| build_client(self.connect_timeout))
            .clone()
    }

    /// A client whose connection was never used before.
    pub fn fresh_client(&self) -> Client {
        build_client(self.connect_timeout)
    }

    /// Forgets all connections to a server.
    pub fn distrust(&self, address: SocketAddr) {
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
