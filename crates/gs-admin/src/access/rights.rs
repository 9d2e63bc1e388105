//! Rights of operators, as granted by the document in force and by the daemon's settings.
//!
//! The operators in the settings have a right in an environment only while the document in force there
//! grants that right to nobody. They can thus accept the first document, and replace a document that
//! would lock everyone out.

use std::collections::BTreeMap;

use actix_web::HttpRequest;
use gs_document::document::{OperatorEntry, OperatorRight};
use gs_platform::PlatformError;
use gs_protocol::ids::{OperatorName, SequenceNumber};
use gs_protocol::objects::HeadRecord;

use super::token::{read_token_digest, record_operator};
use crate::refusal::AdminRefusal;
use crate::state::AdminState;

/// Operators and their rights, by name.
type OperatorMap = BTreeMap<OperatorName, OperatorEntry>;

const ALL_RIGHTS: [OperatorRight; 4] = [
    OperatorRight::Drain,
    OperatorRight::Promote,
    OperatorRight::Read,
    OperatorRight::Try,
];

/// An operator that is authorized to make a change.
pub struct ChangeGrant {
    /// The operator.
    pub operator: OperatorName,
    /// The sequence number of the head under which the right was checked; 0 if there was no head.
    pub sequence: SequenceNumber,
}

/// Authenticates the operator of a read-only call and checks its right in an environment. Uses a head
/// that may be up to `HEAD_TTL` old.
pub async fn authorize(
    state: &AdminState,
    request: &HttpRequest,
    environment: &str,
    right: OperatorRight,
) -> Result<OperatorName, AdminRefusal> {
    let head = state.recent_head(environment).await?;
    check_right(state, request, environment, head.as_ref(), right).await
}

/// Authenticates the operator of a call that makes a change, and checks its right in an environment by
/// a head that is read anew. Tokens that the cached head and the settings do not know are refused
/// before that, so that they cause no calls to the platform's service while the cache is fresh.
pub async fn authorize_change(
    state: &AdminState,
    request: &HttpRequest,
    environment: &str,
    right: OperatorRight,
) -> Result<ChangeGrant, AdminRefusal> {
    let digest = read_token_digest(request)?;
    let recent_head = state.recent_head(environment).await?;
    let operators = load_operators(state, recent_head.as_ref()).await?;
    let bootstrap = &state.settings.bootstrap_operators;
    if find_operator(&operators, &digest).is_none() && find_operator(bootstrap, &digest).is_none() {
        return Err(AdminRefusal::Unauthorized);
    }
    let head = state.read_head(environment).await?;
    let operator = check_right(state, request, environment, head.as_ref(), right).await?;
    let sequence = head.map(|head| head.sequence).unwrap_or_default();
    Ok(ChangeGrant { operator, sequence })
}

async fn check_right(
    state: &AdminState,
    request: &HttpRequest,
    environment: &str,
    head: Option<&HeadRecord>,
    right: OperatorRight,
) -> Result<OperatorName, AdminRefusal> {
    let digest = read_token_digest(request)?;
    let operators = load_operators(state, head).await?;
    let bootstrap = &state.settings.bootstrap_operators;
    let found = find_operator(&operators, &digest).or_else(|| find_operator(bootstrap, &digest));
    let (operator, _) = found.ok_or(AdminRefusal::Unauthorized)?;
    record_operator(request, operator);
    if has_right(&operators, bootstrap, &digest, right) {
        return Ok(operator.clone());
    }
    Err(AdminRefusal::Forbidden {
        right: right_label(right),
        environment: environment.to_owned(),
    })
}

/// Authenticates the operator of a call that needs one of the given rights in at least one environment.
/// An empty list stands for any right.
pub async fn authorize_in_any_environment(
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

/// Loads the operators of the document that a head names; none without a head.
async fn load_operators(
    state: &AdminState,
    head: Option<&HeadRecord>,
) -> Result<OperatorMap, PlatformError> {
    let Some(head) = head else {
        return Ok(OperatorMap::new());
    };
    let document = state.load_document(&head.digest).await?;
    Ok(document.map_or_else(OperatorMap::new, |document| document.operators.clone()))
}

/// Finds the operator with a token of this digest.
fn find_operator<'a>(
    operators: &'a OperatorMap,
    digest: &str,
) -> Option<(&'a OperatorName, &'a OperatorEntry)> {
    operators
        .iter()
        .find(|(_, entry)| entry.token_digests.iter().any(|known| known == digest))
}

/// Returns whether the operator with this token has a right. The settings count only if the document
/// grants the right to nobody.
fn has_right(
    operators: &OperatorMap,
    bootstrap: &OperatorMap,
    digest: &str,
    right: OperatorRight,
) -> bool {
    let is_granted = operators
        .values()
        .any(|entry| entry.rights.contains(&right));
    let source = if is_granted { operators } else { bootstrap };
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
