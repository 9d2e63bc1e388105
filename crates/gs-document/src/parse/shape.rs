//! The shape of a document, with the limits of its fields.

use crate::source::{FieldShape, ValueShape};

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

/// The shape of a document.
pub(crate) const DOCUMENT: ValueShape = ValueShape::Object(&[
    FieldShape::required("callers", &CALLER_MAP),
    FieldShape::required("models", &MODEL_MAP),
    FieldShape::optional("services", &SERVICE_MAP),
    FieldShape::required("serverKinds", &SERVER_KIND_MAP),
    FieldShape::optional("operators", &OPERATOR_MAP),
    FieldShape::optional(
        "keyRetentionS",
        &ValueShape::Integer {
            min: 1,
            max: MAX_KEY_RETENTION_S,
        },
    ),
]);

const CALLER_MAP: ValueShape = ValueShape::Map {
    key: &ValueShape::Name,
    value: &CALLER,
};

const CALLER: ValueShape = ValueShape::Object(&[
    FieldShape::required("tokenDigests", &TOKEN_DIGESTS),
    FieldShape::required("rank", &ValueShape::OneOf(&["urgent", "normal"])),
    FieldShape::required("firstTokenMs", &TARGET),
    FieldShape::required("betweenTokensMs", &TARGET),
    FieldShape::optional(
        "worth",
        &ValueShape::Number {
            min: MIN_WORTH,
            max: MAX_WORTH,
        },
    ),
    FieldShape::optional(
        "guaranteedShare",
        &ValueShape::Number { min: 0.0, max: 1.0 },
    ),
    FieldShape::optional(
        "queueBound",
        &ValueShape::Integer {
            min: 1,
            max: MAX_QUEUE_BOUND,
        },
    ),
    FieldShape::optional("models", &name_list(&ValueShape::Reference("models"))),
    FieldShape::optional("services", &name_list(&ValueShape::Reference("services"))),
]);

const TARGET: ValueShape = ValueShape::Integer {
    min: 1,
    max: MAX_TARGET_MS,
};

const TOKEN_DIGESTS: ValueShape = ValueShape::List {
    item: &ValueShape::TokenDigest,
    min_items: 1,
    max_items: MAX_ITEMS,
};

const MODEL_MAP: ValueShape = ValueShape::Map {
    key: &ValueShape::ModelName,
    value: &ValueShape::Object(&[
        FieldShape::required("serverKind", &SERVER_KIND_NAME),
        FieldShape::required("maxPromptTokens", &TOKEN_COUNT),
        FieldShape::required("maxOutputTokens", &TOKEN_COUNT),
    ]),
};

const SERVER_KIND_NAME: ValueShape = ValueShape::Reference("serverKinds");

const TOKEN_COUNT: ValueShape = ValueShape::Integer {
    min: 1,
    max: MAX_TOKENS,
};

const SERVICE_MAP: ValueShape = ValueShape::Map {
    key: &ValueShape::Name,
    value: &ValueShape::Object(&[
        FieldShape::required("serverKind", &SERVER_KIND_NAME),
        FieldShape::required(
            "routes",
            &ValueShape::List {
                item: &ROUTE,
                min_items: 1,
                max_items: MAX_ROUTES,
            },
        ),
    ]),
};

const ROUTE: ValueShape = ValueShape::Object(&[
    FieldShape::required(
        "method",
        &ValueShape::OneOf(&["DELETE", "GET", "PATCH", "POST", "PUT"]),
    ),
    FieldShape::required("path", &ValueShape::RoutePath),
    FieldShape::required("idempotent", &ValueShape::Boolean),
    FieldShape::optional("deadlineMs", &TARGET),
]);

const SERVER_KIND_MAP: ValueShape = ValueShape::Map {
    key: &ValueShape::Name,
    value: &ValueShape::Object(&[
        FieldShape::required("protocol", &ValueShape::OneOf(&["engine", "service"])),
        FieldShape::optional("checksFence", &ValueShape::Boolean),
    ]),
};

/// The shape of the operators by name, also used in the settings of `gs-admin`.
pub(crate) const OPERATOR_MAP: ValueShape = ValueShape::Map {
    key: &ValueShape::Name,
    value: &ValueShape::Object(&[
        FieldShape::required("tokenDigests", &TOKEN_DIGESTS),
        FieldShape::required(
            "rights",
            &ValueShape::List {
                item: &ValueShape::OneOf(&["drain", "read", "promote", "try"]),
                min_items: 1,
                max_items: MAX_ITEMS,
            },
        ),
    ]),
};

const fn name_list(item: &'static ValueShape) -> ValueShape {
    ValueShape::List {
        item,
        min_items: 0,
        max_items: MAX_ITEMS,
    }
}
