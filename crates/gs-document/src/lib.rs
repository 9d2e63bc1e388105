//! Parsing, checking and comparison of documents, and parsing of process settings.
//!
//! Both are JSON with comments. A document contains nothing that is specific to one environment,
//! such as addresses, so that the same bytes can be promoted from trial to production.

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
