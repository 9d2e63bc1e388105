//! Calls to model engines.

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

/// The largest body of a plain answer, in bytes.
const MAX_ANSWER_BYTES: usize = 4_194_304;

/// Calls engines over the connections of one thread.
#[derive(Clone)]
pub struct EngineClient {
    pool: Rc<ClientPool>,
}

impl EngineClient {
    /// A client over the given connections.
    pub fn new(pool: Rc<ClientPool>) -> Self {
        Self { pool }
    }

    /// Holds a slot of a decode engine.
    pub async fn reserve(
        &self,
        address: SocketAddr,
        order: &ReserveRequest,
        within: Duration,
    ) -> Result<ReserveAnswer, EngineFailure> {
        self.post(address, "/v1/reservations", order, within).await
    }

    /// Runs a prefill; returns when it has ended.
    pub async fn prefill(
        &self,
        address: SocketAddr,
        order: &PrefillRequest,
        within: Duration,
    ) -> Result<PrefillAnswer, EngineFailure> {
        self.post(address, "/v1/prefills", order, within).await
    }

    /// Opens a stream; returns when the engine has accepted it.
    pub async fn open_stream(
        &self,
        address: SocketAddr,
        order: &StreamRequest,
        within: Duration,
    ) -> Result<EventReader, EngineFailure> {
        let request = self.pool.client(address).post(url(address, "/v1/streams"));
        let response = self
            .answered(address, within, request.send_json(order))
            .await?;
        Ok(EventReader::new(response.boxed_local()))
    }

    /// Frees what an attempt holds.
    pub async fn cancel(
        &self,
        address: SocketAddr,
        order: &CancelRequest,
        within: Duration,
    ) -> Result<(), EngineFailure> {
        let request = self.pool.client(address).post(url(address, "/v1/cancels"));
        self.answered(address, within, request.send_json(order))
            .await?;
        Ok(())
    }

    /// Reads the engine's load.
    pub async fn load(
        &self,
        address: SocketAddr,
        within: Duration,
    ) -> Result<LoadReport, EngineFailure> {
        self.get(address, "/v1/load", within).await
    }

    /// Reads the cache events after a number.
    pub async fn cache_events(
        &self,
        address: SocketAddr,
        after: u64,
        within: Duration,
    ) -> Result<CacheEvents, EngineFailure> {
        self.get(address, &format!("/v1/cache-events?after={after}"), within)
            .await
    }

    /// Lists what the engine holds.
    pub async fn held(
        &self,
        address: SocketAddr,
        within: Duration,
    ) -> Result<Vec<HeldResource>, EngineFailure> {
        self.get(address, "/v1/held", within).await
    }

    async fn get<A: DeserializeOwned>(
        &self,
        address: SocketAddr,
        path: &str,
        within: Duration,
    ) -> Result<A, EngineFailure> {
        let request = self.pool.client(address).get(url(address, path));
        let response = self.answered(address, within, request.send()).await?;
        let body = self.read_body(address, within, response).await?;
        telemetry::count_engine_poll(body.len());
        parse(&body)
    }

    async fn post<B: Serialize, A: DeserializeOwned>(
        &self,
        address: SocketAddr,
        path: &str,
        body: &B,
        within: Duration,
    ) -> Result<A, EngineFailure> {
        let request = self.pool.client(address).post(url(address, path));
        let response = self
            .answered(address, within, request.send_json(body))
            .await?;
        self.read_json(address, within, response).await
    }

    /// Waits for the head of an answer and turns every status but 200 into a failure.
    async fn answered(
        &self,
        address: SocketAddr,
        within: Duration,
        sending: awc::SendClientRequest,
    ) -> Result<EngineResponse, EngineFailure> {
        let Ok(answer) = timeout(within, sending).await else {
            return Err(self.silent(address, within));
        };
        let response = answer.map_err(|error| failure_of(&error))?;
        if response.status().is_success() {
            return Ok(response);
        }
        let status = response.status();
        let refusal: Result<EngineRefusal, _> = self.read_json(address, within, response).await;
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
        within: Duration,
        response: EngineResponse,
    ) -> Result<A, EngineFailure> {
        parse(&self.read_body(address, within, response).await?)
    }

    async fn read_body(
        &self,
        address: SocketAddr,
        within: Duration,
        mut response: EngineResponse,
    ) -> Result<Bytes, EngineFailure> {
        let Ok(body) = timeout(within, response.body().limit(MAX_ANSWER_BYTES)).await else {
            return Err(self.silent(address, within));
        };
        body.map_err(|error| EngineFailure::Broken {
            detail: error.to_string(),
        })
    }

    /// Records a silence: the other connections to the server are no longer used.
    fn silent(&self, address: SocketAddr, waited: Duration) -> EngineFailure {
        self.pool.distrust(address);
        let waited_ms = u64::try_from(waited.as_millis()).unwrap_or(u64::MAX);
        EngineFailure::Silent { waited_ms }
    }
}

/// How a call failed that got no answer.
fn failure_of(error: &SendRequestError) -> EngineFailure {
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
