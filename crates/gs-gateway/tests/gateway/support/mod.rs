//! A gateway on loopback, servers with scripted faults, and a client that works on raw bytes.

mod client;
mod deployment;
mod events;
mod server;
mod wire;

pub use client::{RawAnswer, RawClient};
pub use deployment::{
    Deployment, Route, decode_server, keyed_table, plain_server, prefill_server, request,
    route_table,
};
pub use events::{EVENT_PAUSE, event, events};
pub use server::{Script, StubServer, header};

/// Waits until a condition holds; panics after ten seconds.
pub async fn wait_until(condition: impl Fn() -> bool) {
    for _ in 0..1_000 {
        if condition() {
            return;
        }
        tokio::time::sleep(std::time::Duration::from_millis(10)).await;
    }
    panic!("the condition did not hold within ten seconds");
}
