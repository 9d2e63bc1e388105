//! Tables of the cost of an entry at the planned size.

use super::figures::{BusyLine, IdleLine, MeasuredFigures};
use super::table::{CapacityTable, format_number, format_verdict};
use super::{CapacityError, target};
use crate::slopes::SweepKind;

/// Requests per second at the average entry.
const ENTRY_REQUESTS_PER_S: f64 = target::REQUESTS_PER_S / target::ENTRIES;

/// Tokens per second at the average entry.
const ENTRY_TOKENS_PER_S: f64 = target::TOKENS_PER_S / target::ENTRIES;

/// The number of other entries that an entry is connected to.
const PEERS: f64 = target::ENTRIES - 1.0;

/// Reduction of heartbeats by a single link per pair of entries (factor 2) at twice the interval
/// (factor 2).
const HEARTBEAT_REDUCTION: f64 = 4.0;

/// Estimates the cost of the control thread of an entry, part by part.
pub fn control_table(figures: &MeasuredFigures) -> Result<CapacityTable, CapacityError> {
    let cores = figures.idle("controlCores")?;
    let memory = figures.idle("residentBytes")?;
    let links = figures.idle("peerBytesPerS")?;
    let polls = figures.idle("pollBytesPerS")?;
    let list = figures.idle("vmListBytes")?;
    let busy = figures.busy("controlCores")?;
    let list_bytes = list.base + target::ENTRIES * list.entry + target::SERVERS * list.engine;
    let rows = [
        ControlPart::new("ticks, claims, documents", cores.base, memory.base, 0.0),
        ControlPart::new(
            "links to 349 entries",
            PEERS * cores.entry,
            PEERS * memory.entry,
            PEERS * links.entry,
        ),
        ControlPart::new(
            "polls of 600 servers",
            target::SERVERS * cores.engine,
            target::SERVERS * memory.engine,
            target::SERVERS * polls.engine,
        ),
        ControlPart::new("list of VMs, once a second", 0.0, 0.0, list_bytes),
        ControlPart::new(
            "dispatch and ends of requests",
            ENTRY_REQUESTS_PER_S * busy.request + ENTRY_TOKENS_PER_S * busy.token,
            0.0,
            0.0,
        ),
    ];
    let mut table = CapacityTable::new(
        "Control thread of an entry, as it is built today",
        &["part", "% of a core", "memory, MB", "bytes/s"],
    );
    add_parts(&mut table, &rows);
    for figure in &figures.dispatch {
        let cores = figure.request_us / 1e6 * ENTRY_REQUESTS_PER_S;
        table.add_note(format!(
            "Of dispatch, the slice alone takes {} us for a whole request at {} servers: {}% of a core.",
            format_number(figure.request_us),
            figure.servers,
            format_number(cores * 100.0),
        ));
    }
    Ok(table)
}

/// Estimates the cost of the traffic threads of an entry at the peak.
pub fn traffic_table(figures: &MeasuredFigures) -> Result<CapacityTable, CapacityError> {
    let busy = figures.busy("otherCores")?;
    let mut table = CapacityTable::new(
        "Traffic threads at the peak",
        &[
            "part",
            "each, us",
            "cores of an entry",
            "cores of 350 entries",
        ],
    );
    let mut add = |label: &str, cost: f64, per_s: f64| {
        let cores = cost * per_s;
        table.add(&[
            label,
            &format_number(cost * 1e6),
            &format_number(cores),
            &format_number(cores * target::ENTRIES),
        ]);
    };
    add("requests, 13.7/s", busy.request, ENTRY_REQUESTS_PER_S);
    add("tokens, 5,714/s", busy.token, ENTRY_TOKENS_PER_S);
    let streams = ENTRY_TOKENS_PER_S * target::TOKEN_GAP_S;
    let line = figures.line(SweepKind::Streams, "residentBytes")?;
    table.add_note(format!(
        "At 30 ms between tokens an entry has {streams:.0} open streams; at {} kB each they hold {} MB.",
        format_number(line.slope / 1e3),
        format_number(line.slope * streams / 1e6),
    ));
    Ok(table)
}

