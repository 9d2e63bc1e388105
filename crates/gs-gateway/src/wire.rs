//! What the gateway needs to know of the protocol between clients, entries and servers.

use std::net::SocketAddr;
use std::time::Duration;

use bytes::Bytes;
use gs_control::forwarding::ServerStage;
use gs_protocol::ids::{EntryName, ServerName};
use http_body_util::Full;
use hyper::header::{HeaderMap, HeaderValue};
use hyper::{Method, Request, http};

/// A request that is no proper request.
#[derive(Debug, Eq, thiserror::Error, PartialEq)]
pub enum RequestError {
    /// It has no identity.
    #[error("the request has no identity")]
    MissingRequestId,
    /// It names no host.
    #[error("the request names no host")]
    MissingHost,
    /// A header cannot be read.
    #[error("the header {name} cannot be read")]
    UnreadableHeader {
        /// The header.
        name: &'static str,
    },
}

/// What a client says of a generation.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub struct GenerationParams {
    /// Tokens of the prompt.
    pub prompt_tokens: u64,
    /// Tokens to generate at most.
    pub max_output_tokens: u64,
    /// Tokens that the client expects; right at the median only.
    pub length_hint: Option<u64>,
}

/// What a client says of its request.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct RequestMetadata {
    /// The identity of this client attempt.
    pub request: String,
    /// The host.
    pub host: String,
    /// How long the client will wait.
    pub deadline: Option<Duration>,
    /// Set for generations.
    pub generation: Option<GenerationParams>,
    /// The last event that the client has got, if it resumes a stream.
    pub resume: Option<ResumePoint>,
}

/// The identity of the last event that was delivered.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct ResumePoint(pub String);

/// The result of a prefill and where it lies.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct KvSource {
    /// The engine that keeps it.
    pub address: SocketAddr,
    /// Its name there.
    pub handle: String,
}

/// What a server is to do with a request.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum ServerTask<'a> {
    /// Run it.
    Run,
    /// Read the prompt only.
    Prefill,
    /// Generate, from a prefill's result if there is one.
    Decode(Option<&'a KvSource>),
}

/// What the gateway adds to a client's request.
#[derive(Clone, Copy, Debug)]
pub struct ForwardOptions<'a> {
    /// The server that is meant; another one at the address refuses.
    pub server: &'a ServerName,
    /// What it is to do.
    pub task: ServerTask<'a>,
    /// The time that is left.
    pub deadline: Duration,
    /// The place in an engine's queue; 0 is first.
    pub priority: Option<u8>,
    /// The event after which a stream goes on.
    pub resume: Option<&'a ResumePoint>,
}

/// What a prefill brought.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct PrefillResult {
    /// The name of the result at its engine.
    pub handle: String,
}

/// A call without a body to an engine, which belongs to no request.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct EngineCall {
    /// The method.
    pub method: Method,
    /// The path.
    pub path: String,
}

/// An order to an engine to change its stage.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub struct StageOrder<'a> {
    /// The engine that is meant; another one at the address refuses.
    pub server: &'a ServerName,
    /// Where it is reached.
    pub address: SocketAddr,
    /// What it is to do.
    pub stage: ServerStage,
    /// Who orders it.
    pub holder: &'a EntryName,
    /// Larger than that of every earlier order of any holder.
    pub fence: u64,
}

/// What an answer's head says.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum AnswerClass {
    /// The server's success.
    Success,
    /// The server ran the request and failed.
    ServerFailure,
    /// The server did not run the request.
    NotExecuted,
    /// Another server has the address; the request did not run.
    Misdirected,
    /// It belongs to no request, or not to this one.
    Foreign,
}

/// How requests and answers are spelled.
pub trait ServerWire {
    /// Reads the head of a client's request.
    fn parse_request(&self, head: &http::request::Parts) -> Result<RequestMetadata, RequestError>;

    /// The headers of a request to a server: the client's own that concern both ends, and the order.
    fn server_headers(&self, client: &HeaderMap, order: &ForwardOptions<'_>) -> HeaderMap;

    /// Judges the head of an answer to a request.
    fn classify_answer(&self, head: &http::response::Parts, request: &str) -> AnswerClass;

    /// Judges the head of an answer to a prefill.
    fn classify_prefill(&self, head: &http::response::Parts) -> AnswerClass;

    /// Reads the body of an answer to a prefill; `None` if it is none.
    fn parse_prefill(&self, body: &[u8]) -> Option<PrefillResult>;

    /// The call that orders an engine to another stage.
    fn stage_request(&self, order: &StageOrder<'_>) -> Request<Full<Bytes>>;

    /// The call that frees a prefill's result.
    fn release_call(&self, handle: &str) -> EngineCall;

    /// The header that says when to come back, and its value.
    fn retry_after(&self, after: Duration) -> (hyper::header::HeaderName, HeaderValue);

    /// The headers of a server's answer that go to the client.
    fn client_headers(&self, server: &HeaderMap) -> HeaderMap;
}
