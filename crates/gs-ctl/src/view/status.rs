//! Formats the status of an environment.

use std::fmt;

use gs_protocol::admin::{DrainEntry, EntryStatus, StatusView};
use serde::Serialize;

use super::format::{format_table, format_time, table_with_header};
use super::head::format_head;

/// The status of an environment: its head, its entries and its drains.
#[derive(Serialize)]
#[serde(transparent)]
pub(crate) struct StatusTable(pub(crate) StatusView);

impl fmt::Display for StatusTable {
    fn fmt(&self, formatter: &mut fmt::Formatter<'_>) -> fmt::Result {
        let view = &self.0;
        let head = format_head(&view.environment, view.head.as_ref());
        writeln!(formatter, "{head}")?;
        match view.in_force_since_ms {
            Some(since_ms) => {
                let since = format_time(since_ms);
                writeln!(formatter, "in force at every listed entry since {since}")?;
            }
            None => writeln!(formatter, "not in force at every listed entry")?,
        }
        write!(formatter, "\n{}", entry_table(&view.entries))?;
        if !view.drains.is_empty() {
            write!(formatter, "\n\n{}", drain_table(&view.drains))?;
        }
        Ok(())
    }
}

fn entry_table(entries: &[EntryStatus]) -> String {
    let mut table = table_with_header(["ENTRY", "LISTED", "SEQUENCE", "SINCE", "DIGEST"]);
    for entry in entries {
        let listed = if entry.listed { "yes" } else { "no" };
        let report = entry.report.as_ref();
        let or_dash = |text: Option<String>| text.unwrap_or_else(|| "-".to_owned());
        table.add_row([
            entry.entry.clone(),
            listed.to_owned(),
            or_dash(report.map(|report| report.sequence.to_string())),
            or_dash(report.map(|report| format_time(report.since_ms))),
            or_dash(report.map(|report| report.digest.clone())),
        ]);
    }
    format_table(&table)
}

fn drain_table(drains: &[DrainEntry]) -> String {
    let mut table = table_with_header(["OUT OF USE", "OPERATOR", "SINCE"]);
    for drain in drains {
        table.add_row([
            drain.server.to_string(),
            drain.record.operator.to_string(),
            format_time(drain.record.drained_at_ms),
        ]);
    }
    format_table(&table)
}
