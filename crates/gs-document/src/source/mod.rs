//! Reading JSON with comments so that every mistake of a file is reported at once.

mod check;
mod mistake;
mod path;
mod read;
mod shape;
mod text;
mod tokens;

pub(crate) use check::{CheckReport, NodeView};
pub use mistake::{MistakeKind, MistakeList, SourceMistake};
pub use path::{FieldPath, PathSegment};
pub(crate) use read::read_source;
pub(crate) use shape::{FieldShape, ValueShape};
