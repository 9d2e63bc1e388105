//! Client for plain services that follow the protocol in [`gs_protocol::service`].

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

/// Maximum size of an answer's body, in bytes.
const MAX_ANSWER_BYTES: usize = 4_194_304;

/// Media type of bodies whose completeness can be checked without a length.
const JSON_MEDIA_TYPE: &str = "application/json";

/// Status codes of answers without a body.
const BODILESS_STATUSES: [u16; 2] = [204, 304];

/// Failure of a call to a service.
#[derive(Clone, Debug, Eq, thiserror::Error, PartialEq)]
pub enum ServiceFailure {
    /// No byte of the call can have reached the service, or the service reported that it did not
    /// run it.
    #[error("the service did not run the call: {detail}")]
    NotRun {
        /// Description of the failure.
        detail: String,
    },
    /// The service may have run the call.
    #[error("it is not known whether the service ran the call: {detail}")]
    Unknown {
        /// Description of the failure.
        detail: String,
    },
}

/// Calls services over the connection pool of one thread.
#[derive(Clone)]
pub struct ServiceClient {
    pool: Rc<ClientPool>,
}

impl ServiceClient {
    /// Creates a client that uses a connection pool.
    pub fn new(pool: Rc<ClientPool>) -> Self {
        Self { pool }
    }

    /// Sends a call. A non-idempotent call uses a new connection, because a reused one may fail at
    /// a point where it is unknown whether the service ran the call.
    pub async fn send(
        &self,
        address: SocketAddr,
        call: &ServiceCall,
        attempt: AttemptId,
        time_limit: Duration,
    ) -> Result<ServiceAnswer, ServiceFailure> {
        let client = if call.idempotent {
            self.pool.client(address)
        } else {
            self.pool.unpooled_client()
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
        let Ok(answer) = timeout(time_limit, exchange).await else {
            self.pool.discard_connections(address);
            let detail = format!("no answer within {} ms", time_limit.as_millis());
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
    if is_complete(&answer, length) {
        return Ok(answer);
    }
    let detail = "the answer is truncated, or its completeness cannot be checked".to_owned();
    Err(ServiceFailure::Unknown { detail })
}

/// Whether an answer has all its bytes. The client library ends a truncated body without an error,
/// so a body without `Content-Length` is only accepted if it is JSON that shows its own end or its status has no
/// body.
fn is_complete(answer: &ServiceAnswer, length: Option<usize>) -> bool {
    if let Some(length) = length {
        return answer.body.len() == length;
    }
    let is_json = answer
        .content_type
        .as_deref()
        .is_some_and(|content_type| content_type.starts_with(JSON_MEDIA_TYPE));
    let is_bodiless = BODILESS_STATUSES.contains(&answer.status);
    is_bodiless || is_json && is_self_delimiting(&answer.body)
}

/// Whether a body is valid JSON of which no shorter part is valid. A part of a number may be a number.
fn is_self_delimiting(body: &[u8]) -> bool {
    let value = serde_json::from_slice::<&RawValue>(body);
    value.is_ok_and(|value| {
        !value
            .get()
            .starts_with(|first: char| first == '-' || first.is_ascii_digit())
    })
}

/// Converts a send error. Only a failure to connect proves that the service did not run the call.
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
