//! Runs [`HttpPlatform`] against the platform stand-in. Guards against a fault whose error
//! misreports whether the write may have taken effect.

use std::io::{Read, Write};
use std::net::{SocketAddr, TcpListener};
use std::time::Duration;

use bytes::Bytes;
use gs_platform::{HttpPlatform, HttpPlatformOptions, Platform, PlatformError, WriteCondition};
use gs_protocol::ids::ObjectVersion;
use gs_protocol::vm::{VmRecord, VmState, VmWorkload};
use gs_standin::platform::{
    CallStats, FaultSwitches, OutageKind, PlatformHandle, PlatformOptions, start,
};
use test_case::test_case;

const KEY: &str = "gs/trial/a key: ü";

fn start_standin() -> (PlatformHandle, HttpPlatform) {
    let handle = start(&PlatformOptions::default()).expect("the stand-in starts");
    let platform = connect(handle.address());
    (handle, platform)
}

fn connect(address: SocketAddr) -> HttpPlatform {
    let mut options = HttpPlatformOptions::new(address);
    options.answer_timeout = Duration::from_millis(300);
    HttpPlatform::new(options)
}

async fn set_faults(handle: &PlatformHandle, faults: FaultSwitches) {
    let url = format!("http://{}/control/faults", handle.address());
    let sent = awc::Client::default().post(url).send_json(&faults).await;
    assert!(
        sent.expect("the control call is answered")
            .status()
            .is_success()
    );
}

fn conflict(expected: Option<u64>) -> PlatformError {
    PlatformError::Conflict {
        key: KEY.to_owned(),
        expected: expected.map(ObjectVersion),
    }
}

#[actix_rt::test]
async fn writes_are_conditional_and_versions_increase() {
    let (handle, platform) = start_standin();
    let absent = WriteCondition::Absent;
    let first = platform.write(KEY, Bytes::from_static(b"1"), absent).await;
    assert_eq!(first, Ok(ObjectVersion(1)));
    let second = platform.write(KEY, Bytes::from_static(b"2"), absent).await;
    assert_eq!(second, Err(conflict(None)));
    platform
        .remove(KEY, ObjectVersion(1))
        .await
        .expect("removed");
    let recreated = platform.write(KEY, Bytes::from_static(b"3"), absent).await;
    assert_eq!(recreated, Ok(ObjectVersion(3)));
    let stale = WriteCondition::Version(ObjectVersion(1));
    let stale = platform.write(KEY, Bytes::from_static(b"4"), stale).await;
    assert_eq!(stale, Err(conflict(Some(1))));
    let object = platform.read(KEY).await.expect("read").expect("present");
    assert_eq!((object.version.0, object.value.as_ref()), (3, &b"3"[..]));
    let list = platform.list("gs/trial/").await.expect("listed");
    assert_eq!((list.objects.len(), list.revision), (1, 3));
    handle.close().await;
}

#[actix_rt::test]
async fn a_watch_returns_on_a_change_and_reports_removals() {
    let (handle, platform) = start_standin();
    let wait = Duration::from_secs(20);
    let writer = connect(handle.address());
    let write = async {
        tokio::time::sleep(Duration::from_millis(30)).await;
        writer
            .write(KEY, Bytes::new(), WriteCondition::Absent)
            .await
    };
    let (watched, _) = futures_util::join!(platform.watch("gs/", 0, wait), write);
    assert_eq!(
        watched.expect("watched").changes[0].version,
        ObjectVersion(1)
    );
    platform
        .remove(KEY, ObjectVersion(1))
        .await
        .expect("removed");
    let removed = platform.watch("gs/", 1, wait).await.expect("watched");
    assert_eq!((removed.changes[0].version.0, removed.revision), (0, 2));
    handle.close().await;
}

fn outage(outage: OutageKind) -> FaultSwitches {
    FaultSwitches {
        outage,
        ..FaultSwitches::default()
    }
}

fn unsettled() -> PlatformError {
    PlatformError::Unsettled {
        key: KEY.to_owned(),
    }
}

