//! What changes from one document to another.

use std::fmt;

use serde::Serialize;
use serde_json::{Map, Value};

use crate::document::EnvironmentDocument;
use crate::source::FieldPath;

/// How a field changes.
#[derive(Clone, Debug, PartialEq, Serialize)]
#[serde(rename_all = "kebab-case", tag = "change")]
pub enum ChangeKind {
    /// The field is new.
    Added {
        /// The new value.
        new: Value,
    },
    /// The field is gone.
    Removed {
        /// The old value.
        old: Value,
    },
    /// The field has another value.
    Changed {
        /// The old value.
        old: Value,
        /// The new value.
        new: Value,
    },
}

/// One field that differs between two documents, defaults included.
#[derive(Clone, Debug, PartialEq, Serialize)]
pub struct DocumentChange {
    /// The path of the field.
    pub path: FieldPath,
    /// How it changes.
    #[serde(flatten)]
    pub kind: ChangeKind,
}

impl fmt::Display for DocumentChange {
    fn fmt(&self, formatter: &mut fmt::Formatter<'_>) -> fmt::Result {
        let path = &self.path;
        match &self.kind {
            ChangeKind::Added { new } => write!(formatter, "+ {path}: {new}"),
            ChangeKind::Removed { old } => write!(formatter, "- {path}: {old}"),
            ChangeKind::Changed { old, new } => write!(formatter, "~ {path}: {old} -> {new}"),
        }
    }
}

/// Lists the fields that differ, by path. Lists are compared as a whole.
pub fn diff_documents(
    old: &EnvironmentDocument,
    new: &EnvironmentDocument,
) -> Result<Vec<DocumentChange>, serde_json::Error> {
    let old = serde_json::to_value(old)?;
    let new = serde_json::to_value(new)?;
    let mut changes = Vec::new();
    compare_values(&FieldPath::default(), &old, &new, &mut changes);
    Ok(changes)
}

fn compare_values(path: &FieldPath, old: &Value, new: &Value, changes: &mut Vec<DocumentChange>) {
    match (old, new) {
        (Value::Object(old), Value::Object(new)) => compare_objects(path, old, new, changes),
        _ if old == new => {}
        _ => changes.push(DocumentChange {
            path: path.clone(),
            kind: ChangeKind::Changed {
                old: old.clone(),
                new: new.clone(),
            },
        }),
    }
}

fn compare_objects(
    path: &FieldPath,
    old: &Map<String, Value>,
    new: &Map<String, Value>,
    changes: &mut Vec<DocumentChange>,
) {
    for (name, old_value) in old {
        let path = path.field(name);
        match new.get(name) {
            Some(new_value) => compare_values(&path, old_value, new_value, changes),
            None => {
                let old = old_value.clone();
                let kind = ChangeKind::Removed { old };
                changes.push(DocumentChange { path, kind });
            }
        }
    }
    let is_new = |(name, _): &(&String, &Value)| !old.contains_key(*name);
    for (name, new_value) in new.iter().filter(is_new) {
        let path = path.field(name);
        let new = new_value.clone();
        let kind = ChangeKind::Added { new };
        changes.push(DocumentChange { path, kind });
    }
}
