//! The `gs-ctl` program.

use std::process::ExitCode;

fn main() -> ExitCode {
    env_logger::Builder::from_env(env_logger::Env::default().default_filter_or("warn")).init();
    gs_ctl::run_command_line().into()
}
