//! Formats a page of history.

use std::fmt;

use gs_protocol::admin::{HistoryEntry, HistoryView};
use serde::Serialize;

use super::format::{format_table, format_time, table_with_header};

/// One page of an environment's history.
#[derive(Serialize)]
#[serde(transparent)]
pub(crate) struct HistoryTable(pub(crate) HistoryView);

impl fmt::Display for HistoryTable {
    fn fmt(&self, formatter: &mut fmt::Formatter<'_>) -> fmt::Result {
        let mut table =
            table_with_header(["SEQUENCE", "ACCEPTED", "OPERATOR", "ENTRIES", "DIGEST"]);
        for entry in &self.0.entries {
            table.add_row(history_row(entry));
        }
        formatter.write_str(&format_table(&table))?;
        match self.0.next_before {
            Some(before) => write!(formatter, "\nfurther ones: --before {before}"),
            None => Ok(()),
        }
    }
}

fn history_row(entry: &HistoryEntry) -> [String; 5] {
    let head = &entry.head;
    let mark = if head.roll_back { " (roll-back)" } else { "" };
    [
        format!("{}{mark}", head.sequence),
        format_time(head.accepted_at_ms),
        head.operator.to_string(),
        entry.in_force.len().to_string(),
        head.digest.clone(),
    ]
}
