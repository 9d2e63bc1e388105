//! `gs-ctl token-digest`: prints the digest that stands for a token in a document.

use bpaf::Bpaf;
use error_stack::Report;
use gs_document::digest_token;

use crate::error::CtlError;
use crate::files::read_token_input;
use crate::output::print_result;

use super::digest::DigestView;

const FOOTER: &str = "Example:
   gs-ctl token-digest < token.txt";

/// Reads a token from the standard input and prints its digest, for use in a document
#[derive(Bpaf, Clone, Debug)]
#[bpaf(command("token-digest"), footer(FOOTER))]
pub(crate) struct TokenDigestCommand {
    /// Print JSON
    pub(crate) json: bool,
}

impl TokenDigestCommand {
    /// Prints the digest of the token, without the line break that may end the input.
    pub(crate) fn run(&self) -> Result<(), Report<CtlError>> {
        let token = read_token_input()?;
        let digest = digest_token(token.as_str());
        print_result(&DigestView { digest }, self.json)
    }
}
