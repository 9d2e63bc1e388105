//! The service's HTTP server.

use std::net::SocketAddr;
use std::time::Duration;

use actix_web::dev::Server;
use actix_web::{App, HttpServer, web};
use log::info;

use super::http::{SharedService, configure};
use super::options::ServiceOptions;
use crate::KEEP_ALIVE;
use crate::error::StandinError;

/// Seconds that a shutdown waits for open connections to finish.
const SHUTDOWN_S: u64 = 1;

/// A service whose address is bound; [`ServiceServer::run`] serves it.
pub struct ServiceServer {
    address: SocketAddr,
    server: Server,
}

impl ServiceServer {
    /// Binds the listen address of the options. Must be called within an actix system.
    ///
    /// Returns [`StandinError::Listen`] if the address cannot be bound.
    pub fn bind(options: ServiceOptions) -> Result<Self, StandinError> {
        let listen = options.listen;
        let run_time = Duration::from_millis(options.run_ms);
        let data = web::Data::new(SharedService::new(options.name, run_time));
        let server =
            HttpServer::new(move || App::new().app_data(data.clone()).configure(configure))
                .workers(options.workers.max(1))
                .h1_allow_half_closed(false)
                .keep_alive(KEEP_ALIVE)
                .tcp_nodelay(true)
                .shutdown_timeout(SHUTDOWN_S)
                .bind(listen)
                .map_err(|source| StandinError::Listen {
                    address: listen,
                    source,
                })?;
        let address = server.addrs().first().copied().unwrap_or(listen);
        Ok(Self {
            address,
            server: server.run(),
        })
    }

    /// The address that the service listens on.
    pub fn address(&self) -> SocketAddr {
        self.address
    }

    /// Serves requests until the process receives a shutdown signal.
    pub async fn run(self) -> Result<(), StandinError> {
        info!(target: "service", address:% = self.address; "ready");
        self.server
            .await
            .map_err(|source| StandinError::Serve { source })
    }
}

/// Runs a service until the process receives a shutdown signal.
pub async fn run(options: ServiceOptions) -> Result<(), StandinError> {
    ServiceServer::bind(options)?.run().await
}
