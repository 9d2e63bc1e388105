//! Checks a parsed value against its schema and collects all mistakes.

use std::collections::{BTreeMap, BTreeSet};
use std::str::FromStr;

use jsonc_parser::ast::{NumberLit, Object, StringLit, Value};
use jsonc_parser::common::Ranged;

use super::format::{format_value, nearest_name, quote_text};
use super::mistake::{MistakeKind, SourceMistake};
use super::node::NodeView;
use super::path::FieldPath;
use super::schema::{FieldSchema, ValueSchema};
use super::text::SourceText;

/// The maximum number of mistakes with a suggestion for a reference. Each suggestion compares all
/// declared names, so the limit bounds the work for a file with many mistakes.
const MAX_SUGGESTIONS: usize = 100;

/// The maximum number of declared names in a message.
const MAX_ALLOWED_NAMES: usize = 20;

/// A reference to a name that a section must declare.
struct NameReference {
    offset: usize,
    path: FieldPath,
    section: &'static str,
    name: String,
}

/// Checks one text and collects its mistakes.
pub(crate) struct SourceChecker<'a> {
    source: &'a SourceText<'a>,
    mistakes: Vec<SourceMistake>,
    references: Vec<NameReference>,
    digest_lines: BTreeMap<String, usize>,
}

impl<'a> SourceChecker<'a> {
    /// Creates a checker for a text.
    pub(crate) fn new(source: &'a SourceText<'a>) -> Self {
        Self {
            source,
            mistakes: Vec::new(),
            references: Vec::new(),
            digest_lines: BTreeMap::new(),
        }
    }

    /// Adds a mistake about a value.
    pub(crate) fn add_mistake(&mut self, view: &NodeView<'_>, kind: MistakeKind) {
        self.add_mistake_at(view.value.start(), view.path.clone(), kind);
    }

    /// Adds a mistake about a duplicate string.
    pub(crate) fn add_duplicate(&mut self, view: &NodeView<'_>, text: &str, first_line: usize) {
        let found = quote_text(text);
        self.add_mistake(view, MistakeKind::Repeated { found, first_line });
    }

    /// Returns the line of a value, from 1.
    pub(crate) fn line(&self, view: &NodeView<'_>) -> usize {
        self.source.line(view.value.start())
    }

    /// Checks the root against its schema, and resolves the references to declared names.
    pub(crate) fn check_root(&mut self, root: &NodeView<'_>, schema: &ValueSchema) {
        self.check_value(root, schema);
        self.check_references(root);
    }

    /// Returns the mistakes found, unsorted.
    pub(crate) fn into_mistakes(self) -> Vec<SourceMistake> {
        self.mistakes
    }

    fn add_mistake_at(&mut self, offset: usize, path: FieldPath, kind: MistakeKind) {
        self.mistakes.push(self.source.mistake(offset, path, kind));
    }

    fn check_value(&mut self, view: &NodeView<'_>, schema: &ValueSchema) {
        match (schema, view.value) {
            (ValueSchema::Object(fields), Value::Object(object)) => {
                self.check_object(view, object, fields);
            }
            (ValueSchema::Map { key, value }, Value::Object(object)) => {
                self.check_map(view, object, key, value);
            }
            (
                ValueSchema::List {
                    item,
                    min_items,
                    max_items,
                },
                Value::Array(array),
            ) => {
                if !(*min_items..=*max_items).contains(&array.elements.len()) {
                    let found = format!("a list of {} items", array.elements.len());
                    let allowed = schema.describe();
                    self.add_mistake(view, MistakeKind::OutOfRange { found, allowed });
                }
                self.check_items(view, item);
            }
            (
                ValueSchema::Integer { .. } | ValueSchema::Number { .. },
                Value::NumberLit(number),
            ) => {
                self.check_number(view, number, schema);
            }
            (ValueSchema::Boolean, Value::BooleanLit(_)) => {}
            (_, Value::StringLit(text)) if is_string(schema) => self.check_text(view, text, schema),
            _ => self.add_mistake(view, wrong_type(view.value, schema)),
        }
    }

    fn check_object(&mut self, view: &NodeView<'_>, object: &Object<'_>, fields: &[FieldSchema]) {
        self.check_duplicates(view, object);
        for property in &object.properties {
            let name = property.name.as_str();
            let path = view.path.field(name);
            match fields.iter().find(|field| field.name == name) {
                Some(field) => {
                    let value = &property.value;
                    self.check_value(&NodeView { value, path }, field.schema);
                }
                None => {
                    let allowed: Vec<String> =
                        fields.iter().map(|field| field.name.to_owned()).collect();
                    let kind = MistakeKind::UnknownField {
                        found: name.to_owned(),
                        nearest: nearest_name(name, &allowed),
                        allowed,
                    };
                    self.add_mistake_at(property.name.start(), path, kind);
                }
            }
        }
        for field in fields.iter().filter(|field| field.required) {
            if object.get(field.name).is_none() {
                let kind = MistakeKind::MissingField {
                    name: field.name.to_owned(),
                    allowed: field.schema.describe(),
                };
                self.add_mistake(view, kind);
            }
        }
    }

    fn check_map(
        &mut self,
        view: &NodeView<'_>,
        object: &Object<'_>,
        key: &ValueSchema,
        schema: &ValueSchema,
    ) {
        self.check_duplicates(view, object);
        for property in &object.properties {
            let name = property.name.as_str();
            let path = view.path.field(name);
            if key.matches_form(name) == Some(false) {
                let kind = MistakeKind::WrongForm {
                    found: quote_text(name),
                    allowed: key.describe(),
                };
                self.add_mistake_at(property.name.start(), path.clone(), kind);
            }
            let value = &property.value;
            self.check_value(&NodeView { value, path }, schema);
        }
    }

