//! The page on capacity shows what the arithmetic gives.

use std::error::Error;
use std::path::Path;

use gs_standin::capacity::{MeasuredFigures, render};

#[test]
fn the_page_shows_every_table_of_the_measured_figures() -> Result<(), Box<dyn Error>> {
    let docs = Path::new(env!("CARGO_MANIFEST_DIR")).join("../../docs");
    let figures = MeasuredFigures::read(&docs.join("capacity-measured.json"))?;
    let page = std::fs::read_to_string(docs.join("CAPACITY.md"))?;
    let tables = render(&figures)?;
    for table in tables.split("### ").skip(1) {
        assert!(
            page.contains(table.trim()),
            "the page does not show:\n{table}"
        );
    }
    Ok(())
}
