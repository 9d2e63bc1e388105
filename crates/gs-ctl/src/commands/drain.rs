//! `gs-ctl drain`: drains a backend server, or ends its drain.

use bpaf::Bpaf;
use error_stack::Report;
use gs_protocol::admin::DrainRequest;
use gs_protocol::ids::ServerName;

use crate::client::{
    AdminCall, AdminClient, AdminOptions, CallBody, CallFailure, admin_options, decode_answer,
};
use crate::error::CtlError;
use crate::output::print_result;
use crate::view::DrainView;

use super::PRODUCTION;

const FOOTER: &str = "Examples:
   gs-ctl drain --admin 127.0.0.1:8090 --token-file operator.token care-notes-1
   gs-ctl drain --admin 127.0.0.1:8090 --token-file operator.token --off care-notes-1";

/// Drains a backend server, which takes it out of use, or ends the drain with --off
#[derive(Bpaf, Clone, Debug)]
#[bpaf(command("drain"), footer(FOOTER))]
pub(crate) struct DrainCommand {
    #[bpaf(external(admin_options))]
    pub(crate) admin: AdminOptions,
    /// Name of the environment
    #[bpaf(argument("NAME"), fallback(PRODUCTION.to_owned()), display_fallback)]
    environment: String,
    /// End the drain and put the server back into use
    off: bool,
    /// Name of the server
    #[bpaf(positional("SERVER"))]
    server: String,
}

impl DrainCommand {
    /// Starts or ends the drain. The call sets the state, so it is idempotent without an operation key.
    pub(crate) async fn run(&self) -> Result<(), Report<CtlError>> {
        let client = AdminClient::open(&self.admin)?;
        let request = DrainRequest {
            environment: Some(self.environment.clone()),
            server: ServerName::new(self.server.as_str()),
            on: !self.off,
        };
        let call = AdminCall::post("drain", CallBody::json(&request)?);
        let answer = match client.send_with_retries(&call).await {
            Ok(answer) => decode_answer(&call, &answer)?,
            Err(CallFailure::NotApplied(error)) => return Err(Report::new(error)),
            Err(CallFailure::OutcomeUnknown) => {
                return Err(Report::new(CtlError::DrainOutcomeUnknown));
            }
        };
        print_result(&DrainView(answer), self.admin.json)
    }
}
