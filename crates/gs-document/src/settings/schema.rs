//! The schemas of the settings, with the limits of their fields.

use crate::parse::OPERATOR_MAP;
use crate::source::{FieldSchema, ValueSchema};

const MAX_BYTES: u64 = 1_073_741_824;
const MAX_CONNECTIONS: u64 = 1_000_000;
const MAX_DOCUMENT_BYTES: u64 = gs_protocol::platform::MAX_VALUE_BYTES as u64;
const MAX_HISTORY: u64 = 100_000;
const MAX_INTERVAL_MS: u64 = 3_600_000;
const MAX_SHARDS: u64 = 4_096;
const MAX_THREADS: u64 = 256;
const MAX_TTL_S: u64 = 3_600;
const MAX_VMS: usize = 10_000;
const MAX_WRITES_PER_S: u64 = 10_000;
const MIN_DOCUMENT_BYTES: u64 = 1_024;
const MIN_HEADER_BYTES: u64 = 1_024;
const MIN_LEASE_MS: u64 = 100;
const MIN_PEER_KEY_BYTES: usize = 16;

/// The schema of the settings of `gs-entry`.
pub(super) const ENTRY_SETTINGS: ValueSchema = ValueSchema::Object(&[
    FieldSchema::required("name", &ValueSchema::Name),
    FieldSchema::required("dataCentre", &ValueSchema::Name),
    FieldSchema::required("environment", &ValueSchema::Name),
    FieldSchema::required("listen", &ValueSchema::Address),
    FieldSchema::required("peerListen", &ValueSchema::Address),
    FieldSchema::required("platform", &ValueSchema::Address),
    FieldSchema::required(
        "peerKey",
        &ValueSchema::Secret {
            min_bytes: MIN_PEER_KEY_BYTES,
        },
    ),
    FieldSchema::optional("trafficThreads", &integer(1, MAX_THREADS)),
    FieldSchema::optional("servers", &list(&SERVER)),
    FieldSchema::optional("peers", &list(&PEER)),
    FieldSchema::optional(
        "delays",
        &ValueSchema::Map {
            key: &ValueSchema::Name,
            value: &integer(0, MAX_INTERVAL_MS),
        },
    ),
    FieldSchema::optional(
        "placement",
        &ValueSchema::OneOf(&["cost", "least-load", "round-robin", "two-choices"]),
    ),
    FieldSchema::optional("seed", &integer(0, u64::MAX)),
    FieldSchema::optional("limits", &LIMITS),
    FieldSchema::optional("intervals", &INTERVALS),
    FieldSchema::optional("timeouts", &TIMEOUTS),
    FieldSchema::optional("claims", &CLAIMS),
]);

const SERVER: ValueSchema = ValueSchema::Object(&[
    FieldSchema::required("name", &ValueSchema::Name),
    FieldSchema::required("kind", &ValueSchema::Name),
    FieldSchema::required("address", &ValueSchema::Address),
    FieldSchema::required("dataCentre", &ValueSchema::Name),
]);

const PEER: ValueSchema = ValueSchema::Object(&[
    FieldSchema::required("name", &ValueSchema::Name),
    FieldSchema::required("address", &ValueSchema::Address),
    FieldSchema::required("peerAddress", &ValueSchema::Address),
    FieldSchema::required("dataCentre", &ValueSchema::Name),
]);

const LIMITS: ValueSchema = ValueSchema::Object(&[
    FieldSchema::optional("maxBodyBytes", &integer(1, MAX_BYTES)),
    FieldSchema::optional("maxHeaderBytes", &integer(MIN_HEADER_BYTES, MAX_BYTES)),
    FieldSchema::optional("maxAnswerBytes", &integer(1, MAX_BYTES)),
    FieldSchema::optional("maxConnections", &integer(1, MAX_CONNECTIONS)),
    FieldSchema::optional("entryListTtlS", &integer(1, MAX_TTL_S)),
]);

const INTERVALS: ValueSchema = ValueSchema::Object(&[
    FieldSchema::optional("loadPollMs", &INTERVAL),
    FieldSchema::optional("cachePollMs", &INTERVAL),
    FieldSchema::optional("headPollMs", &INTERVAL),
    FieldSchema::optional("vmPollMs", &INTERVAL),
    FieldSchema::optional("heartbeatMs", &INTERVAL),
    FieldSchema::optional("suspectAfterMs", &INTERVAL),
    FieldSchema::optional("statusMs", &INTERVAL),
]);

const TIMEOUTS: ValueSchema = ValueSchema::Object(&[
    FieldSchema::optional("connectMs", &INTERVAL),
    FieldSchema::optional("platformMs", &INTERVAL),
    FieldSchema::optional("reserveMs", &INTERVAL),
    FieldSchema::optional("engineSilentMs", &INTERVAL),
    FieldSchema::optional("completionMs", &INTERVAL),
    FieldSchema::optional("callerReadMs", &INTERVAL),
    FieldSchema::optional("shutdownMs", &INTERVAL),
]);

const CLAIMS: ValueSchema = ValueSchema::Object(&[
    FieldSchema::optional("shards", &integer(1, MAX_SHARDS)),
    FieldSchema::optional("leaseMs", &integer(MIN_LEASE_MS, MAX_INTERVAL_MS)),
    FieldSchema::optional("writesPerS", &integer(1, MAX_WRITES_PER_S)),
    FieldSchema::optional("clockSkewMs", &integer(0, MAX_INTERVAL_MS)),
    FieldSchema::optional("maxKeptBytes", &integer(0, MAX_BYTES)),
]);

const INTERVAL: ValueSchema = integer(1, MAX_INTERVAL_MS);

/// The schema of the settings of `gs-admin`.
pub(super) const ADMIN_SETTINGS: ValueSchema = ValueSchema::Object(&[
    FieldSchema::required("listen", &ValueSchema::Address),
    FieldSchema::required("platform", &ValueSchema::Address),
    FieldSchema::optional(
        "environments",
        &ValueSchema::Object(&[
            FieldSchema::optional("trial", &ValueSchema::Name),
            FieldSchema::optional("production", &ValueSchema::Name),
        ]),
    ),
    FieldSchema::optional("bootstrapOperators", &OPERATOR_MAP),
    FieldSchema::optional("limits", &ADMIN_LIMITS),
]);

const ADMIN_LIMITS: ValueSchema = ValueSchema::Object(&[
    FieldSchema::optional(
        "maxDocumentBytes",
        &integer(MIN_DOCUMENT_BYTES, MAX_DOCUMENT_BYTES),
    ),
    FieldSchema::optional("maxHistory", &integer(1, MAX_HISTORY)),
    FieldSchema::optional("platformMs", &INTERVAL),
    FieldSchema::optional("operationMs", &INTERVAL),
]);

const fn integer(min: u64, max: u64) -> ValueSchema {
    ValueSchema::Integer { min, max }
}

const fn list(item: &'static ValueSchema) -> ValueSchema {
    ValueSchema::List {
        item,
        min_items: 0,
        max_items: MAX_VMS,
    }
}
