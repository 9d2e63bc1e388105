//! Command-line program of the stand-ins, the load tool and the soak run.

use std::process::ExitCode;

use bpaf::Bpaf;
use env_logger::Env;
use error_stack::Report;
use gs_standin::StandinError;
use gs_standin::capacity::{self, CapacityOptions, capacity_options};
use gs_standin::engine::{self, EngineOptions, engine_options};
use gs_standin::load::{self, LoadCommand, load_command};
use gs_standin::platform::{self, PlatformOptions, platform_options};
use gs_standin::relay::{self, RelayOptions, relay_options};
use gs_standin::service::{self, ServiceOptions, service_options};
use gs_standin::slopes::{self, SlopesOptions, slopes_options};
use gs_standin::soak::{self, SoakOptions, soak_options};
use log::error;

const ENGINE_EXAMPLES: &str = "Examples:
 gs-standin engine --role prefill --model care-notes
 gs-standin engine --role decode --max-streams 4 --step-base-us 2000";

const SERVICE_EXAMPLES: &str = "Example:
 gs-standin service --name counter-desk --run-ms 5";

const PLATFORM_EXAMPLES: &str = "Example:
 gs-standin platform --listen 127.0.0.1:7000 --writes-per-s 300";

const RELAY_EXAMPLES: &str = "Example:
 gs-standin relay --to 127.0.0.1:9001 --delay-ms 5 --jitter-ms 2 --stall-share 0.001";

const CAPACITY_EXAMPLES: &str = "Example:
 gs-standin capacity docs/capacity-measured.json";

const SOAK_EXAMPLES: &str = "Example:
 gs-standin soak --seed 7 --minutes 3";

const SLOPES_EXAMPLES: &str = "Example:
 gs-standin slopes --sweep entries --sweep engines --json";

/// Development stand-ins for engines, services and the platform at modelled speed, and load tools.
///
/// Each server logs the line "ready address=IP:PORT" to standard error once it listens.
#[derive(Bpaf, Clone, Debug)]
#[bpaf(options)]
enum StandinCommand {
    /// Runs a model engine that prefills or decodes
    #[bpaf(command("engine"), footer(ENGINE_EXAMPLES))]
    Engine(#[bpaf(external(engine_options))] EngineOptions),
    /// Runs a plain service that records the requests it ran
    #[bpaf(command("service"), footer(SERVICE_EXAMPLES))]
    Service(#[bpaf(external(service_options))] ServiceOptions),
    /// Prints a new idempotency key
    #[bpaf(command("key"))]
    Key,
    /// Runs the platform's object service and VM list
    #[bpaf(command("platform"), footer(PLATFORM_EXAMPLES))]
    Platform(#[bpaf(external(platform_options))] PlatformOptions),
    /// Runs a TCP relay that delays, cuts and silences connections
    #[bpaf(command("relay"), footer(RELAY_EXAMPLES))]
    Relay(#[bpaf(external(relay_options))] RelayOptions),
    /// Runs a deployment under seeded faults and checks the invariants
    #[bpaf(command("soak"), footer(SOAK_EXAMPLES))]
    Soak(#[bpaf(external(soak_options))] SoakOptions),
    /// Generates load from simulated callers and reports latency and goodput
    #[bpaf(command("load"))]
    Load(#[bpaf(external(load_command))] LoadCommand),
    /// Computes the cost of the planned deployment size from measured figures
    #[bpaf(command("capacity"), footer(CAPACITY_EXAMPLES))]
    Capacity(#[bpaf(external(capacity_options))] CapacityOptions),
    /// Measures how the cost of entries grows with entries, engines, requests and tokens
    #[bpaf(command("slopes"), footer(SLOPES_EXAMPLES))]
    Slopes(#[bpaf(external(slopes_options))] SlopesOptions),
}

/// Log filter used if `RUST_LOG` is not set.
const LOG_FILTER: &str = "info,actix_server=warn";

fn main() -> ExitCode {
    env_logger::Builder::from_env(Env::default().default_filter_or(LOG_FILTER)).init();
    match run(standin_command().run()) {
        Ok(()) => ExitCode::SUCCESS,
        Err(report) => {
            error!(target: "standin", cause:% = format_args!("{report:#}"); "failed");
            ExitCode::FAILURE
        }
    }
}

fn run(command: StandinCommand) -> Result<(), Report<StandinError>> {
    let system = actix_rt::System::new();
    match command {
        StandinCommand::Key => println!("{}", uuid::Uuid::now_v7()),
        StandinCommand::Engine(options) => system.block_on(engine::run(options))?,
        StandinCommand::Service(options) => system.block_on(service::run(options))?,
        StandinCommand::Platform(options) => system
            .block_on(platform::run(options))
            .map_err(StandinError::from)?,
        StandinCommand::Relay(options) => system.block_on(relay::run(options))?,
        StandinCommand::Capacity(options) => {
            capacity::run(&options).map_err(StandinError::from)?;
        }
        StandinCommand::Soak(options) => system
            .block_on(soak::run(&options))
            .map_err(StandinError::from)?,
        StandinCommand::Slopes(options) => system
            .block_on(slopes::run(options))
            .map_err(StandinError::from)?,
        StandinCommand::Load(command) => load::run(command).map_err(StandinError::from)?,
    }
    Ok(())
}