#[test_case(outage(OutageKind::Refuse), PlatformError::Refused { status: 503 }, false; "refused with 503")]
#[test_case(outage(OutageKind::Close), unsettled(), false; "closed without effect")]
#[test_case(outage(OutageKind::Silent), unsettled(), false; "no answer")]
#[test_case(FaultSwitches { lose_answers: 1, ..Default::default() }, unsettled(), true; "answer lost after the effect")]
#[test_case(FaultSwitches { slow_answer_ms: 900, ..Default::default() }, unsettled(), true; "answer late")]
#[actix_rt::test]
async fn an_error_tells_whether_the_write_took_effect(
    faults: FaultSwitches,
    expected: PlatformError,
    effect: bool,
) {
    let (handle, platform) = start_standin();
    set_faults(&handle, faults).await;
    let written = platform
        .write(KEY, Bytes::new(), WriteCondition::Absent)
        .await;
    assert_eq!(written, Err(expected));
    set_faults(&handle, FaultSwitches::default()).await;
    let object = platform.read(KEY).await.expect("the outage is over");
    assert_eq!(object.is_some(), effect);
    handle.close().await;
}

#[actix_rt::test]
async fn a_closed_port_is_unreachable() {
    let listener = std::net::TcpListener::bind("127.0.0.1:0").expect("a free port");
    let address = listener.local_addr().expect("bound");
    drop(listener);
    let platform = connect(address);
    let written = platform
        .write(KEY, Bytes::new(), WriteCondition::Absent)
        .await;
    let address = address.to_string();
    assert_eq!(written, Err(PlatformError::Unreachable { address }));
}

#[actix_rt::test]
async fn calls_over_the_rate_limit_are_refused_and_counted() {
    let options = PlatformOptions {
        reads_per_s: 3,
        ..PlatformOptions::default()
    };
    let handle = start(&options).expect("the stand-in starts");
    let platform = connect(handle.address());
    let calls = (0..40).map(|_| platform.read(KEY));
    let answers = futures_util::future::join_all(calls).await;
    let rate_limited = Err(PlatformError::Refused { status: 429 });
    assert!(answers.contains(&Ok(None)) && answers.contains(&rate_limited));
    let url = format!("http://{}/control/stats", handle.address());
    let mut answer = awc::Client::default().get(url).send().await.expect("sent");
    let stats = answer.json::<CallStats>().await.expect("statistics");
    let refused = answers
        .iter()
        .filter(|answer| **answer == rate_limited)
        .count();
    assert_eq!((stats.reads, stats.refused), (40, refused as u64));
    handle.close().await;
}

/// Answers one request with a JSON body.
fn answer_once(body: &'static str) -> SocketAddr {
    let listener = TcpListener::bind("127.0.0.1:0").expect("a port");
    let address = listener.local_addr().expect("an address");
    std::thread::spawn(move || {
        let (mut stream, _) = listener.accept().expect("a connection");
        let _ = stream.read(&mut [0; 4_096]).expect("a request");
        let length = body.len();
        let answer = format!("HTTP/1.1 200 OK\r\ncontent-length: {length}\r\n\r\n{body}");
        stream.write_all(answer.as_bytes()).expect("sent");
    });
    address
}

/// Guards against a VM list that cannot be used because one record in it cannot be read.
#[test_case(r#"{"duty":"future","address":"127.0.0.1:1"}"#; "an unknown duty")]
#[test_case(r#"{"duty":"server","name":"caf\ud83d"}"#; "half of a surrogate pair")]
#[test_case("null"; "null")]
#[actix_rt::test]
async fn an_unreadable_vm_record_does_not_hide_the_others(record: &str) {
    let sound = serde_json::to_string(&vm_record()).expect("a record");
    let body: &'static str = format!("[{record},{sound}]").leak();
    let listed = connect(answer_once(body)).list_vms().await;
    assert_eq!(listed, Ok(vec![vm_record()]));
}

fn vm_record() -> VmRecord {
    VmRecord {
        workload: VmWorkload::Server {
            name: "desk-1".into(),
            kind: "desk".into(),
        },
        address: SocketAddr::from(([127, 0, 0, 1], 9)),
        data_centre: "north".into(),
        state: VmState::Live,
    }
}
