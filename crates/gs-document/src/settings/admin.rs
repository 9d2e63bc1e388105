//! The settings of `gs-admin`.

use std::collections::BTreeMap;
use std::net::SocketAddr;
use std::time::Duration;

use gs_protocol::ids::OperatorName;
use serde::Deserialize;
use serde_with::{DurationMilliSeconds, serde_as};

use crate::document::OperatorEntry;
use crate::source::{MistakeList, NodeView, SourceChecker, read_source};

use super::schema::ADMIN_SETTINGS;

/// The names of a deployment's environments.
#[derive(Clone, Debug, Deserialize, Eq, PartialEq)]
#[serde(default, deny_unknown_fields, rename_all = "camelCase")]
pub struct EnvironmentNames {
    /// The environment in which documents are tried first.
    pub trial: String,
    /// The environment to which documents are promoted from trial.
    pub production: String,
}

impl Default for EnvironmentNames {
    fn default() -> Self {
        Self {
            trial: "trial".to_owned(),
            production: "production".to_owned(),
        }
    }
}

/// Limits of the administration API.
#[serde_as]
#[derive(Clone, Debug, Deserialize, Eq, PartialEq)]
#[serde(default, deny_unknown_fields, rename_all = "camelCase")]
pub struct AdminLimits {
    /// The maximum size of a document, in bytes.
    pub max_document_bytes: usize,
    /// The maximum number of history records in one answer.
    pub max_history: usize,
    /// The time-out of one call to the platform, in milliseconds.
    #[serde_as(as = "DurationMilliSeconds<u64>")]
    #[serde(rename = "platformMs")]
    pub platform: Duration,
    /// The time-out of an operation with all its calls to the platform, in milliseconds.
    #[serde_as(as = "DurationMilliSeconds<u64>")]
    #[serde(rename = "operationMs")]
    pub operation: Duration,
}

impl Default for AdminLimits {
    fn default() -> Self {
        Self {
            max_document_bytes: 1_048_576,
            max_history: 1_000,
            platform: Duration::from_millis(2_000),
            operation: Duration::from_millis(10_000),
        }
    }
}

/// The settings of a `gs-admin` process.
#[derive(Clone, Debug, Deserialize, Eq, PartialEq)]
#[serde(deny_unknown_fields, rename_all = "camelCase")]
pub struct AdminSettings {
    /// The address to listen on for operators.
    pub listen: SocketAddr,
    /// The address of the platform.
    pub platform: SocketAddr,
    /// The names of the environments.
    #[serde(default)]
    pub environments: EnvironmentNames,
    /// The operators who may administer an environment while the document in force there grants the
    /// right to nobody.
    #[serde(default)]
    pub bootstrap_operators: BTreeMap<OperatorName, OperatorEntry>,
    /// Limits of the API.
    #[serde(default)]
    pub limits: AdminLimits,
}

/// Parses and checks the settings of `gs-admin`. `file` is only used to give the location of a
/// mistake.
///
/// # Errors
///
/// Returns all mistakes of the settings, or the first syntax error.
pub fn parse_admin_settings(file: &str, text: &str) -> Result<AdminSettings, MistakeList> {
    read_source(file, text, &ADMIN_SETTINGS, check_admin)
}

fn check_admin(root: &NodeView<'_>, checker: &mut SourceChecker<'_>) {
    let Some(environments) = root.field("environments") else {
        return;
    };
    let (Some(trial), Some(production)) = (
        environments.field("trial"),
        environments.field("production"),
    ) else {
        return;
    };
    let Some(name) = production.text().filter(|name| trial.text() == Some(name)) else {
        return;
    };
    let first_line = checker.line(&trial);
    checker.add_duplicate(&production, name, first_line);
}
