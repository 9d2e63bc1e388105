//! The document of an environment, and the settings of a process.
//!
//! Both are JSON with comments. A document holds nothing that belongs to one environment alone (no
//! addresses), so that the same bytes go from trial to production.

mod diff;
mod digest;
pub mod document;
mod parse;
pub mod settings;
mod source;

pub use diff::{ChangeKind, DocumentChange, diff_documents};
pub use digest::{digest_document, digest_token, is_digest};
pub use parse::{parse_accepted_document, parse_document};
pub use source::{FieldPath, MistakeKind, MistakeList, PathSegment, SourceMistake, decode_text};
