//! `gs-ctl rollback`: accepts the document of an earlier sequence number again.

use bpaf::Bpaf;
use error_stack::Report;
use gs_protocol::admin::RollBackRequest;
use gs_protocol::ids::SequenceNumber;

use crate::client::{AdminCall, CallBody, ChangeOptions, change_options};
use crate::error::CtlError;

use super::PRODUCTION;

const FOOTER: &str = "Example:
   gs-ctl rollback --admin 127.0.0.1:8090 --token-file operator.token 3";

/// Accepts an earlier document again, under a new sequence number
#[derive(Bpaf, Clone, Debug)]
#[bpaf(command("rollback"), footer(FOOTER))]
pub(crate) struct RollbackCommand {
    #[bpaf(external(change_options))]
    pub(crate) change: ChangeOptions,
    /// Name of the environment
    #[bpaf(argument("NAME"), fallback(PRODUCTION.to_owned()), display_fallback)]
    environment: String,
    /// Sequence number of the document to roll back to
    #[bpaf(positional("SEQUENCE"))]
    sequence: u64,
}

impl RollbackCommand {
    /// Sends the roll-back and prints the accepted head.
    pub(crate) async fn run(&self) -> Result<(), Report<CtlError>> {
        let change = self.change.prepare(&self.environment).await?;
        let request = RollBackRequest {
            environment: Some(self.environment.clone()),
            sequence: SequenceNumber(self.sequence),
            operation: change.key.operation,
            expected: change.key.expected,
        };
        let call = AdminCall::post("rollback", CallBody::json(&request)?);
        change.send(&call).await
    }
}
