//! Command-line options of the capacity estimate.

use std::path::PathBuf;

use bpaf::Bpaf;

/// Options of the capacity estimate.
#[derive(Bpaf, Clone, Debug)]
pub struct CapacityOptions {
    /// File of measured figures, in JSON
    #[bpaf(positional("FILE"))]
    pub figures: PathBuf,
}
