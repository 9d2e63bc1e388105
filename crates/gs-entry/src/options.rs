//! Command-line options.

use std::path::PathBuf;

use bpaf::Bpaf;

/// Serves callers of one environment and routes their requests to backend servers.
///
/// Exit codes: 0 after a graceful shutdown, 1 if the settings have mistakes or the daemon cannot start.
///
/// Example: gs-entry --settings entry.jsonc
#[derive(Bpaf, Clone, Debug)]
#[bpaf(options, version)]
pub struct EntryOptions {
    /// The settings file, JSON with comments
    #[bpaf(long, argument("FILE"))]
    pub settings: PathBuf,
}
