//! Servers and instants for the tests.

use std::net::SocketAddr;
use std::time::{Duration, Instant};

use gs_control::forwarding::{ListedServer, ServerStage};

pub fn milliseconds(count: u64) -> Duration {
    Duration::from_millis(count)
}

pub fn server(number: u16, stage: Option<ServerStage>) -> ListedServer {
    ListedServer {
        name: format!("server-{number}").as_str().into(),
        started_at_ms: Some(u64::from(number)),
        service: "notes".into(),
        address: SocketAddr::from(([127, 0, 0, 1], 4_000 + number)),
        data_centre: "north".into(),
        slots: 4,
        is_leaving: false,
        stage,
        software: "v1".into(),
    }
}

pub fn start() -> Instant {
    // In the future, so that tests can subtract from it without underflow.
    Instant::now() + Duration::from_secs(3_600)
}
