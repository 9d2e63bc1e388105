//! `gs-ctl diff`: lists the fields that differ between two documents.

use std::fmt;
use std::path::PathBuf;

use bpaf::Bpaf;
use error_stack::{Report, ResultExt};
use gs_document::{DocumentChange, diff_documents};
use serde::Serialize;

use crate::error::CtlError;
use crate::files::{read_bytes, read_document};
use crate::output::print_result;

const FOOTER: &str = "Example:
   gs-ctl diff examples/great-lakes.jsonc changed.jsonc";

/// Lists the fields that differ between two documents, defaults included
#[derive(Bpaf, Clone, Debug)]
#[bpaf(command("diff"), footer(FOOTER))]
pub(crate) struct DiffCommand {
    /// Print JSON
    pub(crate) json: bool,
    /// File that contains the old document
    #[bpaf(positional("OLD"))]
    old: PathBuf,
    /// File that contains the new document
    #[bpaf(positional("NEW"))]
    new: PathBuf,
}

/// The changed fields, as printed.
#[derive(Serialize)]
#[serde(transparent)]
struct ChangeView(Vec<DocumentChange>);

impl fmt::Display for ChangeView {
    fn fmt(&self, formatter: &mut fmt::Formatter<'_>) -> fmt::Result {
        if self.0.is_empty() {
            return formatter.write_str("no field differs");
        }
        let lines: Vec<String> = self.0.iter().map(ToString::to_string).collect();
        formatter.write_str(&lines.join("\n"))
    }
}

impl DiffCommand {
    /// Prints the changed fields, or fails with the mistakes of both documents.
    pub(crate) fn run(&self) -> Result<(), Report<CtlError>> {
        let old = read_document(&self.old, &read_bytes(&self.old)?);
        let new = read_document(&self.new, &read_bytes(&self.new)?);
        let (old, new) = match (old, new) {
            (Ok(old), Ok(new)) => (old, new),
            (old, new) => {
                let mistakes = [old.err(), new.err()].into_iter().flatten().collect();
                return Err(Report::new(CtlError::Mistakes { mistakes }));
            }
        };
        let changes = diff_documents(&old, &new).change_context(CtlError::JsonUnwritable)?;
        print_result(&ChangeView(changes), self.json)
    }
}
