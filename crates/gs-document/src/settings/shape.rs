//! The shapes of the settings, with the limits of their fields.

use crate::parse::OPERATOR_MAP;
use crate::source::{FieldShape, ValueShape};

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

/// The shape of the settings of `gs-entry`.
pub(super) const ENTRY_SETTINGS: ValueShape = ValueShape::Object(&[
    FieldShape::required("name", &ValueShape::Name),
    FieldShape::required("dataCentre", &ValueShape::Name),
    FieldShape::required("environment", &ValueShape::Name),
    FieldShape::required("listen", &ValueShape::Address),
    FieldShape::required("peerListen", &ValueShape::Address),
    FieldShape::required("platform", &ValueShape::Address),
    FieldShape::required(
        "peerKey",
        &ValueShape::Secret {
            min_bytes: MIN_PEER_KEY_BYTES,
        },
    ),
    FieldShape::optional("trafficThreads", &integer(1, MAX_THREADS)),
    FieldShape::optional("servers", &list(&SERVER)),
    FieldShape::optional("peers", &list(&PEER)),
    FieldShape::optional(
        "delays",
        &ValueShape::Map {
            key: &ValueShape::Name,
            value: &integer(0, MAX_INTERVAL_MS),
        },
    ),
    FieldShape::optional(
        "placement",
        &ValueShape::OneOf(&["cost", "least-load", "round-robin", "two-choices"]),
    ),
    FieldShape::optional("seed", &integer(0, u64::MAX)),
    FieldShape::optional("limits", &LIMITS),
    FieldShape::optional("intervals", &INTERVALS),
    FieldShape::optional("timeouts", &TIMEOUTS),
    FieldShape::optional("claims", &CLAIMS),
]);

const SERVER: ValueShape = ValueShape::Object(&[
    FieldShape::required("name", &ValueShape::Name),
    FieldShape::required("kind", &ValueShape::Name),
    FieldShape::required("address", &ValueShape::Address),
    FieldShape::required("dataCentre", &ValueShape::Name),
]);

const PEER: ValueShape = ValueShape::Object(&[
    FieldShape::required("name", &ValueShape::Name),
    FieldShape::required("address", &ValueShape::Address),
    FieldShape::required("peerAddress", &ValueShape::Address),
    FieldShape::required("dataCentre", &ValueShape::Name),
]);

const LIMITS: ValueShape = ValueShape::Object(&[
    FieldShape::optional("maxBodyBytes", &integer(1, MAX_BYTES)),
    FieldShape::optional("maxHeaderBytes", &integer(MIN_HEADER_BYTES, MAX_BYTES)),
    FieldShape::optional("maxAnswerBytes", &integer(1, MAX_BYTES)),
    FieldShape::optional("maxConnections", &integer(1, MAX_CONNECTIONS)),
    FieldShape::optional("entryListTtlS", &integer(1, MAX_TTL_S)),
]);

const INTERVALS: ValueShape = ValueShape::Object(&[
    FieldShape::optional("loadPollMs", &INTERVAL),
    FieldShape::optional("cachePollMs", &INTERVAL),
    FieldShape::optional("headPollMs", &INTERVAL),
    FieldShape::optional("vmPollMs", &INTERVAL),
    FieldShape::optional("heartbeatMs", &INTERVAL),
    FieldShape::optional("suspectAfterMs", &INTERVAL),
    FieldShape::optional("statusMs", &INTERVAL),
]);

const TIMEOUTS: ValueShape = ValueShape::Object(&[
    FieldShape::optional("connectMs", &INTERVAL),
    FieldShape::optional("platformMs", &INTERVAL),
    FieldShape::optional("reserveMs", &INTERVAL),
    FieldShape::optional("engineSilentMs", &INTERVAL),
    FieldShape::optional("completionMs", &INTERVAL),
    FieldShape::optional("callerReadMs", &INTERVAL),
    FieldShape::optional("shutdownMs", &INTERVAL),
]);

const CLAIMS: ValueShape = ValueShape::Object(&[
    FieldShape::optional("shards", &integer(1, MAX_SHARDS)),
    FieldShape::optional("leaseMs", &integer(MIN_LEASE_MS, MAX_INTERVAL_MS)),
    FieldShape::optional("writesPerS", &integer(1, MAX_WRITES_PER_S)),
    FieldShape::optional("clockSkewMs", &integer(0, MAX_INTERVAL_MS)),
    FieldShape::optional("maxKeptBytes", &integer(0, MAX_BYTES)),
]);

const INTERVAL: ValueShape = integer(1, MAX_INTERVAL_MS);

/// The shape of the settings of `gs-admin`.
pub(super) const ADMIN_SETTINGS: ValueShape = ValueShape::Object(&[
    FieldShape::required("listen", &ValueShape::Address),
    FieldShape::required("platform", &ValueShape::Address),
    FieldShape::optional(
        "environments",
        &ValueShape::Object(&[
            FieldShape::optional("trial", &ValueShape::Name),
            FieldShape::optional("production", &ValueShape::Name),
        ]),
    ),
    FieldShape::optional("bootstrapOperators", &OPERATOR_MAP),
    FieldShape::optional("limits", &ADMIN_LIMITS),
]);

const ADMIN_LIMITS: ValueShape = ValueShape::Object(&[
    FieldShape::optional(
        "maxDocumentBytes",
        &integer(MIN_DOCUMENT_BYTES, MAX_DOCUMENT_BYTES),
    ),
    FieldShape::optional("maxHistory", &integer(1, MAX_HISTORY)),
    FieldShape::optional("platformMs", &INTERVAL),
    FieldShape::optional("operationMs", &INTERVAL),
]);

const fn integer(min: u64, max: u64) -> ValueShape {
    ValueShape::Integer { min, max }
}

const fn list(item: &'static ValueShape) -> ValueShape {
    ValueShape::List {
        item,
        min_items: 0,
        max_items: MAX_VMS,
    }
}
