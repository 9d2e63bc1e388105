//! Passes on calls that may run at most once.

use std::time::Instant;

use actix_web::web::Data;
use gs_control::ledger::{ClaimRequest, LedgerEvent};
use gs_protocol::claims::{ClaimFingerprint, StoredAnswer};
use gs_protocol::ids::AttemptId;
use gs_protocol::refusal::{RefusalReason, RequestOutcome};
use tokio::sync::oneshot;

use super::call::{ServiceAnswer, ServiceCall};
use super::client::{ServiceClient, ServiceFailure};
use super::forward::{failure_refusal, no_server, usable_servers};
use crate::control::ControlMessage;
use crate::ledger::ClaimDecision;
use crate::traffic::{CallerRefusal, TrafficState};

/// What the caller gets.
type CallOutcome = Result<ServiceAnswer, CallerRefusal>;

/// Passes a non-idempotent call on once its claim is written. The call runs to its end even if the
/// caller goes away, so that a repeat gets its answer.
pub async fn forward_claimed(call: ServiceCall, state: &Data<TrafficState>) -> CallOutcome {
    let (sender, outcome) = oneshot::channel();
    actix_rt::spawn(run_claimed(call, state.clone(), sender));
    outcome.await.unwrap_or_else(|_| {
        let detail = "the entry ended while the call may have been running";
        Err(CallerRefusal::unknown(RefusalReason::ServerFailed, detail))
    })
}

async fn run_claimed(
    call: ServiceCall,
    state: Data<TrafficState>,
    mut caller: oneshot::Sender<CallOutcome>,
) {
    let Some((held, decision)) = HeldClaim::demand(&call, &state) else {
        let detail = "a non-idempotent call needs an Idempotency-Key";
        // The caller may have gone away.
        let _ = caller.send(Err(CallerRefusal::not_run(
            RefusalReason::KeyRequired,
            detail,
        )));
        return;
    };
    let decision = tokio::select! {
        decision = decision => decision,
        () = caller.closed() => return held.release(),
    };
    let outcome = match decision {
        Ok(ClaimDecision::Grant) if caller.is_closed() => return held.release(),
        Ok(ClaimDecision::Grant) => held.run(&call).await,
        Ok(ClaimDecision::Replay(answer)) => Ok(replayed(answer)),
        Ok(ClaimDecision::Refuse { reason, outcome }) => Err(refused(reason, outcome)),
        Err(_) => {
            let detail = "the entry is ending; the call was not passed on";
            Err(CallerRefusal::not_run(RefusalReason::ShuttingDown, detail))
        }
    };
    // The caller may have gone away.
    let _ = caller.send(outcome);
}

/// A claim that was asked for; it must be ended in one of the ways that consume it.
struct HeldClaim {
    attempt: AttemptId,
    state: Data<TrafficState>,
}

impl HeldClaim {
    /// Asks the control thread for the claim; none without a key.
    fn demand(
        call: &ServiceCall,
        state: &Data<TrafficState>,
    ) -> Option<(Self, oneshot::Receiver<ClaimDecision>)> {
        let attempt = AttemptId::generate();
        let path = format!("{}{}", call.kind, call.path);
        let demand = ClaimRequest {
            attempt,
            caller: call.caller.clone(),
            key: call.key?,
            fingerprint: ClaimFingerprint::compute(call.method.as_str(), &path, &call.body),
            deadline: call.deadline,
        };
        let (sender, decision) = oneshot::channel();
        let message = ControlMessage::ClaimDemanded {
            demand,
            decision: sender,
        };
        state.control.do_send(message);
        let state = state.clone();
        Some((Self { attempt, state }, decision))
    }

    /// The call was not sent and will not be.
    fn release(self) {
        self.tell(LedgerEvent::AttemptReleased(self.attempt));
    }

    fn tell(&self, event: LedgerEvent) {
        self.state.control.do_send(ControlMessage::Ledger(event));
    }

    /// Runs the call at the first server that does not say that it did not run it.
    async fn run(self, call: &ServiceCall) -> CallOutcome {
        let client = ServiceClient::new(self.state.pool.clone());
        let mut refusal = no_server(call);
        for server in usable_servers(call, &self.state).await {
            let left = call.deadline.saturating_duration_since(Instant::now());
            if left.is_zero() {
                break;
            }
            let sent = client.send(server.address, call, self.attempt, left).await;
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
        self.tell(LedgerEvent::AttemptFinished { attempt, answer });
    }
}

fn replayed(answer: StoredAnswer) -> ServiceAnswer {
    let content_type = Some(answer.content_type).filter(|found| !found.is_empty());
    ServiceAnswer {
        status: answer.status,
        content_type,
        body: answer.body.into(),
    }
}

fn refused(reason: RefusalReason, outcome: RequestOutcome) -> CallerRefusal {
    let detail = match reason {
        RefusalReason::KeyExpired => "the key is older than the time for which keys are kept",
        RefusalReason::KeyInvalid => "the key's time lies in the future",
        RefusalReason::KeyPending => "the end of an earlier try under the key is not known",
        RefusalReason::KeyReused => "the key was used with another request",
        RefusalReason::QueueFull => "too many claims wait to be written",
        _ => "the claim could not be written in time; this try was not passed on",
    };
    match outcome {
        RequestOutcome::NotRun => CallerRefusal::not_run(reason, detail),
        RequestOutcome::Unknown => CallerRefusal::unknown(reason, detail),
    }
}
