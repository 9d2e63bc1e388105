//! Parses a text into a typed value, or reports all its mistakes.

use jsonc_parser::ast::Value;
use jsonc_parser::{CollectOptions, ParseOptions, parse_to_ast};
use serde::de::DeserializeOwned;

use super::check::SourceChecker;
use super::mistake::{MistakeKind, MistakeList, mistake_at_start};
use super::node::NodeView;
use super::schema::ValueSchema;
use super::text::SourceText;
use super::tokens::{check_tokens, syntax_mistake};

/// A check that no schema can express, such as a limit on a sum. It also runs on values that do not
/// match their schema, so it must not rely on any structure.
pub(crate) type CrossCheck = fn(&NodeView<'_>, &mut SourceChecker<'_>);

/// Parses and checks a text. For a syntax error only that one mistake is returned, otherwise all
/// mistakes are.
pub(crate) fn read_source<T: DeserializeOwned>(
    file: &str,
    text: &str,
    schema: &ValueSchema,
    cross_check: CrossCheck,
) -> Result<T, MistakeList> {
    let source = SourceText::new(file, text);
    let value = parse_value(file, &source)?;
    let root = NodeView::root(&value);
    let mut checker = SourceChecker::new(&source);
    checker.check_root(&root, schema);
    cross_check(&root, &mut checker);
    match MistakeList::from_mistakes(checker.into_mistakes()) {
        Some(list) => Err(list),
        None => decode_value(file, value),
    }
}

/// Parses a text that an earlier call, possibly of another version, has checked: only its structure
/// must match the type.
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
