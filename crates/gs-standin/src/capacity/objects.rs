//! Table of the objects in the platform's service at the planned size.

use super::table::{CapacityTable, format_number};
use super::target;

/// Builds the table of object kinds with their number, their writes per day and their writer.
pub fn objects_table() -> CapacityTable {
    let mut table = CapacityTable::new(
        "Objects of one environment",
        &["kind", "at a time", "writes a day", "written by"],
    );
    let changes = format_number(target::CHANGES_PER_DAY);
    let reports = format_number(target::CHANGES_PER_DAY * target::ENTRIES);
    table.add(&[
        "head",
        "1",
        &changes,
        "administration, by conditional update",
    ]);
    table.add(&[
        "bodies, history, proofs",
        "grow by each change",
        &changes,
        "administration",
    ]);
    table.add(&[
        "status of entries",
        &format_number(target::ENTRIES),
        &reports,
        "each entry, at each change that it applies",
    ]);
    table.add(&[
        "drains",
        "as many as servers in drain",
        "by operators",
        "administration",
    ]);
    let shards = format_number(target::CLAIM_SHARDS);
    table.add(&[
        "heads of claim shards",
        &shards,
        "see the writes of fixed work",
        "the owner of the shard, several claims in a write",
    ]);
    table
}
