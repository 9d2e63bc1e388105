//! `gs-ctl status`: shows which document each entry has applied.

use bpaf::Bpaf;
use error_stack::Report;

use crate::client::{AdminCall, AdminClient, AdminOptions, admin_options};
use crate::error::CtlError;
use crate::output::print_result;
use crate::view::StatusTable;

use super::PRODUCTION;

const FOOTER: &str = "Example:
   gs-ctl status --admin 127.0.0.1:8090 --token-file operator.token";

/// Shows which document each entry has applied, and which servers are drained
#[derive(Bpaf, Clone, Debug)]
#[bpaf(command("status"), footer(FOOTER))]
pub(crate) struct StatusCommand {
    #[bpaf(external(admin_options))]
    pub(crate) admin: AdminOptions,
    /// Name of the environment
    #[bpaf(argument("NAME"), fallback(PRODUCTION.to_owned()), display_fallback)]
    environment: String,
}

impl StatusCommand {
    /// Reads and prints the status.
    pub(crate) async fn run(&self) -> Result<(), Report<CtlError>> {
        let client = AdminClient::open(&self.admin)?;
        let call = AdminCall::get("status").with_query("environment", self.environment.clone());
        let view = client.read(&call).await?;
        print_result(&StatusTable(view), self.admin.json)
    }
}
