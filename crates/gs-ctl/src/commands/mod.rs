//! The commands, one in each module.

mod check;
mod diff;
mod digest;
mod drain;
mod head;
mod history;
mod promote;
mod rollback;
mod show;
mod status;
mod token_digest;
mod try_document;

pub(crate) use check::{CheckCommand, check_command};
pub(crate) use diff::{DiffCommand, diff_command};
pub(crate) use digest::{DigestCommand, digest_command};
pub(crate) use drain::{DrainCommand, drain_command};
pub(crate) use head::{HeadCommand, head_command};
pub(crate) use history::{HistoryCommand, history_command};
pub(crate) use promote::{PromoteCommand, promote_command};
pub(crate) use rollback::{RollbackCommand, rollback_command};
pub(crate) use show::{ShowCommand, show_command};
pub(crate) use status::{StatusCommand, status_command};
pub(crate) use token_digest::{TokenDigestCommand, token_digest_command};
pub(crate) use try_document::{TryCommand, try_command};

/// Default name of the trial environment, as in the default settings of gs-admin.
const TRIAL: &str = "trial";

/// Default name of the production environment, as in the default settings of gs-admin.
const PRODUCTION: &str = "production";
