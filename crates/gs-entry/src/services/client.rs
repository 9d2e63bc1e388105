//! The adapter to plain services, by the protocol in [`gs_protocol::service`].

use std::net::SocketAddr;
use std::rc::Rc;
use std::time::Duration;

use awc::error::{ConnectError, SendRequestError};
use awc::http::header::{CONTENT_LENGTH, CONTENT_TYPE};
use gs_protocol::ids::AttemptId;
use gs_protocol::service::{ATTEMPT_HEADER, KEY_HEADER, NOT_RUN_HEADER};
use serde_json::value::RawValue;
use tokio::time::timeout;

use super::call::{ServiceAnswer, ServiceCall};
use crate::engine::ClientPool;

/// The largest body of an answer, in bytes.
const MAX_ANSWER_BYTES: usize = 4_194_304;

/// The media type of bodies that show their own end.
const JSON_MEDIA_TYPE: &str = "application/json";

/// Statuses of answers that have no body.
const BODILESS_STATUSES: [u16; 2] = [204, 304];

/// Why a service gave no answer.
#[derive(Clone, Debug, Eq, thiserror::Error, PartialEq)]
pub enum ServiceFailure {
    /// No byte of the call can have reached the service, or it said that it did not run the call.
    #[error("the service did not run the call: {detail}")]
    NotRun {
        /// What was seen.
        detail: String,
    },
    /// The service may have run the call.
    #[error("it is not known whether the service ran the call: {detail}")]
    Unknown {
        /// What was seen.
        detail: String,
    },
}

/// Calls services over the connections of one thread.
#[derive(Clone)]
pub struct ServiceClient {
    pool: Rc<ClientPool>,
}

impl ServiceClient {
    /// A client over the given connections.
    pub fn new(pool: Rc<ClientPool>) -> Self {
        Self { pool }
    }

    /// Passes a call on. A non-idempotent call gets a connection that was never used before, because
    /// a reused one may break at a time that leaves the outcome open.
    pub async fn send(
        &self,
        address: SocketAddr,
        call: &ServiceCall,
        attempt: AttemptId,
        within: Duration,
    ) -> Result<ServiceAnswer, ServiceFailure> {
        let client = if call.idempotent {
            self.pool.client(address)
        } else {
            self.pool.fresh_client()
        };
        let url = format!("http://{address}{}", call.path);
        let mut request = client
            .request(call.method.clone(), url)
            .insert_header((ATTEMPT_HEADER, attempt.to_string()));
        if let Some(key) = call.key {
            request = request.insert_header((KEY_HEADER, key.to_string()));
        }
        if let Some(content_type) = &call.content_type {
            request = request.insert_header((CONTENT_TYPE, content_type.as_str()));
        }
        let exchange = exchange(request.send_body(call.body.clone()), attempt);
        let Ok(answer) = timeout(within, exchange).await else {
            self.pool.distrust(address);
            let detail = format!("no answer within {} ms", within.as_millis());
            return Err(ServiceFailure::Unknown { detail });
        };
        answer
    }
}

async fn exchange(
    sending: awc::SendClientRequest,
    attempt: AttemptId,
) -> Result<ServiceAnswer, ServiceFailure> {
    let mut response = sending.await.map_err(|error| send_failure(&error))?;
    let status = response.status().as_u16();
    let header = |name: &str| {
        response
            .headers()
            .get(name)
            .and_then(|value| value.to_str().ok())
            .map(str::to_owned)
    };
    if response.headers().contains_key(NOT_RUN_HEADER) {
        let detail = format!("status {status}");
        return Err(ServiceFailure::NotRun { detail });
    }
    if header(ATTEMPT_HEADER).is_some_and(|echoed| echoed != attempt.to_string()) {
        metrics::counter!(crate::telemetry::LATE_EVENTS_TOTAL).increment(1);
        let detail = "the answer belongs to another attempt".to_owned();
        return Err(ServiceFailure::Unknown { detail });
    }
    let content_type = header(CONTENT_TYPE.as_str());
    let length = header(CONTENT_LENGTH.as_str()).and_then(|text| text.parse().ok());
    let body = response.body().limit(MAX_ANSWER_BYTES).await;
    let body = body.map_err(|error| ServiceFailure::Unknown {
        detail: error.to_string(),
    })?;
    let answer = ServiceAnswer {
        status,
        content_type,
        body,
    };
    if is_whole(&answer, length) {
        return Ok(answer);
    }
    let detail = "the answer was cut, or its end cannot be checked".to_owned();
    Err(ServiceFailure::Unknown { detail })
}

/// Whether an answer has all its bytes. The client library ends a cut body without an error, so that a
/// body without a length is only trusted if it shows its own end.
fn is_whole(answer: &ServiceAnswer, length: Option<usize>) -> bool {
    if let Some(length) = length {
        return answer.body.len() == length;
    }
    let is_json = answer
        .content_type
        .as_deref()
        .is_some_and(|content_type| content_type.starts_with(JSON_MEDIA_TYPE));
    let without_body = BODILESS_STATUSES.contains(&answer.status);
    without_body || is_json && serde_json::from_slice::<&RawValue>(&answer.body).is_ok()
}

/// Only a connection that was never made leaves no doubt.
fn send_failure(error: &SendRequestError) -> ServiceFailure {
    let detail = error.to_string();
    match error {
        SendRequestError::Connect(ConnectError::Disconnected) => ServiceFailure::Unknown { detail },
        SendRequestError::Connect(_) | SendRequestError::Url(_) => {
            ServiceFailure::NotRun { detail }
        }
        _ => ServiceFailure::Unknown { detail },
    }
}
