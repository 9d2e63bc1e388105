//! Checks that run during the soak.

use std::rc::Rc;
use std::time::Duration;

use bytes::Bytes;
use gs_protocol::caller::SEQUENCE_HEADER;
use gs_protocol::engine::HeldResource;
use tokio::time::{sleep, timeout};

use super::context::SoakContext;
use super::deployment::{CALLER_TOKENS, COMPLETION_MS};
use super::fleet::EntryTarget;
use super::journal::SoakInvariant;

/// Interval at which the document of an entry is read.
const DOCUMENT_POLL_INTERVAL: Duration = Duration::from_millis(200);

/// Interval at which the held records of an engine are read.
const HELD_POLL_INTERVAL: Duration = Duration::from_millis(500);

/// Time limit of one read, as the process may be paused.
const READ_TIMEOUT: Duration = Duration::from_secs(2);

/// The age beyond which a held record cannot belong to a running request, in milliseconds: twice
/// the time limit of a completion, to allow for busy machines and paused processes.
const MAX_HELD_MS: u64 = 2 * COMPLETION_MS;

/// Reads the sequence number of the document in force at an entry; `None` if the read fails.
pub async fn read_sequence(context: &SoakContext, target: EntryTarget) -> Option<u64> {
    let bearer = format!("Bearer {}", CALLER_TOKENS[0]);
    let headers = [("authorization", bearer.as_str())];
    let call = context
        .client
        .call(target.address, "GET", "/v1/entries", &headers, Bytes::new());
    let answer = timeout(READ_TIMEOUT, call).await.ok()?.ok()?;
    answer.header(SEQUENCE_HEADER)?.parse().ok()
}

/// Checks that an entry never replaces its document by an older one.
pub async fn watch_documents(context: Rc<SoakContext>, slot: usize) {
    let mut last: Option<(usize, u64)> = None;
    while !context.stopped.get() {
        sleep(DOCUMENT_POLL_INTERVAL).await;
        let target = context.fleet.borrow().target(slot);
        let Some(sequence) = read_sequence(&context, target).await else {
            continue;
        };
        match last {
            Some((start, before)) if start == target.start && sequence < before => {
                let detail = format!("{target:?} went back from document {before} to {sequence}");
                context.record_violation(SoakInvariant::Document, detail);
            }
            _ => context.journal.borrow_mut().count_check("documents read"),
        }
        last = Some((target.start, sequence));
    }
}

/// Reads the held records of an engine; `None` if the read fails.
pub async fn read_held(context: &SoakContext, slot: usize) -> Option<Vec<HeldResource>> {
    let address = context.fleet.borrow().engines[slot].address;
    let call = context.client.get(address, "/v1/held");
    timeout(READ_TIMEOUT, call).await.ok()?.ok()
}

/// Checks that an engine holds no record for longer than any request takes.
pub async fn watch_held(context: Rc<SoakContext>, slot: usize) {
    while !context.stopped.get() {
        sleep(HELD_POLL_INTERVAL).await;
        if !context.fleet.borrow().engines[slot].responsive {
            continue;
        }
        let Some(records) = read_held(&context, slot).await else {
            continue;
        };
        context.journal.borrow_mut().count_check("engines read");
        for record in records.iter().filter(|record| record.age_ms > MAX_HELD_MS) {
            let detail = format!("engine {slot} still holds {record:?}");
            context.record_violation(SoakInvariant::Held, detail);
        }
    }
}
