//! Reads request bodies up to a size limit.

use actix_web::web::Payload;
use bytes::{Bytes, BytesMut};
use futures_util::StreamExt;
use gs_protocol::refusal::RefusalReason;

use super::CallerRefusal;

/// Reads a complete body of at most `limit` bytes.
pub async fn read_body(mut payload: Payload, limit: usize) -> Result<Bytes, CallerRefusal> {
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
