//! Formats the result of a drain call.

use std::fmt;

use gs_protocol::admin::DrainAnswer;
use serde::Serialize;

/// The state of a server after the call: drained (out of use) or in use.
#[derive(Serialize)]
#[serde(transparent)]
pub(crate) struct DrainView(pub(crate) DrainAnswer);

impl fmt::Display for DrainView {
    fn fmt(&self, formatter: &mut fmt::Formatter<'_>) -> fmt::Result {
        let state = if self.0.on { "out of use" } else { "in use" };
        write!(formatter, "{} is {state}", self.0.server)
    }
}
