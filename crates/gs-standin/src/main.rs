//! Stand-ins of engines, services and the platform, and a load tool.

use bpaf::Bpaf;
use gs_standin::platform::{self, PlatformOptions, platform_options};
use log::error;

/// What is logged unless `RUST_LOG` says otherwise.
const DEFAULT_LOG_FILTER: &str = "info,actix_server=warn";

/// Stand-ins for development and tests
#[derive(Bpaf, Clone, Debug)]
#[bpaf(options)]
enum StandinCommand {
    /// The platform's object service and VM list
    #[bpaf(command("platform"))]
    Platform(#[bpaf(external(platform_options))] PlatformOptions),
}

fn main() {
    env_logger::Builder::from_env(env_logger::Env::default().default_filter_or(DEFAULT_LOG_FILTER))
        .init();
    let command = standin_command().run();
    let outcome = actix_rt::System::new().block_on(async move {
        match command {
            StandinCommand::Platform(options) => platform::run(options).await,
        }
    });
    if let Err(error) = outcome {
        error!(target: "standin", "{error}");
        std::process::exit(1);
    }
}
