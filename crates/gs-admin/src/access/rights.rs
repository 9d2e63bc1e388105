//! Rights of operators: those of the document in force, and those of the settings.
//!
//! The operators of the settings have a right in an environment only while the document in force there
//! gives that right to nobody: before the first document, and after one that would lock everyone out.

use std::collections::BTreeMap;

use actix_web::HttpRequest;
use gs_document::document::{OperatorEntry, OperatorRight};
use gs_platform::PlatformError;
use gs_protocol::ids::{OperatorName, SequenceNumber};
use gs_protocol::objects::HeadRecord;

use super::token::{note_actor, read_token_digest};
use crate::refusal::AdminRefusal;
use crate::state::AdminState;

type OperatorMap = BTreeMap<OperatorName, OperatorEntry>;

const ALL_RIGHTS: [OperatorRight; 4] = [
    OperatorRight::Drain,
    OperatorRight::Promote,
    OperatorRight::Read,
    OperatorRight::Try,
];

/// An operator that may make a change, and the sequence number whose document says so; 0 for none.
pub struct ChangeRight {
    /// The operator.
    pub operator: OperatorName,
    /// The sequence number.
    pub sequence: SequenceNumber,
}

/// Finds the operator of a call that reads, and checks its right in an environment.
pub async fn authorize(
    state: &AdminState,
    request: &HttpRequest,
    environment: &str,
    right: OperatorRight,
) -> Result<OperatorName, AdminRefusal> {
    let head = state.recent_head(environment).await?;
    check_right(state, request, environment, head.as_ref(), right).await
}

/// Finds the operator of a call that changes something, and checks its right by the document in force now.
/// A call without a known token costs no call to the platform's service while the head is recent.
pub async fn authorize_change(
    state: &AdminState,
    request: &HttpRequest,
    environment: &str,
    right: OperatorRight,
) -> Result<ChangeRight, AdminRefusal> {
    let digest = read_token_digest(request)?;
    let recent = state.recent_head(environment).await?;
    let operators = operators_under(state, recent.as_ref()).await?;
    let bootstrap = &state.settings.bootstrap_operators;
    if find_operator(&operators, &digest).is_none() && find_operator(bootstrap, &digest).is_none() {
        return Err(AdminRefusal::Unauthorized);
    }
    let head = state.read_head(environment).await?;
    let operator = check_right(state, request, environment, head.as_ref(), right).await?;
    let sequence = head.map(|head| head.sequence).unwrap_or_default();
    Ok(ChangeRight { operator, sequence })
}

async fn check_right(
    state: &AdminState,
    request: &HttpRequest,
    environment: &str,
    head: Option<&HeadRecord>,
    right: OperatorRight,
) -> Result<OperatorName, AdminRefusal> {
    let digest = read_token_digest(request)?;
    let operators = operators_under(state, head).await?;
    let bootstrap = &state.settings.bootstrap_operators;
    let known = find_operator(&operators, &digest).or_else(|| find_operator(bootstrap, &digest));
    let (operator, _) = known.ok_or(AdminRefusal::Unauthorized)?;
    note_actor(request, operator);
    if has_right(&operators, bootstrap, &digest, right) {
        return Ok(operator.clone());
    }
    Err(AdminRefusal::Forbidden {
        right: right_label(right),
        environment: environment.to_owned(),
    })
}

/// Finds the operator of a call; one of the rights in one of the environments is enough. No rights
/// means any.
pub async fn authorize_anywhere(
    state: &AdminState,
    request: &HttpRequest,
    rights: &[OperatorRight],
) -> Result<OperatorName, AdminRefusal> {
    let rights = match rights {
        [] => &ALL_RIGHTS,
        rights => rights,
    };
    let mut refusal = AdminRefusal::Unauthorized;
    for environment in state.environments() {
        for right in rights {
            match authorize(state, request, environment, *right).await {
                Ok(operator) => return Ok(operator),
                Err(AdminRefusal::Unauthorized) => {}
                Err(AdminRefusal::PlatformUnavailable { detail, outcome }) => {
                    return Err(AdminRefusal::PlatformUnavailable { detail, outcome });
                }
                Err(other) => refusal = other,
            }
        }
    }
    Err(refusal)
}

async fn operators_under(
    state: &AdminState,
    head: Option<&HeadRecord>,
) -> Result<OperatorMap, PlatformError> {
    let Some(head) = head else {
        return Ok(OperatorMap::new());
    };
    let document = state.document(&head.digest).await?;
    Ok(document.map_or_else(OperatorMap::new, |document| document.operators.clone()))
}

fn find_operator<'a>(
    operators: &'a OperatorMap,
    digest: &str,
) -> Option<(&'a OperatorName, &'a OperatorEntry)> {
    operators
        .iter()
        .find(|(_, entry)| entry.token_digests.iter().any(|known| known == digest))
}

fn has_right(
    operators: &OperatorMap,
    bootstrap: &OperatorMap,
    digest: &str,
    right: OperatorRight,
) -> bool {
    let given = operators
        .values()
        .any(|entry| entry.rights.contains(&right));
    let source = if given { operators } else { bootstrap };
    find_operator(source, digest).is_some_and(|(_, entry)| entry.rights.contains(&right))
}

fn right_label(right: OperatorRight) -> &'static str {
    match right {
        OperatorRight::Drain => "drain",
        OperatorRight::Promote => "promote",
        OperatorRight::Read => "read",
        OperatorRight::Try => "try",
    }
}
