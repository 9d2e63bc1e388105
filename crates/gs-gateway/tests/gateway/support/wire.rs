//! A protocol used by these tests only, which shows that the gateway depends on no particular protocol.

use std::time::Duration;

use bytes::Bytes;
use gs_control::forwarding::{KeyDigest, RequestCaller};
use gs_gateway::{
    AnswerClass, EngineCall, ForwardOptions, GenerationParams, PrefillResult, RequestError,
    RequestMetadata, ResumePoint, ServerNotice, ServerTask, ServerWire, StageOrder,
};
use gs_protocol::suspicion::ContentHash;
use http_body_util::Full;
use hyper::header::{HeaderMap, HeaderName, HeaderValue};
use hyper::http::{request, response};
use hyper::{Method, Request};

pub struct TestWire;

fn text<'h>(headers: &'h HeaderMap, name: &str) -> Option<&'h str> {
    headers.get(name)?.to_str().ok()
}

impl ServerWire for TestWire {
    fn parse_request(&self, head: &request::Parts) -> Result<RequestMetadata, RequestError> {
        let headers = &head.headers;
        let request_id = text(headers, "t-id").ok_or(RequestError::MissingRequestId)?;
        let deadline = text(headers, "t-deadline").and_then(|text| text.parse().ok());
        let tokens = text(headers, "t-tokens").and_then(|text| text.parse().ok());
        Ok(RequestMetadata {
            request_id: request_id.to_owned(),
            host: text(headers, "host")
                .ok_or(RequestError::MissingHost)?
                .to_owned(),
            deadline: deadline.map(Duration::from_millis),
            api_key: text(headers, "t-key").map(|key| KeyDigest::new(key.as_bytes())),
            generation: tokens.map(|tokens| GenerationParams {
                prompt_tokens: tokens,
                max_output_tokens: 100,
                length_hint: None,
            }),
            resume: text(headers, "t-after").map(|id| ResumePoint(id.to_owned())),
            resumed_request: text(headers, "t-resumes").map(str::to_owned),
            shared_parts: text(headers, "t-parts")
                .into_iter()
                .flat_map(|parts| parts.split(','))
                .map(|part| ContentHash::new([part.as_bytes()]))
                .collect(),
        })
    }

    fn server_headers(&self, client: &HeaderMap, options: &ForwardOptions<'_>) -> HeaderMap {
        let mut headers = client.clone();
        for name in [
            "content-length",
            "transfer-encoding",
            "connection",
            "t-deadline",
            "t-key",
            "t-workspace",
        ] {
            headers.remove(name);
        }
        let mut set = |name: &'static str, value: String| {
            let value = HeaderValue::from_str(&value).expect("a plain value");
            headers.insert(HeaderName::from_static(name), value);
        };
        set("t-server", options.server.to_string());
        set("t-left", options.deadline.as_millis().to_string());
        if let RequestCaller::Workspace(workspace) = options.caller {
            set("t-workspace", workspace.name.clone());
        }
        if let Some(priority) = options.priority {
            set("t-priority", priority.to_string());
        }
        match options.task {
            ServerTask::Run => set("t-stage", "run".to_owned()),
            ServerTask::Prefill => set("t-stage", "prefill".to_owned()),
            ServerTask::Decode(None) => set("t-stage", "decode".to_owned()),
            ServerTask::Decode(Some(source)) => {
                set("t-stage", format!("decode {}", source.handle));
            }
        }
        if let Some(ResumePoint(last)) = options.resume {
            set("t-after", last.clone());
        }
        headers
    }

    fn peer_headers(&self, client: &HeaderMap, deadline: Option<Duration>) -> HeaderMap {
        let mut headers = client.clone();
        for name in ["content-length", "transfer-encoding", "connection"] {
            headers.remove(name);
        }
        if let Some(deadline) = deadline {
            let value = HeaderValue::from(deadline.as_millis() as u64);
            headers.insert(HeaderName::from_static("t-deadline"), value);
        }
        headers
    }

    fn classify_answer(&self, head: &response::Parts, request_id: &str) -> AnswerClass {
        let id = text(&head.headers, "t-id");
        match head.status.as_u16() {
            _ if id.is_some_and(|id| id != request_id) => AnswerClass::Foreign,
            421 => AnswerClass::Misdirected,
            _ if head.headers.contains_key("t-not-run") => AnswerClass::NotExecuted,
            200 if id.is_some() => AnswerClass::Success,
            200 => AnswerClass::Foreign,
            _ => AnswerClass::ServerFailure,
        }
    }

    fn server_notice(&self, head: &response::Parts) -> ServerNotice {
        let seconds = |name| text(&head.headers, name)?.parse::<f64>().ok();
        ServerNotice {
            limit: seconds("t-limit"),
            is_leaving: head.headers.contains_key("t-leaving"),
            pause: seconds("t-pause").map(Duration::from_secs_f64),
        }
    }

    fn classify_prefill(&self, head: &response::Parts) -> AnswerClass {
        match head.status.as_u16() {
            200 => AnswerClass::Success,
            _ => AnswerClass::ServerFailure,
        }
    }

    fn parse_prefill(&self, body: &[u8]) -> Option<PrefillResult> {
        let handle = std::str::from_utf8(body).ok()?.strip_prefix("handle ")?;
        Some(PrefillResult {
            handle: handle.to_owned(),
        })
    }

    fn stage_request(&self, order: &StageOrder<'_>) -> Request<Full<Bytes>> {
        let StageOrder {
            server,
            stage,
            holder,
            fence,
            ..
        } = order;
        Request::post("/stage")
            .header("t-server", server.as_str())
            .header("t-order", format!("{stage:?} {holder} {fence}"))
            .body(Full::new(Bytes::new()))
            .expect("a plain request")
    }

    fn release_call(&self, handle: &str) -> EngineCall {
        EngineCall {
            method: Method::DELETE,
            path: format!("/results/{handle}"),
        }
    }

    fn retry_after(&self, after: Duration) -> (HeaderName, HeaderValue) {
        let value = HeaderValue::from_str(&after.as_secs_f64().to_string());
        let name = HeaderName::from_static("t-retry");
        (name, value.expect("a plain value"))
    }

    fn key_challenge(&self) -> (HeaderName, HeaderValue) {
        let name = HeaderName::from_static("t-challenge");
        (name, HeaderValue::from_static("key"))
    }

    fn client_headers(&self, server: &HeaderMap) -> HeaderMap {
        let mut headers = server.clone();
        for name in ["content-length", "transfer-encoding", "connection"] {
            headers.remove(name);
        }
        headers
    }
}
