//! Reads documents, settings and tokens, and validates digests.

use std::fmt;
use std::io::Read;
use std::path::Path;

use error_stack::{Report, ResultExt};
use gs_document::document::EnvironmentDocument;
use gs_document::{MistakeList, decode_text, is_digest, parse_document};

use crate::error::CtlError;

/// The bearer token of an operator. Its debug output hides the token.
#[derive(Clone)]
pub(crate) struct OperatorToken(String);

impl OperatorToken {
    /// Returns the token, for an `Authorization` header.
    pub(crate) fn as_str(&self) -> &str {
        &self.0
    }
}

impl fmt::Debug for OperatorToken {
    fn fmt(&self, formatter: &mut fmt::Formatter<'_>) -> fmt::Result {
        formatter.write_str("OperatorToken(hidden)")
    }
}

/// Reads the bytes of a file.
pub(crate) fn read_bytes(path: &Path) -> Result<Vec<u8>, Report<CtlError>> {
    std::fs::read(path).change_context_lazy(|| CtlError::FileUnreadable {
        path: path.to_owned(),
    })
}

/// Parses a document; mistakes name the path of its file.
pub(crate) fn read_document(path: &Path, bytes: &[u8]) -> Result<EnvironmentDocument, MistakeList> {
    let file = path.display().to_string();
    let text = decode_text(&file, bytes)?;
    parse_document(&file, text)
}

/// Reads a token from a file.
pub(crate) fn read_token_file(path: &Path) -> Result<OperatorToken, Report<CtlError>> {
    let bytes = read_bytes(path)?;
    parse_token(&bytes, &format!("file \"{}\"", path.display()))
}

/// Reads a token from the standard input.
pub(crate) fn read_token_input() -> Result<OperatorToken, Report<CtlError>> {
    let mut bytes = Vec::new();
    std::io::stdin()
        .read_to_end(&mut bytes)
        .change_context(CtlError::InputUnreadable)?;
    parse_token(&bytes, "the standard input")
}

/// Validates a token, without the line break that editors add at the end.
fn parse_token(bytes: &[u8], source_name: &str) -> Result<OperatorToken, Report<CtlError>> {
    let text = std::str::from_utf8(bytes).unwrap_or_default();
    let text = text.strip_suffix('\n').unwrap_or(text);
    let text = text.strip_suffix('\r').unwrap_or(text);
    let is_valid = !text.is_empty() && text.bytes().all(|byte| byte.is_ascii_graphic());
    if !is_valid {
        let source_name = source_name.to_owned();
        return Err(Report::new(CtlError::TokenMalformed { source_name }));
    }
    Ok(OperatorToken(text.to_owned()))
}

/// Checks that a digest has the form of a document's digest.
pub(crate) fn check_digest(digest: &str) -> Result<(), Report<CtlError>> {
    if is_digest(digest) {
        return Ok(());
    }
    let found = digest.to_owned();
    Err(Report::new(CtlError::DigestMalformed { found }))
}
