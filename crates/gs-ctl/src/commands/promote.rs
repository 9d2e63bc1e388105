//! `gs-ctl promote`: accepts into production a document that trial has accepted.

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
    /// Sends the promotion and prints the accepted head.
    pub(crate) async fn run(&self) -> Result<(), Report<CtlError>> {
        check_digest(&self.digest)?;
        let change = self.change.prepare(&self.environment).await?;
        let request = PromoteRequest {
            digest: self.digest.clone(),
            operation: change.key.operation,
            expected: change.key.expected,
        };
        let call = AdminCall::post("promote", CallBody::json(&request)?);
        change.send(&call).await
    }
}
