//! Entries apply accepted documents in order of their sequence numbers, from the platform or from
//! peers.

mod support;

use bytes::Bytes;
use gs_protocol::ids::{EntryName, SequenceNumber};
use gs_protocol::objects::StatusRecord;
use gs_standin::rig::{FleetRig, RigError};
use serde_json::json;
use support::CLERK;

type TestResult = Result<(), RigError>;

/// Sequence number of the document that an entry's responses report.
async fn sequence_at(rig: &FleetRig, entry: usize) -> Option<u64> {
    let bearer = format!("Bearer {CLERK}");
    let headers = [("authorization", bearer.as_str())];
    let address = rig.entries[entry].process.address;
    let call = rig
        .client
        .call(address, "GET", "/v1/entries", &headers, Bytes::new());
    call.await.ok()?.header("x-document-sequence")?.parse().ok()
}

async fn wait_for_sequence(rig: &FleetRig, entry: usize, sequence: u64) -> TestResult {
    let what = format!("document {sequence} at entry {entry}");
    rig.wait_for(&what, async || {
        sequence_at(rig, entry).await == Some(sequence)
    })
    .await
}

async fn set_outage(rig: &FleetRig, on: bool) -> TestResult {
    let outage = if on { "refuse" } else { "none" };
    let faults = json!({ "outage": outage });
    rig.client
        .post(rig.platform.address, "/control/faults", &faults)
        .await?;
    Ok(())
}

#[actix_rt::test]
async fn every_entry_applies_accepted_documents() -> TestResult {
    let mut rig = support::start(3, &json!({})).await?;
    rig.accept(&support::document()).await?;
    for entry in 0..3 {
        wait_for_sequence(&rig, entry, 2).await?;
    }
    let platform = rig.platform.address;
    let status = async || {
        let path = "/objects/gs/production/status/entry-1";
        rig.client
            .get::<StatusRecord>(platform, path)
            .await
            .map(|status| status.sequence.0)
    };
    rig.wait_for("the reported status", async || {
        status().await.is_ok_and(|sequence| sequence == 2)
    })
    .await
}

#[actix_rt::test]
async fn an_entry_started_during_an_outage_fetches_from_its_peers() -> TestResult {
    let mut rig = support::start(2, &json!({})).await?;
    rig.accept(&support::document()).await?;
    wait_for_sequence(&rig, 0, 2).await?;
    wait_for_sequence(&rig, 1, 2).await?;
    set_outage(&rig, true).await?;
    let peer = &rig.entries[0];
    let peers = json!([{
        "name": EntryName::from("entry-0"),
        "address": peer.process.address,
        "peerAddress": peer.process.peer_address,
        "dataCentre": "north",
    }]);
    rig.add_entry("entry-late", "north", &json!({ "peers": peers }))
        .await?;
    wait_for_sequence(&rig, 2, 2).await?;
    set_outage(&rig, false).await?;
    rig.accept(&support::document()).await?;
    for entry in 0..3 {
        wait_for_sequence(&rig, entry, 3).await?;
    }
    Ok(())
}

#[actix_rt::test]
async fn a_head_with_a_lower_sequence_is_ignored() -> TestResult {
    let mut rig = support::start(2, &json!({})).await?;
    let mut first = rig.accept(&support::document()).await?;
    first.sequence = SequenceNumber(1);
    wait_for_sequence(&rig, 0, 2).await?;
    wait_for_sequence(&rig, 1, 2).await?;
    rig.rewrite_head(&first).await?;
    let mut newer = support::document();
    newer["keyRetentionS"] = json!(3600);
    for _ in 0..20 {
        assert_eq!(sequence_at(&rig, 0).await, Some(2));
        assert_eq!(sequence_at(&rig, 1).await, Some(2));
        tokio::time::sleep(std::time::Duration::from_millis(50)).await;
    }
    rig.accept(&newer).await?;
    wait_for_sequence(&rig, 0, 3).await
}
