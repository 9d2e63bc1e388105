//! How mistakes show what was found.

use jsonc_parser::ast::Value;

use super::shape::ValueShape;

/// Similarity from 0 to 1 at which a name is suggested.
const MIN_SIMILARITY: f64 = 0.8;

/// Characters of a value that a mistake shows.
const MAX_FOUND_CHARS: usize = 60;

/// A value as a mistake shows it; texts in place of secrets show only their length.
pub(super) fn shown_value(value: &Value<'_>, shape: &ValueShape) -> String {
    match value {
        Value::StringLit(text) if shape.is_hidden() => {
            format!("a text of {} bytes", text.value.len())
        }
        Value::NumberLit(_) if shape.is_hidden() => "a number".to_owned(),
        Value::StringLit(text) => shown_text(&text.value),
        Value::NumberLit(number) => number.value.to_owned(),
        Value::BooleanLit(boolean) => boolean.value.to_string(),
        Value::Object(_) => "an object".to_owned(),
        Value::Array(_) => "a list".to_owned(),
        Value::NullKeyword(_) => "null".to_owned(),
    }
}

/// A text in quotes, cut if it is long.
pub(super) fn shown_text(text: &str) -> String {
    let shown: String = text.chars().take(MAX_FOUND_CHARS).collect();
    let ellipsis = if shown.len() < text.len() { "…" } else { "" };
    format!("\"{}{ellipsis}\"", shown.escape_debug())
}

/// The allowed name most like the one found, if one is much like it.
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
