//! Parsing of documents: their schema, and checks that span several fields.

mod cross_field;
mod routes;
mod schema;

use crate::document::EnvironmentDocument;
use gs_protocol::platform::MAX_VALUE_BYTES;

use crate::source::{MistakeKind, MistakeList, mistake_at_start, read_source, read_unchecked};

pub(crate) use schema::OPERATOR_MAP;

/// Parses and checks a document. `file` is only used to give the location of a mistake.
///
/// # Errors
///
/// Returns all mistakes of the document, or the first syntax error.
pub fn parse_document(file: &str, text: &str) -> Result<EnvironmentDocument, MistakeList> {
    if text.len() > MAX_VALUE_BYTES {
        let kind = MistakeKind::TooLarge {
            found: text.len(),
            allowed: MAX_VALUE_BYTES,
        };
        return Err(mistake_at_start(file, kind));
    }
    read_source(file, text, &schema::DOCUMENT, cross_field::check_document)
}

/// Parses a document that has been accepted. Its structure must match, but ranges and references
/// are not checked again, so that an accepted document stays in force when a later version adds
/// checks.
///
/// # Errors
///
/// Returns the first syntax error or structural mistake.
pub fn parse_accepted_document(file: &str, text: &str) -> Result<EnvironmentDocument, MistakeList> {
    read_unchecked(file, text)
}
