//! Schemas of files, declared as constants.

use std::net::SocketAddr;

use crate::digest::is_digest;

/// The schema of a value.
#[derive(Debug)]
pub(crate) enum ValueSchema {
    /// An object with a fixed set of fields.
    Object(&'static [FieldSchema]),
    /// An object with arbitrary keys of one form and values of one schema.
    Map {
        /// The schema of each key, which must be a string schema.
        key: &'static ValueSchema,
        /// The schema of each value.
        value: &'static ValueSchema,
    },
    /// A list of values of one schema; strings must be unique.
    List {
        /// The schema of each item.
        item: &'static ValueSchema,
        /// The minimum number of items.
        min_items: usize,
        /// The maximum number of items.
        max_items: usize,
    },
    /// A non-negative integer.
    Integer {
        /// The minimum.
        min: u64,
        /// The maximum.
        max: u64,
    },
    /// A floating-point number.
    Number {
        /// The minimum.
        min: f64,
        /// The maximum.
        max: f64,
    },
    /// `true` or `false`.
    Boolean,
    /// A name that is safe in URLs and metric labels.
    Name,
    /// A model name, which may also contain `/` and `:`.
    ModelName,
    /// One of a fixed set of strings.
    OneOf(&'static [&'static str]),
    /// A key of the named map at the root of the file.
    Reference(&'static str),
    /// `sha256:` and 64 hexadecimal digits, unique within the file. Messages never contain the
    /// value.
    TokenDigest,
    /// A socket address as `IP:PORT`.
    Address,
    /// A route's path, in which `*` matches one segment.
    RoutePath,
    /// A string that messages never contain.
    Secret {
        /// The minimum length, in bytes.
        min_bytes: usize,
    },
}

/// The schema of one field of an object.
#[derive(Debug)]
pub(crate) struct FieldSchema {
    pub(crate) name: &'static str,
    pub(crate) required: bool,
    pub(crate) schema: &'static ValueSchema,
}

impl FieldSchema {
    /// Declares a required field.
    pub(crate) const fn required(name: &'static str, schema: &'static ValueSchema) -> Self {
        Self {
            name,
            required: true,
            schema,
        }
    }

    /// Declares an optional field, which has a default.
    pub(crate) const fn optional(name: &'static str, schema: &'static ValueSchema) -> Self {
        Self {
            name,
            required: false,
            schema,
        }
    }
}

/// The maximum length of a name, in characters.
const MAX_NAME_CHARS: usize = 64;

impl ValueSchema {
    /// Describes the allowed values, for messages.
    pub(crate) fn describe(&self) -> String {
        match self {
            Self::Object(_) => "an object".to_owned(),
            Self::Map { .. } => "an object with names as keys".to_owned(),
            Self::List {
                min_items,
                max_items,
                ..
            } => format!("a list of {min_items} to {max_items} items"),
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
            Self::Address => "an address of the form \"IP:PORT\"".to_owned(),
            Self::RoutePath => {
                "a path that starts with \"/\", with \"*\" for a whole segment".to_owned()
            }
            Self::Secret { min_bytes } => format!("a string of at least {min_bytes} bytes"),
        }
    }

    /// Returns whether messages must not contain values of the schema.
    pub(crate) fn is_secret(&self) -> bool {
        matches!(self, Self::Secret { .. } | Self::TokenDigest)
    }

    /// Returns whether a string has the required format; `None` if the schema has no string format.
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

fn is_name(text: &str, punctuation: &str) -> bool {
    let starts_alphanumeric = text.starts_with(|first: char| first.is_ascii_alphanumeric());
    let is_allowed =
        |character: char| character.is_ascii_alphanumeric() || punctuation.contains(character);
    starts_alphanumeric && text.len() <= MAX_NAME_CHARS && text.chars().all(is_allowed)
}

fn is_route_path(text: &str) -> bool {
    let Some(rest) = text.strip_prefix('/') else {
        return false;
    };
    rest.is_empty() || rest.split('/').all(is_segment)
}

fn is_segment(segment: &str) -> bool {
    let is_allowed =
        |character: char| character.is_ascii_alphanumeric() || "._~-:@".contains(character);
    let is_literal = !segment.is_empty() && segment.chars().all(is_allowed);
    segment == "*" || (is_literal && segment != "." && segment != "..")
}
