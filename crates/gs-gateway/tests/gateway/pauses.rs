//! Servers that turn requests away with 503 and ask for a pause.

use std::cell::RefCell;
use std::rc::Rc;
use std::time::{Duration, Instant};

use gs_control::forwarding::ListedServer;
use test_case::test_case;

use super::support::{
    Deployment, Route, Script, StubServer, decode_server, plain_server, prefill_server,
};

/// Length of the pause.
const PAUSE: Duration = Duration::from_millis(1_200);

/// Time after the first refusal from which on the pause must be kept.
const GRACE: Duration = Duration::from_millis(500);

/// Maximum number of requests between [`GRACE`] and the end of the pause.
const MAX_REQUESTS: usize = 2;

/// Pause of a client between two requests.
const CLIENT_PAUSE: Duration = Duration::from_millis(15);

/// A server that turns away all requests of its first [`PAUSE`], and when it got which.
struct BusyServer {
    server: StubServer,
    arrivals: Rc<RefCell<Vec<Instant>>>,
}

impl BusyServer {
    async fn start() -> Self {
        let arrivals: Rc<RefCell<Vec<Instant>>> = Rc::default();
        let log = Rc::clone(&arrivals);
        let server = StubServer::start(move |_, text| {
            log.borrow_mut().push(Instant::now());
            let began = log.borrow()[0];
            let left = PAUSE.saturating_sub(began.elapsed()).as_secs_f64();
            if left > 0.0 {
                let headers = format!("t-not-run: 1\r\nt-pause: {left:.3}\r\n");
                return Script::complete(503, &headers, "");
            }
            answer(text)
        })
        .await;
        Self { server, arrivals }
    }

    /// Returns the number of requests between two times after the first one.
    fn count(&self, from: Duration, until: Duration) -> usize {
        let arrivals = self.arrivals.borrow();
        let since_first = arrivals.iter().map(|at| at.duration_since(arrivals[0]));
        since_first
            .filter(|after| (from..until).contains(after))
            .count()
    }
}

fn answer(text: &str) -> Script {
    if text.contains("t-stage: prefill") {
        return Script::complete(200, "", "handle h0");
    }
    if text.starts_with("POST /stream/") {
        let head = "HTTP/1.1 200 OK\r\nt-id: {id}\r\n\r\n";
        return Script::Send(format!("{head}id: 0\ndata: event 0\n\n"));
    }
    Script::complete(200, "", "whole")
}

/// Lists a busy server of the kind that a test is about, beside a sound one, and the other engines of streams.
fn listed(
    route: Route,
    is_prefill: bool,
    busy: &StubServer,
    sound: &StubServer,
) -> Vec<ListedServer> {
    match (route, is_prefill) {
        (Route::Stream, true) => vec![
            prefill_server("busy", busy.address),
            prefill_server("sound", sound.address),
            decode_server("other", sound.address),
        ],
        (Route::Stream, false) => vec![
            decode_server("busy", busy.address),
            decode_server("sound", sound.address),
        ],
        _ => vec![
            plain_server("busy", busy.address),
            plain_server("sound", sound.address),
        ],
    }
}

#[test_case(Route::Safe, false; "plain requests")]
#[test_case(Route::Unsafe, false; "requests that must not run twice")]
#[test_case(Route::Stream, false; "streams")]
#[test_case(Route::Stream, true; "prefills")]
#[actix_rt::test]
async fn a_server_that_asks_for_a_pause_is_left_alone_and_then_used_again(
    route: Route,
    is_prefill: bool,
) {
    let busy = BusyServer::start().await;
    let sound = StubServer::start(|_, text| answer(text)).await;
    let entry = Deployment::start(listed(route, is_prefill, &busy.server, &sound)).await;
    let until = Instant::now() + PAUSE * 3;
    while Instant::now() < until {
        let answer = entry.send_request(route, "r1").await;
        assert_eq!(answer.status(), 200, "{answer:?}");
        tokio::time::sleep(CLIENT_PAUSE).await;
    }
    let in_pause = busy.count(GRACE, PAUSE);
    assert!(in_pause <= MAX_REQUESTS, "{in_pause} requests in the pause");
    assert!(busy.count(PAUSE, PAUSE * 4) > 10, "used again");
}

#[test_case(Route::Safe)]
#[test_case(Route::Stream)]
#[actix_rt::test]
async fn a_request_that_all_servers_turn_away_is_refused_at_once_with_the_end_of_the_pause(
    route: Route,
) {
    let refusal = || Script::complete(503, "t-not-run: 1\r\nt-pause: 9\r\n", "");
    let busy = StubServer::start(move |_, _| refusal()).await;
    let listed = match route {
        Route::Stream => vec![decode_server("busy", busy.address)],
        _ => vec![plain_server("busy", busy.address)],
    };
    let entry = Deployment::start(listed).await;
    entry.send_request(route, "r1").await;
    let before = busy.requests().len();
    let began = Instant::now();
    let answer = entry.send_request(route, "r2").await;
    assert!(began.elapsed() < Duration::from_millis(300));
    assert_eq!(answer.status(), 503);
    let told = super::support::header(&answer.0, "t-retry").expect("a time");
    let told: f64 = told.parse().expect("seconds");
    assert!((8.0..9.5).contains(&told), "{told}");
    assert_eq!(busy.requests().len(), before);
}

#[actix_rt::test]
async fn a_server_that_has_started_again_is_not_held_to_the_pause_before() {
    let refusal = || Script::complete(503, "t-not-run: 1\r\nt-pause: 60\r\n", "");
    let busy = StubServer::start(move |number, text| match number {
        0 => refusal(),
        _ => answer(text),
    })
    .await;
    let entry = Deployment::start(vec![plain_server("s0", busy.address)]).await;
    assert_eq!(entry.send_request(Route::Safe, "r1").await.status(), 503);
    assert_eq!(entry.send_request(Route::Safe, "r2").await.status(), 503);
    entry.gateway.put_server(ListedServer {
        started_at_ms: Some(7),
        ..plain_server("s0", busy.address)
    });
    assert_eq!(entry.send_request(Route::Safe, "r3").await.status(), 200);
}
