//! Extrapolates the cost of entries and of the platform's service to the planned size, from
//! measured slopes.

mod entry;
mod error;
mod figures;
mod objects;
mod options;
mod platform;
mod table;
mod target;

pub use error::CapacityError;
pub use figures::{DispatchFigure, MeasuredFigures};
pub use options::{CapacityOptions, capacity_options};
pub use table::CapacityTable;

/// Prints the tables for a file of measured figures.
pub fn run(options: &CapacityOptions) -> Result<(), CapacityError> {
    let figures = MeasuredFigures::read(&options.figures)?;
    print!("{}", render(&figures)?);
    Ok(())
}

/// Renders all tables as Markdown.
pub fn render(figures: &MeasuredFigures) -> Result<String, CapacityError> {
    let tables = [
        figures.slope_table()?,
        entry::control_table(figures)?,
        entry::traffic_table(figures)?,
        platform::calls_table(figures)?,
        objects::objects_table(),
        entry::plan_table(figures)?,
    ];
    Ok(tables.iter().map(ToString::to_string).collect())
}
