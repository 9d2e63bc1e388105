//! Formats the head of an environment.

use std::fmt;

use gs_protocol::admin::HeadView;
use gs_protocol::objects::HeadRecord;
use serde::Serialize;

use super::format::{format_table, format_time, plain_table};

/// A head, as printed.
#[derive(Serialize)]
#[serde(transparent)]
pub(crate) struct HeadTable(pub(crate) HeadView);

impl fmt::Display for HeadTable {
    fn fmt(&self, formatter: &mut fmt::Formatter<'_>) -> fmt::Result {
        formatter.write_str(&format_head(&self.0.environment, self.0.head.as_ref()))
    }
}

/// Formats a head as rows of names and values.
pub(super) fn format_head(environment: &str, head: Option<&HeadRecord>) -> String {
    let mut table = plain_table();
    table.add_row(["environment", environment]);
    let Some(head) = head else {
        table.add_row(["sequence", "no document yet"]);
        return format_table(&table);
    };
    table.add_row(["sequence", &head.sequence.to_string()]);
    table.add_row(["digest", &head.digest]);
    table.add_row(["previous", head.previous.as_deref().unwrap_or("none")]);
    table.add_row(["accepted", &format_time(head.accepted_at_ms)]);
    table.add_row(["operator", head.operator.as_str()]);
    table.add_row(["operation", &head.operation.to_string()]);
    table.add_row(["roll-back", if head.roll_back { "yes" } else { "no" }]);
    format_table(&table)
}
