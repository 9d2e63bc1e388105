//! Command-line options.

use std::path::PathBuf;

use bpaf::Bpaf;

/// Serves the administration API of a deployment's environments.
///
/// Exit codes: 0 after a graceful shutdown, 1 if the settings have mistakes or the daemon cannot start.
///
/// Example: gs-admin --settings admin.jsonc
#[derive(Bpaf, Clone, Debug)]
#[bpaf(options, version)]
pub struct AdminOptions {
    /// The settings file, JSON with comments
    #[bpaf(long, argument("FILE"))]
    pub settings: PathBuf,
}
