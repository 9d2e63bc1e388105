//! What an entry costs at the planned size.

use super::figures::{BusyLine, IdleLine, MeasuredFigures};
use super::table::{CapacityTable, number, verdict};
use super::{CapacityError, target};
use crate::slopes::SweepKind;

/// Requests a second of the mean entry.
const ENTRY_REQUESTS_PER_S: f64 = target::REQUESTS_PER_S / target::ENTRIES;

/// Tokens a second of the mean entry.
const ENTRY_TOKENS_PER_S: f64 = target::TOKENS_PER_S / target::ENTRIES;

/// Other entries that an entry meets.
const PEERS: f64 = target::ENTRIES - 1.0;

/// How many times fewer heartbeats one link for each pair at twice the interval has.
const LEAN_LINKS: f64 = 4.0;

/// The control thread of an entry, part by part.
pub fn control_table(figures: &MeasuredFigures) -> Result<CapacityTable, CapacityError> {
    let cores = figures.idle("controlCores")?;
    let memory = figures.idle("residentBytes")?;
    let links = figures.idle("peerBytesPerS")?;
    let polls = figures.idle("pollBytesPerS")?;
    let list = figures.idle("vmListBytes")?;
    let busy = figures.busy("controlCores")?;
    let list_bytes = list.base + target::ENTRIES * list.entry + target::SERVERS * list.engine;
    let rows = [
        Part::new("ticks, claims, documents", cores.base, memory.base, 0.0),
        Part::new(
            "links to 349 entries",
            PEERS * cores.entry,
            PEERS * memory.entry,
            PEERS * links.entry,
        ),
        Part::new(
            "polls of 600 servers",
            target::SERVERS * cores.engine,
            target::SERVERS * memory.engine,
            target::SERVERS * polls.engine,
        ),
        Part::new("list of VMs, once a second", 0.0, 0.0, list_bytes),
        Part::new(
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
        table.note(format!(
            "Of dispatch, the slice alone takes {} us for a whole request at {} servers: {}% of a core.",
            number(figure.request_us),
            figure.servers,
            number(cores * 100.0),
        ));
    }
    Ok(table)
}

/// The traffic threads of an entry.
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
            &number(cost * 1e6),
            &number(cores),
            &number(cores * target::ENTRIES),
        ]);
    };
    add("requests, 13.7/s", busy.request, ENTRY_REQUESTS_PER_S);
    add("tokens, 5,714/s", busy.token, ENTRY_TOKENS_PER_S);
    let streams = ENTRY_TOKENS_PER_S * target::TOKEN_GAP_S;
    let line = figures.line(SweepKind::Streams, "residentBytes")?;
    table.note(format!(
        "At 30 ms between tokens an entry has {streams:.0} open streams; at {} kB each they hold {} MB.",
        number(line.slope / 1e3),
        number(line.slope * streams / 1e6),
    ));
    Ok(table)
}

/// What the planned mechanisms would cost with the same slopes.
pub fn plan_table(figures: &MeasuredFigures) -> Result<CapacityTable, CapacityError> {
    let cores = figures.idle("controlCores")?;
    let memory = figures.idle("residentBytes")?;
    let links = figures.idle("peerBytesPerS")?;
    let polls = figures.idle("pollBytesPerS")?;
    let busy = figures.busy("controlCores")?;
    let near = (target::ENTRIES / target::DATA_CENTRES).ceil() - 1.0;
    let far = target::DATA_CENTRES - 1.0;
    let homes = (target::SERVERS / target::ENTRIES).ceil();
    let parts = [
        Part::new("ticks, claims, documents", cores.base, memory.base, 0.0),
        part_of(
            "links to 43 entries of the data centre",
            near,
            cores,
            memory,
            links,
        ),
        part_of("links to 7 other data centres", far, cores, memory, links),
        Part::new(
            "polls of 2 home servers",
            homes * cores.engine,
            homes * memory.engine,
            homes * polls.engine,
        ),
        requests_part(busy),
    ];
    let mut table = CapacityTable::new(
        "Control thread of an entry with links and polls within its data centre",
        &["part", "% of a core", "memory, MB", "bytes/s"],
    );
    add_parts(&mut table, &parts);
    let heartbeats = 1.0 / LEAN_LINKS * (near + far);
    table.note(format!(
        "With one link for each pair and a heartbeat each 500 ms the links take a quarter: {}% of a core \
         and {} bytes/s.",
        number(heartbeats * cores.entry * 100.0),
        number(heartbeats * links.entry),
    ));
    let polled = figures.line(SweepKind::Engines, "pollsPerS")?.slope;
    let body = polls.engine / polled;
    table.note(format!(
        "Not in it: digests of the 75 servers of a data centre. The body of a poll has {} bytes on \
         average. The list of VMs must come as changes instead of whole.",
        number(body)
    ));
    Ok(table)
}

fn part_of(
    label: &'static str,
    count: f64,
    cores: IdleLine,
    memory: IdleLine,
    links: IdleLine,
) -> Part {
    Part::new(
        label,
        count * cores.entry,
        count * memory.entry,
        count * links.entry,
    )
}

fn requests_part(busy: BusyLine) -> Part {
    let cores = ENTRY_REQUESTS_PER_S * busy.request + ENTRY_TOKENS_PER_S * busy.token;
    Part::new("dispatch and ends of requests", cores, 0.0, 0.0)
}

/// One part of the control thread.
struct Part {
    label: &'static str,
    cores: f64,
    memory: f64,
    bytes_per_s: f64,
}

impl Part {
    fn new(label: &'static str, cores: f64, memory: f64, bytes_per_s: f64) -> Self {
        Self {
            label,
            cores,
            memory,
            bytes_per_s,
        }
    }
}

/// Adds the parts, their sum, the limits and what follows.
fn add_parts(table: &mut CapacityTable, parts: &[Part]) {
    for part in parts {
        add_row(table, part);
    }
    let sum = |of: fn(&Part) -> f64| parts.iter().map(of).sum();
    let all = Part::new(
        "all",
        sum(|part| part.cores),
        sum(|part| part.memory),
        sum(|part| part.bytes_per_s),
    );
    add_row(table, &all);
    add_row(
        table,
        &Part::new(
            "limit",
            target::CONTROL_CORES,
            target::CONTROL_BYTES,
            target::CONTROL_BYTES_PER_S,
        ),
    );
    table.add(&[
        "",
        &verdict(all.cores, target::CONTROL_CORES),
        &verdict(all.memory, target::CONTROL_BYTES),
        &verdict(all.bytes_per_s, target::CONTROL_BYTES_PER_S),
    ]);
}

fn add_row(table: &mut CapacityTable, part: &Part) {
    table.add(&[
        part.label,
        &number(part.cores * 100.0),
        &number(part.memory / 1e6),
        &number(part.bytes_per_s),
    ]);
}
