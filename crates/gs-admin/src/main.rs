//! The daemon that serves the administration API.

use std::io::Write;
use std::process::ExitCode;

use gs_admin::options::admin_options;
use gs_admin::startup;

/// The log filter if `RUST_LOG` is not set.
const DEFAULT_LOG_FILTER: &str = "info,actix_server=warn";

#[actix_web::main]
async fn main() -> ExitCode {
    let options = admin_options().run();
    let filter = env_logger::Env::default().default_filter_or(DEFAULT_LOG_FILTER);
    env_logger::Builder::from_env(filter).init();
    match startup::run(options).await {
        Ok(()) => ExitCode::SUCCESS,
        Err(report) => {
            // If standard error is closed, there is no other place to report the error.
            let _ = writeln!(std::io::stderr(), "{report:#}");
            ExitCode::FAILURE
        }
    }
}
