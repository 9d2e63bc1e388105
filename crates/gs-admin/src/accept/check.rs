//! Checks of a document's bytes.

use actix_web::HttpRequest;
use actix_web::web::{Bytes, Data, Json, Payload};
use gs_document::{MistakeList, decode_text, digest_document, parse_document};
use gs_protocol::admin::CheckReport;

use crate::access::authorize_anywhere;
use crate::refusal::{AdminRefusal, mistake_records};
use crate::state::AdminState;

/// How mistakes name the document.
const DOCUMENT_NAME: &str = "document";

/// `POST /admin/v1/check`
pub async fn check(
    state: Data<AdminState>,
    request: HttpRequest,
    payload: Payload,
) -> Result<Json<CheckReport>, AdminRefusal> {
    authorize_anywhere(&state, &request, &[]).await?;
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

/// Reads the body of a call up to the limit for documents.
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

/// Checks that the bytes are a document without mistakes.
pub fn check_document(bytes: &[u8]) -> Result<(), MistakeList> {
    let text = decode_text(DOCUMENT_NAME, bytes)?;
    parse_document(DOCUMENT_NAME, text).map(drop)
}
