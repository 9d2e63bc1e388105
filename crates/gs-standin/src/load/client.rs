//! The HTTP client of one thread.

use std::net::SocketAddr;
use std::time::Duration;

use awc::Client;
use serde::de::DeserializeOwned;

use super::error::LoadError;

/// Time limit for connecting.
const CONNECT_TIMEOUT: Duration = Duration::from_secs(2);

/// Time for which an idle connection is kept for reuse.
const IDLE_TIMEOUT: Duration = Duration::from_secs(3);

/// Largest accepted answer of a control call, in bytes.
const ANSWER_LIMIT: usize = 64 * 1024 * 1024;

/// Time limit of a control call.
const CONTROL_TIMEOUT: Duration = Duration::from_secs(5);

/// Builds a client without limits on the number of connections or the duration of requests.
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

/// Sends a GET request and parses the answer as JSON.
pub async fn get_json<T: DeserializeOwned>(
    client: &Client,
    address: SocketAddr,
    path: &str,
    token: Option<&str>,
) -> Result<T, LoadError> {
    let no_answer = || LoadError::NoAnswer {
        address,
        path: path.to_owned(),
    };
    let mut call = client
        .get(format!("http://{address}{path}"))
        .timeout(CONTROL_TIMEOUT);
    if let Some(token) = token {
        call = call.bearer_auth(token);
    }
    let mut answer = call.send().await.map_err(|_| no_answer())?;
    let body = answer.body().limit(ANSWER_LIMIT).await;
    let body = body.map_err(|_| no_answer())?;
    serde_json::from_slice(&body).map_err(|_| no_answer())
}
