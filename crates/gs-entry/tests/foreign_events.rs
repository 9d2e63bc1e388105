//! Events of other attempts on a stream are dropped, whatever their contents.

mod support;

use std::net::SocketAddr;
use std::sync::mpsc;

use actix_web::web::{Json, get, post};
use actix_web::{App, HttpResponse, HttpServer};
use gs_protocol::engine::{
    CacheEvents, EngineReason, EngineRole, LoadReport, ReserveAnswer, ReserveRequest, StreamEvent,
    StreamRequest,
};
use gs_protocol::ids::{AttemptId, FenceNumber, ServerKindName, ServerName};
use gs_protocol::vm::{VmState, VmWorkload};
use gs_standin::harness::HarnessError;
use serde_json::json;
use support::{CLERK, completion};

/// Tokens of the answer.
const TOKENS: u32 = 3;

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

/// Starts a decode engine that inserts events of other attempts into its streams.
fn start_engine() -> SocketAddr {
    let (sender, receiver) = mpsc::channel();
    std::thread::spawn(move || {
        actix_rt::System::new().block_on(async move {
            let server = HttpServer::new(|| {
                App::new()
                    .route("/v1/reservations", post().to(reserve))
                    .route("/v1/streams", post().to(stream))
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

#[actix_rt::test]
async fn events_of_other_attempts_are_dropped() -> Result<(), HarnessError> {
    let harness = support::start_with(0, 1, &json!({})).await?;
    let workload = VmWorkload::Server {
        name: "crossing".into(),
        kind: ServerKindName::from("notes"),
    };
    harness
        .publish_vm(workload, start_engine(), "north", VmState::Live)
        .await?;
    let entry = harness.entries[0].process.address;
    let body = completion("label", TOKENS, true);
    harness
        .wait_for("an answer", async || {
            let answer = harness
                .client
                .post_as(entry, "/v1/completions", CLERK, &body)
                .await;
            answer.is_ok_and(|answer| answer.status == 200)
        })
        .await?;
    let answer = harness
        .client
        .post_as(entry, "/v1/completions", CLERK, &body)
        .await?
        .parse_stream();
    assert_eq!(answer.tokens, ["a", "b", "c"]);
    assert!(answer.complete);
    Ok(())
}
