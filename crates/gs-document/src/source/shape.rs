//! What a value of a file may be, declared as constants.

use std::net::SocketAddr;

use crate::digest::is_digest;

/// What a value may be.
#[derive(Debug)]
pub(crate) enum ValueShape {
    /// An object with known fields.
    Object(&'static [FieldShape]),
    /// An object whose keys are names and whose values are alike.
    Map {
        /// What each key must be: a shape of a text.
        key: &'static ValueShape,
        /// What each value must be.
        value: &'static ValueShape,
    },
    /// A list of unlike values of one shape.
    List {
        /// What each item must be.
        item: &'static ValueShape,
        /// The fewest items.
        min_items: usize,
        /// The most items.
        max_items: usize,
    },
    /// A whole number.
    Integer {
        /// The smallest.
        min: u64,
        /// The largest.
        max: u64,
    },
    /// A number with a fraction.
    Number {
        /// The smallest.
        min: f64,
        /// The largest.
        max: f64,
    },
    /// `true` or `false`.
    Boolean,
    /// A name that may stand in a URL and a metric label.
    Name,
    /// A model's name, which may hold `/` and `:` as well.
    ModelName,
    /// One of a closed set of texts.
    OneOf(&'static [&'static str]),
    /// A key of a map at the root of the file.
    Reference(&'static str),
    /// `sha256:` and 64 hexadecimal digits, unique within the file; never shown.
    TokenDigest,
    /// `IP:PORT`.
    Address,
    /// A route's path.
    RoutePath,
    /// A text that is never shown.
    Secret {
        /// The fewest bytes.
        min_bytes: usize,
    },
}

/// One field of an object.
#[derive(Debug)]
pub(crate) struct FieldShape {
    pub(crate) name: &'static str,
    pub(crate) required: bool,
    pub(crate) shape: &'static ValueShape,
}

impl FieldShape {
    /// A field that must be there.
    pub(crate) const fn required(name: &'static str, shape: &'static ValueShape) -> Self {
        Self {
            name,
            required: true,
            shape,
        }
    }

    /// A field that has a default.
    pub(crate) const fn optional(name: &'static str, shape: &'static ValueShape) -> Self {
        Self {
            name,
            required: false,
            shape,
        }
    }
}

/// Characters of the longest name.
const MAX_NAME_CHARS: usize = 64;

impl ValueShape {
    /// What is allowed, for a mistake's text.
    pub(crate) fn describe(&self) -> String {
        match self {
            Self::Object(_) => "an object".to_owned(),
            Self::Map { .. } => "an object with names as keys".to_owned(),
            Self::List {
                min_items,
                max_items,
                ..
            } => format!("a list of {min_items} to {max_items}"),
            Self::Integer { min, max } => format!("an integer from {min} to {max}"),
            Self::Number { min, max } => format!("a number from {min} to {max}"),
            Self::Boolean => "true or false".to_owned(),
            Self::Name => format!(
                "a name of 1 to {MAX_NAME_CHARS} letters, digits, \".\", \"_\" and \"-\", starting with a letter or digit"
            ),
            Self::ModelName => format!(
                "a name of 1 to {MAX_NAME_CHARS} letters, digits, \".\", \"_\", \"-\", \"/\" and \":\", starting with a letter or digit"
            ),
            Self::OneOf(texts) => format!("one of \"{}\"", texts.join("\", \"")),
            Self::Reference(section) => format!("a name from \"{section}\""),
            Self::TokenDigest => "\"sha256:\" and 64 lower-case hexadecimal digits".to_owned(),
            Self::Address => "an address as \"IP:PORT\"".to_owned(),
            Self::RoutePath => {
                "a path that starts with \"/\", with \"*\" for a whole segment".to_owned()
            }
            Self::Secret { min_bytes } => format!("a text of at least {min_bytes} bytes"),
        }
    }

    /// Whether values of the shape must not be shown.
    pub(crate) fn is_hidden(&self) -> bool {
        matches!(self, Self::Secret { .. } | Self::TokenDigest)
    }

    /// Whether a text has the required form; `None` if the shape is not a text with a form.
    pub(crate) fn matches_form(&self, text: &str) -> Option<bool> {
        match self {
            Self::Name => Some(is_name(text, "._-")),
            Self::ModelName => Some(is_name(text, "._-/:")),
            Self::TokenDigest => Some(is_digest(text)),
            Self::Address => Some(text.parse::<SocketAddr>().is_ok()),
            Self::RoutePath => Some(is_route_path(text)),
            Self::Secret { min_bytes } => Some(text.len() >= *min_bytes),
            _ => None,
        }
    }
}

fn is_name(text: &str, marks: &str) -> bool {
    let starts_well = text.starts_with(|first: char| first.is_ascii_alphanumeric());
    let is_part = |part: char| part.is_ascii_alphanumeric() || marks.contains(part);
    starts_well && text.len() <= MAX_NAME_CHARS && text.chars().all(is_part)
}

fn is_route_path(text: &str) -> bool {
    let Some(rest) = text.strip_prefix('/') else {
        return false;
    };
    rest.is_empty() || rest.split('/').all(is_segment)
}

fn is_segment(segment: &str) -> bool {
    let is_part = |part: char| part.is_ascii_alphanumeric() || "._~-:@".contains(part);
    let is_plain = !segment.is_empty() && segment.chars().all(is_part);
    segment == "*" || (is_plain && segment != "." && segment != "..")
}
