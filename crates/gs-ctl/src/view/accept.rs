//! Formats the result of an operation.

use std::fmt;

use gs_protocol::admin::AcceptAnswer;
use serde::Serialize;

use super::format::format_time;

/// The answer to an operation, with the environment that it changed.
#[derive(Serialize)]
pub(crate) struct AcceptView {
    environment: String,
    #[serde(flatten)]
    answer: AcceptAnswer,
}

impl AcceptView {
    /// Creates the view of an answer.
    pub(crate) fn new(environment: String, answer: AcceptAnswer) -> Self {
        Self {
            environment,
            answer,
        }
    }
}

impl fmt::Display for AcceptView {
    fn fmt(&self, formatter: &mut fmt::Formatter<'_>) -> fmt::Result {
        let head = &self.answer.head;
        let (environment, sequence) = (&self.environment, head.sequence);
        writeln!(
            formatter,
            "accepted into {environment}: sequence {sequence}"
        )?;
        writeln!(formatter, "digest     {}", head.digest)?;
        writeln!(formatter, "operator   {}", head.operator)?;
        writeln!(formatter, "operation  {}", head.operation)?;
        write!(formatter, "at         {}", format_time(head.accepted_at_ms))?;
        if self.answer.repeated {
            write!(
                formatter,
                "\nan earlier call of this operation had it accepted"
            )?;
        }
        Ok(())
    }
}
