//! Bearer tokens, which are compared by their digests only.

use actix_web::http::header;
use actix_web::{HttpMessage, HttpRequest};
use gs_document::digest_token;
use gs_protocol::ids::OperatorName;

use crate::refusal::AdminRefusal;

/// The authenticated operator of a call, attached to the request for the audit log.
#[derive(Clone, Debug)]
pub struct CallOperator(pub OperatorName);

/// Returns the digest of the bearer token in the `Authorization` header.
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

/// Attaches the authenticated operator to the request.
pub fn record_operator(request: &HttpRequest, operator: &OperatorName) {
    request
        .extensions_mut()
        .insert(CallOperator(operator.clone()));
}
