//! Handlers of `head` and `documents`, which return one stored object each.

use actix_web::web::{Data, Json, Path, Query};
use actix_web::{HttpRequest, HttpResponse};
use gs_document::document::OperatorRight;
use gs_document::is_digest;
use gs_platform::Platform;
use gs_protocol::admin::HeadView;
use gs_protocol::objects::body_key;

use super::EnvironmentQuery;
use crate::access::authorize_in_any_environment;
use crate::refusal::AdminRefusal;
use crate::state::AdminState;

/// The media type of a document.
const DOCUMENT_MEDIA_TYPE: &str = "application/octet-stream";

/// `GET /admin/v1/head`: returns the head of an environment.
pub async fn head(
    state: Data<AdminState>,
    request: HttpRequest,
    query: Query<EnvironmentQuery>,
) -> Result<Json<HeadView>, AdminRefusal> {
    let environment = state.resolve_environment(query.environment.as_deref())?;
    authorize_in_any_environment(&state, &request, &[]).await?;
    Ok(Json(HeadView {
        environment: environment.to_owned(),
        head: state.read_head(environment).await?,
    }))
}

/// `GET /admin/v1/documents/{digest}`: returns the exact bytes of a document.
pub async fn document(
    state: Data<AdminState>,
    request: HttpRequest,
    digest: Path<String>,
) -> Result<HttpResponse, AdminRefusal> {
    authorize_in_any_environment(&state, &request, &[OperatorRight::Read]).await?;
    let not_found = || AdminRefusal::NotFound {
        kind: "document",
        name: digest.escape_debug().take(MAX_DIGEST_CHARS).collect(),
    };
    if !is_digest(&digest) {
        return Err(not_found());
    }
    let object = state.platform.read(&body_key(&digest)).await?;
    let object = object.ok_or_else(not_found)?;
    Ok(HttpResponse::Ok()
        .content_type(DOCUMENT_MEDIA_TYPE)
        .body(object.value))
}

/// Maximum number of characters of an unknown digest that a refusal repeats.
const MAX_DIGEST_CHARS: usize = 80;
