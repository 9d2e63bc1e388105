//! The relay's listener and control server.

use std::net::SocketAddr;
use std::sync::Arc;
use std::time::Duration;

use actix_web::dev::Server;
use actix_web::{App, HttpServer, web};
use log::info;
use tokio::net::TcpListener;

use super::connection::relay_connection;
use super::control::configure;
use super::options::RelayOptions;
use super::state::RelayState;
use crate::error::StandinError;

/// Seconds that a shutdown waits for open control calls to finish.
const SHUTDOWN_S: u64 = 1;

/// Pause after a connection could not be accepted.
const ACCEPT_RETRY_DELAY: Duration = Duration::from_millis(10);

/// A relay whose addresses are bound; [`RelayServer::run`] forwards connections.
pub struct RelayServer {
    address: SocketAddr,
    control_address: SocketAddr,
    listener: TcpListener,
    control: Server,
    state: Arc<RelayState>,
    target: SocketAddr,
}

impl RelayServer {
    /// Binds both addresses of the options. Must be called within an actix system.
    ///
    /// Returns [`StandinError::Listen`] if an address cannot be bound.
    pub async fn bind(options: RelayOptions) -> Result<Self, StandinError> {
        let listener = TcpListener::bind(options.listen).await;
        let listener = listener.map_err(|source| StandinError::Listen {
            address: options.listen,
            source,
        })?;
        let address = listener.local_addr().unwrap_or(options.listen);
        let state = Arc::new(RelayState::new(options.conditions(), options.seed));
        let data = web::Data::from(Arc::clone(&state));
        let control =
            HttpServer::new(move || App::new().app_data(data.clone()).configure(configure))
                .workers(1)
                .shutdown_timeout(SHUTDOWN_S)
                .bind(options.control)
                .map_err(|source| StandinError::Listen {
                    address: options.control,
                    source,
                })?;
        Ok(Self {
            address,
            control_address: control.addrs().first().copied().unwrap_or(options.control),
            listener,
            control: control.run(),
            state,
            target: options.to,
        })
    }

    /// The address that accepts connections to forward.
    pub fn address(&self) -> SocketAddr {
        self.address
    }

    /// The address that serves control calls.
    pub fn control_address(&self) -> SocketAddr {
        self.control_address
    }

    /// Forwards connections until the process receives a shutdown signal.
    pub async fn run(self) -> Result<(), StandinError> {
        let (state, target) = (self.state, self.target);
        let accepting = actix_rt::spawn(accept_connections(self.listener, state, target));
        info!(target: "relay", address:% = self.address, control:% = self.control_address; "ready");
        let ended = self.control.await;
        accepting.abort();
        ended.map_err(|source| StandinError::Serve { source })
    }
}

async fn accept_connections(listener: TcpListener, state: Arc<RelayState>, target: SocketAddr) {
    loop {
        let Ok((inbound, _)) = listener.accept().await else {
            tokio::time::sleep(ACCEPT_RETRY_DELAY).await;
            continue;
        };
        let state = Arc::clone(&state);
        actix_rt::spawn(async move { relay_connection(&state, inbound, target).await });
    }
}

/// Runs a relay until the process receives a shutdown signal.
pub async fn run(options: RelayOptions) -> Result<(), StandinError> {
    RelayServer::bind(options).await?.run().await
}
