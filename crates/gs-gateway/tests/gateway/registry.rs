//! Readers of a registry that does not answer wait for each other.

use std::cell::Cell;
use std::rc::Rc;

use gs_control::forwarding::RegistryView;
use gs_gateway::Gateway;

use super::support::{Deployment, wait_until};

/// Number of turns that other tasks get before a test concludes that a reader still waits.
const TURNS: usize = 20;

/// Starts a task that waits for the registry; the returned flag tells when it goes on.
fn start_waiting(gateway: &Rc<Gateway>, reader: RegistryView) -> Rc<Cell<bool>> {
    let has_ended = Rc::new(Cell::new(false));
    let (gateway, flag) = (Rc::clone(gateway), Rc::clone(&has_ended));
    actix_rt::spawn(async move {
        gateway.wait_for_registry(reader).await;
        flag.set(true);
    });
    has_ended
}

async fn yield_turns() {
    for _ in 0..TURNS {
        tokio::task::yield_now().await;
    }
}

async fn start_outage() -> Rc<Gateway> {
    let gateway = Deployment::start(Vec::new()).await.gateway;
    gateway.record_registry_failure(RegistryView::Servers, 1);
    assert!(!gateway.is_registry_outage());
    gateway.record_registry_failure(RegistryView::Servers, 2);
    gateway.record_registry_failure(RegistryView::Routes, 1);
    assert!(gateway.is_registry_outage());
    gateway
}

#[actix_rt::test]
async fn an_answer_to_the_prober_wakes_the_readers_that_wait() {
    let gateway = start_outage().await;
    let waiting = start_waiting(&gateway, RegistryView::Routes);
    yield_turns().await;
    assert!(!waiting.get());
    gateway.record_registry_answer();
    assert!(!gateway.is_registry_outage());
    wait_until(|| waiting.get()).await;
}

/// The answer came after the reader's call had failed and before the reader began to wait.
#[actix_rt::test]
async fn a_reader_does_not_wait_for_an_answer_that_has_come() {
    let gateway = start_outage().await;
    gateway.record_registry_answer();
    let waiting = start_waiting(&gateway, RegistryView::Routes);
    wait_until(|| waiting.get()).await;
}

/// Fails two calls of one reader.
fn fail_twice(gateway: &Gateway) {
    gateway.record_registry_failure(RegistryView::Servers, 1);
    gateway.record_registry_failure(RegistryView::Servers, 2);
}

/// A peer that gets an answer tells this entry, whose prober then calls while the other reader still waits.
#[actix_rt::test]
async fn the_end_of_an_outage_at_a_peer_wakes_the_prober() {
    let mut entries = Vec::new();
    for number in 0..2 {
        entries.push(Deployment::start_named(&format!("entry-{number}"), Vec::new()).await);
    }
    let [peer, own] = [&entries[0].gateway, &entries[1].gateway];
    fail_twice(own);
    let prober = start_waiting(own, RegistryView::Servers);
    let other = start_waiting(own, RegistryView::Routes);
    yield_turns().await;
    assert!(!prober.get());
    Deployment::join(&entries).await;
    // An outage that ends before the peer is known tells nothing, so that it has several.
    wait_until(|| {
        fail_twice(peer);
        peer.record_registry_answer();
        prober.get()
    })
    .await;
    assert!(!other.get());
    assert!(own.is_registry_outage());
}
