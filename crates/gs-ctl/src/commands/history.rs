//! `gs-ctl history`: lists the documents that were accepted.

use bpaf::Bpaf;
use error_stack::Report;

use crate::client::{AdminCall, AdminClient, AdminOptions, admin_options};
use crate::error::CtlError;
use crate::output::print_result;
use crate::view::HistoryTable;

use super::PRODUCTION;

/// Default number of documents on a page.
const DEFAULT_LIMIT: u32 = 20;

const FOOTER: &str = "Examples:
   gs-ctl history --admin 127.0.0.1:8090 --token-file monitor.token
   gs-ctl history --admin 127.0.0.1:8090 --token-file monitor.token --before 81 --json";

/// Lists the documents that were accepted, latest first
#[derive(Bpaf, Clone, Debug)]
#[bpaf(command("history"), footer(FOOTER))]
pub(crate) struct HistoryCommand {
    #[bpaf(external(admin_options))]
    pub(crate) admin: AdminOptions,
    /// Name of the environment
    #[bpaf(argument("NAME"), fallback(PRODUCTION.to_owned()), display_fallback)]
    environment: String,
    /// List only documents with smaller sequence numbers
    #[bpaf(argument("SEQUENCE"), optional)]
    before: Option<u64>,
    /// Maximum number of documents to list
    #[bpaf(argument("COUNT"), fallback(DEFAULT_LIMIT), display_fallback)]
    limit: u32,
}

impl HistoryCommand {
    /// Reads and prints one page of history.
    pub(crate) async fn run(&self) -> Result<(), Report<CtlError>> {
        let client = AdminClient::open(&self.admin)?;
        let mut call = AdminCall::get("history")
            .with_query("environment", self.environment.clone())
            .with_query("limit", self.limit.to_string());
        if let Some(before) = self.before {
            call = call.with_query("before", before.to_string());
        }
        let view = client.read(&call).await?;
        print_result(&HistoryTable(view), self.admin.json)
    }
}
