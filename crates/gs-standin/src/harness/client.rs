//! Calls the processes of a rig.

use std::net::SocketAddr;
use std::time::Duration;

use awc::{Client, Connector};
use bytes::Bytes;
use gs_protocol::refusal::ProblemBody;
use serde::Serialize;
use serde::de::DeserializeOwned;
use serde_json::{Value, json};

use super::HarnessError;

/// How long one call may take.
const PATIENCE: Duration = Duration::from_secs(60);

/// The largest body of an answer, in bytes.
const MAX_BODY_BYTES: usize = 16_777_216;

/// What a caller got.
#[derive(Clone, Debug)]
pub struct CallerAnswer {
    /// The HTTP status.
    pub status: u16,
    /// The headers.
    pub headers: Vec<(String, String)>,
    /// The body.
    pub body: Bytes,
}

impl CallerAnswer {
    /// A header's value.
    pub fn header(&self, name: &str) -> Option<&str> {
        self.headers
            .iter()
            .find(|(found, _)| found == name)
            .map(|(_, value)| value.as_str())
    }

    /// The body as JSON.
    pub fn json<T: DeserializeOwned>(&self) -> Result<T, HarnessError> {
        serde_json::from_slice(&self.body).map_err(|error| HarnessError::Call {
            path: String::new(),
            detail: format!("{error} in {}", String::from_utf8_lossy(&self.body)),
        })
    }

    /// The body as a refusal.
    pub fn parse_problem(&self) -> Result<ProblemBody, HarnessError> {
        self.json()
    }

    /// The body as a stream of completion events. An answer that is no success is an error of the stream, with
    /// its status and body.
    pub fn parse_stream(&self) -> StreamedText {
        let mut text = StreamedText::read(&self.body);
        if !(200..300).contains(&self.status) {
            let body = String::from_utf8_lossy(&self.body);
            text.error = Some(json!({ "status": self.status, "body": body }));
        }
        text
    }
}

/// What a streamed completion brought.
#[derive(Clone, Debug, Default, PartialEq)]
pub struct StreamedText {
    /// The text of each token.
    pub tokens: Vec<String>,
    /// Whether the stream said that it is whole.
    pub complete: bool,
    /// The error that ended the stream.
    pub error: Option<Value>,
}

impl StreamedText {
    /// Reads the events of a body.
    pub fn read(body: &[u8]) -> Self {
        let mut text = Self::default();
        let body = String::from_utf8_lossy(body);
        for data in body.lines().filter_map(|line| line.strip_prefix("data: ")) {
            text.take(data);
        }
        text
    }

    fn take(&mut self, data: &str) {
        if data == "[DONE]" {
            self.complete = true;
            return;
        }
        let Ok(mut event) = serde_json::from_str::<Value>(data) else {
            return;
        };
        if let Some(error) = event.get_mut("error") {
            self.error = Some(error.take());
            return;
        }
        let choice = &event["choices"][0];
        let token = choice["text"]
            .as_str()
            .or(choice["delta"]["content"].as_str());
        if let (Some(token), true) = (token, choice["finish_reason"].is_null()) {
            self.tokens.push(token.to_owned());
        }
    }
}

/// Calls processes as callers, operators and checkers do.
#[derive(Clone)]
pub struct HarnessClient {
    client: Client,
}

impl Default for HarnessClient {
    fn default() -> Self {
        let connector = Connector::new().limit(0).conn_keep_alive(Duration::ZERO);
        Self {
            client: Client::builder()
                .connector(connector)
                .timeout(PATIENCE)
                .finish(),
        }
    }
}

impl HarnessClient {
    /// Reads JSON.
    pub async fn get<T: DeserializeOwned>(
        &self,
        address: SocketAddr,
        path: &str,
    ) -> Result<T, HarnessError> {
        self.call(address, "GET", path, &[], Bytes::new())
            .await?
            .json()
    }

    /// Posts JSON and expects success.
    pub async fn post<B: Serialize>(
        &self,
        address: SocketAddr,
        path: &str,
        body: &B,
    ) -> Result<CallerAnswer, HarnessError> {
        let body = serde_json::to_vec(body).map_err(|error| failed(path, error.to_string()))?;
        let headers = [("content-type", "application/json")];
        let answer = self
            .call(address, "POST", path, &headers, body.into())
            .await?;
        if answer.status >= 300 {
            let body = String::from_utf8_lossy(&answer.body);
            return Err(failed(path, format!("status {}: {body}", answer.status)));
        }
        Ok(answer)
    }

    /// Calls with any method, headers and body, and returns any answer.
    pub async fn call(
        &self,
        address: SocketAddr,
        method: &str,
        path: &str,
        headers: &[(&str, &str)],
        body: Bytes,
    ) -> Result<CallerAnswer, HarnessError> {
        let method = method
            .parse()
            .map_err(|_| failed(path, format!("method {method}")))?;
        let mut request = self
            .client
            .request(method, format!("http://{address}{path}"));
        for &(name, value) in headers {
            request = request.insert_header((name, value));
        }
        let sent = request.send_body(body).await;
        let mut response = sent.map_err(|error| failed(path, error.to_string()))?;
        let headers = response
            .headers()
            .iter()
            .map(|(name, value)| {
                (
                    name.as_str().to_owned(),
                    value.to_str().unwrap_or_default().to_owned(),
                )
            })
            .collect();
        let body = response.body().limit(MAX_BODY_BYTES).await;
        let body = body.map_err(|error| failed(path, error.to_string()))?;
        Ok(CallerAnswer {
            status: response.status().as_u16(),
            headers,
            body,
        })
    }

    /// Posts JSON as a caller with a bearer token.
    pub async fn post_as<B: Serialize>(
        &self,
        address: SocketAddr,
        path: &str,
        token: &str,
        body: &B,
    ) -> Result<CallerAnswer, HarnessError> {
        let bearer = format!("Bearer {token}");
        let headers = [
            ("authorization", bearer.as_str()),
            ("content-type", "application/json"),
        ];
        let body = serde_json::to_vec(body).map_err(|error| failed(path, error.to_string()))?;
        self.call(address, "POST", path, &headers, body.into())
            .await
    }
}

fn failed(path: &str, detail: String) -> HarnessError {
    HarnessError::Call {
        path: path.to_owned(),
        detail,
    }
}
