//! Status and history show since when documents are in force, and status shows drains.

use bytes::Bytes;
use gs_platform::{Platform, WriteCondition};
use gs_protocol::admin::StatusView;
use gs_protocol::ids::SequenceNumber;
use gs_protocol::objects::{AppliedRecord, StatusRecord, status_key};
use gs_standin::platform::VmChange;
use serde_json::json;

use crate::support::{ALICE, AdminProcess, MONITOR, PlatformFixture, document, operation_key};

/// Writes the status record of an entry; `applied` holds sequence numbers with times, latest first.
async fn write_status(
    fixture: &PlatformFixture,
    environment: &str,
    entry: &str,
    applied: &[(u64, u64)],
) {
    let applied = applied.iter().map(|(sequence, since_ms)| AppliedRecord {
        sequence: SequenceNumber(*sequence),
        since_ms: *since_ms,
    });
    let mut applied: Vec<_> = applied.collect();
    let latest = applied.remove(0);
    let record = StatusRecord {
        incarnation: 1,
        sequence: latest.sequence,
        digest: String::new(),
        since_ms: latest.since_ms,
        earlier: applied,
    };
    let value = Bytes::from(serde_json::to_vec(&record).expect("JSON"));
    let key = status_key(environment, entry);
    let platform = fixture.platform();
    let existing = platform.read(&key).await.expect("read");
    let condition = match existing {
        Some(object) => WriteCondition::Version(object.version),
        None => WriteCondition::Absent,
    };
    platform
        .write(&key, value, condition)
        .await
        .expect("written");
}

/// Adds an entry to the platform's VM list.
async fn add_entry(fixture: &PlatformFixture, name: &str, port: u16) {
    let record = json!({
        "duty": "entry", "name": name, "peerAddress": format!("127.0.0.1:{port}"),
        "address": format!("127.0.0.1:{port}"), "dataCentre": "duluth", "state": "live",
    });
    let record = serde_json::from_value(record).expect("a VM");
    fixture.change_vms(VmChange::Set(record)).await;
}

async fn read_status(admin: &AdminProcess) -> StatusView {
    admin
        .get("status?environment=production", MONITOR)
        .await
        .parse()
}

#[actix_rt::test]
async fn status_shows_since_when_a_document_is_in_force_at_all_entries() {
    let fixture = PlatformFixture::start();
    let admin = fixture.start_admin();
    for (name, port) in [("one", 1), ("two", 2), ("of-trial", 3)] {
        add_entry(&fixture, name, port).await;
    }
    let first = document("first");
    admin
        .try_document(ALICE, operation_key(1, 0), &first)
        .await
        .accepted();
    admin
        .promote(ALICE, operation_key(2, 0), &first)
        .await
        .accepted();
    admin
        .promote(ALICE, operation_key(3, 1), &first)
        .await
        .accepted();
    write_status(&fixture, "trial", "of-trial", &[(1, 50)]).await;
    write_status(&fixture, "production", "one", &[(2, 200), (1, 100)]).await;
    assert_eq!(read_status(&admin).await.in_force_since_ms, None);
    write_status(&fixture, "production", "two", &[(1, 110)]).await;
    assert_eq!(read_status(&admin).await.in_force_since_ms, None);
    write_status(&fixture, "production", "two", &[(2, 230), (1, 110)]).await;
    write_status(&fixture, "production", "gone", &[(1, 90)]).await;
    let view = read_status(&admin).await;
    assert_eq!(view.in_force_since_ms, Some(230));
    let entries = view
        .entries
        .iter()
        .map(|entry| (entry.entry.as_str(), entry.listed));
    let entries: Vec<_> = entries.collect();
    assert_eq!(entries, [("gone", false), ("one", true), ("two", true)]);
    let history = admin.history("production").await;
    let in_force = history.entries[1].in_force.iter();
    let in_force: Vec<_> = in_force
        .map(|record| (record.entry.as_str(), record.since_ms))
        .collect();
    assert_eq!(in_force, [("gone", 90), ("one", 100), ("two", 110)]);
}

#[actix_rt::test]
async fn status_shows_a_drain_until_it_ends() {
    let fixture = PlatformFixture::start();
    let admin = fixture.start_admin();
    for on in [true, true, false, false, true] {
        let request = json!({ "server": "desk-1", "on": on });
        let reply = admin.post("drain", ALICE, &request).await;
        assert_eq!(reply.status, 200, "{reply:?}");
        let drains = read_status(&admin).await.drains;
        let shown = drains.iter().map(|drain| drain.record.operator.as_str());
        assert_eq!(
            shown.collect::<Vec<_>>(),
            if on { vec!["alice"] } else { vec![] }
        );
    }
}
