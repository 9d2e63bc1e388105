//! The size that is planned for, and the limits that hold there.

/// Entries.
pub const ENTRIES: f64 = 350.0;
/// Backend servers.
pub const SERVERS: f64 = 600.0;
/// Data centres.
pub const DATA_CENTRES: f64 = 8.0;
/// Requests a second at the peak.
pub const REQUESTS_PER_S: f64 = 4_800.0;
/// Tokens generated a second at the peak.
pub const TOKENS_PER_S: f64 = 2_000_000.0;
/// Time between two tokens of a stream, in seconds.
pub const TOKEN_GAP_S: f64 = 0.03;
/// Changes of the document a day.
pub const CHANGES_PER_DAY: f64 = 2_600.0;
/// Seconds of a day.
pub const DAY_S: f64 = 86_400.0;
/// Processor time for control, in cores of an entry.
pub const CONTROL_CORES: f64 = 0.024;
/// Memory for control, in bytes of an entry.
pub const CONTROL_BYTES: f64 = 128_000_000.0;
/// Traffic for control, in bytes a second of an entry.
pub const CONTROL_BYTES_PER_S: f64 = 10_000.0;
/// Reads, listings and watches that the platform's service takes, a second.
pub const PLATFORM_READS_PER_S: f64 = 2_000.0;
/// Writes that the platform's service takes, a second.
pub const PLATFORM_WRITES_PER_S: f64 = 300.0;
/// Shards of claims.
pub const CLAIM_SHARDS: f64 = 16.0;
/// Platform calls of one entry for one change of the document: a listing, the head and the body.
pub const CHANGE_READS: f64 = 3.0;
/// Seconds within which a change is in force everywhere.
pub const CHANGE_WITHIN_S: f64 = 10.0;
