//! The relay as a process.

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
use super::shared::RelayShared;
use crate::error::StandinError;

/// Seconds that a shutdown waits for open control calls.
const SHUTDOWN_S: u64 = 1;

/// How long to wait after a connection could not be taken.
const ACCEPT_RETRY: Duration = Duration::from_millis(10);

/// A relay that listens and passes nothing yet.
pub struct RelayServer {
    address: SocketAddr,
    control_address: SocketAddr,
    listener: TcpListener,
    control: Server,
    shared: Arc<RelayShared>,
    to: SocketAddr,
}

impl RelayServer {
    /// Listens at the addresses of the options. Call it within an actix system.
    pub async fn bind(options: RelayOptions) -> Result<Self, StandinError> {
        let listener = TcpListener::bind(options.listen).await;
        let listener = listener.map_err(|source| StandinError::Listen {
            address: options.listen,
            source,
        })?;
        let address = listener.local_addr().unwrap_or(options.listen);
        let shared = Arc::new(RelayShared::new(options.conditions(), options.seed));
        let data = web::Data::from(Arc::clone(&shared));
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
            shared,
            to: options.to,
        })
    }

    /// Where the relay takes connections.
    pub fn address(&self) -> SocketAddr {
        self.address
    }

    /// Where the relay takes control calls.
    pub fn control_address(&self) -> SocketAddr {
        self.control_address
    }

    /// Passes connections on until the process is told to end.
    pub async fn run(self) -> Result<(), StandinError> {
        let (shared, to) = (self.shared, self.to);
        let accepting = actix_rt::spawn(accept(self.listener, shared, to));
        info!(target: "relay", address:% = self.address, control:% = self.control_address; "ready");
        let ended = self.control.await;
        accepting.abort();
        ended.map_err(|source| StandinError::Serve { source })
    }
}

async fn accept(listener: TcpListener, shared: Arc<RelayShared>, to: SocketAddr) {
    loop {
        let Ok((inbound, _)) = listener.accept().await else {
            tokio::time::sleep(ACCEPT_RETRY).await;
            continue;
        };
        let shared = Arc::clone(&shared);
        actix_rt::spawn(async move { relay_connection(&shared, inbound, to).await });
    }
}

/// Runs a relay until the process is told to end.
pub async fn run(options: RelayOptions) -> Result<(), StandinError> {
    RelayServer::bind(options).await?.run().await
}
