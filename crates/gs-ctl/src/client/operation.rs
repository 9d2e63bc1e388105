//! Operations, which take effect at most once however often they are sent.

use bpaf::Bpaf;
use error_stack::Report;
use gs_protocol::admin::{AcceptAnswer, HeadView};
use gs_protocol::ids::{OperationId, SequenceNumber};
use uuid::Uuid;

use crate::error::CtlError;

use super::call::AdminCall;
use super::connection::{AdminClient, CallFailure, decode_answer};

/// Identity of the operation, and the head that it replaces
#[derive(Bpaf, Clone, Copy, Debug)]
pub(crate) struct OperationOptions {
    /// Sequence number of the head that the change replaces; if left out, the current head is read
    #[bpaf(argument("SEQUENCE"), optional)]
    expected: Option<u64>,
    /// Identity of an earlier attempt of the same change, which is then retried; needs --expected
    #[bpaf(argument("UUID"), optional)]
    operation: Option<Uuid>,
}

impl OperationOptions {
    /// Returns whether a retry has the expected sequence number. Without it, the current head would be
    /// read, which may differ from the one that the first attempt expected.
    pub(crate) fn is_complete(&self) -> bool {
        self.operation.is_none() || self.expected.is_some()
    }
}

/// Identifies an operation. Calls with the same key take effect at most once.
#[derive(Clone, Copy, Debug)]
pub(crate) struct OperationKey {
    /// The operation's identity.
    pub(crate) operation: OperationId,
    /// The sequence number of the head that the operation replaces; 0 for none.
    pub(crate) expected: SequenceNumber,
}

impl OperationKey {
    /// Completes the options: generates an identity and reads the head of the environment where they
    /// are left out.
    pub(crate) async fn resolve(
        client: &AdminClient,
        options: OperationOptions,
        environment: &str,
    ) -> Result<Self, Report<CtlError>> {
        let operation = OperationId(options.operation.unwrap_or_else(Uuid::now_v7));
        if let Some(expected) = options.expected.map(SequenceNumber) {
            return Ok(Self {
                operation,
                expected,
            });
        }
        let call = AdminCall::get("head").with_query("environment", environment.to_owned());
        let view: HeadView = client.read(&call).await?;
        let expected = view.head.map(|head| head.sequence).unwrap_or_default();
        Ok(Self {
            operation,
            expected,
        })
    }

    /// Sends the call of this operation, with retries. If its outcome stays unknown, the error contains
    /// the key, with which the operator can retry it.
    pub(crate) async fn send_call(
        self,
        client: &AdminClient,
        call: &AdminCall,
    ) -> Result<AcceptAnswer, Report<CtlError>> {
        match client.send_with_retries(call).await {
            Ok(answer) => decode_answer(call, &answer),
            Err(CallFailure::NotApplied(error)) => Err(Report::new(error)),
            Err(CallFailure::OutcomeUnknown) => Err(Report::new(CtlError::OutcomeUnknown {
                operation: self.operation,
                expected: self.expected,
            })),
        }
    }
}
