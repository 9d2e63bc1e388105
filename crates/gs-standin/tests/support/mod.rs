//! Starts stand-ins on threads of the test process and calls them over loopback.

#![allow(dead_code)]

use std::fmt::Debug;
use std::net::SocketAddr;
use std::sync::mpsc;
use std::time::{Duration, Instant};

use awc::Client;
use bpaf::{Args, Parser};
use gs_protocol::engine::{
    EnginePriority, HeldResource, KvSource, PrefillRequest, ReserveRequest, StreamEvent,
    StreamRequest,
};
use gs_protocol::ids::{AttemptId, EntryIdentity, Incarnation};
use gs_standin::engine::{EngineServer, engine_options};
use gs_standin::relay::{RelayServer, relay_options};
use gs_standin::service::{ServiceServer, service_options};
use serde::Serialize;
use serde::de::DeserializeOwned;

/// Time limit of calls and of waiting for a condition.
const WAIT_TIMEOUT: Duration = Duration::from_secs(20);

/// Pause between two checks of a condition.
const POLL_INTERVAL: Duration = Duration::from_millis(5);

/// Starts an engine with the given command-line arguments; returns its address.
pub fn start_engine(arguments: &[&str]) -> SocketAddr {
    let options = parse(engine_options(), arguments);
    start(async move || {
        let server = EngineServer::bind(options).expect("bind");
        (server.address(), server.run())
    })
}

/// Starts a service; returns its address.
pub fn start_service() -> SocketAddr {
    let options = parse(service_options(), &[]);
    start(async move || {
        let server = ServiceServer::bind(options).expect("bind");
        (server.address(), server.run())
    })
}

/// Starts a relay to `to`; returns its address and its control address.
pub fn start_relay(to: SocketAddr, arguments: &[&str]) -> (SocketAddr, SocketAddr) {
    let to = to.to_string();
    let arguments = [&["--to", to.as_str()], arguments].concat();
    let options = parse(relay_options(), &arguments);
    start(async move || {
        let server = RelayServer::bind(options).await.expect("bind");
        ((server.address(), server.control_address()), server.run())
    })
}

/// Parses options from command-line arguments.
pub fn parse<T: 'static>(parser: impl Parser<T> + 'static, arguments: &[&str]) -> T {
    let options = parser.to_options();
    options.run_inner(Args::from(arguments)).expect("arguments")
}

/// Runs a server on its own thread; returns the address or addresses given by `bind`.
pub fn start<A: Send + 'static, E: Debug, R: Future<Output = Result<(), E>>>(
    bind: impl AsyncFnOnce() -> (A, R) + Send + 'static,
) -> A {
    let (sender, receiver) = mpsc::channel();
    std::thread::spawn(move || {
        actix_rt::System::new().block_on(async {
            let (address, run) = bind().await;
            sender.send(address).expect("send");
            run.await.expect("serve");
        });
    });
    receiver.recv().expect("address")
}

/// Posts JSON; returns the status and the body.
pub async fn post(address: SocketAddr, path: &str, body: &impl Serialize) -> (u16, Vec<u8>) {
    let client = Client::builder().timeout(WAIT_TIMEOUT).finish();
    let call = client.post(format!("http://{address}{path}"));
    let mut answer = call.send_json(body).await.expect("answer");
    let body = answer.body().await.expect("body");
    (answer.status().as_u16(), body.to_vec())
}

/// Sends a GET request and parses the JSON response.
pub async fn get<T: DeserializeOwned>(address: SocketAddr, path: &str) -> T {
    let client = Client::builder().timeout(WAIT_TIMEOUT).finish();
    let call = client.get(format!("http://{address}{path}"));
    let mut answer = call.send().await.expect("answer");
    let body = answer.body().await.expect("body");
    serde_json::from_slice(&body).expect("JSON")
}

/// Sets faults from a JSON object.
pub async fn set_faults(address: SocketAddr, faults: serde_json::Value) {
    let (status, _) = post(address, "/control/faults", &faults).await;
    assert_eq!(status, 200);
}

/// Waits until the resources held by an engine satisfy a condition.
pub async fn wait_held(address: SocketAddr, condition: impl Fn(&[HeldResource]) -> bool) {
    let held = |held: &Vec<HeldResource>| condition(held);
    wait_until(address, "/v1/held", held).await;
}

/// Polls a JSON resource until it satisfies a condition.
pub async fn wait_until<T>(address: SocketAddr, path: &str, condition: impl Fn(&T) -> bool)
where
    T: Debug + DeserializeOwned,
{
    let start = Instant::now();
    loop {
        let value: T = get(address, path).await;
        if condition(&value) {
            return;
        }
        assert!(
            start.elapsed() < WAIT_TIMEOUT,
            "condition not met, last value: {value:?}"
        );
        tokio::time::sleep(POLL_INTERVAL).await;
    }
}

/// Builds an attempt identity from a number.
pub fn attempt(number: u128) -> AttemptId {
    AttemptId(uuid::Uuid::from_u128(number))
}

/// Owner of all orders.
pub fn owner() -> EntryIdentity {
    EntryIdentity {
        entry: "entry-1".into(),
        incarnation: Incarnation(1),
    }
}

/// Builds an order that reserves a slot of 64 tokens.
pub fn reserve_order(attempt: AttemptId) -> ReserveRequest {
    ReserveRequest {
        attempt,
        owner: owner(),
        model: "base".into(),
        tokens: 64,
        ttl: WAIT_TIMEOUT,
    }
}

/// Builds an order to prefill a prompt.
pub fn prefill_order(attempt: AttemptId, priority: EnginePriority, prompt: &str) -> PrefillRequest {
    PrefillRequest {
        attempt,
        owner: owner(),
        model: "base".into(),
        priority,
        prompt: prompt.to_owned(),
    }
}

/// Builds an order to stream the tokens `from_index..max_tokens` of seed 7.
pub fn stream_order(
    attempt: AttemptId,
    source: KvSource,
    from_index: u32,
    max_tokens: u32,
) -> StreamRequest {
    StreamRequest {
        attempt,
        owner: owner(),
        model: "base".into(),
        source,
        max_tokens,
        from_index,
        seed: 7,
    }
}

/// Parses the server-sent events of a complete body.
pub fn parse_events(body: &[u8]) -> Vec<StreamEvent> {
    let text = std::str::from_utf8(body).expect("UTF-8");
    let lines = text.lines().filter_map(|line| line.strip_prefix("data: "));
    lines
        .map(|line| serde_json::from_str(line).expect("event"))
        .collect()
}
