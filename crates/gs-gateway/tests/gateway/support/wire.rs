//! A protocol of the tests' own, so that the gateway is seen not to know any other.

use std::time::Duration;

use bytes::Bytes;
use gs_gateway::{
    AnswerVerdict, ClientFacts, GenerationFacts, PrefillResult, RequestError, ResumePoint,
    SendStage, ServerOrder, ServerWire, SmallCall, StageOrder,
};
use http_body_util::Full;
use hyper::header::{HeaderMap, HeaderName, HeaderValue};
use hyper::http::{request, response};
use hyper::{Method, Request};

pub struct TestWire;

fn text<'h>(headers: &'h HeaderMap, name: &str) -> Option<&'h str> {
    headers.get(name)?.to_str().ok()
}

impl ServerWire for TestWire {
    fn read_request(&self, head: &request::Parts) -> Result<ClientFacts, RequestError> {
        let headers = &head.headers;
        let request = text(headers, "t-id").ok_or(RequestError::NoIdentity)?;
        let deadline = text(headers, "t-deadline").and_then(|text| text.parse().ok());
        let tokens = text(headers, "t-tokens").and_then(|text| text.parse().ok());
        Ok(ClientFacts {
            request: request.to_owned(),
            host: text(headers, "host")
                .ok_or(RequestError::NoHost)?
                .to_owned(),
            deadline: deadline.map(Duration::from_millis),
            generation: tokens.map(|tokens| GenerationFacts {
                prompt_tokens: tokens,
                max_output_tokens: 100,
                length_hint: None,
            }),
            resume: None,
        })
    }

    fn server_headers(&self, client: &HeaderMap, order: &ServerOrder<'_>) -> HeaderMap {
        let mut headers = client.clone();
        for name in [
            "content-length",
            "transfer-encoding",
            "connection",
            "t-deadline",
        ] {
            headers.remove(name);
        }
        let mut set = |name: &'static str, value: String| {
            let value = HeaderValue::from_str(&value).expect("a plain value");
            headers.insert(HeaderName::from_static(name), value);
        };
        set("t-server", order.server.to_string());
        set("t-left", order.deadline.as_millis().to_string());
        match order.stage {
            SendStage::Run => set("t-stage", "run".to_owned()),
            SendStage::Prefill => set("t-stage", "prefill".to_owned()),
            SendStage::Decode(None) => set("t-stage", "decode".to_owned()),
            SendStage::Decode(Some(source)) => {
                set("t-stage", format!("decode {}", source.handle));
            }
        }
        if let Some(ResumePoint(last)) = order.resume {
            set("t-after", last.clone());
        }
        headers
    }

    fn judge_answer(&self, head: &response::Parts, request: &str) -> AnswerVerdict {
        let id = text(&head.headers, "t-id");
        match head.status.as_u16() {
            _ if id.is_some_and(|id| id != request) => AnswerVerdict::Foreign,
            421 => AnswerVerdict::Misdirected,
            _ if head.headers.contains_key("t-not-run") => AnswerVerdict::NotExecuted,
            200 if id.is_some() => AnswerVerdict::Success,
            200 => AnswerVerdict::Foreign,
            _ => AnswerVerdict::ServerFailure,
        }
    }

    fn judge_prefill(&self, head: &response::Parts) -> AnswerVerdict {
        match head.status.as_u16() {
            200 => AnswerVerdict::Success,
            _ => AnswerVerdict::ServerFailure,
        }
    }

    fn read_prefill(&self, body: &[u8]) -> Option<PrefillResult> {
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

    fn free_call(&self, handle: &str) -> SmallCall {
        SmallCall {
            method: Method::DELETE,
            path: format!("/results/{handle}"),
        }
    }

    fn retry_after(&self, after: Duration) -> (HeaderName, HeaderValue) {
        let value = HeaderValue::from_str(&after.as_secs_f64().to_string());
        let name = HeaderName::from_static("t-retry");
        (name, value.expect("a plain value"))
    }

    fn client_headers(&self, server: &HeaderMap) -> HeaderMap {
        let mut headers = server.clone();
        for name in ["content-length", "transfer-encoding", "connection"] {
            headers.remove(name);
        }
        headers
    }
}
