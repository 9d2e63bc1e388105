//! Access to the values of a parsed text, with their paths.

use jsonc_parser::ast::{ObjectProp, Value};

use super::path::FieldPath;

/// A value of a parsed text and its path.
#[derive(Clone)]
pub(crate) struct NodeView<'a> {
    pub(crate) value: &'a Value<'a>,
    pub(crate) path: FieldPath,
}

impl<'a> NodeView<'a> {
    /// Creates the view of a text's root value.
    pub(crate) fn root(value: &'a Value<'a>) -> Self {
        Self {
            value,
            path: FieldPath::default(),
        }
    }

    /// Returns the value of a field; `None` if this is not an object or has no such field.
    pub(crate) fn field(&self, name: &str) -> Option<Self> {
        let property = self.value.as_object()?.get(name)?;
        Some(Self {
            value: &property.value,
            path: self.path.field(name),
        })
    }

    /// Returns the names and values of an object's fields; empty if this is not an object.
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

    /// Returns the items of a list; empty if this is not a list.
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

    /// Returns the string; `None` if this is not a string.
    pub(crate) fn text(&self) -> Option<&'a str> {
        self.value.as_string_lit().map(|text| text.value.as_ref())
    }

    /// Returns the number; `None` if this is not a number.
    pub(crate) fn number(&self) -> Option<f64> {
        self.value.as_number_lit()?.value.parse().ok()
    }

    /// Returns the boolean; `None` if this is not a boolean.
    pub(crate) fn boolean(&self) -> Option<bool> {
        self.value.as_boolean_lit().map(|boolean| boolean.value)
    }
}
