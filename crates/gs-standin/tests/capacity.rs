//! Checks that the capacity page contains the tables computed from the measured figures.

use std::error::Error;
use std::path::Path;

use gs_standin::capacity::{MeasuredFigures, render};

#[test]
fn capacity_page_contains_every_computed_table() -> Result<(), Box<dyn Error>> {
    let docs = Path::new(env!("CARGO_MANIFEST_DIR")).join("../../docs");
    let figures = MeasuredFigures::read(&docs.join("capacity-measured.json"))?;
    let page = std::fs::read_to_string(docs.join("CAPACITY.md"))?;
    let tables = render(&figures)?;
    for table in tables.split("### ").skip(1) {
        assert!(
            page.contains(table.trim()),
            "CAPACITY.md does not contain this table:\n{table}"
        );
    }
    Ok(())
}
