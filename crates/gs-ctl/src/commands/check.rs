//! `gs-ctl check`: lists all mistakes in documents or settings, offline.

use std::fmt;
use std::path::{Path, PathBuf};

use bpaf::Bpaf;
use error_stack::Report;
use gs_document::settings::{parse_admin_settings, parse_entry_settings};
use gs_document::{MistakeList, decode_text, digest_document};
use serde::Serialize;

use crate::error::CtlError;
use crate::files::{read_bytes, read_document};
use crate::output::print_result;

const FOOTER: &str = "Examples:
   gs-ctl check examples/great-lakes.jsonc
   gs-ctl check --settings entry examples/entry.jsonc";

/// The program whose settings a file contains.
#[derive(Clone, Copy, Debug)]
enum SettingsOwner {
    Admin,
    Entry,
}

impl std::str::FromStr for SettingsOwner {
    type Err = UnknownSettingsOwner;

    fn from_str(text: &str) -> Result<Self, Self::Err> {
        match text {
            "admin" => Ok(Self::Admin),
            "entry" => Ok(Self::Entry),
            _ => Err(UnknownSettingsOwner),
        }
    }
}

/// The name is not one of a program with settings.
#[derive(Debug, thiserror::Error)]
#[error("allowed are \"entry\" and \"admin\"")]
struct UnknownSettingsOwner;

/// Lists all mistakes in documents or settings; works offline
#[derive(Bpaf, Clone, Debug)]
#[bpaf(command("check"), footer(FOOTER))]
pub(crate) struct CheckCommand {
    /// Print JSON
    pub(crate) json: bool,
    /// Check settings of gs-entry (entry) or gs-admin (admin) instead of documents
    #[bpaf(argument("entry|admin"), optional)]
    settings: Option<SettingsOwner>,
    /// Files to check
    #[bpaf(positional("FILE"), some("a FILE is needed"))]
    files: Vec<PathBuf>,
}

/// A file without mistakes, with the digest of its bytes.
#[derive(Serialize)]
struct CheckedFile {
    file: String,
    digest: String,
}

/// The result of a run in which no file has mistakes.
#[derive(Serialize)]
#[serde(transparent)]
struct CheckedFiles(Vec<CheckedFile>);

impl fmt::Display for CheckedFiles {
    fn fmt(&self, formatter: &mut fmt::Formatter<'_>) -> fmt::Result {
        let line = |checked: &CheckedFile| format!("{}: ok, {}", checked.file, checked.digest);
        let lines: Vec<String> = self.0.iter().map(line).collect();
        formatter.write_str(&lines.join("\n"))
    }
}

impl CheckCommand {
    /// Checks all files; prints their digests, or fails with the mistakes of all files.
    pub(crate) fn run(&self) -> Result<(), Report<CtlError>> {
        let mut checked = Vec::new();
        let mut mistakes = Vec::new();
        for file in &self.files {
            let bytes = read_bytes(file)?;
            if let Err(list) = self.check_bytes(file, &bytes) {
                mistakes.push(list);
            }
            checked.push(CheckedFile {
                file: file.display().to_string(),
                digest: digest_document(&bytes),
            });
        }
        if !mistakes.is_empty() {
            return Err(Report::new(CtlError::Mistakes { mistakes }));
        }
        print_result(&CheckedFiles(checked), self.json)
    }

    fn check_bytes(&self, path: &Path, bytes: &[u8]) -> Result<(), MistakeList> {
        let file = path.display().to_string();
        match self.settings {
            None => read_document(path, bytes).map(drop),
            Some(SettingsOwner::Admin) => {
                parse_admin_settings(&file, decode_text(&file, bytes)?).map(drop)
            }
            Some(SettingsOwner::Entry) => {
                parse_entry_settings(&file, decode_text(&file, bytes)?).map(drop)
            }
        }
    }
}
