//! Forwards non-idempotent calls, which run at most once.

use std::time::Instant;

use actix_web::web::Data;
use gs_control::ledger::{ClaimRequest, LedgerEvent};
use gs_protocol::claims::{ClaimFingerprint, StoredAnswer};
use gs_protocol::ids::AttemptId;
use gs_protocol::refusal::{RefusalReason, RequestOutcome};
use tokio::sync::oneshot;

use super::call::{ServiceAnswer, ServiceCall};
use super::client::{ServiceClient, ServiceFailure};
use super::forward::{failure_refusal, list_usable_servers, no_server_refusal};
use crate::control::ControlMessage;
use crate::ledger::ClaimDecision;
use crate::traffic::{CallerRefusal, TrafficState};

/// Result that the caller receives.
type CallOutcome = Result<ServiceAnswer, CallerRefusal>;

/// Forwards a non-idempotent call after its claim is written. A forwarded call runs to completion
/// even if the caller disconnects, so that a retry receives its answer.
pub async fn forward_claimed(call: ServiceCall, state: &Data<TrafficState>) -> CallOutcome {
    let (sender, outcome) = oneshot::channel();
    actix_rt::spawn(run_claimed(call, state.clone(), sender));
    outcome.await.unwrap_or_else(|_| {
        let detail = "the entry stopped while the call may have been running";
        Err(CallerRefusal::unknown(RefusalReason::ServerFailed, detail))
    })
}

async fn run_claimed(
    call: ServiceCall,
    state: Data<TrafficState>,
    mut caller: oneshot::Sender<CallOutcome>,
) {
    let Some((claim, decision)) = OpenClaim::request(&call, &state) else {
        let detail = "a non-idempotent call needs an Idempotency-Key";
        // Sending fails if the caller disconnected.
        let _ = caller.send(Err(CallerRefusal::not_run(
            RefusalReason::KeyRequired,
            detail,
        )));
        return;
    };
    let decision = tokio::select! {
        decision = decision => decision,
        () = caller.closed() => return claim.release(),
    };
    let outcome = match decision {
        Ok(ClaimDecision::Grant) if caller.is_closed() => return claim.release(),
        Ok(ClaimDecision::Grant) => claim.forward(&call).await,
        Ok(ClaimDecision::Replay(answer)) => Ok(to_service_answer(answer)),
        Ok(ClaimDecision::Refuse { reason, outcome }) => Err(claim_refusal(reason, outcome)),
        Err(_) => {
            let detail = "the entry is shutting down; the call was not forwarded";
            Err(CallerRefusal::not_run(RefusalReason::ShuttingDown, detail))
        }
    };
    // Sending fails if the caller disconnected.
    let _ = caller.send(outcome);
}

/// A requested claim. If it is granted, or the caller disconnects before the decision, it must be
/// ended by [`OpenClaim::forward`] or [`OpenClaim::release`].
struct OpenClaim {
    attempt: AttemptId,
    state: Data<TrafficState>,
}

impl OpenClaim {
    /// Requests the claim from the control thread; `None` if the call has no key.
    fn request(
        call: &ServiceCall,
        state: &Data<TrafficState>,
    ) -> Option<(Self, oneshot::Receiver<ClaimDecision>)> {
        let attempt = AttemptId::generate();
        let path = format!("{}{}", call.kind, call.path);
        let request = ClaimRequest {
            attempt,
            caller: call.caller.clone(),
            key: call.key?,
            fingerprint: ClaimFingerprint::compute(call.method.as_str(), &path, &call.body),
            deadline: call.deadline,
        };
        let (sender, decision) = oneshot::channel();
        let message = ControlMessage::ClaimRequested {
            request,
            decision: sender,
        };
        state.control.do_send(message);
        let state = state.clone();
        Some((Self { attempt, state }, decision))
    }

    /// Releases the claim of a call that no service ran or will run.
    fn release(self) {
        self.send_event(LedgerEvent::AttemptReleased(self.attempt));
    }

    fn send_event(&self, event: LedgerEvent) {
        self.state.control.do_send(ControlMessage::Ledger(event));
    }

    /// Sends the call to one server after another until one may have run it.
    async fn forward(self, call: &ServiceCall) -> CallOutcome {
        let client = ServiceClient::new(self.state.pool.clone());
        let mut refusal = no_server_refusal(call);
        for server in list_usable_servers(call, &self.state).await {
            let time_left = call.deadline.saturating_duration_since(Instant::now());
            if time_left.is_zero() {
                break;
            }
            let sent = client
                .send(server.address, call, self.attempt, time_left)
                .await;
            match sent {
                Ok(answer) => {
                    self.finish(Some(&answer));
                    return Ok(answer);
                }
                Err(failure @ ServiceFailure::Unknown { .. }) => {
                    self.finish(None);
                    return Err(failure_refusal(&failure));
                }
                Err(failure @ ServiceFailure::NotRun { .. }) => {
                    refusal = failure_refusal(&failure);
                }
            }
        }
        self.release();
        Err(refusal)
    }

    fn finish(self, answer: Option<&ServiceAnswer>) {
        let answer = answer.map(|answer| StoredAnswer {
            status: answer.status,
            content_type: answer.content_type.clone().unwrap_or_default(),
            body: answer.body.to_vec(),
        });
        let attempt = self.attempt;
        self.send_event(LedgerEvent::AttemptFinished { attempt, answer });
    }
}

fn to_service_answer(answer: StoredAnswer) -> ServiceAnswer {
    let content_type = Some(answer.content_type).filter(|content_type| !content_type.is_empty());
    ServiceAnswer {
        status: answer.status,
        content_type,
        body: answer.body.into(),
    }
}

fn claim_refusal(reason: RefusalReason, outcome: RequestOutcome) -> CallerRefusal {
    let detail = match reason {
        RefusalReason::KeyExpired => "the Idempotency-Key is older than the retention time of keys",
        RefusalReason::KeyInvalid => "the timestamp of the Idempotency-Key is in the future",
        RefusalReason::KeyPending => {
            "the outcome of an earlier request with this Idempotency-Key is not known"
        }
        RefusalReason::KeyReused => "the Idempotency-Key was used with a different request",
        RefusalReason::QueueFull => "too many claims are waiting to be written",
        _ => "the claim was not written in time; the request was not forwarded",
    };
    match outcome {
        RequestOutcome::NotRun => CallerRefusal::not_run(reason, detail),
        RequestOutcome::Unknown => CallerRefusal::unknown(reason, detail),
    }
}
