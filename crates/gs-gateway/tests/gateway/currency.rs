//! Requests with API keys at entries whose proof that the configuration is current is too old, at each step that starts
//! work.

use std::cell::Cell;
use std::rc::Rc;
use std::time::Duration;

use gs_control::forwarding::{BootTime, ListedServer};
use gs_gateway::Gateway;
use test_case::test_case;

use super::support::{
    Deployment, RawAnswer, RawClient, Route, Script, StubServer, decode_server, events,
    keyed_table, plain_server, prefill_server, request, wait_until,
};

const REVOKE_AFTER: Duration = Duration::from_secs(5);

/// The clock of a gateway, which only the test advances.
#[derive(Clone, Default)]
struct ManualClock(Rc<Cell<Duration>>);

impl ManualClock {
    fn install(gateway: &Gateway) -> Self {
        let clock = Self(Rc::new(Cell::new(Duration::from_secs(1_000))));
        let read = clock.clone();
        gateway.replace_boot_clock(move || Some(BootTime::new(read.0.get())));
        clock
    }

    fn advance(&self, duration: Duration) {
        self.0.set(self.0.get() + duration);
    }
}

/// Proves the configuration current, as an exact read that begins now.
fn prove(gateway: &Gateway) {
    gateway.record_exact_read(gateway.boot_time().expect("a clock"));
}

/// Starts an entry with the key `k1` whose proof is young.
async fn start_proved(servers: Vec<ListedServer>) -> (Deployment, ManualClock) {
    let deployment =
        Deployment::start_revoking("north", "entry-1", servers, Some(REVOKE_AFTER)).await;
    let clock = ManualClock::install(&deployment.gateway);
    deployment.gateway.apply_table(keyed_table(2, &["k1"]));
    prove(&deployment.gateway);
    (deployment, clock)
}

async fn send(deployment: &Deployment, path: &str, key: &str) -> RawAnswer {
    let mut client = RawClient::connect(deployment.address).await;
    let text = request(Route::Safe, "r1", &format!("connection: close\r\n{key}"));
    client.send(&text.replace("/safe/", path)).await;
    client.read_all().await
}

async fn working_server() -> StubServer {
    StubServer::start(|_, _| Script::complete(200, "", "whole")).await
}

#[test_case("/safe/", "t-key: k1\r\n", 200; "a valid key")]
#[test_case("/safe/", "t-key: other\r\n", 401; "an unknown key")]
#[test_case("/safe/", "", 401; "no key")]
#[test_case("/nowhere/", "t-key: k1\r\n", 404; "no route")]
#[actix_rt::test]
async fn requests_are_judged_only_by_a_proved_configuration(path: &str, key: &str, status: u16) {
    let server = working_server().await;
    let (deployment, clock) = start_proved(vec![plain_server("s", server.address)]).await;
    assert_eq!(send(&deployment, path, key).await.status(), status);
    clock.advance(REVOKE_AFTER);
    let refused = send(&deployment, path, key).await;
    assert_eq!(refused.status(), 503, "{refused:?}");
    assert!(refused.0.contains("t-retry: "), "{refused:?}");
    let public = send(&deployment, "/unsafe/", "").await;
    assert_eq!(public.status(), 200, "public routes go on");
    prove(&deployment.gateway);
    assert_eq!(send(&deployment, path, key).await.status(), status);
}

/// Guards against refusals where the settings do not ask for proofs, or the configuration needs no keys.
#[test_case(None, true; "not set")]
#[test_case(Some(REVOKE_AFTER), false; "no workspaces")]
#[actix_rt::test]
async fn nothing_is_refused_where_no_proof_is_needed(
    revoke_after: Option<Duration>,
    has_workspaces: bool,
) {
    let server = working_server().await;
    let servers = vec![plain_server("s", server.address)];
    let deployment = Deployment::start_revoking("north", "entry-1", servers, revoke_after).await;
    if has_workspaces {
        deployment.gateway.apply_table(keyed_table(2, &["k1"]));
    }
    assert!(
        !deployment.gateway.needs_currency(),
        "no questions to peers"
    );
    assert!(deployment.gateway.proof_reading().is_none());
    assert!(!deployment.gateway.begin_due_read());
    assert_eq!(
        send(&deployment, "/safe/", "t-key: k1\r\n").await.status(),
        200
    );
}

