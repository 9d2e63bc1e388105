//! `drain`.

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

/// Tries of one call.
const DRAIN_TRIES: u32 = 4;

/// The pause after a failed try.
const DRAIN_PAUSE: Duration = Duration::from_millis(100);

/// The longest name of a server, in bytes.
const MAX_SERVER_BYTES: usize = 128;

/// `POST /admin/v1/drain`
pub async fn drain(
    state: Data<AdminState>,
    request: HttpRequest,
    body: Json<DrainRequest>,
) -> Result<Json<DrainAnswer>, AdminRefusal> {
    let environment = state.environment(body.environment.as_deref())?;
    let right = authorize_change(&state, &request, environment, OperatorRight::Drain).await?;
    let operator = right.operator;
    check_name(body.server.as_str())?;
    let record = DrainRecord {
        operator: operator.clone(),
        drained_at_ms: now_ms(),
    };
    let key = drain_key(environment, &body.server);
    settle_drain(&state.platform, &key, body.on.then_some(&record)).await?;
    let (server, on) = (body.server.as_str(), body.on);
    log::info!(target: "admin", environment, server, on, operator:% = operator; "Drain changed.");
    Ok(Json(DrainAnswer {
        server: body.server.clone(),
        on,
    }))
}

fn check_name(name: &str) -> Result<(), AdminRefusal> {
    let allowed = |byte: u8| byte.is_ascii_alphanumeric() || b"-_.".contains(&byte);
    let length = 1..=MAX_SERVER_BYTES;
    if length.contains(&name.len()) && name.bytes().all(allowed) {
        return Ok(());
    }
    Err(AdminRefusal::BadRequest {
        detail: format!(
            "server \"{}\" is no name; allowed are 1 to {MAX_SERVER_BYTES} letters, digits, '-', '_' and '.'",
            name.escape_debug()
                .take(MAX_SERVER_BYTES)
                .collect::<String>()
        ),
    })
}

/// Writes the record, or removes it if there is none to write, until one try is answered.
async fn settle_drain(
    platform: &impl Platform,
    key: &str,
    record: Option<&DrainRecord>,
) -> Result<(), AdminRefusal> {
    let mut outcome = RequestOutcome::NotRun;
    let mut tries = 1;
    loop {
        let tried = match record {
            Some(record) => write_record(platform, key, record).await,
            None => remove_record(platform, key).await,
        };
        let Err(error) = tried else {
            return Ok(());
        };
        if matches!(error, PlatformError::Unsettled { .. }) {
            outcome = RequestOutcome::Unknown;
        }
        if tries == DRAIN_TRIES {
            let detail = error.to_string();
            return Err(AdminRefusal::PlatformUnavailable { detail, outcome });
        }
        tries += 1;
        tokio::time::sleep(DRAIN_PAUSE).await;
    }
}

/// A record that is there already serves as well.
async fn write_record(
    platform: &impl Platform,
    key: &str,
    record: &DrainRecord,
) -> Result<(), PlatformError> {
    let value = serde_json::to_vec(record).map_err(|error| PlatformError::Malformed {
        key: key.to_owned(),
        detail: error.to_string(),
    })?;
    let written = platform.write(key, Bytes::from(value), WriteCondition::Absent);
    match written.await {
        Ok(_) | Err(PlatformError::Conflict { .. }) => Ok(()),
        Err(error) => Err(error),
    }
}

async fn remove_record(platform: &impl Platform, key: &str) -> Result<(), PlatformError> {
    let Some(object) = platform.read(key).await? else {
        return Ok(());
    };
    platform.remove(key, object.version).await
}
