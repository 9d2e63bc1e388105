//! `gs-ctl token-digest`: the digest under which a document holds a token.

use bpaf::Bpaf;
use error_stack::Report;
use gs_document::digest_token;

use crate::error::CtlError;
use crate::files::read_token_input;
use crate::output::print_result;

use super::digest::DigestView;

const FOOTER: &str = "Example:
   gs-ctl token-digest < token.txt";

/// Reads a token on the standard input and prints its digest for a document
#[derive(Bpaf, Clone, Debug)]
#[bpaf(command("token-digest"), footer(FOOTER))]
pub(crate) struct TokenDigestCommand {
    /// Print JSON
    pub(crate) json: bool,
}

impl TokenDigestCommand {
    /// Prints the digest; one line break at the end of the input is left out.
    pub(crate) fn run(&self) -> Result<(), Report<CtlError>> {
        let token = read_token_input()?;
        let digest = digest_token(token.as_str());
        print_result(&DigestView { digest }, self.json)
    }
}
