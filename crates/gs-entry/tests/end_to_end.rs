//! Requests from a caller to engines and services through a deployment of separate processes.

mod support;

use bytes::Bytes;
use gs_protocol::caller::EntryList;
use gs_protocol::refusal::{RefusalReason, RequestOutcome};
use gs_standin::harness::{HarnessError, ServerSpec};
use serde_json::{Value, json};
use support::{CLERK, completion, held};
use test_case::test_case;

type TestResult = Result<(), HarnessError>;

#[actix_rt::test]
async fn all_entries_are_listed_and_give_the_same_answer() -> TestResult {
    let harness = support::start(2, &json!({})).await?;
    let bearer = format!("Bearer {CLERK}");
    let first = harness.entries[0].process.address;
    let list = async || {
        let headers = [("authorization", bearer.as_str())];
        let call = harness
            .client
            .call(first, "GET", "/v1/entries", &headers, Bytes::new());
        call.await
            .and_then(|answer| answer.json::<EntryList>())
            .expect("entry list")
            .entries
    };
    harness
        .wait_for("both entries in the list", async || list().await.len() == 2)
        .await?;
    let mut texts = Vec::new();
    for entry in list().await {
        let body = completion("what became of ticket 12", 8, true);
        let answer = harness
            .client
            .post_as(entry.address, "/v1/completions", CLERK, &body)
            .await?;
        assert_eq!(answer.status, 200);
        assert_eq!(answer.header("x-document-sequence"), Some("1"));
        let streamed = answer.parse_stream();
        assert!(streamed.complete);
        assert_eq!(streamed.tokens.len(), 8);
        texts.push(streamed.tokens);
    }
    assert_eq!(texts[0], texts[1], "the same request has the same answer");
    harness
        .wait_for("released engine resources", async || {
            held(&harness).await.is_empty()
        })
        .await
}

#[actix_rt::test]
async fn a_complete_answer_has_the_text_of_the_stream() -> TestResult {
    let harness = support::start(1, &json!({})).await?;
    let entry = harness.entries[0].process.address;
    let streamed = completion("wash notes for batch 4", 12, true);
    let streamed = harness
        .client
        .post_as(entry, "/v1/completions", CLERK, &streamed)
        .await?
        .parse_stream();
    let complete = completion("wash notes for batch 4", 12, false);
    let complete: Value = harness
        .client
        .post_as(entry, "/v1/completions", CLERK, &complete)
        .await?
        .json()?;
    assert_eq!(complete["choices"][0]["text"], streamed.tokens.concat());
    assert_eq!(complete["usage"]["completion_tokens"], 12);
    assert_eq!(complete["choices"][0]["finish_reason"], "length");
    Ok(())
}

#[actix_rt::test]
async fn an_idempotent_service_call_is_forwarded() -> TestResult {
    let harness = support::start(1, &json!({})).await?;
    let entry = harness.entries[0].process.address;
    let bearer = format!("Bearer {CLERK}");
    let headers = [("authorization", bearer.as_str())];
    let path = "/services/desk/tickets/12?view=short";
    let answer = harness
        .client
        .call(entry, "GET", path, &headers, Bytes::new())
        .await?;
    assert_eq!(answer.status, 200);
    assert_eq!(answer.json::<Value>()?["path"], "/tickets/12");
    Ok(())
}

#[actix_rt::test]
async fn a_call_that_one_service_may_have_run_has_an_unknown_outcome() -> TestResult {
    let mut harness = support::start(1, &json!({})).await?;
    harness
        .add_server("desk-2", "north", &ServerSpec::Service { kind: "desk" })
        .await?;
    let entry = harness.entries[0].process.address;
    let bearer = format!("Bearer {CLERK}");
    let headers = [("authorization", bearer.as_str())];
    let path = "/services/desk/tickets/12";
    let get = async || {
        harness
            .client
            .call(entry, "GET", path, &headers, Bytes::new())
            .await
    };
    support::set_faults(&harness, "desk-1", &json!({ "notRun": true })).await?;
    harness
        .wait_for("the second service", async || {
            get().await.is_ok_and(|answer| answer.status == 200)
        })
        .await?;
    support::set_faults(&harness, "desk-2", &json!({ "dropAnswerAfterRun": 1000 })).await?;
    // The servers are tried in random order.
    for _ in 0..16 {
        let problem = get().await?.parse_problem()?;
        assert_eq!(problem.outcome, RequestOutcome::Unknown, "{problem:?}");
    }
    Ok(())
}

fn text(body: &Value) -> String {
    body.to_string()
}

#[test_case("nobody", "/v1/completions", &text(&completion("x", 4, true)), RefusalReason::Unauthorized; "unknown token")]
#[test_case(CLERK, "/v1/completions", "{\"model\": ", RefusalReason::BadRequest; "broken json")]
#[test_case(CLERK, "/v1/completions", &text(&json!({"model": "none", "prompt": "x"})), RefusalReason::UnknownModel; "unknown model")]
#[test_case(CLERK, "/v1/completions", &text(&completion(&"word ".repeat(4000), 4, true)), RefusalReason::PromptTooLong; "long prompt")]
#[test_case(CLERK, "/v1/completions", &text(&completion("x", 5000, true)), RefusalReason::PromptTooLong; "long output")]
#[test_case(CLERK, "/v1/completions", &"x".repeat(2_000_000), RefusalReason::TooLarge; "large body")]
#[test_case(CLERK, "/v1/nothing", "", RefusalReason::UnknownRoute; "unknown route")]
#[test_case(CLERK, "/services/desk/nothing", "", RefusalReason::UnknownRoute; "unknown service route")]
#[test_case(CLERK, "/services/desk/charges", "{}", RefusalReason::KeyRequired; "missing key")]
fn invalid_requests_are_refused(token: &str, path: &str, body: &str, reason: RefusalReason) {
    let check = async {
        let harness = support::start(1, &json!({})).await?;
        let entry = harness.entries[0].process.address;
        let bearer = format!("Bearer {token}");
        let headers = [("authorization", bearer.as_str())];
        let body = Bytes::from(body.to_owned());
        let answer = harness
            .client
            .call(entry, "POST", path, &headers, body)
            .await?;
        let problem = answer.parse_problem()?;
        assert_eq!(answer.status, reason.status());
        assert_eq!(problem.reason, reason);
        assert_eq!(problem.outcome, RequestOutcome::NotRun);
        assert!(held(&harness).await.is_empty());
        let valid = completion("still there", 4, true);
        let answer = harness
            .client
            .post_as(entry, "/v1/completions", CLERK, &valid)
            .await?;
        assert!(answer.parse_stream().complete);
        TestResult::Ok(())
    };
    actix_rt::System::new()
        .block_on(check)
        .expect("the deployment answers");
}
