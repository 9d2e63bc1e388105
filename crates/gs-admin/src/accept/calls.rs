//! `try`, `promote` and `rollback`.

use actix_web::HttpRequest;
use actix_web::web::{Data, Json, Payload, Query};
use gs_control::documents::{
    PromotionAction, PromotionEnd, PromotionPlan, RetryPolicy, StoreFault,
};
use gs_document::document::OperatorRight;
use gs_protocol::admin::{AcceptAnswer, PromoteRequest, RollBackRequest, TryQuery};
use gs_protocol::ids::{OperationId, SequenceNumber};
use gs_protocol::refusal::RequestOutcome;

use super::check::{check_document, read_document};
use super::operation::run_operation;
use super::overtaken::describe_overtaken;
use crate::access::{ChangeRight, authorize_change};
use crate::refusal::AdminRefusal;
use crate::state::{AdminState, now_ms};
use crate::telemetry;

/// What every operation names.
struct OperationTicket<'a> {
    environment: &'a str,
    right: ChangeRight,
    operation: OperationId,
    expected: SequenceNumber,
}

/// `POST /admin/v1/try`
pub async fn try_document(
    state: Data<AdminState>,
    request: HttpRequest,
    query: Query<TryQuery>,
    payload: Payload,
) -> Result<Json<AcceptAnswer>, AdminRefusal> {
    let environment = &state.settings.environments.trial;
    let right = authorize_change(&state, &request, environment, OperatorRight::Try).await?;
    let bytes = read_document(&state, payload).await?;
    check_document(&bytes).map_err(AdminRefusal::InvalidDocument)?;
    let ticket = OperationTicket {
        environment,
        right,
        operation: query.operation,
        expected: query.expected,
    };
    let action = PromotionAction::Try {
        bytes: bytes[..].into(),
    };
    run(&state, ticket, action).await
}

/// `POST /admin/v1/promote`
pub async fn promote(
    state: Data<AdminState>,
    request: HttpRequest,
    body: Json<PromoteRequest>,
) -> Result<Json<AcceptAnswer>, AdminRefusal> {
    let names = &state.settings.environments;
    let environment = &names.production;
    let right = authorize_change(&state, &request, environment, OperatorRight::Promote).await?;
    let ticket = OperationTicket {
        environment,
        right,
        operation: body.operation,
        expected: body.expected,
    };
    let action = PromotionAction::Promote {
        digest: body.into_inner().digest,
        trial: names.trial.clone(),
    };
    run(&state, ticket, action).await
}

/// `POST /admin/v1/rollback`
pub async fn roll_back(
    state: Data<AdminState>,
    request: HttpRequest,
    body: Json<RollBackRequest>,
) -> Result<Json<AcceptAnswer>, AdminRefusal> {
    let environment = state.environment(body.environment.as_deref())?;
    let needed = match environment == state.settings.environments.trial {
        true => OperatorRight::Try,
        false => OperatorRight::Promote,
    };
    let right = authorize_change(&state, &request, environment, needed).await?;
    let ticket = OperationTicket {
        environment,
        right,
        operation: body.operation,
        expected: body.expected,
    };
    let action = PromotionAction::RollBack {
        sequence: body.sequence,
    };
    run(&state, ticket, action).await
}

async fn run(
    state: &AdminState,
    ticket: OperationTicket<'_>,
    action: PromotionAction,
) -> Result<Json<AcceptAnswer>, AdminRefusal> {
    // The document that gave the right is at least as new as the one that is to be replaced.
    if ticket.expected > ticket.right.sequence {
        return Err(AdminRefusal::NotReached {
            expected: ticket.expected,
            found: ticket.right.sequence,
        });
    }
    let plan = PromotionPlan {
        environment: ticket.environment.to_owned(),
        writes_proofs: ticket.environment == state.settings.environments.trial,
        action: action.clone(),
        operator: ticket.right.operator.clone(),
        operation: ticket.operation,
        expected: ticket.expected,
        accepted_at_ms: now_ms(),
        retry: RetryPolicy::default(),
    };
    let end = run_operation(&state.platform, plan, state.settings.limits.operation).await;
    state.forget_head(ticket.environment);
    if let PromotionEnd::Accepted { head, repeated } = end {
        let (sequence, digest) = (head.sequence.0, head.digest.as_str());
        let (environment, operator) = (ticket.environment, ticket.right.operator.as_str());
        log::info!(target: "admin", environment, sequence, digest, operator, repeated; "Document accepted.");
        telemetry::count_accepted(environment);
        return Ok(Json(AcceptAnswer { head, repeated }));
    }
    Err(refuse(state, &ticket, &action, end).await)
}

/// Maps every end but acceptance.
async fn refuse(
    state: &AdminState,
    ticket: &OperationTicket<'_>,
    action: &PromotionAction,
    end: PromotionEnd,
) -> AdminRefusal {
    let (environment, expected) = (ticket.environment, ticket.expected);
    match end {
        PromotionEnd::Overtaken { winner, head } => {
            let detail = describe_overtaken(state, environment, expected, winner, head).await;
            AdminRefusal::Overtaken(Box::new(detail))
        }
        PromotionEnd::NotReached { head } => AdminRefusal::NotReached {
            expected,
            found: head.map(|head| head.sequence).unwrap_or_default(),
        },
        PromotionEnd::Accepted { head, .. } | PromotionEnd::OperationReused { head } => {
            AdminRefusal::OperationReused(Box::new(head))
        }
        PromotionEnd::NotProven => not_proven(action),
        PromotionEnd::NoSuchSequence => AdminRefusal::NotFound {
            kind: "sequence number",
            name: source_sequence(action),
        },
        PromotionEnd::Unavailable { outcome, fault } => AdminRefusal::PlatformUnavailable {
            detail: describe_unavailable(outcome, fault),
            outcome,
        },
    }
}

fn not_proven(action: &PromotionAction) -> AdminRefusal {
    let (digest, trial) = match action {
        PromotionAction::Promote { digest, trial } => (digest.clone(), trial.clone()),
        _ => Default::default(),
    };
    AdminRefusal::NotProven { digest, trial }
}

fn source_sequence(action: &PromotionAction) -> String {
    match action {
        PromotionAction::RollBack { sequence } => sequence.to_string(),
        _ => String::new(),
    }
}

fn describe_unavailable(outcome: RequestOutcome, fault: StoreFault) -> String {
    match outcome {
        RequestOutcome::NotRun => format!("{fault}; nothing was accepted"),
        RequestOutcome::Unknown => {
            format!("{fault}; repeat the operation under the same identity to learn its outcome")
        }
    }
}
