//! A call to the administration API.

use awc::http::Method;
use error_stack::{Report, ResultExt};
use serde::Serialize;

use crate::error::CtlError;

/// The body of a call.
#[derive(Clone, Debug)]
pub(crate) enum CallBody {
    /// No body.
    Empty,
    /// The exact bytes of a document.
    Document(Vec<u8>),
    /// A JSON value.
    Json(serde_json::Value),
}

/// A call to the administration API. All calls are idempotent, so they can be retried.
#[derive(Clone, Debug)]
pub(crate) struct AdminCall {
    /// The HTTP method.
    pub(crate) method: Method,
    /// The path below `/admin/v1/`.
    pub(crate) path: String,
    /// The query parameters, as names and values.
    pub(crate) query: Vec<(&'static str, String)>,
    /// The body of the request.
    pub(crate) body: CallBody,
}

impl AdminCall {
    /// Creates a read-only call without a body.
    pub(crate) fn get(path: impl Into<String>) -> Self {
        Self {
            method: Method::GET,
            path: path.into(),
            query: Vec::new(),
            body: CallBody::Empty,
        }
    }

    /// Creates a call that makes a change.
    pub(crate) fn post(path: impl Into<String>, body: CallBody) -> Self {
        Self {
            method: Method::POST,
            path: path.into(),
            query: Vec::new(),
            body,
        }
    }

    /// Adds a query parameter.
    pub(crate) fn with_query(mut self, name: &'static str, value: String) -> Self {
        self.query.push((name, value));
        self
    }

    /// Returns the method and the path, for messages.
    pub(crate) fn name(&self) -> String {
        format!("{} /admin/v1/{}", self.method, self.path)
    }
}

impl CallBody {
    /// Creates a JSON body from a value.
    pub(crate) fn json<T: Serialize>(value: &T) -> Result<Self, Report<CtlError>> {
        serde_json::to_value(value)
            .map(Self::Json)
            .change_context(CtlError::JsonUnwritable)
    }
}