/// What happens while a request is at its first server.
#[derive(Clone, Copy, Debug)]
enum Meanwhile {
    Suspended,
    KeyRemoved,
}

impl Meanwhile {
    fn happen(self, gateway: &Gateway, clock: &ManualClock) {
        match self {
            Self::Suspended => clock.advance(REVOKE_AFTER),
            Self::KeyRemoved => gateway.apply_table(keyed_table(3, &["k2"])),
        }
    }
}

/// The gateway that a server meddles with once, and its clock.
type MeddledGateway = Rc<Cell<Option<(Rc<Gateway>, ManualClock)>>>;

/// Starts a server that does something when a request comes, then follows its script.
async fn meddling_server(
    meanwhile: Meanwhile,
    shared: &MeddledGateway,
    script: Script,
) -> StubServer {
    let shared = Rc::clone(shared);
    StubServer::start(move |_, _| {
        if let Some((gateway, clock)) = shared.take() {
            meanwhile.happen(&gateway, &clock);
        }
        script.clone()
    })
    .await
}

/// A retry must not start work after a suspension or the removal of the key.
#[test_case(Meanwhile::Suspended, Script::complete(503, "t-not-run: 1\r\n", "full"), 503; "suspended, not run")]
#[test_case(Meanwhile::KeyRemoved, Script::complete(503, "t-not-run: 1\r\n", "full"), 503; "key removed, not run")]
#[test_case(Meanwhile::Suspended, Script::Reset(String::new()), 502; "suspended, may have run")]
#[test_case(Meanwhile::KeyRemoved, Script::Reset(String::new()), 502; "key removed, may have run")]
#[actix_rt::test]
async fn no_retry_starts(meanwhile: Meanwhile, script: Script, status: u16) {
    let shared = Rc::default();
    let first = meddling_server(meanwhile, &shared, script.clone()).await;
    let second = meddling_server(meanwhile, &shared, script).await;
    let servers = [&first, &second].map(|server| plain_server("s", server.address));
    let [a, b] = servers;
    let listed = vec![
        a,
        ListedServer {
            name: "t".into(),
            ..b
        },
    ];
    let (deployment, clock) = start_proved(listed).await;
    shared.set(Some((Rc::clone(&deployment.gateway), clock)));
    let answer = send(&deployment, "/safe/", "t-key: k1\r\n").await;
    assert_eq!(answer.status(), status, "{answer:?}");
    assert_eq!(first.requests().len() + second.requests().len(), 1);
}

/// The decode must not start after a suspension, or the removal of the key, during the prefill.
#[test_case(Meanwhile::Suspended; "suspended")]
#[test_case(Meanwhile::KeyRemoved; "key removed")]
#[actix_rt::test]
async fn no_decode_starts(meanwhile: Meanwhile) {
    let shared = Rc::default();
    let script = Script::complete(200, "", "handle h");
    let prefill = meddling_server(meanwhile, &shared, script).await;
    let decode = StubServer::start(|_, _| events(0..3, true)).await;
    let listed = vec![
        prefill_server("p", prefill.address),
        decode_server("d", decode.address),
    ];
    let (deployment, clock) = start_proved(listed).await;
    shared.set(Some((Rc::clone(&deployment.gateway), clock)));
    let answer = send(&deployment, "/stream/", "t-key: k1\r\n").await;
    assert_eq!(answer.status(), 503, "{answer:?}");
    assert_eq!(decode.requests().len(), 0);
}

