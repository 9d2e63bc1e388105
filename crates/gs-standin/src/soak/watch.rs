//! Checks while the soak runs.

use std::rc::Rc;
use std::time::Duration;

use bytes::Bytes;
use gs_protocol::caller::SEQUENCE_HEADER;
use gs_protocol::engine::HeldResource;
use tokio::time::{sleep, timeout};

use super::board::EntryTarget;
use super::deployment::{CALLER_TOKENS, COMPLETION_MS};
use super::journal::CheckPoint;
use super::shared::SoakShared;

/// Between two looks at an entry's document.
const DOCUMENT_INTERVAL: Duration = Duration::from_millis(200);

/// Between two looks at what engines hold.
const HELD_INTERVAL: Duration = Duration::from_millis(500);

/// How long one look waits: the process may be stopped.
const LOOK_PATIENCE: Duration = Duration::from_secs(2);

/// The age beyond which something held cannot belong to a request that still runs, in milliseconds:
/// the longest request and as much again for busy machines and stopped processes.
const MAX_HELD_MS: u64 = 2 * COMPLETION_MS;

/// The sequence number of the document in force at an entry; none if it does not say.
pub async fn read_sequence(shared: &SoakShared, target: EntryTarget) -> Option<u64> {
    let bearer = format!("Bearer {}", CALLER_TOKENS[0]);
    let headers = [("authorization", bearer.as_str())];
    let call = shared
        .client
        .call(target.address, "GET", "/v1/entries", &headers, Bytes::new());
    let answer = timeout(LOOK_PATIENCE, call).await.ok()?.ok()?;
    answer.header(SEQUENCE_HEADER)?.parse().ok()
}

/// Checks that the document of an entry never goes back.
pub async fn watch_documents(shared: Rc<SoakShared>, slot: usize) {
    let mut last: Option<(usize, u64)> = None;
    while !shared.ended.get() {
        sleep(DOCUMENT_INTERVAL).await;
        let target = shared.board.borrow().target(slot);
        let Some(sequence) = read_sequence(&shared, target).await else {
            continue;
        };
        match last {
            Some((start, before)) if start == target.start && sequence < before => {
                let detail = format!("{target:?} went from document {before} to {sequence}");
                shared.violate(CheckPoint::Document, detail);
            }
            _ => shared.journal.borrow_mut().count_check("documents read"),
        }
        last = Some((target.start, sequence));
    }
}

/// What an engine holds; none if it does not say.
pub async fn read_held(shared: &SoakShared, slot: usize) -> Option<Vec<HeldResource>> {
    let address = shared.board.borrow().engines[slot].address;
    let call = shared.client.get(address, "/v1/held");
    timeout(LOOK_PATIENCE, call).await.ok()?.ok()
}

/// Checks that engines hold nothing for longer than any request takes.
pub async fn watch_held(shared: Rc<SoakShared>, slot: usize) {
    while !shared.ended.get() {
        sleep(HELD_INTERVAL).await;
        if !shared.board.borrow().engines[slot].answers {
            continue;
        }
        let Some(records) = read_held(&shared, slot).await else {
            continue;
        };
        shared.journal.borrow_mut().count_check("engines read");
        for record in records.iter().filter(|record| record.age_ms > MAX_HELD_MS) {
            let detail = format!("engine {slot} still holds {record:?}");
            shared.violate(CheckPoint::Held, detail);
        }
    }
}
