//! Handler of `drain`, which writes or removes the drain record of a backend server.

use std::time::Duration;

use actix_web::HttpRequest;
use actix_web::web::{Data, Json};
use bytes::Bytes;
use gs_document::document::OperatorRight;
use gs_platform::{Platform, PlatformError, WriteCondition};
use gs_protocol::admin::{DrainAnswer, DrainRequest};
use gs_protocol::objects::{DrainRecord, drain_key};
use gs_protocol::refusal::RequestOutcome;

use crate::access::authorize_change;
use crate::refusal::AdminRefusal;
use crate::state::{AdminState, now_ms};

/// Maximum number of attempts to write or remove the record in one call.
const MAX_DRAIN_ATTEMPTS: u32 = 4;

/// The delay between attempts.
const DRAIN_RETRY_DELAY: Duration = Duration::from_millis(100);

/// Maximum length of a server name, in bytes.
const MAX_SERVER_NAME_BYTES: usize = 128;

/// `POST /admin/v1/drain`: starts or ends the drain of a backend server.
pub async fn drain(
    state: Data<AdminState>,
    request: HttpRequest,
    body: Json<DrainRequest>,
) -> Result<Json<DrainAnswer>, AdminRefusal> {
    let environment = state.resolve_environment(body.environment.as_deref())?;
    let grant = authorize_change(&state, &request, environment, OperatorRight::Drain).await?;
    let operator = grant.operator;
    check_server_name(body.server.as_str())?;
    let record = DrainRecord {
        operator: operator.clone(),
        drained_at_ms: now_ms(),
    };
    let key = drain_key(environment, &body.server);
    apply_drain(&state.platform, &key, body.on.then_some(&record)).await?;
    let (server, on) = (body.server.as_str(), body.on);
    log::info!(target: "admin", environment, server, on, operator:% = operator; "Drain state changed.");
    Ok(Json(DrainAnswer {
        server: body.server.clone(),
        on,
    }))
}

fn check_server_name(name: &str) -> Result<(), AdminRefusal> {
    let allowed = |byte: u8| byte.is_ascii_alphanumeric() || b"-_.".contains(&byte);
    let length = 1..=MAX_SERVER_NAME_BYTES;
    if length.contains(&name.len()) && name.bytes().all(allowed) {
        return Ok(());
    }
    Err(AdminRefusal::BadRequest {
        detail: format!(
            "server name \"{}\" is invalid; allowed are 1 to {MAX_SERVER_NAME_BYTES} letters, digits, '-', '_' and '.'",
            name.escape_debug()
                .take(MAX_SERVER_NAME_BYTES)
                .collect::<String>()
        ),
    })
}

/// Writes a drain record, or removes the existing one if `record` is none. Retries until an attempt
/// succeeds; the refusal after the last attempt reports whether an earlier one may have taken effect.
async fn apply_drain(
    platform: &impl Platform,
    key: &str,
    record: Option<&DrainRecord>,
) -> Result<(), AdminRefusal> {
    let mut outcome = RequestOutcome::NotRun;
    let mut attempt = 1;
    loop {
        let result = match record {
            Some(record) => write_record(platform, key, record).await,
            None => remove_record(platform, key).await,
        };
        let Err(error) = result else {
            return Ok(());
        };
        if matches!(error, PlatformError::Unsettled { .. }) {
            outcome = RequestOutcome::Unknown;
        }
        if attempt == MAX_DRAIN_ATTEMPTS {
            let detail = error.to_string();
            return Err(AdminRefusal::PlatformUnavailable { detail, outcome });
        }
        attempt += 1;
        tokio::time::sleep(DRAIN_RETRY_DELAY).await;
    }
}

/// Writes a drain record; keeps an existing one, since the server is then drained already.
async fn write_record(
    platform: &impl Platform,
    key: &str,
    record: &DrainRecord,
) -> Result<(), PlatformError> {
    let value = serde_json::to_vec(record).map_err(|error| PlatformError::Malformed {
        key: key.to_owned(),
        detail: error.to_string(),
    })?;
    let write = platform.write(key, Bytes::from(value), WriteCondition::Absent);
    match write.await {
        Ok(_) | Err(PlatformError::Conflict { .. }) => Ok(()),
        Err(error) => Err(error),
    }
}

/// Removes the drain record if it exists.
async fn remove_record(platform: &impl Platform, key: &str) -> Result<(), PlatformError> {
    let Some(object) = platform.read(key).await? else {
        return Ok(());
    };
    platform.remove(key, object.version).await
}
