//! Turns byte offsets of a text into lines and columns.

use super::mistake::{MistakeKind, MistakeList, SourceMistake};
use super::path::FieldPath;

/// Reads bytes as UTF-8. `file` is only used to name the place of a mistake.
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

/// A file's text with the offsets at which its lines start.
pub(crate) struct SourceText<'a> {
    file: &'a str,
    text: &'a str,
    line_starts: Vec<usize>,
}

impl<'a> SourceText<'a> {
    /// Indexes the lines of a text.
    pub(crate) fn new(file: &'a str, text: &'a str) -> Self {
        let ends = text.match_indices('\n').map(|(offset, _)| offset + 1);
        let line_starts = std::iter::once(0).chain(ends).collect();
        Self {
            file,
            text,
            line_starts,
        }
    }

    /// The text.
    pub(crate) fn text(&self) -> &'a str {
        self.text
    }

    /// The line of a byte offset, from 1.
    pub(crate) fn line(&self, offset: usize) -> usize {
        self.line_starts.partition_point(|start| *start <= offset)
    }

    /// The column of a byte offset in characters, from 1.
    pub(crate) fn column(&self, offset: usize) -> usize {
        let start = self.line_starts[self.line(offset) - 1];
        self.text
            .get(start..offset)
            .map_or(1, |before| before.chars().count() + 1)
    }

    /// A mistake at a byte offset.
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
