//! Generation requests from the prefill to the last event, with engines that fail in various ways.

use super::support::{
    Deployment, EVENT_PAUSE, RawClient, Route, Script, StubServer, decode_server, event, events,
    header, prefill_server, request, wait_until,
};
use gs_control::forwarding::ListedServer;
use test_case::test_case;

async fn prefill_engine() -> StubServer {
    StubServer::start(|number, _| Script::complete(200, "", &format!("handle h{number}"))).await
}

/// Sends two complete events and a part of the third, then closes the connection.
fn cut_event() -> Script {
    let chunks = vec![
        Script::chunked_head(),
        Script::chunk(&event(0)),
        Script::chunk(&event(1)),
        Script::chunk("id: 2\ndata: ev"),
    ];
    Script::Chunks(chunks, EVENT_PAUSE)
}

async fn deploy(prefills: &[&StubServer], decodes: &[&StubServer]) -> Deployment {
    let named = |prefix: &str,
                 servers: &[&StubServer],
                 list_server: fn(&str, std::net::SocketAddr) -> ListedServer| {
        let servers = servers.iter().enumerate();
        servers
            .map(|(number, server)| list_server(&format!("{prefix}{number}"), server.address))
            .collect::<Vec<_>>()
    };
    let mut listed = named("p", prefills, prefill_server);
    listed.extend(named("d", decodes, decode_server));
    Deployment::start(listed).await
}

fn event_texts(count: u32) -> Vec<String> {
    (0..count)
        .map(|number| format!("event {number}\n"))
        .collect()
}

fn assert_events(body: &str, count: u32) {
    let mut rest = body;
    for text in event_texts(count) {
        let (_, after) = rest
            .split_once(&text)
            .unwrap_or_else(|| panic!("{text} in {body}"));
        rest = after;
    }
    assert_eq!(body.matches("data: ").count() as u32, count, "{body}");
}

#[actix_rt::test]
async fn a_stream_runs_its_prefill_and_then_its_decode() {
    let prefill = prefill_engine().await;
    let decode = StubServer::start(|_, _| events(0..3, true)).await;
    let deployment = deploy(&[&prefill], &[&decode]).await;
    let answer = deployment.send_request(Route::Stream, "r1").await;
    assert_eq!(answer.status(), 200);
    assert!(answer.has_last_chunk());
    assert_events(answer.body(), 3);
    let stages = [&prefill, &decode].map(|engine| header(&engine.requests()[0], "t-stage"));
    assert_eq!(stages.map(Option::unwrap), ["prefill", "decode h0"]);
}

#[test_case(cut_event(); "in the middle of an event")]
#[test_case(events(0..2, false); "between two events")]
#[actix_rt::test]
async fn an_interrupted_stream_has_no_last_chunk(script: Script) {
    let prefill = prefill_engine().await;
    let decode = StubServer::start(move |_, _| script.clone()).await;
    let other = StubServer::start(|_, _| events(2..4, true)).await;
    let deployment = deploy(&[&prefill], &[&decode, &other]).await;
    let answer = deployment.send_request(Route::Stream, "r1").await;
    assert!(!answer.has_last_chunk(), "{answer:?}");
    assert_events(answer.body(), 2);
    assert!(
        other.requests().is_empty(),
        "a stream that is not resumable must run at one engine only"
    );
}

#[test_case(cut_event(); "in the middle of an event")]
#[test_case(events(0..2, false); "between two events")]
#[actix_rt::test]
async fn a_resumable_stream_resumes_after_its_last_complete_event(script: Script) {
    let prefill = prefill_engine().await;
    let decode = StubServer::start(move |_, _| script.clone()).await;
    let other = StubServer::start(|_, _| events(2..4, true)).await;
    let deployment = deploy(&[&prefill], &[&decode, &other]).await;
    let answer = deployment.send_request(Route::Resumable, "r1").await;
    assert!(answer.has_last_chunk(), "{answer:?}");
    assert_events(answer.body(), 4);
    assert_eq!(
        header(&other.requests()[0], "t-after").as_deref(),
        Some("1")
    );
}

/// Sends events with neither a length nor chunks; the stream ends with its connection.
fn unframed(last: &str) -> Script {
    let head = "HTTP/1.1 200 OK\r\nt-id: {id}\r\n\r\n".to_owned();
    Script::Chunks(vec![head, event(0), event(1), last.to_owned()], EVENT_PAUSE)
}

#[test_case("", true; "after an event")]
#[test_case("id: 2\ndata: ev", false; "within an event")]
#[actix_rt::test]
async fn a_stream_without_length_or_chunks_is_complete_if_it_ends(last: &str, is_complete: bool) {
    let prefill = prefill_engine().await;
    let script = unframed(last);
    let decode = StubServer::start(move |_, _| script.clone()).await;
    let deployment = deploy(&[&prefill], &[&decode]).await;
    let answer = deployment.send_request(Route::Stream, "r1").await;
    assert_eq!(answer.has_last_chunk(), is_complete, "{answer:?}");
    assert_events(answer.body(), 2);
}

