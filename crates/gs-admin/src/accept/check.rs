//! Handler of `check`, and the reading and checking of documents in request bodies.

use actix_web::HttpRequest;
use actix_web::web::{Bytes, Data, Json, Payload};
use gs_document::{MistakeList, decode_text, digest_document, parse_document};
use gs_protocol::admin::CheckReport;

use crate::access::authorize_in_any_environment;
use crate::refusal::{AdminRefusal, mistake_records};
use crate::state::AdminState;

/// The name of the document in mistakes, which has no file name here.
const DOCUMENT_NAME: &str = "document";

/// `POST /admin/v1/check`: lists the mistakes in a document without accepting it.
pub async fn check(
    state: Data<AdminState>,
    request: HttpRequest,
    payload: Payload,
) -> Result<Json<CheckReport>, AdminRefusal> {
    authorize_in_any_environment(&state, &request, &[]).await?;
    let bytes = read_document(&state, payload).await?;
    let mistakes = match check_document(&bytes) {
        Ok(()) => Vec::new(),
        Err(mistakes) => mistake_records(&mistakes),
    };
    Ok(Json(CheckReport {
        digest: digest_document(&bytes),
        mistakes,
    }))
}

/// Reads a document from the body of a call; refuses bodies larger than `max_document_bytes`.
pub async fn read_document(state: &AdminState, payload: Payload) -> Result<Bytes, AdminRefusal> {
    let limit = state.settings.limits.max_document_bytes;
    match payload.to_bytes_limited(limit).await {
        Ok(Ok(bytes)) => Ok(bytes),
        Ok(Err(error)) => Err(AdminRefusal::BadRequest {
            detail: error.to_string(),
        }),
        Err(_) => Err(AdminRefusal::TooLarge { limit }),
    }
}

/// Parses a document from its bytes and returns all mistakes in it.
pub fn check_document(bytes: &[u8]) -> Result<(), MistakeList> {
    let text = decode_text(DOCUMENT_NAME, bytes)?;
    parse_document(DOCUMENT_NAME, text).map(drop)
}
