//! The settings of `gs-admin`.

use std::collections::BTreeMap;
use std::net::SocketAddr;
use std::time::Duration;

use gs_protocol::ids::OperatorName;
use serde::Deserialize;
use serde_with::{DurationMilliSeconds, serde_as};

use crate::document::OperatorEntry;
use crate::source::{CheckReport, MistakeList, NodeView, read_source};

use super::shape::ADMIN_SETTINGS;

/// The environments of a deployment.
#[derive(Clone, Debug, Deserialize, Eq, PartialEq)]
#[serde(default, deny_unknown_fields, rename_all = "camelCase")]
pub struct EnvironmentNames {
    /// Where documents are proved.
    pub trial: String,
    /// Where proved documents are promoted to.
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

/// Bounds of the administration API.
#[serde_as]
#[derive(Clone, Debug, Deserialize, Eq, PartialEq)]
#[serde(default, deny_unknown_fields, rename_all = "camelCase")]
pub struct AdminLimits {
    /// Bytes of a document.
    pub max_document_bytes: usize,
    /// History records of one answer.
    pub max_history: usize,
    /// Milliseconds of one call to the platform's service.
    #[serde_as(as = "DurationMilliSeconds<u64>")]
    #[serde(rename = "platformMs")]
    pub platform: Duration,
    /// Milliseconds of an operation with all its calls to the platform's service.
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

/// The settings of one administration process.
#[derive(Clone, Debug, Deserialize, Eq, PartialEq)]
#[serde(deny_unknown_fields, rename_all = "camelCase")]
pub struct AdminSettings {
    /// Where operators connect.
    pub listen: SocketAddr,
    /// The platform's service.
    pub platform: SocketAddr,
    /// The environments.
    #[serde(default)]
    pub environments: EnvironmentNames,
    /// Who may administer an environment while the document in force there gives the right to nobody.
    #[serde(default)]
    pub bootstrap_operators: BTreeMap<OperatorName, OperatorEntry>,
    /// Bounds of the API.
    #[serde(default)]
    pub limits: AdminLimits,
}

/// Reads the settings of `gs-admin`. `file` is only used to name the place of a mistake.
pub fn parse_admin_settings(file: &str, text: &str) -> Result<AdminSettings, MistakeList> {
    read_source(file, text, &ADMIN_SETTINGS, check_admin)
}

fn check_admin(root: &NodeView<'_>, report: &mut CheckReport<'_>) {
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
    let first_line = report.line(&trial);
    report.add_repeated(&production, name, first_line);
}
