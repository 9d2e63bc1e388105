//! Requests with API keys, while the configuration has workspaces.

use std::cell::{Cell, OnceCell};
use std::rc::Rc;
use std::sync::Mutex;
use std::time::Duration;

use gs_control::forwarding::{CostUnit, KeyDigest, WorkspaceSpec, WorkspaceTable};
use gs_gateway::Gateway;
use test_case::test_case;

use super::support::{
    Deployment, RawAnswer, RawClient, Route, Script, StubServer, decode_server, events, header,
    plain_server, prefill_server, request, route_table, wait_until,
};

/// API key of the workspace `huka`, whose priority is 3.
const KEY: &str = "key-5f1c-of-huka";

/// Time within which an answer that needs no body must arrive; a request's own limit is longer.
const ANSWER_TIME: Duration = Duration::from_secs(4);

fn workspaces(keys: &[&str]) -> WorkspaceTable {
    let huka = WorkspaceSpec {
        name: "huka".to_owned(),
        rank: Some(3),
        unit: CostUnit::Requests,
        quota: None,
    };
    let mut table = WorkspaceTable::new();
    table.insert(huka, keys.iter().map(|key| KeyDigest::new(key.as_bytes())));
    table
}

fn has_key(key: &str) -> String {
    format!("connection: close\r\nt-key: {key}\r\n")
}

async fn send(entry: &Deployment, route: Route, headers: &str) -> RawAnswer {
    let mut client = RawClient::connect(entry.address).await;
    client.send(&request(route, "r1", headers)).await;
    client.read_all().await
}

/// An entry whose workspace `huka` holds [`KEY`], before one plain server that answers all requests.
async fn plain_entry() -> (Deployment, StubServer) {
    let server = StubServer::start(|_, _| Script::complete(200, "", "whole")).await;
    let entry = Deployment::start(vec![plain_server("s0", server.address)]).await;
    entry.apply_workspaces(2, Some(workspaces(&[KEY])), &[Route::Safe]);
    (entry, server)
}

#[test_case(Route::Unsafe, &has_key(KEY), 200; "its key")]
#[test_case(Route::Unsafe, &has_key("key-5f1c"), 401; "an unknown key")]
#[test_case(Route::Unsafe, "connection: close\r\n", 401; "no key")]
#[test_case(Route::Unsafe, "connection: close\r\nt-workspace: huka\r\n", 401; "a name in place of a key")]
#[test_case(Route::Safe, "connection: close\r\n", 200; "no key on a public route")]
#[test_case(Route::Safe, &has_key("key-5f1c"), 200; "an unknown key on a public route")]
#[actix_rt::test]
async fn a_request_needs_a_key_unless_its_route_is_public(
    route: Route,
    headers: &str,
    status: u16,
) {
    let (entry, server) = plain_entry().await;
    let answer = send(&entry, route, headers).await;
    assert_eq!(answer.status(), status, "{answer:?}");
    assert_eq!(answer.0.contains("t-challenge: key"), status == 401);
    assert_eq!(server.requests().len(), usize::from(status == 200));
}

/// Guards against memory and time that are spent on bodies of callers without a key.
#[test_case(""; "no key")]
#[test_case("t-key: key-5f1c\r\n"; "an unknown key")]
#[actix_rt::test]
async fn a_key_is_checked_before_the_body_comes(headers: &str) {
    let (entry, _server) = plain_entry().await;
    let mut client = RawClient::connect(entry.address).await;
    let head = request(Route::Unsafe, "r1", headers).replace(
        "content-length: 4\r\n\r\nbody",
        "content-length: 900000\r\n\r\n",
    );
    client.send(&head).await;
    let answer = tokio::time::timeout(ANSWER_TIME, client.read_all()).await;
    let answer = answer.expect("an answer without the body");
    assert_eq!(answer.status(), 401, "{answer:?}");
    assert!(answer.0.contains("t-challenge: key"), "{answer:?}");
}

/// Guards against callers who are told that their key is wrong while the entry knows no keys.
#[test_case(&has_key(KEY); "with a key")]
#[test_case("connection: close\r\n"; "without a key")]
#[actix_rt::test]
async fn an_entry_without_a_configuration_refuses_no_key(headers: &str) {
    let entry = Deployment::start_unconfigured("north", "entry-1").await;
    let answer = send(&entry, Route::Unsafe, headers).await;
    assert_eq!(answer.status(), 503, "{answer:?}");
    assert!(answer.0.contains("t-retry:"), "{answer:?}");
}

