//! One call of the administration API.

use awc::http::Method;
use error_stack::{Report, ResultExt};
use serde::Serialize;

use crate::error::CtlError;

/// The body of a call.
#[derive(Clone, Debug)]
pub(crate) enum CallBody {
    /// No body.
    Empty,
    /// A document's exact bytes.
    Document(Vec<u8>),
    /// JSON.
    Json(serde_json::Value),
}

/// One call; harmless to repeat.
#[derive(Clone, Debug)]
pub(crate) struct AdminCall {
    /// The method.
    pub(crate) method: Method,
    /// The path below `/admin/v1/`.
    pub(crate) path: String,
    /// The query.
    pub(crate) query: Vec<(&'static str, String)>,
    /// The body.
    pub(crate) body: CallBody,
}

impl AdminCall {
    /// A call that reads.
    pub(crate) fn get(path: impl Into<String>) -> Self {
        Self {
            method: Method::GET,
            path: path.into(),
            query: Vec::new(),
            body: CallBody::Empty,
        }
    }

    /// A call that changes something.
    pub(crate) fn post(path: impl Into<String>, body: CallBody) -> Self {
        Self {
            method: Method::POST,
            path: path.into(),
            query: Vec::new(),
            body,
        }
    }

    /// The call with one more query parameter.
    pub(crate) fn with_query(mut self, name: &'static str, value: String) -> Self {
        self.query.push((name, value));
        self
    }

    /// The call's name for messages.
    pub(crate) fn name(&self) -> String {
        format!("{} /admin/v1/{}", self.method, self.path)
    }
}

impl CallBody {
    /// A JSON body.
    pub(crate) fn json<T: Serialize>(value: &T) -> Result<Self, Report<CtlError>> {
        serde_json::to_value(value)
            .map(Self::Json)
            .change_context(CtlError::BodyUnwritable)
    }
}
