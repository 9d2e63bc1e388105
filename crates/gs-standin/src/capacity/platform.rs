//! Calls of the platform's service at the planned size.

use super::figures::MeasuredFigures;
use super::table::{CapacityTable, number, verdict};
use super::{CapacityError, target};
use crate::slopes::SweepKind;

/// Reads, watches and writes a second against the limits.
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
        let [reads, watches, writes] = values.map(number);
        table.add(&[label, &reads, &watches, &writes]);
    };
    let fixed = [reads.base, watches.base, writes.base];
    add("shards of claims and other fixed work", fixed);
    let each = [reads.slope, watches.slope, writes.slope.max(0.0)];
    add("each entry", each);
    add("350 entries", each.map(|value| value * target::ENTRIES));
    let mean = [changes * target::CHANGE_READS, 0.0, changes];
    add("2,600 changes a day, mean", mean);
    let spread = [burst * target::CHANGE_READS, 0.0, burst];
    add("one change, spread over 10 s", spread);
    let all = [0, 1, 2].map(|at| fixed[at] + each[at] * target::ENTRIES + mean[at] + spread[at]);
    add("all", all);
    let read = verdict(all[0] + all[1], target::PLATFORM_READS_PER_S);
    let written = verdict(all[2], target::PLATFORM_WRITES_PER_S);
    table.add(&["reads and watches together; writes", &read, "", &written]);
    table.note(format!(
        "Limits: {} reads and watches, {} writes a second. At most {} watches wait at a time, one for \
         each entry.",
        target::PLATFORM_READS_PER_S, target::PLATFORM_WRITES_PER_S, target::ENTRIES,
    ));
    Ok(table)
}
