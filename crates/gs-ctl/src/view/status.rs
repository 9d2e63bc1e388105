//! How far an environment has applied its document.

use std::fmt;

use gs_protocol::admin::{DrainEntry, EntryStatus, StatusView};
use serde::Serialize;

use super::columns::{named_table, table_text, time_text};
use super::head::head_text;

/// The status of an environment.
#[derive(Serialize)]
#[serde(transparent)]
pub(crate) struct StatusTable(pub(crate) StatusView);

impl fmt::Display for StatusTable {
    fn fmt(&self, formatter: &mut fmt::Formatter<'_>) -> fmt::Result {
        let view = &self.0;
        let head = head_text(&view.environment, view.head.as_ref());
        writeln!(formatter, "{head}")?;
        match view.in_force_since_ms {
            Some(since_ms) => {
                let since = time_text(since_ms);
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
    let mut table = named_table(["ENTRY", "LISTED", "SEQUENCE", "SINCE", "DIGEST"]);
    for entry in entries {
        let listed = if entry.listed { "yes" } else { "no" };
        let report = entry.report.as_ref();
        let shown = |text: Option<String>| text.unwrap_or_else(|| "-".to_owned());
        table.add_row([
            entry.entry.clone(),
            listed.to_owned(),
            shown(report.map(|report| report.sequence.to_string())),
            shown(report.map(|report| time_text(report.since_ms))),
            shown(report.map(|report| report.digest.clone())),
        ]);
    }
    table_text(&table)
}

fn drain_table(drains: &[DrainEntry]) -> String {
    let mut table = named_table(["OUT OF USE", "OPERATOR", "SINCE"]);
    for drain in drains {
        table.add_row([
            drain.server.to_string(),
            drain.record.operator.to_string(),
            time_text(drain.record.drained_at_ms),
        ]);
    }
    table_text(&table)
}
