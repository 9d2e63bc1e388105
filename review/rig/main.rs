//! Plays one case of the review: `rig CASE RECORD FOLDER`. Started in the repository's root by `run.sh`.
//!
//! Exit codes: 1 if the rule was broken, 0 if it held, 2 if the case could not run.

mod bench;
mod foreign;
mod http;
mod json;
mod memory;
mod node;
mod record;
mod servers;
mod shutdown;
mod silence;
mod store;

use std::process::ExitCode;

/// Result of a case.
pub enum Outcome {
    /// The rule was broken.
    Broken,
    /// The rule held.
    Held,
    /// The case could not run.
    CouldNotRun(String),
}

fn main() -> ExitCode {
    let arguments: Vec<String> = std::env::args().collect();
    let [_, case, record, folder] = arguments.as_slice() else {
        eprintln!("usage: rig CASE RECORD FOLDER");
        return ExitCode::from(2);
    };
    let is_troubled = std::env::var("TROUBLE").map_or(true, |text| text != "0");
    let stage = match bench::Stage::open(record, folder, is_troubled) {
        Ok(stage) => stage,
        Err(error) => {
            eprintln!("cannot start: {error}");
            return ExitCode::from(2);
        }
    };
    let outcome = match case.as_str() {
        "memory" => memory::play(&stage),
        "foreign" => foreign::play(&stage),
        "shutdown" => shutdown::play(&stage),
        "silence" => silence::play(&stage),
        other => Outcome::CouldNotRun(format!("no case {other}")),
    };
    let (text, code) = match outcome {
        Outcome::Broken => ("the rule was broken".to_owned(), 1),
        Outcome::Held => ("the rule held".to_owned(), 0),
        Outcome::CouldNotRun(reason) => (format!("could not run: {reason}"), 2),
    };
    stage.record.say(&text);
    ExitCode::from(code)
}
