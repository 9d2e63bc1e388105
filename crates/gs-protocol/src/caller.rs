//! What callers send and get: an OpenAI-style subset and the list of entries.

use std::net::SocketAddr;

use serde::{Deserialize, Serialize};

use crate::ids::{DataCentreName, EntryName, RequestId, SequenceNumber};

/// Response header: the request's identity.
pub const REQUEST_HEADER: &str = "x-request-id";

/// Response header: the sequence number of the document that the request was admitted under.
pub const SEQUENCE_HEADER: &str = "x-document-sequence";

/// Response header: the digest of that document.
pub const DIGEST_HEADER: &str = "x-document-digest";

/// Tokens generated when the request names no limit.
pub const DEFAULT_MAX_TOKENS: u32 = 16;

/// The body of `POST /v1/completions`. Unknown fields are ignored, as callers' libraries add some.
#[derive(Clone, Debug, Deserialize, Serialize)]
pub struct CompletionRequest {
    /// The model to run.
    pub model: String,
    /// The text to continue.
    pub prompt: String,
    /// Tokens to generate at most.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub max_tokens: Option<u32>,
    /// Whether to answer with server-sent events.
    #[serde(default)]
    pub stream: bool,
    /// Determines the generated text.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub seed: Option<u64>,
}

/// One message of a chat.
#[derive(Clone, Debug, Deserialize, Serialize)]
pub struct ChatMessage {
    /// Who speaks.
    pub role: String,
    /// The text.
    pub content: String,
}

/// The body of `POST /v1/chat/completions`.
#[derive(Clone, Debug, Deserialize, Serialize)]
pub struct ChatRequest {
    /// The model to run.
    pub model: String,
    /// The chat so far.
    pub messages: Vec<ChatMessage>,
    /// Tokens to generate at most.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub max_tokens: Option<u32>,
    /// Whether to answer with server-sent events.
    #[serde(default)]
    pub stream: bool,
    /// Determines the generated text.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub seed: Option<u64>,
}

/// One entry of the list that callers ask for.
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
#[serde(rename_all = "camelCase")]
pub struct EntryRecord {
    /// The entry's name.
    pub name: EntryName,
    /// Where callers connect.
    pub address: SocketAddr,
    /// Where the entry stands.
    pub data_centre: DataCentreName,
    /// How large a part of a caller's requests it should get, beside the others.
    pub weight: u32,
}

/// The answer to `GET /v1/entries`: best first.
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
#[serde(rename_all = "camelCase")]
pub struct EntryList {
    /// The entries.
    pub entries: Vec<EntryRecord>,
    /// Seconds for which the list may be used.
    pub ttl_s: u64,
}

/// What every answer names.
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
pub struct AnswerMetadata {
    /// The request.
    pub request: RequestId,
    /// The document's sequence number.
    pub sequence: SequenceNumber,
    /// The document's digest.
    pub digest: String,
}
