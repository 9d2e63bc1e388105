//! Streams from prefill to their last event, before engines that fail in every way.

use std::time::Duration;

use super::support::{
    Deployment, RawClient, Route, Script, StubServer, decode_entry, header, prefill_entry, request,
    wait_until,
};
use gs_control::forwarding::ListedServer;
use test_case::test_case;

const PAUSE: Duration = Duration::from_millis(5);

async fn prefill_engine() -> StubServer {
    StubServer::start(|number, _| Script::whole(200, "", &format!("handle h{number}"))).await
}

fn event(number: u32) -> String {
    format!("id: {number}\ndata: event {number}\n\n")
}

/// Events in chunks, with the end if it is whole.
fn events(numbers: std::ops::Range<u32>, is_whole: bool) -> Script {
    let mut pieces = vec![Script::chunked_head()];
    pieces.extend(numbers.map(|number| Script::chunk(&event(number))));
    if is_whole {
        pieces.push("0\r\n\r\n".to_owned());
    }
    Script::Pieces(pieces, PAUSE)
}

/// Two whole events and a part of the third, then the end of the connection.
fn cut_event() -> Script {
    let pieces = vec![
        Script::chunked_head(),
        Script::chunk(&event(0)),
        Script::chunk(&event(1)),
        Script::chunk("id: 2\ndata: ev"),
    ];
    Script::Pieces(pieces, PAUSE)
}

async fn deploy(prefills: &[&StubServer], decodes: &[&StubServer]) -> Deployment {
    let named = |prefix: &str,
                 servers: &[&StubServer],
                 entry: fn(&str, std::net::SocketAddr) -> ListedServer| {
        let servers = servers.iter().enumerate();
        servers
            .map(|(number, server)| entry(&format!("{prefix}{number}"), server.address))
            .collect::<Vec<_>>()
    };
    let mut entries = named("p", prefills, prefill_entry);
    entries.extend(named("d", decodes, decode_entry));
    Deployment::start(entries).await
}

fn all_events(count: u32) -> Vec<String> {
    (0..count)
        .map(|number| format!("event {number}\n"))
        .collect()
}

fn assert_events(body: &str, count: u32) {
    let mut rest = body;
    for text in all_events(count) {
        let (_, after) = rest
            .split_once(&text)
            .unwrap_or_else(|| panic!("{text} in {body}"));
        rest = after;
    }
    assert_eq!(body.matches("data: ").count() as u32, count, "{body}");
}

#[actix_rt::test]
async fn a_stream_goes_from_prefill_to_decode() {
    let prefill = prefill_engine().await;
    let decode = StubServer::start(|_, _| events(0..3, true)).await;
    let deployment = deploy(&[&prefill], &[&decode]).await;
    let answer = deployment.ask(Route::Stream, "r1").await;
    assert_eq!(answer.status(), 200);
    assert!(answer.has_last_chunk());
    assert_events(answer.body(), 3);
    let stages = [&prefill, &decode].map(|engine| header(&engine.requests()[0], "t-stage"));
    assert_eq!(stages.map(Option::unwrap), ["prefill", "decode h0"]);
}

#[test_case(cut_event(); "in the middle of an event")]
#[test_case(events(0..2, false); "between two events")]
#[actix_rt::test]
async fn a_broken_stream_does_not_look_whole(script: Script) {
    let prefill = prefill_engine().await;
    let decode = StubServer::start(move |_, _| script.clone()).await;
    let other = StubServer::start(|_, _| events(2..4, true)).await;
    let deployment = deploy(&[&prefill], &[&decode, &other]).await;
    let answer = deployment.ask(Route::Stream, "r1").await;
    assert!(!answer.has_last_chunk(), "{answer:?}");
    assert_events(answer.body(), 2);
    assert!(other.requests().is_empty(), "it must run once only");
}

#[test_case(cut_event(); "in the middle of an event")]
#[test_case(events(0..2, false); "between two events")]
#[actix_rt::test]
async fn a_resumable_stream_goes_on_after_its_last_whole_event(script: Script) {
    let prefill = prefill_engine().await;
    let decode = StubServer::start(move |_, _| script.clone()).await;
    let other = StubServer::start(|_, _| events(2..4, true)).await;
    let deployment = deploy(&[&prefill], &[&decode, &other]).await;
    let answer = deployment.ask(Route::Resumable, "r1").await;
    assert!(answer.has_last_chunk(), "{answer:?}");
    assert_events(answer.body(), 4);
    assert_eq!(
        header(&other.requests()[0], "t-after").as_deref(),
        Some("1")
    );
}

