//! Starts the daemon and runs it until shutdown.

use std::path::Path;
use std::sync::Arc;
use std::time::Duration;

use actix_web::dev::Server;
use actix_web::middleware::from_fn;
use actix_web::web::Data;
use actix_web::{App, HttpServer};
use error_stack::{Report, ResultExt};
use gs_document::settings::{AdminSettings, parse_admin_settings};
use metrics_exporter_prometheus::PrometheusHandle;

use crate::audit::audit_refusals;
use crate::error::AdminError;
use crate::options::AdminOptions;
use crate::routes::configure_routes;
use crate::state::AdminState;
use crate::telemetry::install_recorder;

/// Maximum number of open connections.
const MAX_CONNECTIONS: usize = 512;

/// The time after which an idle connection is closed.
const KEEP_ALIVE: Duration = Duration::from_secs(30);

/// The time that open calls have to finish during a shutdown, in seconds.
const SHUTDOWN_TIMEOUT_S: u64 = 15;

/// Runs the daemon until it receives a shutdown signal.
pub async fn run(options: AdminOptions) -> Result<(), Report<AdminError>> {
    let settings = read_settings(&options.settings)?;
    let metrics = install_recorder().change_context(AdminError::InstallRecorder)?;
    let server = start_server(settings, metrics)?;
    server.await.change_context(AdminError::ServeHttp)
}

fn read_settings(path: &Path) -> Result<AdminSettings, Report<AdminError>> {
    let name = path.display().to_string();
    let text = std::fs::read_to_string(path)
        .change_context_lazy(|| AdminError::ReadSettings { path: name.clone() })?;
    parse_admin_settings(&name, &text)
        .change_context_lazy(|| AdminError::CheckSettings { path: name.clone() })
}

fn start_server(
    settings: AdminSettings,
    metrics: PrometheusHandle,
) -> Result<Server, Report<AdminError>> {
    let listen = settings.listen;
    let settings = Arc::new(settings);
    let metrics = Data::new(metrics);
    let app = move || {
        App::new()
            .app_data(Data::new(AdminState::new(Arc::clone(&settings))))
            .app_data(metrics.clone())
            .wrap(from_fn(audit_refusals))
            .configure(configure_routes)
    };
    let listen_error = || AdminError::Listen { address: listen };
    let server = HttpServer::new(app)
        .workers(1)
        .max_connections(MAX_CONNECTIONS)
        .keep_alive(KEEP_ALIVE)
        .shutdown_timeout(SHUTDOWN_TIMEOUT_S)
        .bind(listen)
        .change_context_lazy(listen_error)?;
    let address = server.addrs().first().copied().unwrap_or(listen);
    log::info!(target: "admin", address:% = address; "ready");
    Ok(server.run())
}
