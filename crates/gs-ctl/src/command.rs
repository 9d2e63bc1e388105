//! The commands of the command line.

use bpaf::Bpaf;
use error_stack::Report;

use crate::commands::{
    CheckCommand, DiffCommand, DigestCommand, DrainCommand, HeadCommand, HistoryCommand,
    PromoteCommand, RollbackCommand, ShowCommand, StatusCommand, TokenDigestCommand, TryCommand,
    check_command, diff_command, digest_command, drain_command, head_command, history_command,
    promote_command, rollback_command, show_command, status_command, token_digest_command,
    try_command,
};
use crate::error::CtlError;

const FOOTER: &str = "\
Exit codes: 0 success; 1 a file has mistakes; 2 the command line or a file cannot be used; \
3 refused, nothing was changed; 4 another operator's change was accepted first, nothing was changed; \
5 no usable answer was received, a change may have taken effect.";

/// Checks documents and administers a deployment
#[derive(Bpaf, Clone, Debug)]
#[bpaf(options, version, footer(FOOTER), generate(ctl_command))]
pub(crate) enum CtlCommand {
    Check(#[bpaf(external(check_command))] CheckCommand),
    Digest(#[bpaf(external(digest_command))] DigestCommand),
    TokenDigest(#[bpaf(external(token_digest_command))] TokenDigestCommand),
    Diff(#[bpaf(external(diff_command))] DiffCommand),
    Try(#[bpaf(external(try_command))] TryCommand),
    Promote(#[bpaf(external(promote_command))] PromoteCommand),
    Rollback(#[bpaf(external(rollback_command))] RollbackCommand),
    Drain(#[bpaf(external(drain_command))] DrainCommand),
    Status(#[bpaf(external(status_command))] StatusCommand),
    History(#[bpaf(external(history_command))] HistoryCommand),
    Head(#[bpaf(external(head_command))] HeadCommand),
    Show(#[bpaf(external(show_command))] ShowCommand),
}

impl CtlCommand {
    /// Runs the command.
    pub(crate) fn run(&self) -> Result<(), Report<CtlError>> {
        let system = actix_rt::System::new();
        match self {
            Self::Check(command) => command.run(),
            Self::Diff(command) => command.run(),
            Self::Digest(command) => command.run(),
            Self::TokenDigest(command) => command.run(),
            Self::Drain(command) => system.block_on(command.run()),
            Self::Head(command) => system.block_on(command.run()),
            Self::History(command) => system.block_on(command.run()),
            Self::Promote(command) => system.block_on(command.run()),
            Self::Rollback(command) => system.block_on(command.run()),
            Self::Show(command) => system.block_on(command.run()),
            Self::Status(command) => system.block_on(command.run()),
            Self::Try(command) => system.block_on(command.run()),
        }
    }

    /// Returns whether results and errors are printed as JSON.
    pub(crate) fn json(&self) -> bool {
        match self {
            Self::Check(command) => command.json,
            Self::Diff(command) => command.json,
            Self::Digest(command) => command.json,
            Self::TokenDigest(command) => command.json,
            Self::Drain(command) => command.admin.json,
            Self::Head(command) => command.admin.json,
            Self::History(command) => command.admin.json,
            Self::Promote(command) => command.change.admin.json,
            Self::Rollback(command) => command.change.admin.json,
            Self::Show(command) => command.admin.json,
            Self::Status(command) => command.admin.json,
            Self::Try(command) => command.change.admin.json,
        }
    }
}
