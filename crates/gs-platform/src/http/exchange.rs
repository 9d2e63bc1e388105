//! Sends one request and reads its answer. Failures are mapped to errors that tell whether the call
//! may have had an effect.

use std::net::SocketAddr;
use std::time::Duration;

use actix_web::http::{StatusCode, header};
use awc::ClientRequest;
use awc::error::{ConnectError, SendRequestError};
use bytes::Bytes;
use gs_protocol::ids::ObjectVersion;
use serde::de::DeserializeOwned;

use crate::PlatformError;

/// The maximum size of an answer, in bytes. It exceeds the limit for one value because listings can
/// be larger.
const MAX_ANSWER_BYTES: usize = 64 * 1_048_576;

/// The context of one call.
pub(super) struct Exchange<'a> {
    /// The key or prefix, for error messages.
    pub key: &'a str,
    /// The platform's address.
    pub address: SocketAddr,
    /// The time-out for the complete answer.
    pub timeout: Duration,
}

/// A complete answer.
pub(super) struct Reply {
    /// The answer's HTTP status.
    pub status: StatusCode,
    /// The answer's body.
    pub body: Bytes,
    etag: Option<String>,
}

impl Exchange<'_> {
    /// Sends a request and reads the complete answer, within the time-out.
    pub async fn send(&self, request: ClientRequest, body: Bytes) -> Result<Reply, PlatformError> {
        let answer = self.send_untimed(request, body);
        match tokio::time::timeout(self.timeout, answer).await {
            Ok(reply) => reply,
            Err(_) => Err(self.unsettled()),
        }
    }

    async fn send_untimed(
        &self,
        request: ClientRequest,
        body: Bytes,
    ) -> Result<Reply, PlatformError> {
        let mut response = request
            .timeout(self.timeout)
            .send_body(body)
            .await
            .map_err(|error| self.map_error(&error))?;
        let status = response.status();
        if matches!(
            status,
            StatusCode::TOO_MANY_REQUESTS | StatusCode::SERVICE_UNAVAILABLE
        ) {
            return Err(PlatformError::Refused {
                status: status.as_u16(),
            });
        }
        let etag = response
            .headers()
            .get(header::ETAG)
            .and_then(|value| value.to_str().ok())
            .map(str::to_owned);
        let body = response
            .body()
            .limit(MAX_ANSWER_BYTES)
            .await
            .map_err(|_| self.unsettled())?;
        Ok(Reply { status, body, etag })
    }

    /// Maps a send error. Only a failure to connect proves that nothing was sent: `Disconnected`
    /// also covers connections that ended after the request was sent.
    fn map_error(&self, error: &SendRequestError) -> PlatformError {
        match error {
            SendRequestError::Connect(ConnectError::Io(_) | ConnectError::Timeout) => {
                PlatformError::Unreachable {
                    address: self.address.to_string(),
                }
            }
            _ => self.unsettled(),
        }
    }

    fn unsettled(&self) -> PlatformError {
        PlatformError::Unsettled {
            key: self.key.to_owned(),
        }
    }
}

impl Reply {
    /// Parses the body as JSON.
    pub fn parse<T: DeserializeOwned>(&self, key: &str) -> Result<T, PlatformError> {
        serde_json::from_slice(&self.body).map_err(|error| malformed(key, error.to_string()))
    }

    /// Parses the object's version from the `ETag` header.
    pub fn version(&self, key: &str) -> Result<ObjectVersion, PlatformError> {
        let etag = self.etag.as_deref().unwrap_or_default();
        etag.trim_matches('"')
            .parse()
            .map(ObjectVersion)
            .map_err(|_| malformed(key, format!("version \"{etag}\" is not a number")))
    }

    /// Returns the error for a status that the protocol does not define for the call. After a
    /// server error the outcome of the call is unknown.
    pub fn unexpected_status(&self, key: &str) -> PlatformError {
        if self.status.is_server_error() {
            return PlatformError::Unsettled {
                key: key.to_owned(),
            };
        }
        malformed(key, format!("unexpected status {}", self.status.as_u16()))
    }
}

fn malformed(key: &str, detail: String) -> PlatformError {
    PlatformError::Malformed {
        key: key.to_owned(),
        detail,
    }
}
