//! `gs-ctl promote`: accepts a proved document into production.

use bpaf::Bpaf;
use error_stack::Report;
use gs_protocol::admin::PromoteRequest;

use crate::client::{AdminCall, CallBody, ChangeOptions, change_options};
use crate::error::CtlError;
use crate::files::check_digest;

use super::PRODUCTION;

const FOOTER: &str = "Example:
   gs-ctl promote --admin 127.0.0.1:8090 --token-file operator.token --expected 4 sha256:2c26…";

/// Accepts into production a document that was accepted in trial
#[derive(Bpaf, Clone, Debug)]
#[bpaf(command("promote"), footer(FOOTER))]
pub(crate) struct PromoteCommand {
    #[bpaf(external(change_options))]
    pub(crate) change: ChangeOptions,
    /// Name of the production environment
    #[bpaf(argument("NAME"), fallback(PRODUCTION.to_owned()), display_fallback)]
    environment: String,
    /// Digest of the document
    #[bpaf(positional("DIGEST"))]
    digest: String,
}

impl PromoteCommand {
    /// Has the document accepted.
    pub(crate) async fn run(&self) -> Result<(), Report<CtlError>> {
        check_digest(&self.digest)?;
        let change = self.change.begin(&self.environment).await?;
        let request = PromoteRequest {
            digest: self.digest.clone(),
            operation: change.ticket.operation,
            expected: change.ticket.expected,
        };
        let call = AdminCall::post("promote", CallBody::json(&request)?);
        change.finish(&call).await
    }
}
