//! Bearer tokens, of which only digests are kept.

use actix_web::http::header;
use actix_web::{HttpMessage, HttpRequest};
use gs_document::digest_token;
use gs_protocol::ids::OperatorName;

use crate::refusal::AdminRefusal;

/// The operator that a call was found to come from, for the audit log.
#[derive(Clone, Debug)]
pub struct CallActor(pub OperatorName);

/// The digest of the call's bearer token.
pub fn read_token_digest(request: &HttpRequest) -> Result<String, AdminRefusal> {
    let token = request
        .headers()
        .get(header::AUTHORIZATION)
        .and_then(|value| value.to_str().ok())
        .and_then(|value| value.split_once(' '))
        .filter(|(scheme, _)| scheme.eq_ignore_ascii_case("bearer"))
        .map(|(_, token)| token.trim())
        .ok_or(AdminRefusal::Unauthorized)?;
    Ok(digest_token(token))
}

/// Remembers who made the call.
pub fn note_actor(request: &HttpRequest, operator: &OperatorName) {
    request.extensions_mut().insert(CallActor(operator.clone()));
}
