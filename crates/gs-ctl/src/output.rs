//! What is printed: text for people, JSON for programs.

use std::fmt::Display;
use std::io::Write;

use error_stack::{Report, ResultExt};
use gs_document::MistakeList;
use gs_protocol::admin::AdminProblem;
use serde::Serialize;

use crate::error::CtlError;

/// A failed command as JSON.
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

/// Prints a command's result on the standard output.
pub(crate) fn print_result<T>(result: &T, json: bool) -> Result<(), Report<CtlError>>
where
    T: Display + Serialize,
{
    let text = if json {
        serde_json::to_string_pretty(result).change_context(CtlError::BodyUnwritable)?
    } else {
        result.to_string()
    };
    print_bytes(format!("{text}\n").as_bytes())
}

/// Writes bytes as they are to the standard output.
pub(crate) fn print_bytes(bytes: &[u8]) -> Result<(), Report<CtlError>> {
    let mut output = std::io::stdout().lock();
    output
        .write_all(bytes)
        .and_then(|()| output.flush())
        .change_context(CtlError::OutputClosed)
}

/// Prints why a command failed: text on the standard error, JSON on the standard output.
pub(crate) fn print_error(report: &Report<CtlError>, json: bool) {
    let error = report.current_context();
    if !json {
        eprintln!("{}", error_text(report));
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

/// The error with its causes, one a line; mistakes stand alone, as editors read them.
fn error_text(report: &Report<CtlError>) -> String {
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
        text.push_str(&problem_text(problem));
    }
    text
}

/// What a refusal says beside its sentence.
fn problem_text(problem: &AdminProblem) -> String {
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
        let value = |value: &Option<serde_json::Value>| {
            value
                .as_ref()
                .map_or("nothing".to_owned(), ToString::to_string)
        };
        let (old, new) = (value(&change.old), value(&change.new));
        text.push_str(&format!("\n  {}: {old} -> {new}", change.path));
    }
    text
}
