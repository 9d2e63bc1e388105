//! Handlers of `try`, `promote` and `rollback`, the operations that change an environment's head.

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
use crate::access::{ChangeGrant, authorize_change};
use crate::refusal::AdminRefusal;
use crate::state::{AdminState, now_ms};
use crate::telemetry;

/// What all operations have in common.
struct OperationContext<'a> {
    environment: &'a str,
    grant: ChangeGrant,
    /// The identity, which is the same in every retry of the operation.
    operation: OperationId,
    /// The sequence number of the head that the operation replaces; 0 for none.
    expected: SequenceNumber,
}

/// `POST /admin/v1/try`: accepts a document into the trial environment.
pub async fn try_document(
    state: Data<AdminState>,
    request: HttpRequest,
    query: Query<TryQuery>,
    payload: Payload,
) -> Result<Json<AcceptAnswer>, AdminRefusal> {
    let environment = &state.settings.environments.trial;
    let grant = authorize_change(&state, &request, environment, OperatorRight::Try).await?;
    let bytes = read_document(&state, payload).await?;
    check_document(&bytes).map_err(AdminRefusal::InvalidDocument)?;
    let context = OperationContext {
        environment,
        grant,
        operation: query.operation,
        expected: query.expected,
    };
    let action = PromotionAction::Try {
        bytes: bytes[..].into(),
    };
    execute(&state, context, action).await
}

/// `POST /admin/v1/promote`: accepts into production a document that trial has accepted.
pub async fn promote(
    state: Data<AdminState>,
    request: HttpRequest,
    body: Json<PromoteRequest>,
) -> Result<Json<AcceptAnswer>, AdminRefusal> {
    let names = &state.settings.environments;
    let environment = &names.production;
    let grant = authorize_change(&state, &request, environment, OperatorRight::Promote).await?;
    let context = OperationContext {
        environment,
        grant,
        operation: body.operation,
        expected: body.expected,
    };
    let action = PromotionAction::Promote {
        digest: body.into_inner().digest,
        trial: names.trial.clone(),
    };
    execute(&state, context, action).await
}

/// `POST /admin/v1/rollback`: accepts the document of an earlier sequence number again.
pub async fn roll_back(
    state: Data<AdminState>,
    request: HttpRequest,
    body: Json<RollBackRequest>,
) -> Result<Json<AcceptAnswer>, AdminRefusal> {
    let environment = state.resolve_environment(body.environment.as_deref())?;
    let required_right = match environment == state.settings.environments.trial {
        true => OperatorRight::Try,
        false => OperatorRight::Promote,
    };
    let grant = authorize_change(&state, &request, environment, required_right).await?;
    let context = OperationContext {
        environment,
        grant,
        operation: body.operation,
        expected: body.expected,
    };
    let action = PromotionAction::RollBack {
        sequence: body.sequence,
    };
    execute(&state, context, action).await
}

/// Runs an operation to its end; logs and counts an accepted document.
async fn execute(
    state: &AdminState,
    context: OperationContext<'_>,
    action: PromotionAction,
) -> Result<Json<AcceptAnswer>, AdminRefusal> {
    // The right must come from the document that is to be replaced or from a newer one.
    if context.expected > context.grant.sequence {
        return Err(AdminRefusal::NotReached {
            expected: context.expected,
            found: context.grant.sequence,
        });
    }
    let plan = PromotionPlan {
        environment: context.environment.to_owned(),
        writes_proofs: context.environment == state.settings.environments.trial,
        action: action.clone(),
        operator: context.grant.operator.clone(),
        operation: context.operation,
        expected: context.expected,
        accepted_at_ms: now_ms(),
        retry: RetryPolicy::default(),
    };
    let end = run_operation(&state.platform, plan, state.settings.limits.operation).await;
    state.invalidate_head(context.environment);
    if let PromotionEnd::Accepted { head, repeated } = end {
        let (sequence, digest) = (head.sequence.0, head.digest.as_str());
        let (environment, operator) = (context.environment, context.grant.operator.as_str());
        log::info!(target: "admin", environment, sequence, digest, operator, repeated; "Document accepted.");
        telemetry::count_accepted(environment);
        return Ok(Json(AcceptAnswer { head, repeated }));
    }
    Err(map_refusal(state, &context, &action, end).await)
}

/// Returns the refusal for an operation that did not have its document accepted.
async fn map_refusal(
    state: &AdminState,
    context: &OperationContext<'_>,
    action: &PromotionAction,
    end: PromotionEnd,
) -> AdminRefusal {
    let (environment, expected) = (context.environment, context.expected);
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
        PromotionEnd::NotProven => refuse_unproven(action),
        PromotionEnd::NoSuchSequence => AdminRefusal::NotFound {
            kind: "sequence number",
            name: format_source_sequence(action),
        },
        PromotionEnd::Unavailable { outcome, fault } => AdminRefusal::PlatformUnavailable {
            detail: describe_unavailable(outcome, fault),
            outcome,
        },
    }
}

fn refuse_unproven(action: &PromotionAction) -> AdminRefusal {
    let (digest, trial) = match action {
        PromotionAction::Promote { digest, trial } => (digest.clone(), trial.clone()),
        _ => Default::default(),
    };
    AdminRefusal::NotProven { digest, trial }
}

/// Formats the sequence number to roll back to; empty for other actions.
fn format_source_sequence(action: &PromotionAction) -> String {
    match action {
        PromotionAction::RollBack { sequence } => sequence.to_string(),
        _ => String::new(),
    }
}

fn describe_unavailable(outcome: RequestOutcome, fault: StoreFault) -> String {
    match outcome {
        RequestOutcome::NotRun => format!("{fault}; nothing was accepted"),
        RequestOutcome::Unknown => {
            format!("{fault}; retry the operation with the same identity to learn its outcome")
        }
    }
}
