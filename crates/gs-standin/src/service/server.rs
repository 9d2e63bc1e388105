//! The service as a process.

use std::net::SocketAddr;
use std::time::Duration;

use actix_web::dev::Server;
use actix_web::{App, HttpServer, web};
use log::info;

use super::http::{ServiceShared, configure};
use super::options::ServiceOptions;
use crate::KEEP_ALIVE;
use crate::error::StandinError;

/// Seconds that a shutdown waits for open connections.
const SHUTDOWN_S: u64 = 1;

/// A service that listens and is not served yet.
pub struct ServiceServer {
    address: SocketAddr,
    server: Server,
}

impl ServiceServer {
    /// Listens at the address of the options. Call it within an actix system.
    pub fn bind(options: ServiceOptions) -> Result<Self, StandinError> {
        let listen = options.listen;
        let run_time = Duration::from_millis(options.run_ms);
        let data = web::Data::new(ServiceShared::new(options.name, run_time));
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

    /// Where the service listens.
    pub fn address(&self) -> SocketAddr {
        self.address
    }

    /// Serves until the process is told to end.
    pub async fn run(self) -> Result<(), StandinError> {
        info!(target: "service", address:% = self.address; "ready");
        self.server
            .await
            .map_err(|source| StandinError::Serve { source })
    }
}

/// Runs a service until the process is told to end.
pub async fn run(options: ServiceOptions) -> Result<(), StandinError> {
    ServiceServer::bind(options)?.run().await
}
