//! Reads a text into a typed value, or reports every mistake.

use jsonc_parser::{CollectOptions, ParseOptions, parse_to_ast};
use serde::de::DeserializeOwned;

use super::check::{CheckReport, NodeView};
use super::mistake::{MistakeKind, MistakeList};
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
    check_tokens(&source)?;
    let options = ParseOptions {
        allow_comments: true,
        allow_loose_object_property_names: false,
        allow_trailing_commas: true,
    };
    let parsed = parse_to_ast(text, &CollectOptions::default(), &options)
        .map_err(|error| syntax_mistake(&source, &error))?;
    let Some(value) = parsed.value else {
        return Err(source
            .mistake(0, Default::default(), MistakeKind::Empty)
            .into());
    };
    let root = NodeView::root(&value);
    let mut report = CheckReport::new(&source);
    report.check_root(&root, shape);
    cross_check(&root, &mut report);
    if let Some(list) = MistakeList::from_mistakes(report.into_mistakes()) {
        return Err(list);
    }
    serde_json::from_value(value.into()).map_err(|error| {
        let detail = error.to_string();
        let kind = MistakeKind::Unreadable { detail };
        source.mistake(0, Default::default(), kind).into()
    })
}
