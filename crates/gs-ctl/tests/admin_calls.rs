//! Tests of the commands that call the administration API, against a fake with scripted answers.

mod fake;

use fake::{CtlOutcome, ReceivedCall, ScriptedAnswer, TOKEN, run_scripted};
use serde_json::{Value, json};
use test_case::test_case;

const DIGEST: &str = "sha256:1111111111111111111111111111111111111111111111111111111111111111";
const OPERATION: &str = "0198c0de-0000-7000-8000-000000000001";

fn head(sequence: u64) -> Value {
    json!({
        "sequence": sequence,
        "digest": DIGEST,
        "previous": null,
        "acceptedAtMs": 1_700_000_000_000_u64,
        "operator": "release-manager",
        "operation": OPERATION,
        "rollBack": false
    })
}

fn head_answer() -> ScriptedAnswer {
    let value = json!({ "environment": "production", "head": head(4) });
    ScriptedAnswer::Json(200, value)
}

fn accepted(repeated: bool) -> ScriptedAnswer {
    let value = json!({ "head": head(5), "repeated": repeated });
    ScriptedAnswer::Json(200, value)
}

fn problem(status: u16, reason: &str, outcome: &str) -> ScriptedAnswer {
    let value = json!({
        "type": format!("urn:geraniumstage:admin:{reason}"),
        "status": status,
        "detail": format!("the reason is {reason}"),
        "reason": reason,
        "outcome": outcome,
        "winner": head(5)
    });
    ScriptedAnswer::Json(status, value)
}

/// Returns the calls that request a change.
fn change_calls(outcome: &CtlOutcome) -> Vec<&ReceivedCall> {
    let is_change = |call: &&ReceivedCall| call.target.starts_with("POST");
    outcome.calls.iter().filter(is_change).collect()
}

#[test]
fn a_promotion_replaces_the_head_that_was_read() {
    let outcome = run_scripted(&["promote", DIGEST], &[head_answer(), accepted(false)]);
    assert_eq!(outcome.code, Some(0), "{}", outcome.stderr);
    assert!(outcome.stdout.contains("production: sequence 5"));
    assert!(outcome.stdout.contains("2023-11-14T22:13:20Z"));
    let changes = change_calls(&outcome);
    let body: Value = serde_json::from_str(&changes[0].body).expect("the body is JSON");
    assert_eq!(body["digest"], DIGEST);
    assert_eq!(body["expected"], 4);
}

/// Guards against a retry that counts as a new operation and takes effect twice.
#[test]
fn a_lost_answer_is_retried_as_the_same_operation() {
    let answers = [
        head_answer(),
        ScriptedAnswer::NoAnswer,
        problem(503, "platform-unavailable", "unknown"),
        accepted(true),
    ];
    let outcome = run_scripted(&["promote", DIGEST], &answers);
    assert_eq!(outcome.code, Some(0), "{}", outcome.stderr);
    assert!(outcome.stdout.contains("an earlier call of this operation"));
    let changes = change_calls(&outcome);
    assert_eq!(changes.len(), 3);
    assert!(changes.iter().all(|call| *call == changes[0]));
}

#[test_case(&[problem(409, "overtaken", "not-run")], 4, "sequence 5 was taken by release-manager"; "overtaken")]
#[test_case(&[problem(403, "forbidden", "not-run")], 3, "the reason is forbidden"; "forbidden")]
#[test_case(&[problem(503, "platform-unavailable", "not-run")], 3, "the reason is platform-unavailable"; "platform unavailable before a write")]
#[test_case(&[problem(503, "platform-unavailable", "unknown")], 5, "repeat the command with --operation"; "platform unavailable after a write")]
#[test_case(&[ScriptedAnswer::NoAnswer, problem(409, "overtaken", "not-run")], 4, "sequence 5 was taken"; "overtaken after a lost answer")]
#[test_case(&[ScriptedAnswer::NoAnswer, problem(403, "forbidden", "not-run")], 5, "repeat the command with --operation"; "right revoked after a lost answer")]
#[test_case(&[ScriptedAnswer::Json(502, json!("no details"))], 5, "repeat the command with --operation"; "answer of another program")]
fn a_failed_promotion_reports_whether_it_took_effect(
    answers: &[ScriptedAnswer],
    code: i32,
    text: &str,
) {
    let arguments = ["promote", "--expected", "4", DIGEST];
    let outcome = run_scripted(&arguments, answers);
    assert_eq!(outcome.code, Some(code), "{}", outcome.stderr);
    assert!(outcome.stderr.contains(text), "{}", outcome.stderr);
    assert!(!outcome.stderr.contains(TOKEN));
}

#[test]
fn an_operation_from_the_options_is_sent_unchanged() {
    let arguments = ["rollback", "--operation", OPERATION, "--expected", "7", "3"];
    let outcome = run_scripted(&arguments, &[accepted(true)]);
    assert_eq!(outcome.code, Some(0), "{}", outcome.stderr);
    let body: Value = serde_json::from_str(&outcome.calls[0].body).expect("the body is JSON");
    let expected = json!({
        "environment": "production", "sequence": 3, "operation": OPERATION, "expected": 7
    });
    assert_eq!(body, expected);
}

#[test]
fn a_document_with_mistakes_is_not_sent() {
    let broken = concat!(env!("CARGO_MANIFEST_DIR"), "/tests/fixtures/broken.jsonc");
    let outcome = run_scripted(&["try", broken], &[accepted(false)]);
    assert_eq!(outcome.code, Some(1), "{}", outcome.stderr);
    assert_eq!(outcome.calls, []);
}

#[test]
fn a_document_is_sent_with_its_exact_bytes() {
    let file = concat!(
        env!("CARGO_MANIFEST_DIR"),
        "/../../examples/great-lakes.jsonc"
    );
    let outcome = run_scripted(&["try", "--expected", "0", file], &[accepted(false)]);
    assert_eq!(outcome.code, Some(0), "{}", outcome.stderr);
    let bytes = std::fs::read_to_string(file).expect("the example is there");
    assert_eq!(outcome.calls[0].body, bytes);
    assert!(
        outcome.calls[0]
            .target
            .starts_with("POST /admin/v1/try?operation=")
    );
    assert!(outcome.calls[0].target.ends_with("&expected=0"));
}

#[test]
fn bytes_that_do_not_match_the_digest_are_not_printed() {
    let outcome = run_scripted(&["show", DIGEST], &[ScriptedAnswer::Bytes("{}")]);
    assert_eq!(outcome.code, Some(5));
    assert_eq!(outcome.stdout, "");
}

#[test]
fn the_status_shows_entries_and_drained_servers() {
    let value = json!({
        "environment": "production",
        "head": head(5),
        "inForceSinceMs": null,
        "entries": [
            { "entry": "entry-1", "listed": true, "report": null },
        ],
        "drains": [{
            "server": "care-notes-1",
            "record": { "operator": "release-manager", "atMs": 0 }
        }]
    });
    let answers = [ScriptedAnswer::Json(200, value)];
    let outcome = run_scripted(&["status"], &answers);
    assert_eq!(outcome.code, Some(0), "{}", outcome.stderr);
    for text in [
        "not in force at every",
        "entry-1  yes",
        "care-notes-1  release-manager  1970",
    ] {
        assert!(outcome.stdout.contains(text), "{}", outcome.stdout);
    }
}
