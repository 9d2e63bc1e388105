//! One call and its answer, with every failure mapped to what it leaves open.

use std::net::SocketAddr;
use std::time::Duration;

use actix_web::http::{StatusCode, header};
use awc::ClientRequest;
use awc::error::{ConnectError, SendRequestError};
use bytes::Bytes;
use gs_protocol::ids::ObjectVersion;
use serde::de::DeserializeOwned;

use crate::PlatformError;

/// The largest answer that is read, in bytes; a listing may be larger than one value.
const MAX_ANSWER_BYTES: usize = 64 * 1_048_576;

/// What a call is about, and how long it may take.
pub(super) struct Exchange<'a> {
    /// The key or prefix, for errors.
    pub key: &'a str,
    /// Where the service is.
    pub address: SocketAddr,
    /// How long the whole answer may take.
    pub timeout: Duration,
}

/// A whole answer.
pub(super) struct Reply {
    /// The HTTP status.
    pub status: StatusCode,
    /// The body.
    pub body: Bytes,
    etag: Option<String>,
}

impl Exchange<'_> {
    /// Sends a request and reads the whole answer.
    pub async fn send(&self, request: ClientRequest, body: Bytes) -> Result<Reply, PlatformError> {
        let exchange = self.send_untimed(request, body);
        match tokio::time::timeout(self.timeout, exchange).await {
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

    /// Only a failure to connect shows that nothing was sent. `Disconnected` also stands for a
    /// connection that ended after the request was sent.
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

    /// Parses the object's version.
    pub fn version(&self, key: &str) -> Result<ObjectVersion, PlatformError> {
        let etag = self.etag.as_deref().unwrap_or_default();
        etag.trim_matches('"')
            .parse()
            .map(ObjectVersion)
            .map_err(|_| malformed(key, format!("version \"{etag}\" is not a number")))
    }

    /// The error for a status that the protocol does not give. A server error leaves the call open.
    pub fn unexpected(&self, key: &str) -> PlatformError {
        if self.status.is_server_error() {
            return PlatformError::Unsettled {
                key: key.to_owned(),
            };
        }
        malformed(key, format!("status {}", self.status.as_u16()))
    }
}

fn malformed(key: &str, detail: String) -> PlatformError {
    PlatformError::Malformed {
        key: key.to_owned(),
        detail,
    }
}
