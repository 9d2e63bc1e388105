//! Starts stand-ins on threads of the test and calls them over loopback.

#![allow(dead_code)]

use std::net::SocketAddr;
use std::sync::mpsc;
use std::time::{Duration, Instant};

use awc::Client;
use bpaf::{Args, Parser};
use gs_protocol::engine::{
    EnginePriority, HeldRecord, KvSource, PrefillOrder, ReserveOrder, StreamEvent, StreamOrder,
};
use gs_protocol::ids::{AttemptId, EntryIdentity, Incarnation};
use gs_standin::engine::{EngineServer, engine_options};
use gs_standin::service::{ServiceServer, service_options};
use serde::Serialize;
use serde::de::DeserializeOwned;

/// How long a test waits for something to happen.
const PATIENCE: Duration = Duration::from_secs(20);

/// How long a test waits between two looks.
const LOOK_INTERVAL: Duration = Duration::from_millis(5);

/// Starts an engine with the given arguments.
pub fn start_engine(arguments: &[&str]) -> SocketAddr {
    let options = engine_options().to_options();
    let options = options.run_inner(Args::from(arguments)).expect("arguments");
    let (sender, receiver) = mpsc::channel();
    std::thread::spawn(move || {
        actix_rt::System::new().block_on(async {
            let server = EngineServer::bind(options).expect("bind");
            sender.send(server.address()).expect("send");
            server.run().await.expect("serve");
        });
    });
    receiver.recv().expect("address")
}

/// Starts a service.
pub fn start_service() -> SocketAddr {
    let options = service_options().to_options();
    let options = options.run_inner(Args::from(&[])).expect("arguments");
    let (sender, receiver) = mpsc::channel();
    std::thread::spawn(move || {
        actix_rt::System::new().block_on(async {
            let server = ServiceServer::bind(options).expect("bind");
            sender.send(server.address()).expect("send");
            server.run().await.expect("serve");
        });
    });
    receiver.recv().expect("address")
}

/// Posts JSON; returns the status and the body.
pub async fn post(address: SocketAddr, path: &str, body: &impl Serialize) -> (u16, Vec<u8>) {
    let client = Client::builder().timeout(PATIENCE).finish();
    let call = client.post(format!("http://{address}{path}"));
    let mut answer = call.send_json(body).await.expect("answer");
    let body = answer.body().await.expect("body");
    (answer.status().as_u16(), body.to_vec())
}

/// Gets JSON.
pub async fn get<T: DeserializeOwned>(address: SocketAddr, path: &str) -> T {
    let client = Client::builder().timeout(PATIENCE).finish();
    let call = client.get(format!("http://{address}{path}"));
    let mut answer = call.send().await.expect("answer");
    let body = answer.body().await.expect("body");
    serde_json::from_slice(&body).expect("JSON")
}

/// Sets faults, given as JSON.
pub async fn set_faults(address: SocketAddr, faults: serde_json::Value) {
    let (status, _) = post(address, "/control/faults", &faults).await;
    assert_eq!(status, 200);
}

/// Waits until an engine holds what the test asks for.
pub async fn wait_held(address: SocketAddr, wanted: impl Fn(&[HeldRecord]) -> bool) {
    let start = Instant::now();
    loop {
        let held: Vec<HeldRecord> = get(address, "/v1/held").await;
        if wanted(&held) {
            return;
        }
        assert!(start.elapsed() < PATIENCE, "still held: {held:?}");
        tokio::time::sleep(LOOK_INTERVAL).await;
    }
}

/// An attempt with a fixed identity.
pub fn attempt(number: u128) -> AttemptId {
    AttemptId(uuid::Uuid::from_u128(number))
}

/// The owner of every order.
pub fn owner() -> EntryIdentity {
    EntryIdentity {
        entry: "entry-1".into(),
        incarnation: Incarnation(1),
    }
}

/// An order for a slot of 64 tokens.
pub fn reserve_order(attempt: AttemptId) -> ReserveOrder {
    ReserveOrder {
        attempt,
        owner: owner(),
        model: "base".into(),
        tokens: 64,
        ttl: PATIENCE,
    }
}

/// An order to prefill a prompt.
pub fn prefill_order(attempt: AttemptId, priority: EnginePriority, prompt: &str) -> PrefillOrder {
    PrefillOrder {
        attempt,
        owner: owner(),
        model: "base".into(),
        priority,
        prompt: prompt.to_owned(),
    }
}

/// An order for the tokens `from_index..max_tokens` of seed 7.
pub fn stream_order(
    attempt: AttemptId,
    source: KvSource,
    from_index: u32,
    max_tokens: u32,
) -> StreamOrder {
    StreamOrder {
        attempt,
        owner: owner(),
        model: "base".into(),
        source,
        max_tokens,
        from_index,
        seed: 7,
    }
}

/// Reads server-sent events from a whole body.
pub fn parse_events(body: &[u8]) -> Vec<StreamEvent> {
    let text = std::str::from_utf8(body).expect("UTF-8");
    let lines = text.lines().filter_map(|line| line.strip_prefix("data: "));
    lines
        .map(|line| serde_json::from_str(line).expect("event"))
        .collect()
}
