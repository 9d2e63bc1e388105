//! The HTTP client of one thread.

use std::net::SocketAddr;
use std::time::Duration;

use awc::Client;
use serde::de::DeserializeOwned;

use super::error::LoadError;

/// How long connecting may take.
const CONNECT_TIMEOUT: Duration = Duration::from_secs(2);

/// How long an idle connection may be used again.
const IDLE_TIMEOUT: Duration = Duration::from_secs(3);

/// Bytes of an answer from a control call at most.
const ANSWER_LIMIT: usize = 64 * 1024 * 1024;

/// How long a control call may take.
const CONTROL_TIMEOUT: Duration = Duration::from_secs(5);

/// Builds a client without a limit on connections or time.
pub fn build_client() -> Client {
    let connector = awc::Connector::new()
        .timeout(CONNECT_TIMEOUT)
        .conn_keep_alive(IDLE_TIMEOUT)
        .limit(0);
    Client::builder()
        .connector(connector)
        .disable_timeout()
        .finish()
}

/// Gets a JSON value.
pub async fn get_json<T: DeserializeOwned>(
    client: &Client,
    address: SocketAddr,
    path: &str,
    token: Option<&str>,
) -> Result<T, LoadError> {
    let missing = || LoadError::NoAnswer {
        address,
        path: path.to_owned(),
    };
    let mut call = client
        .get(format!("http://{address}{path}"))
        .timeout(CONTROL_TIMEOUT);
    if let Some(token) = token {
        call = call.bearer_auth(token);
    }
    let mut answer = call.send().await.map_err(|_| missing())?;
    let body = answer.body().limit(ANSWER_LIMIT).await;
    let body = body.map_err(|_| missing())?;
    serde_json::from_slice(&body).map_err(|_| missing())
}
