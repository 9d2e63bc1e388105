//! Refusals of calls that lack a right or are malformed, with their log lines and metrics.

use actix_web::http::Method;
use gs_document::digest_token;
use gs_protocol::admin::AdminReason;
use serde_json::json;
use test_case::test_case;

use crate::support::{
    ALICE, BOB, MONITOR, PlatformFixture, document, document_with, operation_key,
};

/// The path of a well-formed `try` call.
const TRY: &str = "/admin/v1/try?operation=00000000-0000-0000-0000-000000000001&expected=0";

#[test_case(Method::GET, "/admin/v1/head", "", b"", AdminReason::Unauthorized; "no token")]
#[test_case(Method::GET, "/admin/v1/head", "guess", b"", AdminReason::Unauthorized; "unknown token")]
#[test_case(Method::POST, "/admin/v1/drain", MONITOR, br#"{"server":"a","on":true}"#, AdminReason::Forbidden; "monitor drains")]
#[test_case(Method::POST, "/admin/v1/drain", ALICE, br#"{"server":"../a","on":true}"#, AdminReason::BadRequest; "bad server name")]
#[test_case(Method::POST, "/admin/v1/promote", ALICE, b"{\"digest\":", AdminReason::BadRequest; "broken JSON")]
#[test_case(Method::POST, "/admin/v1/promote", ALICE, b"{\"digests\":1}", AdminReason::BadRequest; "unknown field")]
#[test_case(Method::POST, "/admin/v1/try?expected=x", ALICE, b"", AdminReason::BadRequest; "bad query")]
#[test_case(Method::POST, "/admin/v1/check", ALICE, &[b' '; 20_001], AdminReason::TooLarge; "document over the limit")]
#[test_case(Method::POST, TRY, ALICE, &[0xff, 0xfe], AdminReason::InvalidDocument; "not UTF-8")]
#[test_case(Method::GET, "/admin/v1/head?environment=none", ALICE, b"", AdminReason::NotFound; "unknown environment")]
#[test_case(Method::GET, "/admin/v1/documents/sha256:0", ALICE, b"", AdminReason::NotFound; "malformed digest")]
#[test_case(Method::GET, "/admin/v2/head", ALICE, b"", AdminReason::NotFound; "unknown call")]
#[actix_rt::test]
async fn a_refused_call_has_a_reason_and_is_logged_and_counted(
    method: Method,
    path: &str,
    token: &str,
    body: &[u8],
    reason: AdminReason,
) {
    let fixture = PlatformFixture::start();
    let admin = fixture.start_admin();
    let reply = admin.send(method, path, token, body.to_vec()).await;
    assert_eq!(reply.problem().reason, reason);
    let metrics = admin.send(Method::GET, "/metrics", "", Vec::new()).await;
    let metrics = String::from_utf8(metrics.body).expect("text");
    let label = format!("reason=\"{}\"}} 1", reason.label());
    assert!(metrics.contains(&label), "{metrics}");
    let log = admin.wait_for_log(&format!("reason={}", reason.label()));
    assert!(token.is_empty() || !log.contains(token));
}

#[actix_rt::test]
async fn the_document_in_force_grants_and_revokes_rights() {
    let fixture = PlatformFixture::start();
    let admin = fixture.start_admin();
    let rights = json!(["promote", "read", "try"]);
    let only_bob = json!({ "bob": { "tokenDigests": [digest_token(BOB)], "rights": rights } });
    let tried = document_with("first", &only_bob);
    admin
        .try_document(ALICE, operation_key(1, 0), &tried)
        .await
        .accepted();
    let second = document("second");
    let refused = admin
        .try_document(ALICE, operation_key(2, 1), &second)
        .await
        .problem();
    assert_eq!(refused.reason, AdminReason::Forbidden);
    admin
        .try_document(BOB, operation_key(3, 1), &second)
        .await
        .accepted();
    // The first document grants nobody the right to drain, so the operators in the settings keep it.
    let drain = json!({ "environment": "production", "server": "desk-1", "on": true });
    admin
        .promote(ALICE, operation_key(4, 0), &tried)
        .await
        .accepted();
    assert_eq!(admin.post("drain", ALICE, &drain).await.status, 200);
    let refused = admin
        .promote(ALICE, operation_key(5, 1), &second)
        .await
        .problem();
    assert_eq!(refused.reason, AdminReason::Forbidden);
}
