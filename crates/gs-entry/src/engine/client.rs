//! Client for the HTTP interface of model engines.

use std::io::ErrorKind;
use std::net::SocketAddr;
use std::rc::Rc;
use std::time::Duration;

use awc::error::{ConnectError, SendRequestError};
use bytes::Bytes;
use futures_util::StreamExt;
use gs_protocol::engine::{
    CacheEvents, CancelRequest, EngineRefusal, HeldResource, LoadReport, PrefillAnswer,
    PrefillRequest, ReserveAnswer, ReserveRequest, StreamRequest,
};
use serde::Serialize;
use serde::de::DeserializeOwned;
use tokio::time::timeout;

use super::{ClientPool, EngineFailure, EventReader};
use crate::telemetry;

/// Maximum size of the body of an answer that is not streamed, in bytes.
const MAX_ANSWER_BYTES: usize = 4_194_304;

/// Calls engines over the connection pool of one thread.
#[derive(Clone)]
pub struct EngineClient {
    pool: Rc<ClientPool>,
}

impl EngineClient {
    /// Creates a client that uses a connection pool.
    pub fn new(pool: Rc<ClientPool>) -> Self {
        Self { pool }
    }

    /// Reserves a slot of a decode engine.
    pub async fn reserve(
        &self,
        address: SocketAddr,
        body: &ReserveRequest,
        time_limit: Duration,
    ) -> Result<ReserveAnswer, EngineFailure> {
        self.post(address, "/v1/reservations", body, time_limit)
            .await
    }

    /// Runs a prefill and returns when it has ended.
    pub async fn prefill(
        &self,
        address: SocketAddr,
        body: &PrefillRequest,
        time_limit: Duration,
    ) -> Result<PrefillAnswer, EngineFailure> {
        self.post(address, "/v1/prefills", body, time_limit).await
    }

    /// Opens a stream and returns when the engine has accepted it.
    pub async fn open_stream(
        &self,
        address: SocketAddr,
        body: &StreamRequest,
        time_limit: Duration,
    ) -> Result<EventReader, EngineFailure> {
        let request = self.pool.client(address).post(url(address, "/v1/streams"));
        let response = self
            .receive_response(address, time_limit, request.send_json(body))
            .await?;
        Ok(EventReader::new(response.boxed_local()))
    }

    /// Releases all resources of an attempt.
    pub async fn cancel(
        &self,
        address: SocketAddr,
        body: &CancelRequest,
        time_limit: Duration,
    ) -> Result<(), EngineFailure> {
        let request = self.pool.client(address).post(url(address, "/v1/cancels"));
        self.receive_response(address, time_limit, request.send_json(body))
            .await?;
        Ok(())
    }

    /// Reads the engine's load report.
    pub async fn load(
        &self,
        address: SocketAddr,
        time_limit: Duration,
    ) -> Result<LoadReport, EngineFailure> {
        self.get(address, "/v1/load", time_limit).await
    }

    /// Reads the cache events with numbers above `after`.
    pub async fn cache_events(
        &self,
        address: SocketAddr,
        after: u64,
        time_limit: Duration,
    ) -> Result<CacheEvents, EngineFailure> {
        self.get(
            address,
            &format!("/v1/cache-events?after={after}"),
            time_limit,
        )
        .await
    }

    /// Lists the resources that the engine holds for attempts.
    pub async fn held(
        &self,
        address: SocketAddr,
        time_limit: Duration,
    ) -> Result<Vec<HeldResource>, EngineFailure> {
        self.get(address, "/v1/held", time_limit).await
    }

    async fn get<A: DeserializeOwned>(
        &self,
        address: SocketAddr,
        path: &str,
        time_limit: Duration,
    ) -> Result<A, EngineFailure> {
        let request = self.pool.client(address).get(url(address, path));
        let response = self
            .receive_response(address, time_limit, request.send())
            .await?;
        let body = self.read_body(address, time_limit, response).await?;
        telemetry::count_engine_poll(body.len());
        parse(&body)
    }

    async fn post<B: Serialize, A: DeserializeOwned>(
        &self,
        address: SocketAddr,
        path: &str,
        body: &B,
        time_limit: Duration,
    ) -> Result<A, EngineFailure> {
        let request = self.pool.client(address).post(url(address, path));
        let response = self
            .receive_response(address, time_limit, request.send_json(body))
            .await?;
        self.read_json(address, time_limit, response).await
    }

    /// Waits for the head of a response and converts statuses outside 200 to 299 to failures.
    async fn receive_response(
        &self,
        address: SocketAddr,
        time_limit: Duration,
        sending: awc::SendClientRequest,
    ) -> Result<EngineResponse, EngineFailure> {
        let Ok(answer) = timeout(time_limit, sending).await else {
            return Err(self.handle_silence(address, time_limit));
        };
        let response = answer.map_err(|error| send_failure(&error))?;
        if response.status().is_success() {
            return Ok(response);
        }
        let status = response.status();
        let refusal: Result<EngineRefusal, _> = self.read_json(address, time_limit, response).await;
        match refusal {
            Ok(refusal) => Err(EngineFailure::Refused(refusal.reason)),
            Err(_) => Err(EngineFailure::Malformed {
                detail: format!("status {status}"),
            }),
        }
    }

    async fn read_json<A: DeserializeOwned>(
        &self,
        address: SocketAddr,
        time_limit: Duration,
        response: EngineResponse,
    ) -> Result<A, EngineFailure> {
        parse(&self.read_body(address, time_limit, response).await?)
    }

    async fn read_body(
        &self,
        address: SocketAddr,
        time_limit: Duration,
        mut response: EngineResponse,
    ) -> Result<Bytes, EngineFailure> {
        let Ok(body) = timeout(time_limit, response.body().limit(MAX_ANSWER_BYTES)).await else {
            return Err(self.handle_silence(address, time_limit));
        };
        body.map_err(|error| EngineFailure::Broken {
            detail: error.to_string(),
        })
    }

    /// Discards the pooled connections to a server that did not answer in time, and returns the
    /// failure.
    fn handle_silence(&self, address: SocketAddr, waited: Duration) -> EngineFailure {
        self.pool.discard_connections(address);
        let waited_ms = u64::try_from(waited.as_millis()).unwrap_or(u64::MAX);
        EngineFailure::Silent { waited_ms }
    }
}

/// Converts a send error to a failure.
fn send_failure(error: &SendRequestError) -> EngineFailure {
    if let SendRequestError::Connect(ConnectError::Io(error)) = error
        && error.kind() == ErrorKind::ConnectionRefused
    {
        return EngineFailure::Unreachable;
    }
    EngineFailure::Broken {
        detail: error.to_string(),
    }
}

type EngineResponse = awc::ClientResponse;

fn parse<A: DeserializeOwned>(body: &[u8]) -> Result<A, EngineFailure> {
    serde_json::from_slice(body).map_err(|error| EngineFailure::Malformed {
        detail: error.to_string(),
    })
}

fn url(address: SocketAddr, path: &str) -> String {
    format!("http://{address}{path}")
}
