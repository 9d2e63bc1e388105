//! Load generator: sends open-loop requests to entries and reports latency and goodput.
//!
//! A streamed answer is good if it is complete, its first token came within the class's target,
//! counted from the scheduled arrival, and at most 5% of the gaps between its tokens are longer
//! than the target.

mod check;
mod client;
mod completion;
mod direct;
mod engines;
mod entries;
mod error;
mod exchange;
mod mix;
mod options;
mod overhead;
mod prompt;
mod recorder;
mod report;
mod runner;
mod schedule;
mod service;
mod sse;
mod streams;
mod table;

pub use error::LoadError;
pub use exchange::CallEnd;
pub use mix::{
    ClassMix, FloodSpan, LoadMix, ServiceMethod, ServiceMix, SharedPrefix, TokenRange, TokenSpread,
};
pub use options::{
    LoadCommand, MixOptions, OverheadOptions, StreamsOptions, load_command, mix_options,
};
pub use report::{ClassReport, FloodReport, LoadReport, ServiceReport, TimeQuantiles};
pub use runner::run_mix;
pub use schedule::{Arrival, ArrivalKind, CompletionPlan, plan_arrivals};

/// Runs a load command and prints its report to standard output.
pub fn run(command: LoadCommand) -> Result<(), LoadError> {
    match command {
        LoadCommand::Mix(options) => runner::run(&options),
        LoadCommand::Overhead(options) => overhead::run(&options),
        LoadCommand::Streams(options) => streams::run(&options),
    }
}
