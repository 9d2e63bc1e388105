//! Reads request bodies within a size limit and a time limit.

use std::time::Duration;

use actix_web::web::Payload;
use bytes::{Bytes, BytesMut};
use futures_util::StreamExt;
use gs_protocol::refusal::RefusalReason;

use super::CallerRefusal;

/// Reads a complete body of at most `limit` bytes within `time_limit`.
pub async fn read_body(
    payload: Payload,
    limit: usize,
    time_limit: Duration,
) -> Result<Bytes, CallerRefusal> {
    let reading = tokio::time::timeout(time_limit, collect_body(payload, limit));
    reading.await.unwrap_or_else(|_| {
        let time_limit_ms = time_limit.as_millis();
        let detail = format!("the body did not arrive within {time_limit_ms} ms");
        Err(CallerRefusal::not_run(
            RefusalReason::RequestTimeout,
            detail,
        ))
    })
}

async fn collect_body(mut payload: Payload, limit: usize) -> Result<Bytes, CallerRefusal> {
    let mut body = BytesMut::new();
    while let Some(chunk) = payload.next().await {
        let chunk = chunk.map_err(|error| {
            let detail = format!("the body is incomplete: {error}");
            CallerRefusal::not_run(RefusalReason::BadRequest, detail)
        })?;
        if body.len() + chunk.len() > limit {
            let detail = format!("the body has more than {limit} bytes");
            return Err(CallerRefusal::not_run(RefusalReason::TooLarge, detail));
        }
        body.extend_from_slice(&chunk);
    }
    Ok(body.freeze())
}
