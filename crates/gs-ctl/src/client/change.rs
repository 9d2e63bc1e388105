//! Sending a change that accepts a document, and printing what was accepted.

use bpaf::Bpaf;
use error_stack::Report;

use crate::error::CtlError;
use crate::output::print_result;
use crate::view::AcceptView;

use super::call::AdminCall;
use super::connection::AdminClient;
use super::operation::{OperationOptions, OperationTicket, operation_options};
use super::options::{AdminOptions, admin_options};

/// Where a change goes, what it builds on and which earlier try it repeats.
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
    /// Fixes what the change builds on; reads the environment's head unless the options name it.
    pub(crate) async fn begin(&self, environment: &str) -> Result<AdminChange, Report<CtlError>> {
        let client = AdminClient::open(&self.admin)?;
        let ticket = OperationTicket::draw(&client, self.operation, environment).await?;
        Ok(AdminChange {
            client,
            environment: environment.to_owned(),
            json: self.admin.json,
            ticket,
        })
    }
}

/// A change that is about to be sent.
pub(crate) struct AdminChange {
    client: AdminClient,
    environment: String,
    json: bool,
    /// What makes repeats of the change the same operation.
    pub(crate) ticket: OperationTicket,
}

impl AdminChange {
    /// Sends the change until its outcome is known, and prints what was accepted.
    pub(crate) async fn finish(self, call: &AdminCall) -> Result<(), Report<CtlError>> {
        let answer = self.ticket.settle(&self.client, call).await?;
        print_result(&AcceptView::new(self.environment, answer), self.json)
    }
}
