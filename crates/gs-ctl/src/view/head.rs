//! Which document is in force.

use std::fmt;

use gs_protocol::admin::HeadView;
use gs_protocol::objects::HeadRecord;
use serde::Serialize;

use super::format::{plain_table, table_text, time_text};

/// The head of an environment.
#[derive(Serialize)]
#[serde(transparent)]
pub(crate) struct HeadTable(pub(crate) HeadView);

impl fmt::Display for HeadTable {
    fn fmt(&self, formatter: &mut fmt::Formatter<'_>) -> fmt::Result {
        formatter.write_str(&head_text(&self.0.environment, self.0.head.as_ref()))
    }
}

/// The head as rows of names and values.
pub(super) fn head_text(environment: &str, head: Option<&HeadRecord>) -> String {
    let mut table = plain_table();
    table.add_row(["environment", environment]);
    let Some(head) = head else {
        table.add_row(["sequence", "no document yet"]);
        return table_text(&table);
    };
    table.add_row(["sequence", &head.sequence.to_string()]);
    table.add_row(["digest", &head.digest]);
    table.add_row(["previous", head.previous.as_deref().unwrap_or("none")]);
    table.add_row(["accepted", &time_text(head.accepted_at_ms)]);
    table.add_row(["operator", head.operator.as_str()]);
    table.add_row(["operation", &head.operation.to_string()]);
    table.add_row(["roll-back", if head.roll_back { "yes" } else { "no" }]);
    table_text(&table)
}
