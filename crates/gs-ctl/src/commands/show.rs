//! `gs-ctl show`: prints the exact bytes of a document.

use bpaf::Bpaf;
use error_stack::Report;
use gs_document::digest_document;

use crate::client::{AdminCall, AdminClient, AdminOptions, admin_options};
use crate::error::CtlError;
use crate::files::check_digest;
use crate::output::print_bytes;

const FOOTER: &str = "Example:
   gs-ctl show --admin 127.0.0.1:8090 --token-file monitor.token sha256:2c26… > document.jsonc";

/// Prints the exact bytes of an accepted document, checked against the digest
#[derive(Bpaf, Clone, Debug)]
#[bpaf(command("show"), footer(FOOTER))]
pub(crate) struct ShowCommand {
    #[bpaf(external(admin_options))]
    pub(crate) admin: AdminOptions,
    /// Digest of the document
    #[bpaf(positional("DIGEST"))]
    digest: String,
}

impl ShowCommand {
    /// Reads the document and prints it if its digest is the requested one.
    pub(crate) async fn run(&self) -> Result<(), Report<CtlError>> {
        check_digest(&self.digest)?;
        let client = AdminClient::open(&self.admin)?;
        let call = AdminCall::get(format!("documents/{}", self.digest));
        let bytes = client.read_bytes(&call).await?;
        let found = digest_document(&bytes);
        if found != self.digest {
            return Err(Report::new(CtlError::AnswerMalformed {
                call: call.name(),
                detail: format!("the bytes have the digest {found}"),
            }));
        }
        print_bytes(&bytes)
    }
}