#[actix_rt::test]
async fn a_stream_rejected_by_a_decode_engine_is_retried_with_the_same_prefill_result() {
    let prefill = prefill_engine().await;
    let full = StubServer::start(|_, _| Script::complete(503, "t-not-run: 1\r\n", "")).await;
    let decode = StubServer::start(|_, _| events(0..2, true)).await;
    let deployment = deploy(&[&prefill], &[&full, &decode]).await;
    let answer = deployment.send_request(Route::Stream, "r1").await;
    assert!(answer.has_last_chunk(), "{answer:?}");
    let taken = header(&decode.requests()[0], "t-stage");
    assert_eq!(taken.as_deref(), Some("decode h0"));
    assert_eq!(prefill.requests().len(), 1);
}

#[actix_rt::test]
async fn a_stream_rejected_by_all_engines_is_answered_as_not_run_and_its_result_is_released() {
    let prefill = prefill_engine().await;
    let full = StubServer::start(|_, _| Script::complete(503, "t-not-run: 1\r\n", "")).await;
    let deployment = deploy(&[&prefill], &[&full]).await;
    let answer = deployment.send_request(Route::Stream, "r1").await;
    assert_eq!(answer.status(), 503);
    wait_until(|| prefill.requests().len() == 2).await;
    assert!(prefill.requests()[1].starts_with("DELETE /results/h0 "));
}

#[actix_rt::test]
async fn a_failed_prefill_is_retried_at_another_engine() {
    let broken = StubServer::start(|_, _| Script::Reset(String::new())).await;
    let prefill = prefill_engine().await;
    let decode = StubServer::start(|_, _| events(0..2, true)).await;
    let deployment = deploy(&[&broken, &prefill], &[&decode]).await;
    let answer = deployment.send_request(Route::Stream, "r1").await;
    assert!(answer.has_last_chunk(), "{answer:?}");
    assert_eq!((broken.requests().len(), prefill.requests().len()), (1, 1));
}

#[actix_rt::test]
async fn a_stream_that_may_have_started_is_not_retried() {
    let prefill = prefill_engine().await;
    let broken = StubServer::start(|_, _| Script::Reset(String::new())).await;
    let other = StubServer::start(|_, _| events(0..2, true)).await;
    let deployment = deploy(&[&prefill], &[&broken, &other]).await;
    let answer = deployment.send_request(Route::Stream, "r1").await;
    assert_eq!(answer.status(), 502);
    assert!(other.requests().is_empty());
}

#[actix_rt::test]
async fn a_client_disconnect_ends_its_stream_and_frees_its_capacity() {
    let prefill = prefill_engine().await;
    let first = format!("{}{}", Script::chunked_head(), Script::chunk(&event(0)));
    let decode = StubServer::start(move |_, _| Script::Hold(first.clone())).await;
    let deployment = deploy(&[&prefill], &[&decode]).await;
    let mut client = RawClient::connect(deployment.address).await;
    client.send(&request(Route::Stream, "r1", "")).await;
    client.read_until("event 0").await;
    assert!(!deployment.gateway.is_idle());
    drop(client);
    wait_until(|| decode.closed_connections() == 1).await;
    wait_until(|| deployment.gateway.is_idle()).await;
}

#[actix_rt::test]
async fn a_client_disconnect_during_the_prefill_cancels_it() {
    let prefill = StubServer::start(|_, _| Script::Hold(String::new())).await;
    let decode = StubServer::start(|_, _| events(0..2, true)).await;
    let deployment = deploy(&[&prefill], &[&decode]).await;
    let mut client = RawClient::connect(deployment.address).await;
    client.send(&request(Route::Stream, "r1", "")).await;
    wait_until(|| prefill.requests().len() == 1).await;
    drop(client);
    wait_until(|| prefill.closed_connections() == 1).await;
    wait_until(|| deployment.gateway.is_idle()).await;
    assert!(decode.requests().is_empty());
}

#[actix_rt::test]
async fn without_a_prefill_engine_the_decode_engine_processes_the_prompt() {
    let decode = StubServer::start(|_, _| events(0..2, true)).await;
    let deployment = deploy(&[], &[&decode]).await;
    let answer = deployment.send_request(Route::Stream, "r1").await;
    assert!(answer.has_last_chunk(), "{answer:?}");
    assert_eq!(
        header(&decode.requests()[0], "t-stage").as_deref(),
        Some("decode")
    );
}

/// Guards against prefills whose results nobody claims: the connection to the decode engine is opened before
/// the prefill runs, so an unreachable engine is found first.
#[actix_rt::test]
async fn an_unreachable_decode_engine_wastes_no_prefill() {
    let prefill = prefill_engine().await;
    let gone = {
        let listener = tokio::net::TcpListener::bind(("127.0.0.1", 0)).await;
        listener.expect("a port").local_addr().expect("an address")
    };
    let listed = vec![
        prefill_server("p0", prefill.address),
        decode_server("d0", gone),
    ];
    let deployment = Deployment::start(listed).await;
    let answer = deployment.send_request(Route::Stream, "r1").await;
    assert_eq!(answer.status(), 503, "not run: {answer:?}");
    assert_eq!(prefill.requests(), Vec::<String>::new());
}
