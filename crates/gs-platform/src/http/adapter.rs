//! Maps platform calls to HTTP requests and their answers to results.

use std::net::SocketAddr;
use std::time::Duration;

use actix_web::http::{Method, StatusCode, header};
use awc::{Client, ClientRequest, Connector};
use bytes::Bytes;
use gs_protocol::ids::ObjectVersion;
use gs_protocol::platform::{ObjectList, WatchAnswer, WriteAnswer};
use gs_protocol::vm::VmRecord;
use percent_encoding::{AsciiSet, NON_ALPHANUMERIC, utf8_percent_encode};
use serde::Serialize;
use serde_json::value::RawValue;

use super::exchange::{Exchange, Reply};
use crate::memory::check_size;
use crate::{ObjectValue, Platform, PlatformError, WriteCondition};

/// The characters that are percent-encoded in a key: all except letters, digits, `/`, `-`, `_`,
/// `.`, `:` and `~`.
const KEY_ESCAPES: &AsciiSet = &NON_ALPHANUMERIC
    .remove(b'/')
    .remove(b'-')
    .remove(b'_')
    .remove(b'.')
    .remove(b':')
    .remove(b'~');

/// Options of [`HttpPlatform`].
#[derive(Clone, Copy, Debug)]
pub struct HttpPlatformOptions {
    /// The platform's address.
    pub address: SocketAddr,
    /// The time-out for establishing a connection.
    pub connect_timeout: Duration,
    /// The time-out for a complete answer. A watch may take this long in addition to its own
    /// time-out.
    pub answer_timeout: Duration,
    /// The maximum number of open connections; further calls wait for a free one.
    pub connections: usize,
}

impl HttpPlatformOptions {
    /// Creates options with the default time-outs and connection limit.
    pub fn new(address: SocketAddr) -> Self {
        Self {
            address,
            connect_timeout: Duration::from_millis(500),
            answer_timeout: Duration::from_secs(2),
            connections: 64,
        }
    }
}

/// A [`Platform`] over HTTP. A connection whose answer timed out is closed and never reused.
pub struct HttpPlatform {
    client: Client,
    options: HttpPlatformOptions,
}

#[derive(Serialize)]
struct PrefixQuery<'a> {
    prefix: &'a str,
}

#[derive(Serialize)]
#[serde(rename_all = "camelCase")]
struct WatchQuery<'a> {
    prefix: &'a str,
    after: u64,
    timeout_ms: u64,
}

impl HttpPlatform {
    /// Creates a client that can be used only on the current thread.
    pub fn new(options: HttpPlatformOptions) -> Self {
        let connector = Connector::new()
            .timeout(options.connect_timeout)
            .limit(options.connections);
        let client = Client::builder()
            .connector(connector)
            .disable_redirects()
            .timeout(options.answer_timeout)
            .finish();
        Self { client, options }
    }

    fn request(&self, method: Method, path: &str) -> ClientRequest {
        let url = format!("http://{}{path}", self.options.address);
        self.client.request(method, url)
    }

    fn object_request(&self, method: Method, key: &str) -> ClientRequest {
        let path = utf8_percent_encode(key, KEY_ESCAPES);
        self.request(method, &format!("/objects/{path}"))
    }

    fn exchange<'a>(&self, key: &'a str) -> Exchange<'a> {
        Exchange {
            key,
            address: self.options.address,
            timeout: self.options.answer_timeout,
        }
    }
}

impl Platform for HttpPlatform {
    async fn read(&self, key: &str) -> Result<Option<ObjectValue>, PlatformError> {
        let exchange = self.exchange(key);
        let request = self.object_request(Method::GET, key);
        let reply = exchange.send(request, Bytes::new()).await?;
        match reply.status {
            StatusCode::OK => Ok(Some(ObjectValue {
                version: reply.version(key)?,
                value: reply.body,
            })),
            StatusCode::NOT_FOUND => Ok(None),
            _ => Err(reply.unexpected_status(key)),
        }
    }

