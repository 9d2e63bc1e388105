//! The HTTP server of the platform stand-in.

use std::io;
use std::net::SocketAddr;
use std::time::Duration;

use actix_web::dev::{Server, ServerHandle};
use actix_web::web::{Data, PayloadConfig, ServiceConfig, get, post, put, resource};
use actix_web::{App, HttpServer, web};
use gs_protocol::platform::MAX_VALUE_BYTES;
use log::info;

use super::state::PlatformState;
use super::{PlatformOptions, control, objects};

/// How long idle connections stay open.
const KEEP_ALIVE: Duration = Duration::from_secs(75);

/// Why the platform stand-in could not start or stopped with an error.
#[derive(Debug, thiserror::Error)]
pub enum PlatformStartError {
    /// Binding the listen address failed.
    #[error("failed to listen on {address}")]
    Listen {
        /// The requested address.
        address: SocketAddr,
        /// Error of the operating system.
        source: io::Error,
    },
    /// The HTTP server stopped with an error.
    #[error("the HTTP server failed")]
    Serve(#[source] io::Error),
}

/// Handle of a platform stand-in that runs on this thread's runtime.
pub struct PlatformHandle {
    address: SocketAddr,
    server: ServerHandle,
}

impl PlatformHandle {
    /// The address that the stand-in listens on.
    pub fn address(&self) -> SocketAddr {
        self.address
    }

    /// Stops the stand-in without waiting for open calls; its objects are lost.
    pub async fn close(self) {
        self.server.stop(false).await;
    }
}

/// Starts the stand-in as a background task of this thread's actix runtime.
///
/// Returns [`PlatformStartError::Listen`] if the address cannot be bound.
pub fn start(options: &PlatformOptions) -> Result<PlatformHandle, PlatformStartError> {
    let (address, server) = bind(options)?;
    let handle = server.handle();
    actix_rt::spawn(server);
    Ok(PlatformHandle {
        address,
        server: handle,
    })
}

/// Runs the stand-in until the process receives a shutdown signal.
pub async fn run(options: PlatformOptions) -> Result<(), PlatformStartError> {
    let (address, server) = bind(&options)?;
    info!(target: "platform", address:% = address; "ready");
    server.await.map_err(PlatformStartError::Serve)
}

fn bind(options: &PlatformOptions) -> Result<(SocketAddr, Server), PlatformStartError> {
    let state = Data::new(PlatformState::new(options));
    let listen_error = |source| PlatformStartError::Listen {
        address: options.listen,
        source,
    };
    let server = HttpServer::new(move || {
        App::new()
            .app_data(state.clone())
            .app_data(PayloadConfig::new(MAX_VALUE_BYTES + 1))
            .configure(routes)
    })
    .workers(1)
    .keep_alive(KEEP_ALIVE)
    .shutdown_timeout(1)
    .bind(options.listen)
    .map_err(listen_error)?;
    let address = server.addrs()[0];
    Ok((address, server.run()))
}

fn routes(config: &mut ServiceConfig) {
    config
        .service(
            resource("/objects/{key:.+}")
                .route(get().to(objects::read))
                .route(put().to(objects::write))
                .route(web::delete().to(objects::remove)),
        )
        .route("/objects", get().to(objects::list))
        .route("/watch", get().to(objects::watch))
        .route("/vms", get().to(objects::list_vms))
        .route("/ready", get().to(control::ready))
        .route("/control/faults", post().to(control::set_faults))
        .route("/control/vms", post().to(control::change_vms))
        .route("/control/stats", get().to(control::read_stats));
}
