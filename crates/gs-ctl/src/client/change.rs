//! Sends changes that accept a document, and prints the accepted head.

use bpaf::Bpaf;
use error_stack::Report;

use crate::error::CtlError;
use crate::output::print_result;
use crate::view::AcceptView;

use super::call::AdminCall;
use super::connection::AdminClient;
use super::operation::{OperationKey, OperationOptions, operation_options};
use super::options::{AdminOptions, admin_options};

/// Connection to the administration API, and identity of the operation
#[derive(Bpaf, Clone, Debug)]
pub(crate) struct ChangeOptions {
    #[bpaf(external(admin_options))]
    pub(crate) admin: AdminOptions,
    #[bpaf(
        external(operation_options),
        guard(OperationOptions::is_complete, "--operation needs --expected")
    )]
    operation: OperationOptions,
}

impl ChangeOptions {
    /// Prepares a change to an environment. Reads its head unless the options contain the expected
    /// sequence number.
    pub(crate) async fn prepare(
        &self,
        environment: &str,
    ) -> Result<PreparedChange, Report<CtlError>> {
        let client = AdminClient::open(&self.admin)?;
        let key = OperationKey::resolve(&client, self.operation, environment).await?;
        Ok(PreparedChange {
            client,
            environment: environment.to_owned(),
            json: self.admin.json,
            key,
        })
    }
}

/// A change that is ready to be sent.
pub(crate) struct PreparedChange {
    client: AdminClient,
    environment: String,
    json: bool,
    /// The key of the operation, which is the same in all retries.
    pub(crate) key: OperationKey,
}

impl PreparedChange {
    /// Sends the change, with retries, and prints the accepted head.
    pub(crate) async fn send(self, call: &AdminCall) -> Result<(), Report<CtlError>> {
        let answer = self.key.send_call(&self.client, call).await?;
        print_result(&AcceptView::new(self.environment, answer), self.json)
    }
}
