//! Reading JSON with comments so that every mistake of a file is reported at once.

mod check;
mod found;
mod mistake;
mod node;
mod path;
mod read;
mod shape;
mod text;
mod tokens;

pub(crate) use check::CheckReport;
pub(crate) use mistake::mistake_at_start;
pub use mistake::{MistakeKind, MistakeList, SourceMistake};
pub(crate) use node::NodeView;
pub use path::{FieldPath, PathSegment};
pub(crate) use read::{read_source, read_unchecked};
pub(crate) use shape::{FieldShape, ValueShape};
pub use text::decode_text;
