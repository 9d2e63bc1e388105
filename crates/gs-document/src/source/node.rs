//! Values of a parsed text with their paths.

use jsonc_parser::ast::{ObjectProp, Value};

use super::path::FieldPath;

/// A value of the parsed text and its path.
#[derive(Clone)]
pub(crate) struct NodeView<'a> {
    pub(crate) value: &'a Value<'a>,
    pub(crate) path: FieldPath,
}

impl<'a> NodeView<'a> {
    /// The root of a text.
    pub(crate) fn root(value: &'a Value<'a>) -> Self {
        Self {
            value,
            path: FieldPath::default(),
        }
    }

    /// The value of a field; `None` if this is no object or has no such field.
    pub(crate) fn field(&self, name: &str) -> Option<Self> {
        let property = self.value.as_object()?.get(name)?;
        Some(Self {
            value: &property.value,
            path: self.path.field(name),
        })
    }

    /// The fields of an object by name; none if this is no object.
    pub(crate) fn entries(&self) -> Vec<(&'a str, Self)> {
        let Value::Object(object) = self.value else {
            return Vec::new();
        };
        let entry = |property: &'a ObjectProp<'a>| {
            let name = property.name.as_str();
            let view = Self {
                value: &property.value,
                path: self.path.field(name),
            };
            (name, view)
        };
        object.properties.iter().map(entry).collect()
    }

    /// The items of a list; none if this is no list.
    pub(crate) fn items(&self) -> Vec<Self> {
        let Value::Array(array) = self.value else {
            return Vec::new();
        };
        let item = |(index, value)| Self {
            value,
            path: self.path.index(index),
        };
        array.elements.iter().enumerate().map(item).collect()
    }

    /// The text, if this is one.
    pub(crate) fn text(&self) -> Option<&'a str> {
        self.value.as_string_lit().map(|text| text.value.as_ref())
    }

    /// The number, if this is one.
    pub(crate) fn number(&self) -> Option<f64> {
        self.value.as_number_lit()?.value.parse().ok()
    }

    /// The truth value, if this is one.
    pub(crate) fn boolean(&self) -> Option<bool> {
        self.value.as_boolean_lit().map(|boolean| boolean.value)
    }
}
