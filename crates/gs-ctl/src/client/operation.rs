//! Operations that take effect once, however often they are sent.

use bpaf::Bpaf;
use error_stack::Report;
use gs_protocol::admin::{AcceptAnswer, HeadView};
use gs_protocol::ids::{OperationId, SequenceNumber};
use uuid::Uuid;

use crate::error::CtlError;

use super::call::AdminCall;
use super::connection::{AdminClient, CallFailure, decode_answer};

/// What a change builds on, and which earlier try it repeats.
#[derive(Bpaf, Clone, Copy, Debug)]
pub(crate) struct OperationOptions {
    /// Sequence number of the head that the change builds on; if left out, the present one is read
    #[bpaf(argument("SEQUENCE"), optional)]
    expected: Option<u64>,
    /// Identity of an earlier try of the same change, which is repeated; needs --expected
    #[bpaf(argument("UUID"), optional)]
    operation: Option<Uuid>,
}

impl OperationOptions {
    /// Whether a repeat names the sequence number that the first try named.
    pub(crate) fn is_complete(&self) -> bool {
        self.operation.is_none() || self.expected.is_some()
    }
}

/// What makes two sent calls the same operation.
#[derive(Clone, Copy, Debug)]
pub(crate) struct OperationTicket {
    /// The operation's identity.
    pub(crate) operation: OperationId,
    /// The sequence number that the operation builds on.
    pub(crate) expected: SequenceNumber,
}

impl OperationTicket {
    /// Takes the identity from the options or draws one; reads the head unless one was named.
    pub(crate) async fn draw(
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

    /// Sends the operation until its outcome is known.
    pub(crate) async fn settle(
        self,
        client: &AdminClient,
        call: &AdminCall,
    ) -> Result<AcceptAnswer, Report<CtlError>> {
        match client.send_until_settled(call).await {
            Ok(answer) => decode_answer(call, &answer),
            Err(CallFailure::NothingDone(error)) => Err(Report::new(error)),
            Err(CallFailure::Unsettled) => Err(Report::new(CtlError::OutcomeUnknown {
                operation: self.operation,
                expected: self.expected,
            })),
        }
    }
}
