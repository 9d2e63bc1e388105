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

/// Connections that may stay idle for this long.
const KEEP_ALIVE: Duration = Duration::from_secs(75);

/// Why the stand-in did not start or broke off.
#[derive(Debug, thiserror::Error)]
pub enum PlatformStartError {
    /// The address cannot be listened on.
    #[error("cannot listen on {address}")]
    Listen {
        /// The address that was asked for.
        address: SocketAddr,
        /// What the operating system says.
        source: io::Error,
    },
    /// The server broke off.
    #[error("the server broke off")]
    Serve(#[source] io::Error),
}

/// A stand-in that runs on this thread's runtime.
pub struct PlatformHandle {
    address: SocketAddr,
    server: ServerHandle,
}

impl PlatformHandle {
    /// Where the stand-in listens.
    pub fn address(&self) -> SocketAddr {
        self.address
    }

    /// Stops the stand-in and drops its objects.
    pub async fn close(self) {
        self.server.stop(false).await;
    }
}

/// Starts the stand-in in the background of this thread's actix runtime.
pub fn start(options: &PlatformOptions) -> Result<PlatformHandle, PlatformStartError> {
    let (address, server) = bind(options)?;
    let handle = server.handle();
    actix_rt::spawn(server);
    Ok(PlatformHandle {
        address,
        server: handle,
    })
}

/// Runs the stand-in until the process is interrupted.
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
