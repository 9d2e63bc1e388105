//! Entry point of the entry daemon.

use std::io::Write;
use std::process::ExitCode;

use gs_entry::options::entry_options;
use gs_entry::startup;

#[actix_rt::main]
async fn main() -> ExitCode {
    let options = entry_options().run();
    env_logger::Builder::from_env(env_logger::Env::default().default_filter_or("info")).init();
    match startup::run(options).await {
        Ok(()) => ExitCode::SUCCESS,
        Err(report) => {
            // The report is lost if standard error is closed.
            let _ = writeln!(std::io::stderr(), "{report:#}");
            ExitCode::FAILURE
        }
    }
}
