//! Tables in Markdown.

use std::fmt;

/// One table with a title and a note.
#[derive(Clone, Debug, PartialEq)]
pub struct CapacityTable {
    title: &'static str,
    head: Vec<String>,
    rows: Vec<Vec<String>>,
    notes: Vec<String>,
}

impl CapacityTable {
    /// A table without rows.
    pub fn new(title: &'static str, head: &[&str]) -> Self {
        Self {
            title,
            head: owned(head),
            rows: Vec::new(),
            notes: Vec::new(),
        }
    }

    /// Adds a row.
    pub fn add(&mut self, cells: &[&str]) {
        self.rows.push(owned(cells));
    }

    /// Adds a sentence below the table.
    pub fn note(&mut self, text: String) {
        self.notes.push(text);
    }
}

fn owned(cells: &[&str]) -> Vec<String> {
    cells.iter().map(|&cell| cell.to_owned()).collect()
}

impl fmt::Display for CapacityTable {
    fn fmt(&self, formatter: &mut fmt::Formatter<'_>) -> fmt::Result {
        writeln!(formatter, "### {}\n", self.title)?;
        writeln!(formatter, "| {} |", self.head.join(" | "))?;
        let mut rule = vec!["---"];
        rule.resize(self.head.len(), "---:");
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

/// A number with three significant digits, or without decimals if it is large.
pub fn number(value: f64) -> String {
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

/// How often a value fits into its limit, or how far it is over.
pub fn verdict(value: f64, limit: f64) -> String {
    let times = value / limit;
    if times <= 1.0 {
        format!("fits, {:.0}% of the limit", times * 100.0)
    } else {
        format!("does not fit, {times:.1} times the limit")
    }
}
