//! The administration API's daemon.

use std::io::Write;
use std::process::ExitCode;

use gs_admin::options::admin_options;
use gs_admin::startup;

/// What is logged unless `RUST_LOG` says otherwise.
const DEFAULT_LOG_FILTER: &str = "info,actix_server=warn";

#[actix_web::main]
async fn main() -> ExitCode {
    let options = admin_options().run();
    let filter = env_logger::Env::default().default_filter_or(DEFAULT_LOG_FILTER);
    env_logger::Builder::from_env(filter).init();
    match startup::run(options).await {
        Ok(()) => ExitCode::SUCCESS,
        Err(report) => {
            // Nothing more can be done if standard error is closed.
            let _ = writeln!(std::io::stderr(), "{report:#}");
            ExitCode::FAILURE
        }
    }
}
