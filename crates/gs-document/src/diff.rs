//! Field-by-field comparison of two documents.

use std::collections::BTreeSet;
use std::fmt;

use serde::Serialize;
use serde_json::{Map, Value};

use crate::document::EnvironmentDocument;
use crate::source::FieldPath;

/// How a field differs between two documents.
#[derive(Clone, Debug, PartialEq, Serialize)]
#[serde(rename_all = "kebab-case", tag = "change")]
pub enum ChangeKind {
    /// The field exists only in the new document.
    Added {
        /// The new value.
        new: Value,
    },
    /// The field exists only in the old document.
    Removed {
        /// The old value.
        old: Value,
    },
    /// The field has a different value.
    Changed {
        /// The old value.
        old: Value,
        /// The new value.
        new: Value,
    },
}

/// One field that differs between two documents, after defaults are filled in.
#[derive(Clone, Debug, PartialEq, Serialize)]
pub struct DocumentChange {
    /// The path of the field.
    pub path: FieldPath,
    /// How the field differs.
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

/// Lists the fields that differ between two documents. Routes are matched by method and path, and a
/// change of their order is reported; other lists are compared as a whole.
///
/// # Errors
///
/// Fails if a document cannot be serialized.
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
    if old == new {
        return;
    }
    if let (Value::Object(old), Value::Object(new)) = (old, new) {
        return compare_objects(path, old, new, changes);
    }
    if let (Some(old), Some(new)) = (named_routes(old), named_routes(new)) {
        return compare_routes(path, &old, &new, changes);
    }
    let (old, new) = (old.clone(), new.clone());
    let path = path.clone();
    let kind = ChangeKind::Changed { old, new };
    changes.push(DocumentChange { path, kind });
}

/// Returns the routes of a list, named by method and path; `None` if the value is not a list of
/// routes.
fn named_routes(list: &Value) -> Option<Vec<(String, &Value)>> {
    let route_name = |route: &Value| {
        let method = route.get("method")?.as_str()?;
        let path = route.get("path")?.as_str()?;
        Some(format!("{method} {path}"))
    };
    let routes = list.as_array()?.iter();
    routes
        .map(|route| Some((route_name(route)?, route)))
        .collect()
}

fn compare_routes(
    path: &FieldPath,
    old: &[(String, &Value)],
    new: &[(String, &Value)],
    changes: &mut Vec<DocumentChange>,
) {
    let shared_names = |routes: &[(String, &Value)], others: &[(String, &Value)]| -> Vec<Value> {
        let others: BTreeSet<&str> = others.iter().map(|(name, _)| name.as_str()).collect();
        let names = routes.iter().map(|(name, _)| name.as_str());
        let shared = names.filter(|name| others.contains(name));
        shared.map(Value::from).collect()
    };
    let (old_names, new_names) = (shared_names(old, new), shared_names(new, old));
    if old_names != new_names {
        let kind = ChangeKind::Changed {
            old: Value::Array(old_names),
            new: Value::Array(new_names),
        };
        let path = path.clone();
        changes.push(DocumentChange { path, kind });
    }
    let to_object = |routes: &[(String, &Value)]| -> Map<String, Value> {
        let routes = routes.iter();
        routes
            .map(|(name, route)| (name.clone(), (*route).clone()))
            .collect()
    };
    compare_objects(path, &to_object(old), &to_object(new), changes);
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
