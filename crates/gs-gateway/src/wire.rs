//! Interface between the gateway and the protocol of clients, entries and servers.

use std::net::SocketAddr;
use std::time::Duration;

use bytes::Bytes;
use gs_control::forwarding::{KeyDigest, RequestCaller, ServerStage};
use gs_protocol::ids::{EntryName, ServerName};
use gs_protocol::suspicion::ContentHash;
use http_body_util::Full;
use hyper::header::{HeaderMap, HeaderValue};
use hyper::{Method, Request, http};

/// Why the head of a client's request is invalid.
#[derive(Debug, Eq, thiserror::Error, PartialEq)]
pub enum RequestError {
    /// The header with the request ID is missing.
    #[error("the request has no ID")]
    MissingRequestId,
    /// The host is missing.
    #[error("the request has no host")]
    MissingHost,
    /// A header has an invalid value.
    #[error("the header {name} has an invalid value")]
    InvalidHeader {
        /// Name of the header.
        name: &'static str,
    },
}

/// Token counts that a client sends with a generation request.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub struct GenerationParams {
    /// Number of prompt tokens.
    pub prompt_tokens: u64,
    /// Maximum number of tokens to generate.
    pub max_output_tokens: u64,
    /// Number of tokens that the client expects; accurate only at the median.
    pub length_hint: Option<u64>,
}

/// Metadata of a client's request, parsed from its head.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct RequestMetadata {
    /// ID of the request; each attempt of a client has its own.
    pub request_id: String,
    /// Host that the request is addressed to.
    pub host: String,
    /// Time that the client waits for the answer.
    pub deadline: Option<Duration>,
    /// Digest of the client's API key, if it sent one.
    pub api_key: Option<KeyDigest>,
    /// Token counts; set for generation requests only.
    pub generation: Option<GenerationParams>,
    /// Last event that the client has received, if it resumes a stream.
    pub resume: Option<ResumePoint>,
    /// ID of the attempt that brought the first event, if it resumes a stream.
    pub resumed_request: Option<String>,
    /// Parts of the prompt that other requests may share, in their order.
    pub shared_parts: Vec<ContentHash>,
}

/// ID of the last event that was delivered.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct ResumePoint(pub String);

/// Location of a prefill result.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct KvSource {
    /// Address of the engine that holds the result.
    pub address: SocketAddr,
    /// Handle of the result at that engine.
    pub handle: String,
}

/// Work that a server performs for a request.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum ServerTask<'a> {
    /// Run the complete request.
    Run,
    /// Process the prompt only.
    Prefill,
    /// Generate the answer, from a prefill result if there is one.
    Decode(Option<&'a KvSource>),
}

/// Information that the gateway adds to a client's request.
#[derive(Clone, Copy, Debug)]
pub struct ForwardOptions<'a> {
    /// Intended server; another server at the same address rejects the request.
    pub server: &'a ServerName,
    /// Whose request it is.
    pub caller: &'a RequestCaller,
    /// Work that the server performs.
    pub task: ServerTask<'a>,
    /// Time left for the answer.
    pub deadline: Duration,
    /// Priority in an engine's queue; 0 is the highest.
    pub priority: Option<u8>,
    /// Event after which a stream is resumed.
    pub resume: Option<&'a ResumePoint>,
}

/// Result of a prefill.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct PrefillResult {
    /// Handle of the result at its engine.
    pub handle: String,
}

/// A call without a body to an engine, independent of any client request.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct EngineCall {
    /// HTTP method.
    pub method: Method,
    /// Path at the engine.
    pub path: String,
}

/// An order to an engine to change its stage.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub struct StageOrder<'a> {
    /// Intended engine; another server at the same address rejects the order.
    pub server: &'a ServerName,
    /// Address of the engine.
    pub address: SocketAddr,
    /// Stage that the engine changes to.
    pub stage: ServerStage,
    /// Entry that sends the order.
    pub holder: &'a EntryName,
    /// Fencing number, larger than that of every earlier order of any holder.
    pub fence: u64,
}

/// Class of a server's answer, by its head.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum AnswerClass {
    /// The server ran the request successfully.
    Success,
    /// The server ran the request and it failed.
    ServerFailure,
    /// The server did not run the request.
    NotExecuted,
    /// Another server answers at this address; the request did not run.
    Misdirected,
    /// The answer belongs to another request or to none.
    Foreign,
}

/// What a server says of itself in an answer.
#[derive(Clone, Copy, Debug, Default, PartialEq)]
pub struct ServerNotice {
    /// Requests a second that it takes from all entries together, if it names a limit.
    pub limit: Option<f64>,
    /// Whether it is leaving.
    pub is_leaving: bool,
    /// Time in which it wants nothing from the entry that it has turned away.
    pub pause: Option<Duration>,
}

/// Encodes requests to servers, and parses requests of clients and answers of servers.
pub trait ServerWire {
    /// Parses the head of a client's request.
    fn parse_request(&self, head: &http::request::Parts) -> Result<RequestMetadata, RequestError>;

    /// Builds the headers of a request to a server: the client's end-to-end headers and the options. An API key is
    /// not passed on where the configuration has workspaces.
    fn server_headers(&self, client: &HeaderMap, options: &ForwardOptions<'_>) -> HeaderMap;

    /// Builds the headers of a client's request that goes through a peer: those that are end to end, also the API key,
    /// and the time that is left, if the client named a deadline.
    fn peer_headers(&self, client: &HeaderMap, deadline: Option<Duration>) -> HeaderMap;

    /// Classifies the answer to the request with the ID `request_id`, by its head.
    fn classify_answer(&self, head: &http::response::Parts, request_id: &str) -> AnswerClass;

    /// Returns what a server says of itself in the head of an answer. Invalid values are ignored.
    fn server_notice(&self, head: &http::response::Parts) -> ServerNotice;

    /// Classifies the answer to a prefill, by its head.
    fn classify_prefill(&self, head: &http::response::Parts) -> AnswerClass;

    /// Parses the body of the answer to a prefill; `None` if it is invalid.
    fn parse_prefill(&self, body: &[u8]) -> Option<PrefillResult>;

    /// Builds the request that orders an engine to another stage.
    fn stage_request(&self, order: &StageOrder<'_>) -> Request<Full<Bytes>>;

    /// Builds the call that releases a prefill result.
    fn release_call(&self, handle: &str) -> EngineCall;

    /// Builds the header that tells a client after which time to retry.
    fn retry_after(&self, after: Duration) -> (hyper::header::HeaderName, HeaderValue);

    /// Builds the header that tells a client how to send its API key.
    fn key_challenge(&self) -> (hyper::header::HeaderName, HeaderValue);

    /// Selects the headers of a server's answer that are forwarded to the client.
    fn client_headers(&self, server: &HeaderMap) -> HeaderMap;
}
