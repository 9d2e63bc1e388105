//! The planned size of the deployment and the limits that apply at that size.

/// The number of entries.
pub const ENTRIES: f64 = 350.0;
/// The number of backend servers.
pub const SERVERS: f64 = 600.0;
/// The number of data centres.
pub const DATA_CENTRES: f64 = 8.0;
/// Requests per second at the peak, over all entries.
pub const REQUESTS_PER_S: f64 = 4_800.0;
/// Tokens generated per second at the peak, over all entries.
pub const TOKENS_PER_S: f64 = 2_000_000.0;
/// Time between two tokens of a stream, in seconds.
pub const TOKEN_GAP_S: f64 = 0.03;
/// Changes of the document per day.
pub const CHANGES_PER_DAY: f64 = 2_600.0;
/// Seconds per day.
pub const DAY_S: f64 = 86_400.0;
/// Limit of processor time for control, in cores per entry.
pub const CONTROL_CORES: f64 = 0.024;
/// Limit of memory for control, in bytes per entry.
pub const CONTROL_BYTES: f64 = 128_000_000.0;
/// Limit of control traffic, in bytes per second and entry.
pub const CONTROL_BYTES_PER_S: f64 = 10_000.0;
/// Limit of reads, listings and watches at the platform's service, per second.
pub const PLATFORM_READS_PER_S: f64 = 2_000.0;
/// Limit of writes at the platform's service, per second.
pub const PLATFORM_WRITES_PER_S: f64 = 300.0;
/// The number of claim shards.
pub const CLAIM_SHARDS: f64 = 16.0;
/// Platform reads of one entry for one change of the document: a listing, the head and the body.
pub const CHANGE_READS: f64 = 3.0;
/// Seconds within which a change is in force at all entries.
pub const CHANGE_WITHIN_S: f64 = 10.0;
