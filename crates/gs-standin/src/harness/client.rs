//! HTTP client for the processes of a test deployment.

use std::net::SocketAddr;
use std::time::Duration;

use awc::{Client, Connector};
use bytes::Bytes;
use gs_protocol::refusal::ProblemBody;
use serde::Serialize;
use serde::de::DeserializeOwned;
use serde_json::{Value, json};

use super::HarnessError;

/// Time limit of one call.
const CALL_TIMEOUT: Duration = Duration::from_secs(60);

/// Largest accepted answer body, in bytes.
const MAX_BODY_BYTES: usize = 16_777_216;

/// An HTTP answer whose body has been read to its end.
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
    /// Returns the value of a header; `name` is in lower case.
    pub fn header(&self, name: &str) -> Option<&str> {
        self.headers
            .iter()
            .find(|(header, _)| header == name)
            .map(|(_, value)| value.as_str())
    }

    /// Parses the body as JSON.
    pub fn json<T: DeserializeOwned>(&self) -> Result<T, HarnessError> {
        serde_json::from_slice(&self.body).map_err(|error| HarnessError::Call {
            path: String::new(),
            detail: format!("{error} in {}", String::from_utf8_lossy(&self.body)),
        })
    }

    /// Parses the body as a refusal.
    pub fn parse_problem(&self) -> Result<ProblemBody, HarnessError> {
        self.json()
    }

    /// Parses the body as a stream of completion events. If the status is not 2xx, the result's
    /// error holds the status and the body.
    pub fn parse_stream(&self) -> StreamedText {
        let mut text = StreamedText::parse(&self.body);
        if !(200..300).contains(&self.status) {
            let body = String::from_utf8_lossy(&self.body);
            text.error = Some(json!({ "status": self.status, "body": body }));
        }
        text
    }
}

/// The tokens of a streamed completion and how the stream ended.
#[derive(Clone, Debug, Default, PartialEq)]
pub struct StreamedText {
    /// The text of each token.
    pub tokens: Vec<String>,
    /// Whether the stream ended with `[DONE]`.
    pub complete: bool,
    /// The error event that ended the stream, or the status and body of an answer that is not 2xx.
    pub error: Option<Value>,
}

impl StreamedText {
    /// Parses the server-sent events of a body.
    pub fn parse(body: &[u8]) -> Self {
        let mut text = Self::default();
        let body = String::from_utf8_lossy(body);
        for data in body.lines().filter_map(|line| line.strip_prefix("data: ")) {
            text.apply_event(data);
        }
        text
    }

    fn apply_event(&mut self, data: &str) {
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

/// Sends HTTP requests to the processes of a deployment, each on a connection of its own.
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
                .timeout(CALL_TIMEOUT)
                .finish(),
        }
    }
}

impl HarnessClient {
    /// Sends a GET request and parses the answer as JSON.
    pub async fn get<T: DeserializeOwned>(
        &self,
        address: SocketAddr,
        path: &str,
    ) -> Result<T, HarnessError> {
        self.call(address, "GET", path, &[], Bytes::new())
            .await?
            .json()
    }

    /// Posts JSON; an answer with a status of 300 or above is an error.
    pub async fn post<B: Serialize>(
        &self,
        address: SocketAddr,
        path: &str,
        body: &B,
    ) -> Result<CallerAnswer, HarnessError> {
        let body = serde_json::to_vec(body).map_err(|error| call_error(path, error.to_string()))?;
        let headers = [("content-type", "application/json")];
        let answer = self
            .call(address, "POST", path, &headers, body.into())
            .await?;
        if answer.status >= 300 {
            let body = String::from_utf8_lossy(&answer.body);
            return Err(call_error(
                path,
                format!("status {}: {body}", answer.status),
            ));
        }
        Ok(answer)
    }

    /// Sends a request with the given method, headers and body, and returns the answer whatever its
    /// status is.
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
            .map_err(|_| call_error(path, format!("HTTP method {method} is invalid")))?;
        let mut request = self
            .client
            .request(method, format!("http://{address}{path}"));
        for &(name, value) in headers {
            request = request.insert_header((name, value));
        }
        let sent = request.send_body(body).await;
        let mut response = sent.map_err(|error| call_error(path, error.to_string()))?;
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
        let body = body.map_err(|error| call_error(path, error.to_string()))?;
        Ok(CallerAnswer {
            status: response.status().as_u16(),
            headers,
            body,
        })
    }

    /// Posts JSON with the bearer token of a caller.
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
        let body = serde_json::to_vec(body).map_err(|error| call_error(path, error.to_string()))?;
        self.call(address, "POST", path, &headers, body.into())
            .await
    }
}

fn call_error(path: &str, detail: String) -> HarnessError {
    HarnessError::Call {
        path: path.to_owned(),
        detail,
    }
}