/// Estimates the cost of the control thread with links and polls limited to its data centre, by the
/// same slopes.
pub fn plan_table(figures: &MeasuredFigures) -> Result<CapacityTable, CapacityError> {
    let cores = figures.idle("controlCores")?;
    let memory = figures.idle("residentBytes")?;
    let links = figures.idle("peerBytesPerS")?;
    let polls = figures.idle("pollBytesPerS")?;
    let busy = figures.busy("controlCores")?;
    let local_links = (target::ENTRIES / target::DATA_CENTRES).ceil() - 1.0;
    let remote_links = target::DATA_CENTRES - 1.0;
    let home_servers = (target::SERVERS / target::ENTRIES).ceil();
    let parts = [
        ControlPart::new("ticks, claims, documents", cores.base, memory.base, 0.0),
        links_part(
            "links to 43 entries of the data centre",
            local_links,
            cores,
            memory,
            links,
        ),
        links_part(
            "links to 7 other data centres",
            remote_links,
            cores,
            memory,
            links,
        ),
        ControlPart::new(
            "polls of 2 home servers",
            home_servers * cores.engine,
            home_servers * memory.engine,
            home_servers * polls.engine,
        ),
        requests_part(busy),
    ];
    let mut table = CapacityTable::new(
        "Control thread of an entry with links and polls within its data centre",
        &["part", "% of a core", "memory, MB", "bytes/s"],
    );
    add_parts(&mut table, &parts);
    let heartbeats = 1.0 / HEARTBEAT_REDUCTION * (local_links + remote_links);
    table.add_note(format!(
        "With one link for each pair and a heartbeat each 500 ms the links take a quarter: {}% of a core \
         and {} bytes/s.",
        format_number(heartbeats * cores.entry * 100.0),
        format_number(heartbeats * links.entry),
    ));
    let polls_per_s = figures.line(SweepKind::Engines, "pollsPerS")?.slope;
    let body_bytes = polls.engine / polls_per_s;
    table.add_note(format!(
        "Not in it: digests of the 75 servers of a data centre. The body of a poll has {} bytes on \
         average. The list of VMs must come as changes instead of whole.",
        format_number(body_bytes)
    ));
    Ok(table)
}

fn links_part(
    label: &'static str,
    count: f64,
    cores: IdleLine,
    memory: IdleLine,
    links: IdleLine,
) -> ControlPart {
    ControlPart::new(
        label,
        count * cores.entry,
        count * memory.entry,
        count * links.entry,
    )
}

fn requests_part(busy: BusyLine) -> ControlPart {
    let cores = ENTRY_REQUESTS_PER_S * busy.request + ENTRY_TOKENS_PER_S * busy.token;
    ControlPart::new("dispatch and ends of requests", cores, 0.0, 0.0)
}

/// The cost of one part of the control thread: cores, bytes of memory, and bytes per second of
/// traffic.
struct ControlPart {
    label: &'static str,
    cores: f64,
    memory: f64,
    bytes_per_s: f64,
}

impl ControlPart {
    fn new(label: &'static str, cores: f64, memory: f64, bytes_per_s: f64) -> Self {
        Self {
            label,
            cores,
            memory,
            bytes_per_s,
        }
    }
}

/// Adds a row for each part, their sum, the limits, and whether the sum is within the limits.
fn add_parts(table: &mut CapacityTable, parts: &[ControlPart]) {
    for part in parts {
        add_row(table, part);
    }
    let sum = |field: fn(&ControlPart) -> f64| parts.iter().map(field).sum();
    let total = ControlPart::new(
        "all",
        sum(|part| part.cores),
        sum(|part| part.memory),
        sum(|part| part.bytes_per_s),
    );
    add_row(table, &total);
    add_row(
        table,
        &ControlPart::new(
            "limit",
            target::CONTROL_CORES,
            target::CONTROL_BYTES,
            target::CONTROL_BYTES_PER_S,
        ),
    );
    table.add(&[
        "",
        &format_verdict(total.cores, target::CONTROL_CORES),
        &format_verdict(total.memory, target::CONTROL_BYTES),
        &format_verdict(total.bytes_per_s, target::CONTROL_BYTES_PER_S),
    ]);
}

fn add_row(table: &mut CapacityTable, part: &ControlPart) {
    table.add(&[
        part.label,
        &format_number(part.cores * 100.0),
        &format_number(part.memory / 1e6),
        &format_number(part.bytes_per_s),
    ]);
}
