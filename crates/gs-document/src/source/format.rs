//! Formats the values found and the suggestions in messages.

use jsonc_parser::ast::Value;

use super::schema::ValueSchema;

/// The minimum Jaro-Winkler similarity, from 0 to 1, at which a name is suggested.
const MIN_SIMILARITY: f64 = 0.8;

/// The maximum number of characters of a value in a message.
const MAX_FOUND_CHARS: usize = 60;

/// Formats a value for a message. Where a secret is expected, only the length of a string is given.
pub(super) fn format_value(value: &Value<'_>, schema: &ValueSchema) -> String {
    match value {
        Value::StringLit(text) if schema.is_secret() => {
            format!("a string of {} bytes", text.value.len())
        }
        Value::NumberLit(_) if schema.is_secret() => "a number".to_owned(),
        Value::StringLit(text) => quote_text(&text.value),
        Value::NumberLit(number) => number.value.to_owned(),
        Value::BooleanLit(boolean) => boolean.value.to_string(),
        Value::Object(_) => "an object".to_owned(),
        Value::Array(_) => "a list".to_owned(),
        Value::NullKeyword(_) => "null".to_owned(),
    }
}

/// Quotes and escapes a string, and truncates a long one.
pub(super) fn quote_text(text: &str) -> String {
    let prefix: String = text.chars().take(MAX_FOUND_CHARS).collect();
    let ellipsis = if prefix.len() < text.len() { "…" } else { "" };
    format!("\"{}{ellipsis}\"", prefix.escape_debug())
}

/// Returns the allowed name that is most similar to `found`, if the similarity reaches
/// [`MIN_SIMILARITY`].
pub(super) fn nearest_name<T: AsRef<str>>(found: &str, allowed: &[T]) -> Option<String> {
    let found = found.to_lowercase();
    let similarity = |name: &str| strsim::jaro_winkler(&found, &name.to_lowercase());
    allowed
        .iter()
        .map(|name| (similarity(name.as_ref()), name.as_ref()))
        .filter(|(similarity, _)| *similarity >= MIN_SIMILARITY)
        .max_by(|left, right| left.0.total_cmp(&right.0))
        .map(|(_, name)| name.to_owned())
}
