//! Formats tables without borders, and times.

use comfy_table::Table;
use comfy_table::presets::NOTHING;
use jiff::Timestamp;

/// Creates a table with a header of column names.
pub(super) fn table_with_header<const COLUMNS: usize>(names: [&str; COLUMNS]) -> Table {
    let mut table = plain_table();
    table.set_header(names);
    table
}

/// Creates a table without a header.
pub(super) fn plain_table() -> Table {
    let mut table = Table::new();
    table.load_preset(NOTHING);
    table
}

/// Formats a table without trailing spaces and without the leading space of each line.
pub(super) fn format_table(table: &Table) -> String {
    let lines = table.lines().map(|line| {
        let line = line.trim_end();
        line.strip_prefix(' ').unwrap_or(line).to_owned()
    });
    lines.collect::<Vec<String>>().join("\n")
}

/// Formats a time as RFC 3339 in UTC, or in milliseconds if it is out of range.
pub(super) fn format_time(since_1970_ms: u64) -> String {
    i64::try_from(since_1970_ms)
        .ok()
        .and_then(|ms| Timestamp::from_millisecond(ms).ok())
        .map_or_else(|| format!("{since_1970_ms} ms"), |time| time.to_string())
}