    async fn write(
        &self,
        key: &str,
        value: Bytes,
        condition: WriteCondition,
    ) -> Result<ObjectVersion, PlatformError> {
        check_size(key, &value)?;
        let request = self.object_request(Method::PUT, key);
        let (request, expected) = match condition {
            WriteCondition::Absent => (request.insert_header((header::IF_NONE_MATCH, "*")), None),
            WriteCondition::Version(version) => (with_version(request, version), Some(version)),
        };
        let reply = self.exchange(key).send(request, value).await?;
        match reply.status {
            StatusCode::OK => parse_written_version(&reply, key),
            StatusCode::PRECONDITION_FAILED => Err(conflict(key, expected)),
            _ => Err(reply.unexpected_status(key)),
        }
    }

    async fn remove(&self, key: &str, version: ObjectVersion) -> Result<(), PlatformError> {
        let request = with_version(self.object_request(Method::DELETE, key), version);
        let reply = self.exchange(key).send(request, Bytes::new()).await?;
        match reply.status {
            StatusCode::OK => Ok(()),
            StatusCode::NOT_FOUND | StatusCode::PRECONDITION_FAILED => {
                Err(conflict(key, Some(version)))
            }
            _ => Err(reply.unexpected_status(key)),
        }
    }

    async fn list(&self, prefix: &str) -> Result<ObjectList, PlatformError> {
        let request = with_query(
            self.request(Method::GET, "/objects"),
            prefix,
            &PrefixQuery { prefix },
        )?;
        let reply = self.exchange(prefix).send(request, Bytes::new()).await?;
        parse_ok(&reply, prefix)
    }

    async fn watch(
        &self,
        prefix: &str,
        after: u64,
        timeout: Duration,
    ) -> Result<WatchAnswer, PlatformError> {
        let query = WatchQuery {
            prefix,
            after,
            timeout_ms: u64::try_from(timeout.as_millis()).unwrap_or(u64::MAX),
        };
        let request = with_query(self.request(Method::GET, "/watch"), prefix, &query)?;
        let mut exchange = self.exchange(prefix);
        exchange.timeout += timeout;
        let reply = exchange.send(request, Bytes::new()).await?;
        parse_ok(&reply, prefix)
    }

    async fn list_vms(&self) -> Result<Vec<VmRecord>, PlatformError> {
        let request = self.request(Method::GET, "/vms");
        let reply = self.exchange("vms").send(request, Bytes::new()).await?;
        let records: Vec<Box<RawValue>> = parse_ok(&reply, "vms")?;
        Ok(records.iter().filter_map(|raw| parse_vm(raw)).collect())
    }
}

/// Parses a record of the VM list; `None` if it cannot be read.
fn parse_vm(raw: &RawValue) -> Option<VmRecord> {
    match serde_json::from_str(raw.get()) {
        Ok(record) => Some(record),
        Err(error) => {
            log::warn!(target: "platform", "VM record ignored: {error}.");
            None
        }
    }
}

fn with_version(request: ClientRequest, version: ObjectVersion) -> ClientRequest {
    request.insert_header((header::IF_MATCH, format!("\"{version}\"")))
}

fn with_query(
    request: ClientRequest,
    key: &str,
    query: &impl Serialize,
) -> Result<ClientRequest, PlatformError> {
    request
        .query(query)
        .map_err(|error| PlatformError::Malformed {
            key: key.to_owned(),
            detail: error.to_string(),
        })
}

/// Parses the new version from the answer to a write. A malformed answer leaves the outcome of the
/// write unknown.
fn parse_written_version(reply: &Reply, key: &str) -> Result<ObjectVersion, PlatformError> {
    let Ok(answer) = reply.parse::<WriteAnswer>(key) else {
        return Err(PlatformError::Unsettled {
            key: key.to_owned(),
        });
    };
    Ok(answer.version)
}

fn conflict(key: &str, expected: Option<ObjectVersion>) -> PlatformError {
    PlatformError::Conflict {
        key: key.to_owned(),
        expected,
    }
}

fn parse_ok<T: serde::de::DeserializeOwned>(reply: &Reply, key: &str) -> Result<T, PlatformError> {
    match reply.status {
        StatusCode::OK => reply.parse(key),
        _ => Err(reply.unexpected_status(key)),
    }
}
