//! What an engine sends on a stream besides the attempt's own events is dropped, and does not keep a
//! stalled stream open.

mod support;

use std::cell::RefCell;
use std::convert::Infallible;
use std::net::SocketAddr;
use std::sync::mpsc;
use std::time::Duration;

use actix_web::web::{Json, get, post};
use actix_web::{App, HttpResponse, HttpServer};
use bytes::Bytes;
use futures_util::StreamExt;
use gs_protocol::engine::{
    CacheEvents, EngineReason, EngineRole, LoadReport, ReserveAnswer, ReserveRequest, StreamEvent,
    StreamRequest,
};
use gs_protocol::ids::{AttemptId, FenceNumber, ServerKindName, ServerName};
use gs_protocol::vm::{VmState, VmWorkload};
use gs_standin::harness::{HarnessError, StreamedText};
use serde_json::json;
use support::{CLERK, completion};

/// Tokens of the answer.
const TOKENS: u32 = 3;

/// Interval between two comments of a stalled stream.
const COMMENT_INTERVAL: Duration = Duration::from_millis(50);

async fn reserve(request: Json<ReserveRequest>) -> HttpResponse {
    HttpResponse::Ok().json(ReserveAnswer {
        attempt: request.attempt,
        batch: 1,
    })
}

async fn load() -> HttpResponse {
    HttpResponse::Ok().json(LoadReport {
        server: ServerName::from("crossing"),
        role: EngineRole::Decode,
        models: vec!["notes".into()],
        leaving: false,
        streams: 0,
        reservations: 0,
        max_streams: 20,
        prefill_tokens: 0,
        prefills: 0,
        free_blocks: 2000,
        total_blocks: 2000,
        transfer_bytes: 0,
        prefill_rate: 100_000,
        link_rate: 1_000_000_000,
        step_base_us: 1_000,
        step_stream_us: 10,
        fence: FenceNumber(0),
        boot: 1,
    })
}

/// A stream in which each event of the attempt follows an event of another attempt or a repeated
/// token.
async fn stream(request: Json<StreamRequest>) -> HttpResponse {
    let (own, other) = (request.attempt, AttemptId::generate());
    let token = |attempt, index, text: &str| StreamEvent::Token {
        attempt,
        index,
        text: text.to_owned(),
    };
    let events = [
        token(other, 0, "stranger"),
        token(own, 0, "a"),
        token(own, 0, "a"),
        StreamEvent::Failed {
            attempt: other,
            reason: EngineReason::Cancelled,
        },
        token(other, 1, "stranger"),
        token(own, 1, "b"),
        StreamEvent::End {
            attempt: other,
            tokens: 2,
        },
        token(own, 2, "c"),
        StreamEvent::End {
            attempt: own,
            tokens: TOKENS,
        },
    ];
    let lines: Vec<_> = events
        .iter()
        .map(|event| format!("data: {}\n\n", serde_json::to_string(event).expect("event")))
        .collect();
    HttpResponse::Ok()
        .content_type("text/event-stream")
        .body(lines.concat())
}

/// A stream that has one token and then comments without end.
async fn stalled_stream(request: Json<StreamRequest>) -> HttpResponse {
    let token = StreamEvent::Token {
        attempt: request.attempt,
        index: 0,
        text: "a".to_owned(),
    };
    let token = format!(
        "data: {}\n\n",
        serde_json::to_string(&token).expect("event")
    );
    let comments = futures_util::stream::unfold((), async |()| {
        tokio::time::sleep(COMMENT_INTERVAL).await;
        Some((
            Ok::<_, Infallible>(Bytes::from_static(b": still here\n")),
            (),
        ))
    });
    let token = futures_util::stream::once(std::future::ready(Ok(Bytes::from(token))));
    HttpResponse::Ok()
        .content_type("text/event-stream")
        .streaming(token.chain(comments))
}

/// What an engine sends on its streams.
#[derive(Clone, Copy, Debug)]
enum StreamFault {
    /// Events of other attempts before each of its own.
    ForeignEvents,
    /// One token, then comments without end.
    EndlessComments,
}

/// Starts a decode engine with a fault.
fn start_engine(fault: StreamFault) -> SocketAddr {
    let (sender, receiver) = mpsc::channel();
    std::thread::spawn(move || {
        actix_rt::System::new().block_on(async move {
            let server = HttpServer::new(move || {
                let streams = match fault {
                    StreamFault::ForeignEvents => post().to(stream),
                    StreamFault::EndlessComments => post().to(stalled_stream),
                };
                App::new()
                    .route("/v1/reservations", post().to(reserve))
                    .route("/v1/streams", streams)
                    .route("/v1/cancels", post().to(HttpResponse::Ok))
                    .route("/v1/load", get().to(load))
                    .route(
                        "/v1/held",
                        get().to(async || HttpResponse::Ok().json(json!([]))),
                    )
                    .route(
                        "/v1/cache-events",
                        get().to(async || HttpResponse::Ok().json(CacheEvents::default())),
                    )
            })
            .workers(1)
            .bind("127.0.0.1:0")
            .expect("bind");
            sender.send(server.addrs()[0]).expect("send");
            server.run().await.expect("serve");
        });
    });
    receiver.recv().expect("address")
}

/// Returns the first answer with a status of 200 from a deployment whose only decode engine has a
/// fault.
async fn answer_of(fault: StreamFault) -> Result<StreamedText, HarnessError> {
    let timeouts = json!({ "timeouts": { "engineSilentMs": 500 } });
    let harness = support::start_with(0, 1, &timeouts).await?;
    let workload = VmWorkload::Server {
        name: "crossing".into(),
        kind: ServerKindName::from("notes"),
    };
    harness
        .publish_vm(workload, start_engine(fault), "north", VmState::Live)
        .await?;
    let entry = harness.entries[0].process.address;
    let body = completion("label", TOKENS, true);
    let text = RefCell::default();
    harness
        .wait_for("an answer", async || {
            let answer = harness
                .client
                .post_as(entry, "/v1/completions", CLERK, &body)
                .await;
            let Some(answer) = answer.ok().filter(|answer| answer.status == 200) else {
                return false;
            };
            text.replace(answer.parse_stream());
            true
        })
        .await?;
    Ok(text.into_inner())
}

#[actix_rt::test]
async fn events_of_other_attempts_are_dropped() -> Result<(), HarnessError> {
    let text = answer_of(StreamFault::ForeignEvents).await?;
    assert_eq!(text.tokens, ["a", "b", "c"]);
    assert!(text.complete);
    Ok(())
}

#[actix_rt::test]
async fn comments_do_not_keep_a_stalled_stream_open() -> Result<(), HarnessError> {
    let text = answer_of(StreamFault::EndlessComments).await?;
    assert!(!text.complete);
    let error = text.error.expect("the stream ends with an error event");
    assert_eq!(error["outcome"], "unknown");
    Ok(())
}
