//! Converts byte offsets in a text to lines and columns.

use super::mistake::{MistakeKind, MistakeList, SourceMistake};
use super::path::FieldPath;

/// Decodes bytes as UTF-8. `file` is only used to give the location of a mistake.
pub fn decode_text<'a>(file: &str, bytes: &'a [u8]) -> Result<&'a str, MistakeList> {
    std::str::from_utf8(bytes).map_err(|error| {
        let valid = &bytes[..error.valid_up_to()];
        let valid = std::str::from_utf8(valid).unwrap_or_default();
        let source = SourceText::new(file, valid);
        source
            .mistake(valid.len(), FieldPath::default(), MistakeKind::NotText)
            .into()
    })
}

/// A file's text and the byte offsets at which its lines start.
pub(crate) struct SourceText<'a> {
    file: &'a str,
    text: &'a str,
    line_starts: Vec<usize>,
}

impl<'a> SourceText<'a> {
    /// Creates the index of a text's lines.
    pub(crate) fn new(file: &'a str, text: &'a str) -> Self {
        let ends = text.match_indices('\n').map(|(offset, _)| offset + 1);
        let line_starts = std::iter::once(0).chain(ends).collect();
        Self {
            file,
            text,
            line_starts,
        }
    }

    /// Returns the whole text.
    pub(crate) fn text(&self) -> &'a str {
        self.text
    }

    /// Returns the line of a byte offset, from 1.
    pub(crate) fn line(&self, offset: usize) -> usize {
        self.line_starts.partition_point(|start| *start <= offset)
    }

    /// Returns the column of a byte offset, in characters, from 1.
    pub(crate) fn column(&self, offset: usize) -> usize {
        let start = self.line_starts[self.line(offset) - 1];
        self.text
            .get(start..offset)
            .map_or(1, |before| before.chars().count() + 1)
    }

    /// Creates a mistake at a byte offset.
    pub(crate) fn mistake(
        &self,
        offset: usize,
        path: FieldPath,
        kind: MistakeKind,
    ) -> SourceMistake {
        SourceMistake {
            file: self.file.to_owned(),
            line: self.line(offset),
            column: self.column(offset),
            path,
            kind,
        }
    }
}