#[actix_rt::test]
async fn a_decode_engine_that_turns_a_stream_away_is_passed_over_with_the_same_result() {
    let prefill = prefill_engine().await;
    let full = StubServer::start(|_, _| Script::whole(503, "t-not-run: 1\r\n", "")).await;
    let decode = StubServer::start(|_, _| events(0..2, true)).await;
    let deployment = deploy(&[&prefill], &[&full, &decode]).await;
    let answer = deployment.ask(Route::Stream, "r1").await;
    assert!(answer.has_last_chunk(), "{answer:?}");
    let taken = header(&decode.requests()[0], "t-stage");
    assert_eq!(taken.as_deref(), Some("decode h0"));
    assert_eq!(prefill.requests().len(), 1);
}

#[actix_rt::test]
async fn a_stream_that_no_engine_took_is_told_not_run_and_its_result_is_freed() {
    let prefill = prefill_engine().await;
    let full = StubServer::start(|_, _| Script::whole(503, "t-not-run: 1\r\n", "")).await;
    let deployment = deploy(&[&prefill], &[&full]).await;
    let answer = deployment.ask(Route::Stream, "r1").await;
    assert_eq!(answer.status(), 503);
    wait_until(|| prefill.requests().len() == 2).await;
    assert!(prefill.requests()[1].starts_with("DELETE /results/h0 "));
}

#[actix_rt::test]
async fn a_failed_prefill_goes_to_another_engine() {
    let broken = StubServer::start(|_, _| Script::Reset(String::new())).await;
    let prefill = prefill_engine().await;
    let decode = StubServer::start(|_, _| events(0..2, true)).await;
    let deployment = deploy(&[&broken, &prefill], &[&decode]).await;
    let answer = deployment.ask(Route::Stream, "r1").await;
    assert!(answer.has_last_chunk(), "{answer:?}");
    assert_eq!((broken.requests().len(), prefill.requests().len()), (1, 1));
}

#[actix_rt::test]
async fn a_stream_that_may_have_begun_is_not_sent_again() {
    let prefill = prefill_engine().await;
    let broken = StubServer::start(|_, _| Script::Reset(String::new())).await;
    let other = StubServer::start(|_, _| events(0..2, true)).await;
    let deployment = deploy(&[&prefill], &[&broken, &other]).await;
    let answer = deployment.ask(Route::Stream, "r1").await;
    assert_eq!(answer.status(), 502);
    assert!(other.requests().is_empty());
}

#[actix_rt::test]
async fn a_client_that_leaves_ends_its_stream_and_gives_the_room_back() {
    let prefill = prefill_engine().await;
    let first = format!("{}{}", Script::chunked_head(), Script::chunk(&event(0)));
    let decode = StubServer::start(move |_, _| Script::Hold(first.clone())).await;
    let deployment = deploy(&[&prefill], &[&decode]).await;
    let mut client = RawClient::connect(deployment.address).await;
    client.send(&request(Route::Stream, "r1", "")).await;
    client.read_until("event 0").await;
    assert!(!deployment.gateway.is_idle());
    drop(client);
    wait_until(|| decode.closed() == 1).await;
    wait_until(|| deployment.gateway.is_idle()).await;
}

#[actix_rt::test]
async fn a_client_that_leaves_during_its_prefill_ends_it() {
    let prefill = StubServer::start(|_, _| Script::Hold(String::new())).await;
    let decode = StubServer::start(|_, _| events(0..2, true)).await;
    let deployment = deploy(&[&prefill], &[&decode]).await;
    let mut client = RawClient::connect(deployment.address).await;
    client.send(&request(Route::Stream, "r1", "")).await;
    wait_until(|| prefill.requests().len() == 1).await;
    drop(client);
    wait_until(|| prefill.closed() == 1).await;
    wait_until(|| deployment.gateway.is_idle()).await;
    assert!(decode.requests().is_empty());
}

#[actix_rt::test]
async fn without_a_prefill_engine_the_decode_engine_reads_the_prompt() {
    let decode = StubServer::start(|_, _| events(0..2, true)).await;
    let deployment = deploy(&[], &[&decode]).await;
    let answer = deployment.ask(Route::Stream, "r1").await;
    assert!(answer.has_last_chunk(), "{answer:?}");
    assert_eq!(
        header(&decode.requests()[0], "t-stage").as_deref(),
        Some("decode")
    );
}

/// A decode engine that is gone is found out before the prompt is read, not by a result that nobody takes.
#[actix_rt::test]
async fn an_engine_that_is_gone_costs_no_prefill() {
    let prefill = prefill_engine().await;
    let gone = {
        let listener = tokio::net::TcpListener::bind(("127.0.0.1", 0)).await;
        listener.expect("a port").local_addr().expect("an address")
    };
    let entries = vec![
        prefill_entry("p0", prefill.address),
        decode_entry("d0", gone),
    ];
    let deployment = Deployment::start(entries).await;
    let answer = deployment.ask(Route::Stream, "r1").await;
    assert_eq!(answer.status(), 503, "not run: {answer:?}");
    assert_eq!(prefill.requests(), Vec::<String>::new());
}
