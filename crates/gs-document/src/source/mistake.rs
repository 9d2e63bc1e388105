//! The mistakes that a check of a file reports, and their messages.

use std::fmt;

use serde::Serialize;
use thiserror::Error;

use super::path::FieldPath;

/// The kind of a mistake, with the value found and the values allowed.
#[derive(Clone, Debug, Eq, Error, PartialEq, Serialize)]
#[serde(
    rename_all = "kebab-case",
    rename_all_fields = "camelCase",
    tag = "kind"
)]
pub enum MistakeKind {
    /// The text is not valid JSON with comments.
    #[error("syntax error: {detail}")]
    Syntax {
        /// The parser's message.
        detail: String,
    },
    /// The bytes are not UTF-8.
    #[error("the bytes are not UTF-8")]
    NotText,
    /// The file is larger than a value in the platform's object store may be.
    #[error("the file has {found} bytes; the limit is {allowed} bytes")]
    TooLarge {
        /// The file's size, in bytes.
        found: usize,
        /// The maximum size, in bytes.
        allowed: usize,
    },
    /// Objects and lists are nested too deeply.
    #[error("nested more than {limit} levels deep")]
    TooDeep {
        /// The maximum nesting depth, in levels.
        limit: usize,
    },
    /// The file contains no value.
    #[error("the file is empty; expected an object")]
    Empty,
    /// The object has no such field.
    #[error(
        "unknown field \"{found}\"; {}{}",
        suggestion(nearest),
        allowed_names(allowed)
    )]
    UnknownField {
        /// The field's name.
        found: String,
        /// The most similar known name, as a suggestion.
        nearest: Option<String>,
        /// All known names.
        allowed: Vec<String>,
    },
    /// A required field is missing.
    #[error("missing field \"{name}\"; expected {allowed}")]
    MissingField {
        /// The field's name.
        name: String,
        /// A description of the allowed values.
        allowed: String,
    },
    /// An object has two fields of the same name.
    #[error("\"{found}\" is duplicated; first occurrence on line {first_line}")]
    DuplicateField {
        /// The name.
        found: String,
        /// The line of the first occurrence, from 1.
        first_line: usize,
    },
    /// The value has the wrong type.
    #[error("found {found}; expected {allowed}")]
    WrongType {
        /// The value found.
        found: String,
        /// A description of the allowed values.
        allowed: String,
    },
    /// The number or the list's length is out of range.
    #[error("found {found}; expected {allowed}")]
    OutOfRange {
        /// The value found.
        found: String,
        /// A description of the allowed values.
        allowed: String,
    },
    /// The string does not have the required format.
    #[error("found {found}; expected {allowed}")]
    WrongForm {
        /// The value found.
        found: String,
        /// A description of the allowed values.
        allowed: String,
    },
    /// The string is not one of a fixed set.
    #[error("found \"{found}\"; {}{}", suggestion(nearest), allowed_names(allowed))]
    NotOneOf {
        /// The string found.
        found: String,
        /// The most similar allowed string, as a suggestion.
        nearest: Option<String>,
        /// The allowed strings.
        allowed: Vec<String>,
    },
    /// The name is not declared in the section that it refers to.
    #[error(
        "\"{found}\" is not in \"{section}\"; {}{}",
        suggestion(nearest),
        allowed_names(allowed)
    )]
    UnknownReference {
        /// The name found.
        found: String,
        /// The section that declares such names.
        section: String,
        /// The most similar declared name, as a suggestion.
        nearest: Option<String>,
        /// The declared names, truncated if there are many.
        allowed: Vec<String>,
    },
    /// A value that must be unique occurs twice.
    #[error("{found} is duplicated; first occurrence on line {first_line}")]
    Repeated {
        /// The value found.
        found: String,
        /// The line of the first occurrence, from 1.
        first_line: usize,
    },
    /// The server kind uses a different protocol than the model or service requires.
    #[error(
        "server kind \"{found}\" has protocol \"{protocol}\"; expected a kind with protocol \"{allowed}\""
    )]
    WrongProtocol {
        /// The server kind.
        found: String,
        /// Its protocol.
        protocol: String,
        /// The required protocol.
        allowed: String,
    },
    /// The guaranteed shares of all callers exceed the capacity of the fleet.
    #[error("the guaranteed shares sum to {found}; the maximum is {allowed}")]
    ShareSum {
        /// The sum of the shares.
        found: String,
        /// The maximum sum.
        allowed: String,
    },
    /// Two routes match the same call but differ in whether they are idempotent.
    #[error(
        "route \"{found}\" overlaps with \"{other}\" on line {first_line}; both must have the same \"idempotent\" value"
    )]
    RouteOverlap {
        /// The later route.
        found: String,
        /// The earlier route.
        other: String,
        /// The line of the earlier route, from 1.
        first_line: usize,
    },
    /// The list of mistakes was truncated.
    #[error("{omitted} more mistakes are not listed")]
    Further {
        /// The number of mistakes that are not listed.
        #[serde(rename = "left")]
        omitted: usize,
    },
    /// The value passed all checks but could not be decoded.
    #[error("the value cannot be decoded: {detail}")]
    Unreadable {
        /// The decoder's message.
        detail: String,
    },
}

