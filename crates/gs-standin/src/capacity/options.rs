//! The command line of the arithmetic.

use std::path::PathBuf;

use bpaf::Bpaf;

/// What to work out.
#[derive(Bpaf, Clone, Debug)]
pub struct CapacityOptions {
    /// The measured figures, in JSON
    #[bpaf(positional("FILE"))]
    pub figures: PathBuf,
}
