//! A parser and checker for JSON with comments that reports all mistakes of a file together.

mod check;
mod format;
mod mistake;
mod node;
mod path;
mod read;
mod schema;
mod text;
mod tokens;

pub(crate) use check::SourceChecker;
pub(crate) use mistake::mistake_at_start;
pub use mistake::{MistakeKind, MistakeList, SourceMistake};
pub(crate) use node::NodeView;
pub use path::{FieldPath, PathSegment};
pub(crate) use read::{read_source, read_unchecked};
pub(crate) use schema::{FieldSchema, ValueSchema};
pub use text::decode_text;