/// One mistake and its location.
#[derive(Clone, Debug, Eq, PartialEq, Serialize)]
#[serde(rename_all = "camelCase")]
pub struct SourceMistake {
    /// The file's name, as given to the parser.
    pub file: String,
    /// The line, from 1.
    pub line: usize,
    /// The column in characters, from 1.
    pub column: usize,
    /// The path of the field.
    pub path: FieldPath,
    /// What is wrong at that location.
    #[serde(flatten)]
    pub kind: MistakeKind,
}

impl fmt::Display for SourceMistake {
    fn fmt(&self, formatter: &mut fmt::Formatter<'_>) -> fmt::Result {
        let Self {
            file,
            line,
            column,
            path,
            kind,
        } = self;
        write!(formatter, "{file}:{line}:{column}: {path}: {kind}")
    }
}

/// The maximum number of mistakes listed for one file.
const MAX_LISTED: usize = 1_000;

/// All mistakes of one file, in the order of the text; never empty. After 1,000 mistakes, a final
/// [`MistakeKind::Further`] gives the number of those omitted.
#[derive(Clone, Debug, Eq, PartialEq, Serialize)]
#[serde(transparent)]
pub struct MistakeList {
    mistakes: Vec<SourceMistake>,
}

impl MistakeList {
    /// Sorts mistakes by location and truncates the list; `None` if there are none.
    pub(crate) fn from_mistakes(mut mistakes: Vec<SourceMistake>) -> Option<Self> {
        mistakes.sort_by_key(|mistake| (mistake.line, mistake.column));
        let omitted = mistakes.len().saturating_sub(MAX_LISTED);
        mistakes.truncate(MAX_LISTED);
        let mut last = mistakes.last()?.clone();
        if omitted > 0 {
            last.kind = MistakeKind::Further { omitted };
            mistakes.push(last);
        }
        Some(Self { mistakes })
    }

    /// Returns the mistakes in the order of the text.
    pub fn mistakes(&self) -> &[SourceMistake] {
        &self.mistakes
    }
}

impl From<SourceMistake> for MistakeList {
    fn from(mistake: SourceMistake) -> Self {
        Self {
            mistakes: vec![mistake],
        }
    }
}

/// Creates a mistake that concerns a whole file, located at its start.
pub(crate) fn mistake_at_start(file: &str, kind: MistakeKind) -> MistakeList {
    let mistake = SourceMistake {
        file: file.to_owned(),
        line: 1,
        column: 1,
        path: FieldPath::default(),
        kind,
    };
    mistake.into()
}

impl fmt::Display for MistakeList {
    fn fmt(&self, formatter: &mut fmt::Formatter<'_>) -> fmt::Result {
        for (index, mistake) in self.mistakes.iter().enumerate() {
            if index > 0 {
                writeln!(formatter)?;
            }
            write!(formatter, "{mistake}")?;
        }
        Ok(())
    }
}

impl std::error::Error for MistakeList {}

fn suggestion(nearest: &Option<String>) -> String {
    match nearest {
        Some(name) => format!("did you mean \"{name}\"? "),
        None => String::new(),
    }
}

fn allowed_names(allowed: &[String]) -> String {
    match allowed {
        [] => "none are defined".to_owned(),
        names => format!("expected one of \"{}\"", names.join("\", \"")),
    }
}
