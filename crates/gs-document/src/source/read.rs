//! Reads a text into a typed value, or reports every mistake.

use jsonc_parser::ast::Value;
use jsonc_parser::{CollectOptions, ParseOptions, parse_to_ast};
use serde::de::DeserializeOwned;

use super::check::CheckReport;
use super::mistake::{MistakeKind, MistakeList, mistake_at_start};
use super::node::NodeView;
use super::shape::ValueShape;
use super::text::SourceText;
use super::tokens::{check_tokens, syntax_mistake};

/// Adds mistakes that no shape can declare, such as sums; may meet any value at any place.
pub(crate) type CrossCheck = fn(&NodeView<'_>, &mut CheckReport<'_>);

/// Reads a text. A malformed text has one mistake; a well-formed one is checked as a whole.
pub(crate) fn read_source<T: DeserializeOwned>(
    file: &str,
    text: &str,
    shape: &ValueShape,
    cross_check: CrossCheck,
) -> Result<T, MistakeList> {
    let source = SourceText::new(file, text);
    let value = parse_value(file, &source)?;
    let root = NodeView::root(&value);
    let mut report = CheckReport::new(&source);
    report.check_root(&root, shape);
    cross_check(&root, &mut report);
    match MistakeList::from_mistakes(report.into_mistakes()) {
        Some(list) => Err(list),
        None => decode_value(file, value),
    }
}

/// Reads a text that was checked before, perhaps by another version: its structure must fit, and
/// nothing else is checked.
pub(crate) fn read_unchecked<T: DeserializeOwned>(
    file: &str,
    text: &str,
) -> Result<T, MistakeList> {
    let source = SourceText::new(file, text);
    decode_value(file, parse_value(file, &source)?)
}

fn parse_value<'a>(file: &str, source: &SourceText<'a>) -> Result<Value<'a>, MistakeList> {
    check_tokens(source)?;
    let options = ParseOptions {
        allow_comments: true,
        allow_loose_object_property_names: false,
        allow_trailing_commas: true,
    };
    let parsed = parse_to_ast(source.text(), &CollectOptions::default(), &options)
        .map_err(|error| syntax_mistake(source, &error))?;
    parsed
        .value
        .ok_or_else(|| mistake_at_start(file, MistakeKind::Empty))
}

fn decode_value<T: DeserializeOwned>(file: &str, value: Value<'_>) -> Result<T, MistakeList> {
    serde_json::from_value(value.into()).map_err(|error| {
        let detail = error.to_string();
        mistake_at_start(file, MistakeKind::Unreadable { detail })
    })
}
