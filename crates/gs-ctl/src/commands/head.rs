//! `gs-ctl head`: shows which document is in force.

use bpaf::Bpaf;
use error_stack::Report;

use crate::client::{AdminCall, AdminClient, AdminOptions, admin_options};
use crate::error::CtlError;
use crate::output::print_result;
use crate::view::HeadTable;

use super::PRODUCTION;

const FOOTER: &str = "Example:
   gs-ctl head --admin 127.0.0.1:8090 --token-file operator.token";

/// Shows which document is in force and which operator accepted it
#[derive(Bpaf, Clone, Debug)]
#[bpaf(command("head"), footer(FOOTER))]
pub(crate) struct HeadCommand {
    #[bpaf(external(admin_options))]
    pub(crate) admin: AdminOptions,
    /// Name of the environment
    #[bpaf(argument("NAME"), fallback(PRODUCTION.to_owned()), display_fallback)]
    environment: String,
}

impl HeadCommand {
    /// Reads and prints the head.
    pub(crate) async fn run(&self) -> Result<(), Report<CtlError>> {
        let client = AdminClient::open(&self.admin)?;
        let call = AdminCall::get("head").with_query("environment", self.environment.clone());
        let view = client.read(&call).await?;
        print_result(&HeadTable(view), self.admin.json)
    }
}
