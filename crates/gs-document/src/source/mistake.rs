//! Mistakes found in a file.

use std::fmt;

use serde::Serialize;
use thiserror::Error;

use super::path::FieldPath;

/// What is wrong with a value, with what was found and what is allowed.
#[derive(Clone, Debug, Eq, Error, PartialEq, Serialize)]
#[serde(
    rename_all = "kebab-case",
    rename_all_fields = "camelCase",
    tag = "kind"
)]
pub enum MistakeKind {
    /// The text is not JSON with comments.
    #[error("the text is malformed: {detail}")]
    Syntax {
        /// What the parser expected or found.
        detail: String,
    },
    /// The bytes are not UTF-8.
    #[error("the bytes are not UTF-8")]
    NotText,
    /// The file is larger than the platform's service holds.
    #[error("the file has {found} bytes; allowed are {allowed}")]
    TooLarge {
        /// The file's bytes.
        found: usize,
        /// The most bytes.
        allowed: usize,
    },
    /// Objects and lists are nested too deeply.
    #[error("nested more than {limit} levels deep")]
    TooDeep {
        /// Levels allowed.
        limit: usize,
    },
    /// The file holds no value.
    #[error("found no value; allowed is one object")]
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
        /// A known name much like it.
        nearest: Option<String>,
        /// Every known name.
        allowed: Vec<String>,
    },
    /// A required field is missing.
    #[error("missing field \"{name}\"; allowed is {allowed}")]
    MissingField {
        /// The field's name.
        name: String,
        /// What it must hold.
        allowed: String,
    },
    /// A name stands twice in one object.
    #[error("\"{found}\" stands twice; the first is on line {first_line}")]
    DuplicateField {
        /// The name.
        found: String,
        /// The line of the first, from 1.
        first_line: usize,
    },
    /// The value has another type.
    #[error("found {found}; allowed is {allowed}")]
    WrongType {
        /// The value found.
        found: String,
        /// What is allowed.
        allowed: String,
    },
    /// The number or length is out of range.
    #[error("found {found}; allowed is {allowed}")]
    OutOfRange {
        /// The value found.
        found: String,
        /// What is allowed.
        allowed: String,
    },
    /// The text does not have the required form.
    #[error("found {found}; allowed is {allowed}")]
    WrongForm {
        /// The value found.
        found: String,
        /// What is allowed.
        allowed: String,
    },
    /// The text is none of a closed set.
    #[error("found \"{found}\"; {}{}", suggestion(nearest), allowed_names(allowed))]
    NotOneOf {
        /// The text found.
        found: String,
        /// A member of the set much like it.
        nearest: Option<String>,
        /// The set.
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
        /// A declared name much like it.
        nearest: Option<String>,
        /// Every declared name.
        allowed: Vec<String>,
    },
    /// A value that must be unique stands twice.
    #[error("{found} stands twice; the first is on line {first_line}")]
    Repeated {
        /// The value found.
        found: String,
        /// The line of the first, from 1.
        first_line: usize,
    },
    /// The server kind is spoken to by another protocol.
    #[error(
        "server kind \"{found}\" has protocol \"{protocol}\"; allowed is a kind with \"{allowed}\""
    )]
    WrongProtocol {
        /// The server kind.
        found: String,
        /// Its protocol.
        protocol: String,
        /// The protocol needed here.
        allowed: String,
    },
    /// The guaranteed shares of all callers exceed the fleet.
    #[error("the guaranteed shares add up to {found}; allowed is at most {allowed}")]
    ShareSum {
        /// The sum.
        found: String,
        /// The largest sum.
        allowed: String,
    },
    /// Two routes match the same calls and disagree whether they are idempotent.
    #[error(
        "route \"{found}\" overlaps with \"{other}\" on line {first_line}; allowed is the same \"idempotent\" in both"
    )]
    RouteOverlap {
        /// The later route.
        found: String,
        /// The earlier route.
        other: String,
        /// The line of the earlier route, from 1.
        first_line: usize,
    },
    /// The list of mistakes was cut.
    #[error("{left} further mistakes are not listed")]
    Further {
        /// Mistakes left out.
        left: usize,
    },
    /// The value passed every check and could still not be read.
    #[error("the value cannot be read: {detail}")]
    Unreadable {
        /// What the decoder said.
        detail: String,
    },
}

/// One mistake and where it stands.
#[derive(Clone, Debug, Eq, PartialEq, Serialize)]
#[serde(rename_all = "camelCase")]
pub struct SourceMistake {
    /// The file as the reader named it.
    pub file: String,
    /// The line, from 1.
    pub line: usize,
    /// The column in characters, from 1.
    pub column: usize,
    /// The path of the field.
    pub path: FieldPath,
    /// What is wrong.
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

/// Mistakes that are listed of one file.
const MAX_LISTED: usize = 1_000;

/// Every mistake of one file, in the order of the text; never empty. After 1,000 mistakes, one more
/// tells how many are left out.
#[derive(Clone, Debug, Eq, PartialEq, Serialize)]
#[serde(transparent)]
pub struct MistakeList {
    mistakes: Vec<SourceMistake>,
}

impl MistakeList {
    /// Sorts mistakes by place; `None` if there are none.
    pub(crate) fn from_mistakes(mut mistakes: Vec<SourceMistake>) -> Option<Self> {
        mistakes.sort_by_key(|mistake| (mistake.line, mistake.column));
        let left = mistakes.len().saturating_sub(MAX_LISTED);
        mistakes.truncate(MAX_LISTED);
        let mut last = mistakes.last()?.clone();
        if left > 0 {
            last.kind = MistakeKind::Further { left };
            mistakes.push(last);
        }
        Some(Self { mistakes })
    }

    /// The mistakes.
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

/// A mistake about a file as a whole.
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
        for (place, mistake) in self.mistakes.iter().enumerate() {
            if place > 0 {
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
        [] => "nothing is allowed here".to_owned(),
        names => format!("allowed are \"{}\"", names.join("\", \"")),
    }
}
