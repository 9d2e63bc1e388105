//! Reading a document: its shape, and the checks that span several fields.

mod cross;
mod routes;
mod shape;

use crate::document::EnvironmentDocument;
use crate::source::{MistakeList, read_source};

pub(crate) use shape::OPERATOR_MAP;

/// Reads a document. `file` is only used to name the place of a mistake.
pub fn parse_document(file: &str, text: &str) -> Result<EnvironmentDocument, MistakeList> {
    read_source(file, text, &shape::DOCUMENT, cross::check_document)
}
