//! `gs-ctl digest`: prints the digest of a document's bytes.

use std::fmt;
use std::path::PathBuf;

use bpaf::Bpaf;
use error_stack::Report;
use gs_document::digest_document;
use serde::Serialize;

use crate::error::CtlError;
use crate::files::read_bytes;
use crate::output::print_result;

const FOOTER: &str = "Example:
   gs-ctl digest examples/great-lakes.jsonc";

/// Prints the digest of a document's exact bytes
#[derive(Bpaf, Clone, Debug)]
#[bpaf(command("digest"), footer(FOOTER))]
pub(crate) struct DigestCommand {
    /// Print JSON
    pub(crate) json: bool,
    /// File that contains the document
    #[bpaf(positional("FILE"))]
    file: PathBuf,
}

/// A digest, as printed.
#[derive(Serialize)]
pub(super) struct DigestView {
    pub(super) digest: String,
}

impl fmt::Display for DigestView {
    fn fmt(&self, formatter: &mut fmt::Formatter<'_>) -> fmt::Result {
        formatter.write_str(&self.digest)
    }
}

impl DigestCommand {
    /// Reads the file and prints its digest.
    pub(crate) fn run(&self) -> Result<(), Report<CtlError>> {
        let digest = digest_document(&read_bytes(&self.file)?);
        print_result(&DigestView { digest }, self.json)
    }
}
