//! Table of the calls of the platform's service at the planned size.

use super::figures::MeasuredFigures;
use super::table::{CapacityTable, format_number, format_verdict};
use super::{CapacityError, target};
use crate::slopes::SweepKind;

/// Estimates reads, watches and writes per second and compares them with the limits.
pub fn calls_table(figures: &MeasuredFigures) -> Result<CapacityTable, CapacityError> {
    let reads = figures.line(SweepKind::Entries, "platformReadsPerS")?;
    let watches = figures.line(SweepKind::Entries, "platformWatchesPerS")?;
    let writes = figures.line(SweepKind::Entries, "platformWritesPerS")?;
    let changes = target::CHANGES_PER_DAY / target::DAY_S * target::ENTRIES;
    let burst = target::ENTRIES / target::CHANGE_WITHIN_S;
    let mut table = CapacityTable::new(
        "Calls of the platform's service by 350 entries",
        &["part", "reads/s", "watches/s", "writes/s"],
    );
    let mut add = |label: &str, values: [f64; 3]| {
        let [reads, watches, writes] = values.map(format_number);
        table.add(&[label, &reads, &watches, &writes]);
    };
    let fixed_calls = [reads.base, watches.base, writes.base];
    add("shards of claims and other fixed work", fixed_calls);
    let calls_per_entry = [reads.slope, watches.slope, writes.slope.max(0.0)];
    add("each entry", calls_per_entry);
    add(
        "350 entries",
        calls_per_entry.map(|value| value * target::ENTRIES),
    );
    let mean_change_calls = [changes * target::CHANGE_READS, 0.0, changes];
    add("2,600 changes a day, mean", mean_change_calls);
    let burst_calls = [burst * target::CHANGE_READS, 0.0, burst];
    add("one change, spread over 10 s", burst_calls);
    let total = [0, 1, 2].map(|column| {
        fixed_calls[column]
            + calls_per_entry[column] * target::ENTRIES
            + mean_change_calls[column]
            + burst_calls[column]
    });
    add("all", total);
    let read_verdict = format_verdict(total[0] + total[1], target::PLATFORM_READS_PER_S);
    let write_verdict = format_verdict(total[2], target::PLATFORM_WRITES_PER_S);
    table.add(&[
        "reads and watches together; writes",
        &read_verdict,
        "",
        &write_verdict,
    ]);
    table.add_note(format!(
        "Limits: {} reads and watches, {} writes a second. At most {} watches wait at a time, one for \
         each entry.",
        target::PLATFORM_READS_PER_S, target::PLATFORM_WRITES_PER_S, target::ENTRIES,
    ));
    Ok(table)
}
