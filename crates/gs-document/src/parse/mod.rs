//! Reading a document: its shape, and the checks that span several fields.

mod cross;
mod routes;
mod shape;

use crate::document::EnvironmentDocument;
use gs_protocol::platform::MAX_VALUE_BYTES;

use crate::source::{MistakeKind, MistakeList, mistake_at_start, read_source, read_unchecked};

pub(crate) use shape::OPERATOR_MAP;

/// Reads a document. `file` is only used to name the place of a mistake.
pub fn parse_document(file: &str, text: &str) -> Result<EnvironmentDocument, MistakeList> {
    if text.len() > MAX_VALUE_BYTES {
        let kind = MistakeKind::TooLarge {
            found: text.len(),
            allowed: MAX_VALUE_BYTES,
        };
        return Err(mistake_at_start(file, kind));
    }
    read_source(file, text, &shape::DOCUMENT, cross::check_document)
}

/// Reads a document that was accepted before. Its structure must fit, but its ranges and references are
/// not checked again: an accepted document stays in force when a later version checks more.
pub fn parse_accepted_document(file: &str, text: &str) -> Result<EnvironmentDocument, MistakeList> {
    read_unchecked(file, text)
}
