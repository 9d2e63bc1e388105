//! Tables without lines, and times.

use comfy_table::Table;
use comfy_table::presets::NOTHING;
use jiff::Timestamp;

/// A table with column names.
pub(super) fn named_table<const COLUMNS: usize>(names: [&str; COLUMNS]) -> Table {
    let mut table = plain_table();
    table.set_header(names);
    table
}

/// A table without column names.
pub(super) fn plain_table() -> Table {
    let mut table = Table::new();
    table.load_preset(NOTHING);
    table
}

/// A table's text without spaces at the ends of lines and in front.
pub(super) fn table_text(table: &Table) -> String {
    let lines = table.lines().map(|line| {
        let line = line.trim_end();
        line.strip_prefix(' ').unwrap_or(line).to_owned()
    });
    lines.collect::<Vec<String>>().join("\n")
}

/// A time as RFC 3339 in UTC.
pub(super) fn time_text(since_1970_ms: u64) -> String {
    i64::try_from(since_1970_ms)
        .ok()
        .and_then(|ms| Timestamp::from_millisecond(ms).ok())
        .map_or_else(|| format!("{since_1970_ms} ms"), |time| time.to_string())
}
