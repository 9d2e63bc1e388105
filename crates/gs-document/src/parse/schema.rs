//! The schema of a document, with the limits of its fields.

use crate::source::{FieldSchema, ValueSchema};

/// The maximum latency target or deadline, in milliseconds: 10 minutes.
const MAX_TARGET_MS: u64 = 600_000;
/// The maximum number of items in a list other than routes.
const MAX_ITEMS: usize = 1_000;
/// The maximum retention of idempotency keys, in seconds: one week.
const MAX_KEY_RETENTION_S: u64 = 7 * 24 * 60 * 60;
/// The maximum number of queued requests per caller.
const MAX_QUEUE_BOUND: u64 = 1_000_000;
/// The maximum number of routes of one service. Limited because the checks compare all pairs of
/// routes.
pub(super) const MAX_ROUTES: usize = 1_000;

/// The maximum prompt or output length that a model may allow, in tokens.
const MAX_TOKENS: u64 = 10_000_000;
/// The maximum worth of a request.
const MAX_WORTH: f64 = 1_000_000.0;

/// The minimum worth; a smaller one would have no effect next to others.
const MIN_WORTH: f64 = 0.001;

/// The schema of a document.
pub(crate) const DOCUMENT: ValueSchema = ValueSchema::Object(&[
    FieldSchema::required("callers", &CALLER_MAP),
    FieldSchema::required("models", &MODEL_MAP),
    FieldSchema::optional("services", &SERVICE_MAP),
    FieldSchema::required("serverKinds", &SERVER_KIND_MAP),
    FieldSchema::optional("operators", &OPERATOR_MAP),
    FieldSchema::optional(
        "keyRetentionS",
        &ValueSchema::Integer {
            min: 1,
            max: MAX_KEY_RETENTION_S,
        },
    ),
]);

const CALLER_MAP: ValueSchema = ValueSchema::Map {
    key: &ValueSchema::Name,
    value: &CALLER,
};

const CALLER: ValueSchema = ValueSchema::Object(&[
    FieldSchema::required("tokenDigests", &TOKEN_DIGESTS),
    FieldSchema::required("rank", &ValueSchema::OneOf(&["urgent", "normal"])),
    FieldSchema::required("firstTokenMs", &TARGET),
    FieldSchema::required("betweenTokensMs", &TARGET),
    FieldSchema::optional(
        "worth",
        &ValueSchema::Number {
            min: MIN_WORTH,
            max: MAX_WORTH,
        },
    ),
    FieldSchema::optional(
        "guaranteedShare",
        &ValueSchema::Number { min: 0.0, max: 1.0 },
    ),
    FieldSchema::optional(
        "queueBound",
        &ValueSchema::Integer {
            min: 1,
            max: MAX_QUEUE_BOUND,
        },
    ),
    FieldSchema::optional("models", &name_list(&ValueSchema::Reference("models"))),
    FieldSchema::optional("services", &name_list(&ValueSchema::Reference("services"))),
]);

const TARGET: ValueSchema = ValueSchema::Integer {
    min: 1,
    max: MAX_TARGET_MS,
};

const TOKEN_DIGESTS: ValueSchema = ValueSchema::List {
    item: &ValueSchema::TokenDigest,
    min_items: 1,
    max_items: MAX_ITEMS,
};

const MODEL_MAP: ValueSchema = ValueSchema::Map {
    key: &ValueSchema::ModelName,
    value: &ValueSchema::Object(&[
        FieldSchema::required("serverKind", &SERVER_KIND_NAME),
        FieldSchema::required("maxPromptTokens", &TOKEN_COUNT),
        FieldSchema::required("maxOutputTokens", &TOKEN_COUNT),
    ]),
};

const SERVER_KIND_NAME: ValueSchema = ValueSchema::Reference("serverKinds");

const TOKEN_COUNT: ValueSchema = ValueSchema::Integer {
    min: 1,
    max: MAX_TOKENS,
};

const SERVICE_MAP: ValueSchema = ValueSchema::Map {
    key: &ValueSchema::Name,
    value: &ValueSchema::Object(&[
        FieldSchema::required("serverKind", &SERVER_KIND_NAME),
        FieldSchema::required(
            "routes",
            &ValueSchema::List {
                item: &ROUTE,
                min_items: 1,
                max_items: MAX_ROUTES,
            },
        ),
    ]),
};

const ROUTE: ValueSchema = ValueSchema::Object(&[
    FieldSchema::required(
        "method",
        &ValueSchema::OneOf(&["DELETE", "GET", "PATCH", "POST", "PUT"]),
    ),
    FieldSchema::required("path", &ValueSchema::RoutePath),
    FieldSchema::required("idempotent", &ValueSchema::Boolean),
    FieldSchema::optional("deadlineMs", &TARGET),
]);

const SERVER_KIND_MAP: ValueSchema = ValueSchema::Map {
    key: &ValueSchema::Name,
    value: &ValueSchema::Object(&[
        FieldSchema::required("protocol", &ValueSchema::OneOf(&["engine", "service"])),
        FieldSchema::optional("checksFence", &ValueSchema::Boolean),
    ]),
};

/// The schema of the operators by name, also used in the settings of `gs-admin`.
pub(crate) const OPERATOR_MAP: ValueSchema = ValueSchema::Map {
    key: &ValueSchema::Name,
    value: &ValueSchema::Object(&[
        FieldSchema::required("tokenDigests", &TOKEN_DIGESTS),
        FieldSchema::required(
            "rights",
            &ValueSchema::List {
                item: &ValueSchema::OneOf(&["drain", "read", "promote", "try"]),
                min_items: 1,
                max_items: MAX_ITEMS,
            },
        ),
    ]),
};

const fn name_list(item: &'static ValueSchema) -> ValueSchema {
    ValueSchema::List {
        item,
        min_items: 0,
        max_items: MAX_ITEMS,
    }
}