/// Whether a configuration without [`KEY`] was applied by a server's script.
#[derive(Clone, Default)]
struct KeyRemoval {
    gateway: Rc<OnceCell<Rc<Gateway>>>,
    is_done: Rc<Cell<bool>>,
}

impl KeyRemoval {
    fn watch(&self, entry: &Deployment) {
        entry.apply_workspaces(2, Some(workspaces(&[KEY])), &[]);
        assert!(self.gateway.set(Rc::clone(&entry.gateway)).is_ok());
    }

    fn remove(&self) {
        let gateway = self.gateway.get().expect("a gateway");
        gateway.apply_table(route_table(3, Some(workspaces(&["another"])), &[]));
        self.is_done.set(true);
    }

    /// Starts a server that removes the key when it gets a request, and then goes by the script.
    async fn server(&self, script: Script) -> StubServer {
        let removal = self.clone();
        StubServer::start(move |_, _| {
            removal.remove();
            script.clone()
        })
        .await
    }
}

/// Guards against retries for a workspace that has lost its key meanwhile.
#[actix_rt::test]
async fn a_request_whose_key_was_removed_is_not_retried() {
    let removal = KeyRemoval::default();
    let failing = removal.server(Script::Reset(String::new())).await;
    let other = StubServer::start(|_, _| Script::complete(200, "", "whole")).await;
    // Of servers that are alike, any may be chosen; one of another data centre comes second.
    let mut remote = plain_server("b", other.address);
    remote.data_centre = "south".into();
    let listed = vec![plain_server("a", failing.address), remote];
    let entry = Deployment::start(listed).await;
    removal.watch(&entry);
    let answer = send(&entry, Route::Safe, &has_key(KEY)).await;
    assert!(removal.is_done.get());
    assert_eq!(answer.status(), 502, "it may have run: {answer:?}");
    assert_eq!(other.requests().len(), 0);
}

/// Guards against streams that start although their key was removed while they waited in the queue.
#[test_case(true; "removed")]
#[test_case(false; "kept")]
#[actix_rt::test]
async fn a_waiting_stream_starts_only_if_its_key_is_kept(is_removed: bool) {
    let prefill = StubServer::start(|_, _| Script::complete(200, "", "handle h0")).await;
    let decode = StubServer::start(|_, _| events(0..2, true)).await;
    let entry = Deployment::start(Vec::new()).await;
    entry.apply_workspaces(2, Some(workspaces(&[KEY])), &[]);
    let mut client = RawClient::connect(entry.address).await;
    client
        .send(&request(Route::Stream, "r1", &has_key(KEY)))
        .await;
    wait_until(|| !entry.gateway.is_idle()).await;
    tokio::time::sleep(Duration::from_millis(50)).await;
    if is_removed {
        entry.apply_workspaces(3, Some(workspaces(&["another"])), &[]);
    }
    entry.gateway.replace_servers(vec![
        prefill_server("p0", prefill.address),
        decode_server("d0", decode.address),
    ]);
    let answer = client.read_all().await;
    let (status, started) = if is_removed { (503, 0) } else { (200, 1) };
    assert_eq!(answer.status(), status, "{answer:?}");
    let seen = (prefill.requests().len(), decode.requests().len());
    assert_eq!(seen, (started, started));
}

/// Guards against a decode for a workspace that lost its key during the prefill.
#[actix_rt::test]
async fn a_prefill_whose_key_was_removed_is_not_decoded() {
    let removal = KeyRemoval::default();
    let prefill = removal.server(Script::complete(200, "", "handle h0")).await;
    let decode = StubServer::start(|_, _| events(0..2, true)).await;
    let entry = Deployment::start(vec![
        prefill_server("p0", prefill.address),
        decode_server("d0", decode.address),
    ])
    .await;
    removal.watch(&entry);
    let answer = send(&entry, Route::Stream, &has_key(KEY)).await;
    assert_eq!(answer.status(), 503, "{answer:?}");
    assert_eq!(decode.requests().len(), 0);
}

