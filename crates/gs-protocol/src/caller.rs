//! The callers' HTTP API: a subset of the OpenAI completion API, and the list of entries.

use std::net::SocketAddr;

use serde::{Deserialize, Serialize};

use crate::ids::{DataCentreName, EntryName, RequestId, SequenceNumber};

/// Response header: the request's identifier.
pub const REQUEST_HEADER: &str = "x-request-id";

/// Response header: the sequence number of the document that the request was admitted under.
pub const SEQUENCE_HEADER: &str = "x-document-sequence";

/// Response header: the digest of the document that the request was admitted under.
pub const DIGEST_HEADER: &str = "x-document-digest";

/// The output limit, in tokens, of a request that sets none.
pub const DEFAULT_MAX_TOKENS: u32 = 16;

/// The body of `POST /v1/completions`. Unknown fields are ignored because client
/// libraries add their own.
#[derive(Clone, Debug, Deserialize, Serialize)]
pub struct CompletionRequest {
    /// The model to run.
    pub model: String,
    /// The text to continue.
    pub prompt: String,
    /// The maximum number of tokens to generate; [`DEFAULT_MAX_TOKENS`] if absent.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub max_tokens: Option<u32>,
    /// Whether to stream the answer as server-sent events.
    #[serde(default)]
    pub stream: bool,
    /// The sampling seed; derived from the prompt if absent.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub seed: Option<u64>,
}

/// One message of a chat.
#[derive(Clone, Debug, Deserialize, Serialize)]
pub struct ChatMessage {
    /// The author's role, such as `user` or `assistant`.
    pub role: String,
    /// The message's text.
    pub content: String,
}

/// The body of `POST /v1/chat/completions`.
#[derive(Clone, Debug, Deserialize, Serialize)]
pub struct ChatRequest {
    /// The model to run.
    pub model: String,
    /// The conversation so far.
    pub messages: Vec<ChatMessage>,
    /// The maximum number of tokens to generate; [`DEFAULT_MAX_TOKENS`] if absent.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub max_tokens: Option<u32>,
    /// Whether to stream the answer as server-sent events.
    #[serde(default)]
    pub stream: bool,
    /// The sampling seed; derived from the prompt if absent.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub seed: Option<u64>,
}

/// One entry of an [`EntryList`].
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
#[serde(rename_all = "camelCase")]
pub struct EntryRecord {
    /// The entry's name.
    pub name: EntryName,
    /// The address that callers connect to.
    pub address: SocketAddr,
    /// The data centre that the entry runs in.
    pub data_centre: DataCentreName,
    /// The entry's share of a caller's requests, relative to the other weights.
    pub weight: u32,
}

/// The answer to `GET /v1/entries`, best entry first.
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
#[serde(rename_all = "camelCase")]
pub struct EntryList {
    /// The entries, best first.
    pub entries: Vec<EntryRecord>,
    /// Time for which the list may be cached, in seconds.
    pub ttl_s: u64,
}

/// The metadata in the headers of every answer.
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
pub struct AnswerMetadata {
    /// The request's identifier.
    pub request: RequestId,
    /// The sequence number of the document that the request was admitted under.
    pub sequence: SequenceNumber,
    /// The digest of that document.
    pub digest: String,
}