    fn check_duplicates(&mut self, view: &NodeView<'_>, object: &Object<'_>) {
        let mut first_lines = BTreeMap::new();
        for property in &object.properties {
            let name = property.name.as_str();
            let offset = property.name.start();
            let line = self.source.line(offset);
            let first_line = *first_lines.entry(name).or_insert((line, offset));
            if first_line.1 != offset {
                let kind = MistakeKind::DuplicateField {
                    found: name.to_owned(),
                    first_line: first_line.0,
                };
                self.add_mistake_at(offset, view.path.field(name), kind);
            }
        }
    }

    fn check_items(&mut self, view: &NodeView<'_>, item: &ValueSchema) {
        let mut first_lines = BTreeMap::new();
        for element in view.items() {
            self.check_value(&element, item);
            let Some(text) = element.text().filter(|_| !item.is_secret()) else {
                continue;
            };
            let line = self.line(&element);
            if let Some(first_line) = first_lines.insert(text, line) {
                self.add_duplicate(&element, text, first_line);
            }
        }
    }

    fn check_number(&mut self, view: &NodeView<'_>, number: &NumberLit<'_>, schema: &ValueSchema) {
        let text = number.value;
        let is_json = serde_json::Number::from_str(text).is_ok();
        let value: Option<f64> = text.parse().ok().filter(|_| is_json);
        let in_range = match schema {
            ValueSchema::Integer { min, max } => text
                .parse::<u64>()
                .ok()
                .map(|integer| (*min..=*max).contains(&integer)),
            ValueSchema::Number { min, max } => value.map(|value| (*min..=*max).contains(&value)),
            _ => None,
        };
        let found = text.to_owned();
        let allowed = schema.describe();
        let is_integer = value.is_some_and(|value| value.fract() == 0.0) && !text.contains('.');
        match in_range {
            Some(true) if value.is_some() => {}
            Some(false) => self.add_mistake(view, MistakeKind::OutOfRange { found, allowed }),
            _ if is_integer => self.add_mistake(view, MistakeKind::OutOfRange { found, allowed }),
            _ => self.add_mistake(view, MistakeKind::WrongType { found, allowed }),
        }
    }

    fn check_text(&mut self, view: &NodeView<'_>, text: &StringLit<'_>, schema: &ValueSchema) {
        let found = text.value.as_ref();
        match schema {
            ValueSchema::OneOf(texts) if !texts.contains(&found) => {
                let allowed: Vec<String> = texts.iter().map(|text| (*text).to_owned()).collect();
                let kind = MistakeKind::NotOneOf {
                    found: found.to_owned(),
                    nearest: nearest_name(found, &allowed),
                    allowed,
                };
                self.add_mistake(view, kind);
            }
            ValueSchema::Reference(section) => self.references.push(NameReference {
                offset: view.value.start(),
                path: view.path.clone(),
                section,
                name: found.to_owned(),
            }),
            _ if schema.matches_form(found) == Some(false) => {
                let kind = MistakeKind::WrongForm {
                    found: format_value(view.value, schema),
                    allowed: schema.describe(),
                };
                self.add_mistake(view, kind);
            }
            ValueSchema::TokenDigest => self.check_digest(view, found),
            _ => {}
        }
    }

    fn check_digest(&mut self, view: &NodeView<'_>, digest: &str) {
        let line = self.line(view);
        if let Some(first_line) = self.digest_lines.insert(digest.to_owned(), line) {
            let found = "the token digest".to_owned();
            self.add_mistake(view, MistakeKind::Repeated { found, first_line });
        }
    }

    fn check_references(&mut self, root: &NodeView<'_>) {
        let references = std::mem::take(&mut self.references);
        let mut sections: BTreeMap<&str, BTreeSet<String>> = BTreeMap::new();
        for (section, view) in root.entries() {
            let names = view.entries().into_iter().map(|(name, _)| name.to_owned());
            sections.entry(section).or_default().extend(names);
        }
        for reference in references {
            let declared = sections.get(reference.section);
            if declared.is_some_and(|names| names.contains(&reference.name)) {
                continue;
            }
            let has_suggestion = self.mistakes.len() < MAX_SUGGESTIONS;
            let max_compared = if has_suggestion {
                usize::MAX
            } else {
                MAX_ALLOWED_NAMES
            };
            let names = declared.into_iter().flatten().take(max_compared);
            let mut allowed: Vec<&String> = names.collect();
            let nearest = nearest_name(&reference.name, &allowed).filter(|_| has_suggestion);
            allowed.truncate(MAX_ALLOWED_NAMES);
            let kind = MistakeKind::UnknownReference {
                nearest,
                found: reference.name,
                section: reference.section.to_owned(),
                allowed: allowed.into_iter().cloned().collect(),
            };
            self.add_mistake_at(reference.offset, reference.path, kind);
        }
    }
}

fn is_string(schema: &ValueSchema) -> bool {
    let is_string_set = matches!(schema, ValueSchema::OneOf(_) | ValueSchema::Reference(_));
    is_string_set || schema.matches_form("").is_some()
}

fn wrong_type(value: &Value<'_>, schema: &ValueSchema) -> MistakeKind {
    MistakeKind::WrongType {
        found: format_value(value, schema),
        allowed: schema.describe(),
    }
}