/// Guards against streams that are resumed for a workspace that has lost its key, and against running ones
/// that are aborted.
#[test_case(events(0..2, false), false; "an interrupted stream is not resumed")]
#[test_case(events(0..2, true), true; "a running stream is completed")]
#[actix_rt::test]
async fn a_removed_key_starts_nothing_and_aborts_nothing(script: Script, is_complete: bool) {
    let removal = KeyRemoval::default();
    let first = removal.server(script).await;
    let other = StubServer::start(|_, _| events(2..4, true)).await;
    let mut remote = decode_server("d1", other.address);
    remote.data_centre = "south".into();
    let entry = Deployment::start(vec![decode_server("d0", first.address), remote]).await;
    removal.watch(&entry);
    let answer = send(&entry, Route::Resumable, &has_key(KEY)).await;
    assert_eq!(answer.has_last_chunk(), is_complete, "{answer:?}");
    assert!(answer.body().contains("event 1"), "{answer:?}");
    assert_eq!(other.requests().len(), 0);
}

/// Guards against engines that order streams by the priority of the route, 0, and not by that of the
/// workspace.
#[test_case(Some(3); "of its workspace")]
#[test_case(None; "of its route")]
#[actix_rt::test]
async fn a_priority_reaches_the_engine(rank: Option<u8>) {
    let decode = StubServer::start(|_, _| events(0..2, true)).await;
    let entry = Deployment::start(vec![decode_server("d0", decode.address)]).await;
    if rank.is_some() {
        entry.apply_workspaces(2, Some(workspaces(&[KEY])), &[]);
    }
    let answer = send(&entry, Route::Stream, &has_key(KEY)).await;
    assert!(answer.has_last_chunk(), "{answer:?}");
    let sent = header(&decode.requests()[0], "t-priority");
    assert_eq!(sent, Some(rank.unwrap_or(0).to_string()));
}

/// Collects the lines of all tests of this process that contain an API key, or that refuse one.
struct LineCollector {
    keys: Mutex<Vec<String>>,
    refusals: Mutex<usize>,
}

static LINES: LineCollector = LineCollector {
    keys: Mutex::new(Vec::new()),
    refusals: Mutex::new(0),
};

struct LineFields(String);

impl<'kvs> log::kv::VisitSource<'kvs> for LineFields {
    fn visit_pair(
        &mut self,
        key: log::kv::Key<'kvs>,
        value: log::kv::Value<'kvs>,
    ) -> Result<(), log::kv::Error> {
        self.0 += &format!(" {key}={value}");
        Ok(())
    }
}

impl log::Log for LineCollector {
    fn enabled(&self, _: &log::Metadata<'_>) -> bool {
        true
    }

    fn log(&self, record: &log::Record<'_>) {
        let mut line = LineFields(record.args().to_string());
        let _ = record.key_values().visit(&mut line);
        if line.0.contains(KEY) {
            self.keys.lock().expect("lines").push(line.0);
        } else if line.0.starts_with("refused: not authorized") {
            *self.refusals.lock().expect("lines") += 1;
        }
    }

    fn flush(&self) {}
}

/// Guards against keys in logs and at servers.
#[actix_rt::test]
async fn a_key_reaches_no_log_line_and_no_server() {
    log::set_logger(&LINES).expect("no other logger");
    log::set_max_level(log::LevelFilter::Trace);
    let (entry, plain) = plain_entry().await;
    let prefill = StubServer::start(|_, _| Script::complete(200, "", "handle h0")).await;
    let decode = StubServer::start(|_, _| events(0..2, true)).await;
    entry.gateway.replace_servers(vec![
        plain_server("s0", plain.address),
        prefill_server("p0", prefill.address),
        decode_server("d0", decode.address),
    ]);
    for route in [Route::Unsafe, Route::Safe, Route::Stream] {
        assert_eq!(send(&entry, route, &has_key(KEY)).await.status(), 200);
    }
    let unknown = format!("{KEY}-2");
    let answer = send(&entry, Route::Unsafe, &has_key(&unknown)).await;
    assert_eq!(answer.status(), 401);
    assert!(!answer.0.contains(KEY), "{answer:?}");
    let sent = [plain.requests(), prefill.requests(), decode.requests()].concat();
    assert_eq!(sent.len(), 4, "{sent:?}");
    assert!(!sent.iter().any(|text| text.contains(KEY)), "{sent:?}");
    let named = |text: &str| header(text, "t-workspace");
    let names: Vec<Option<String>> = sent.iter().map(|text| named(text)).collect();
    let huka = Some("huka".to_owned());
    assert_eq!(names, [huka.clone(), None, huka.clone(), huka]);
    assert_eq!(*LINES.keys.lock().expect("lines"), Vec::<String>::new());
    assert!(*LINES.refusals.lock().expect("lines") > 0);
}
