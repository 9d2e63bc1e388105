//! `gs-ctl try`: accepts a document into the trial environment.

use std::path::PathBuf;

use bpaf::Bpaf;
use error_stack::Report;

use crate::client::{AdminCall, CallBody, ChangeOptions, change_options};
use crate::error::CtlError;
use crate::files::{read_bytes, read_document};

use super::TRIAL;

const FOOTER: &str = "Example:
   gs-ctl try --admin 127.0.0.1:8090 --token-file operator.token great-lakes.jsonc";

/// Accepts a document into the trial environment
#[derive(Bpaf, Clone, Debug)]
#[bpaf(command("try"), footer(FOOTER))]
pub(crate) struct TryCommand {
    #[bpaf(external(change_options))]
    pub(crate) change: ChangeOptions,
    /// Name of the trial environment
    #[bpaf(argument("NAME"), fallback(TRIAL.to_owned()), display_fallback)]
    environment: String,
    /// File that contains the document
    #[bpaf(positional("FILE"))]
    file: PathBuf,
}

impl TryCommand {
    /// Checks the document, sends it, and prints the accepted head.
    pub(crate) async fn run(&self) -> Result<(), Report<CtlError>> {
        let bytes = read_bytes(&self.file)?;
        if let Err(list) = read_document(&self.file, &bytes) {
            let mistakes = vec![list];
            return Err(Report::new(CtlError::Mistakes { mistakes }));
        }
        let change = self.change.prepare(&self.environment).await?;
        let call = AdminCall::post("try", CallBody::Document(bytes))
            .with_query("operation", change.key.operation.to_string())
            .with_query("expected", change.key.expected.to_string());
        change.send(&call).await
    }
}
