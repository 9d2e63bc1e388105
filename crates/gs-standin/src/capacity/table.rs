//! Markdown tables and the formatting of their numbers.

use std::fmt;

/// A table with a title and notes.
#[derive(Clone, Debug, PartialEq)]
pub struct CapacityTable {
    title: &'static str,
    header: Vec<String>,
    rows: Vec<Vec<String>>,
    notes: Vec<String>,
}

impl CapacityTable {
    /// Creates a table without rows. `header` holds the titles of the columns.
    pub fn new(title: &'static str, header: &[&str]) -> Self {
        Self {
            title,
            header: to_strings(header),
            rows: Vec::new(),
            notes: Vec::new(),
        }
    }

    /// Adds a row with one cell for each column.
    pub fn add(&mut self, cells: &[&str]) {
        self.rows.push(to_strings(cells));
    }

    /// Adds a paragraph below the table.
    pub fn add_note(&mut self, text: String) {
        self.notes.push(text);
    }
}

fn to_strings(cells: &[&str]) -> Vec<String> {
    cells.iter().map(|&cell| cell.to_owned()).collect()
}

impl fmt::Display for CapacityTable {
    fn fmt(&self, formatter: &mut fmt::Formatter<'_>) -> fmt::Result {
        writeln!(formatter, "### {}\n", self.title)?;
        writeln!(formatter, "| {} |", self.header.join(" | "))?;
        let mut rule = vec!["---"];
        rule.resize(self.header.len(), "---:");
        writeln!(formatter, "| {} |", rule.join(" | "))?;
        for row in &self.rows {
            writeln!(formatter, "| {} |", row.join(" | "))?;
        }
        writeln!(formatter)?;
        for note in &self.notes {
            writeln!(formatter, "{note}\n")?;
        }
        Ok(())
    }
}

/// Formats a number without decimals if it is an integer or at least 100, and otherwise with more
/// decimals the smaller it is.
pub fn format_number(value: f64) -> String {
    let value = if value == 0.0 { 0.0 } else { value };
    let decimals = match value.abs() {
        size if size >= 100.0 || size.fract() == 0.0 => 0,
        size if size >= 10.0 => 1,
        size if size >= 1.0 => 2,
        size if size >= 0.01 => 4,
        _ => 6,
    };
    format!("{value:.decimals$}")
}

/// Formats whether a value is within its limit: as percentage of the limit, or as multiple if it
/// exceeds it.
pub fn format_verdict(value: f64, limit: f64) -> String {
    let ratio = value / limit;
    if ratio <= 1.0 {
        format!("fits, {:.0}% of the limit", ratio * 100.0)
    } else {
        format!("does not fit, {ratio:.1} times the limit")
    }
}
