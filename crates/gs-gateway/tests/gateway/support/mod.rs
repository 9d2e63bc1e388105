//! A gateway on loopback, servers that misbehave, and a client that speaks bytes.

mod client;
mod deployment;
mod server;
mod wire;

pub use client::{RawAnswer, RawClient};
pub use deployment::{Deployment, Route, decode_entry, prefill_entry, request, service_entry};
pub use server::{Script, StubServer, header};

/// Waits for something to become true, ten seconds at most.
pub async fn wait_until(is_so: impl Fn() -> bool) {
    for _ in 0..1_000 {
        if is_so() {
            return;
        }
        tokio::time::sleep(std::time::Duration::from_millis(10)).await;
    }
    panic!("not within ten seconds");
}
