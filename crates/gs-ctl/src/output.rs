//! Prints results and errors, as text for people or as JSON for programs.

use std::fmt::Display;
use std::io::Write;

use error_stack::{Report, ResultExt};
use gs_document::MistakeList;
use gs_protocol::admin::AdminProblem;
use serde::Serialize;

use crate::error::CtlError;

/// The error of a failed command, as printed with `--json`.
#[derive(Serialize)]
#[serde(rename_all = "camelCase")]
struct ErrorView<'a> {
    error: String,
    exit_code: u8,
    #[serde(skip_serializing_if = "Option::is_none")]
    mistakes: Option<&'a [MistakeList]>,
    #[serde(skip_serializing_if = "Option::is_none")]
    problem: Option<&'a AdminProblem>,
}

/// Prints the result of a command to the standard output.
pub(crate) fn print_result<T>(result: &T, json: bool) -> Result<(), Report<CtlError>>
where
    T: Display + Serialize,
{
    let text = if json {
        serde_json::to_string_pretty(result).change_context(CtlError::JsonUnwritable)?
    } else {
        result.to_string()
    };
    print_bytes(format!("{text}\n").as_bytes())
}

/// Writes bytes unchanged to the standard output.
pub(crate) fn print_bytes(bytes: &[u8]) -> Result<(), Report<CtlError>> {
    let mut output = std::io::stdout().lock();
    output
        .write_all(bytes)
        .and_then(|()| output.flush())
        .change_context(CtlError::OutputUnwritable)
}

/// Prints the error of a failed command: text to the standard error, JSON to the standard output.
pub(crate) fn print_error(report: &Report<CtlError>, json: bool) {
    let error = report.current_context();
    if !json {
        eprintln!("{}", format_error(report));
        return;
    }
    let view = ErrorView {
        error: error.to_string(),
        exit_code: error.exit_status().code(),
        mistakes: match error {
            CtlError::Mistakes { mistakes } => Some(mistakes),
            _ => None,
        },
        problem: match error {
            CtlError::Refused { problem } => Some(problem),
            _ => None,
        },
    };
    if let Ok(text) = serde_json::to_string_pretty(&view) {
        println!("{text}");
    }
}

/// Formats an error and its causes, one per line. Mistakes have no prefix, so that editors can parse
/// their positions.
fn format_error(report: &Report<CtlError>) -> String {
    let error = report.current_context();
    if matches!(error, CtlError::Mistakes { .. }) {
        return error.to_string();
    }
    let mut text = format!("gs-ctl: {error}");
    let causes = report.frames().filter_map(|frame| match frame.kind() {
        error_stack::FrameKind::Context(context) => Some(context.to_string()),
        error_stack::FrameKind::Attachment(_) => None,
    });
    for cause in causes.skip(1) {
        text.push_str(&format!("\n  cause: {cause}"));
    }
    if let CtlError::Refused { problem } = error {
        text.push_str(&format_problem(problem));
    }
    text
}

/// Formats the fields of a refusal other than its detail.
fn format_problem(problem: &AdminProblem) -> String {
    let mut text = String::new();
    for mistake in &problem.mistakes {
        let (line, column) = (mistake.line, mistake.column);
        let (path, message) = (&mistake.path, &mistake.message);
        text.push_str(&format!("\n  {line}:{column}: {path}: {message}"));
    }
    if let Some(winner) = &problem.winner {
        let (sequence, operator) = (winner.sequence, &winner.operator);
        text.push_str(&format!("\n  sequence {sequence} was taken by {operator}"));
    }
    if let Some(head) = &problem.head {
        let (sequence, digest) = (head.sequence, &head.digest);
        text.push_str(&format!("\n  in force is sequence {sequence}, {digest}"));
    }
    for change in &problem.changes {
        let format_value = |value: &Option<serde_json::Value>| {
            value
                .as_ref()
                .map_or("nothing".to_owned(), ToString::to_string)
        };
        let (old, new) = (format_value(&change.old), format_value(&change.new));
        text.push_str(&format!("\n  {}: {old} -> {new}", change.path));
    }
    text
}