/// A stream that breaks off is not resumed after a suspension, or the removal of the key. What runs is not aborted.
#[test_case(Meanwhile::Suspended; "suspended")]
#[test_case(Meanwhile::KeyRemoved; "key removed")]
#[actix_rt::test]
async fn no_stream_is_resumed(meanwhile: Meanwhile) {
    let shared = Rc::default();
    let first = meddling_server(meanwhile, &shared, events(0..2, false)).await;
    let second = meddling_server(meanwhile, &shared, events(0..2, false)).await;
    let listed = vec![
        decode_server("d1", first.address),
        decode_server("d2", second.address),
    ];
    let (deployment, clock) = start_proved(listed).await;
    shared.set(Some((Rc::clone(&deployment.gateway), clock)));
    let answer = send(&deployment, "/resumable/", "t-key: k1\r\n").await;
    assert_eq!(answer.status(), 200);
    assert!(answer.body().contains("event 1") && !answer.has_last_chunk());
    assert_eq!(first.requests().len() + second.requests().len(), 1);
}

/// A stream that waited for an engine must not start after a suspension.
#[actix_rt::test]
async fn a_stream_does_not_leave_the_queue() {
    let decode = StubServer::start(|_, _| events(0..3, true)).await;
    let (deployment, clock) = start_proved(Vec::new()).await;
    let mut client = RawClient::connect(deployment.address).await;
    let headers = "connection: close\r\nt-key: k1\r\n";
    client.send(&request(Route::Stream, "r1", headers)).await;
    wait_until(|| !deployment.gateway.is_idle()).await;
    clock.advance(REVOKE_AFTER);
    let listed = vec![decode_server("d", decode.address)];
    deployment.gateway.replace_servers(listed);
    assert_eq!(client.read_all().await.status(), 503);
    assert_eq!(decode.requests().len(), 0);
}

/// Two entries of which only the first reads the store. The second takes the proof by datagrams and learns where to
/// read the newer configuration.
#[actix_rt::test]
async fn an_entry_without_the_store_gets_proofs_from_a_peer() {
    let server = working_server().await;
    let mut entries = Vec::new();
    let mut clocks = Vec::new();
    for number in 0..2 {
        let name = format!("entry-{number}");
        let servers = vec![plain_server("s", server.address)];
        let entry = Deployment::start_revoking("north", &name, servers, Some(REVOKE_AFTER)).await;
        let clock = ManualClock::install(&entry.gateway);
        clock.advance(Duration::from_secs(number * 77));
        entry.gateway.apply_table(keyed_table(2, &["k1"]));
        clocks.push(clock);
        entries.push(entry);
    }
    prove(&entries[0].gateway);
    clocks[0].advance(REVOKE_AFTER / 2);
    assert_eq!(
        send(&entries[1], "/safe/", "t-key: k1\r\n").await.status(),
        503
    );
    Deployment::join(&entries).await;
    let mut status = 503;
    while status == 503 {
        status = send(&entries[1], "/safe/", "t-key: k1\r\n").await.status();
    }
    assert_eq!(status, 200);
    // The age at the peer counts: half of the time was over when the question came.
    clocks
        .iter()
        .for_each(|clock| clock.advance(REVOKE_AFTER / 2));
    assert_eq!(
        send(&entries[1], "/safe/", "t-key: k1\r\n").await.status(),
        503
    );
    // The operator removes the key. The second entry must not serve it with the peer's new proof.
    entries[0].gateway.apply_table(keyed_table(3, &["k2"]));
    prove(&entries[0].gateway);
    let newer = Rc::clone(&entries[1].gateway);
    let waiting = actix_rt::spawn(async move { newer.wait_for_newer_peer().await });
    clocks[1].advance(Duration::from_millis(400));
    wait_until(|| {
        clocks[1].advance(Duration::from_millis(10));
        waiting.is_finished()
    })
    .await;
    let own = entries[0].gateway.settings.own.peer_address;
    assert_eq!(waiting.await.expect("a peer"), own);
    assert_eq!(
        send(&entries[1], "/safe/", "t-key: k1\r\n").await.status(),
        503
    );
    entries[1].gateway.apply_table(keyed_table(3, &["k2"]));
    let mut statuses = Vec::new();
    while statuses.last() != Some(&200) {
        statuses.push(send(&entries[1], "/safe/", "t-key: k2\r\n").await.status());
    }
    assert!(
        statuses.iter().all(|status| [200, 503].contains(status)),
        "{statuses:?}"
    );
    assert_eq!(
        send(&entries[1], "/safe/", "t-key: k1\r\n").await.status(),
        401
    );
}
