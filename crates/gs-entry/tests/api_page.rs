//! The page of the caller API documents all refusal reasons and routes.

mod support;

use std::collections::BTreeSet;
use std::path::Path;

use bytes::Bytes;
use gs_protocol::refusal::{ProblemBody, RefusalReason};
use gs_standin::harness::HarnessError;
use serde_json::json;
use support::CLERK;

/// Names of all refusal reasons, from the list of variants in the deserializer's error message.
fn all_reasons() -> BTreeSet<String> {
    let error = serde_json::from_value::<RefusalReason>(json!("")).expect_err("no reason");
    let text = error.to_string();
    let (_, names) = text.split_once("expected one of").expect("a list");
    names
        .split('`')
        .skip(1)
        .step_by(2)
        .map(str::to_owned)
        .collect()
}

/// The cells of the rows below a heading of `docs/api.md`, up to the end of its first table.
fn table(heading: &str) -> Vec<Vec<String>> {
    let path = Path::new(env!("CARGO_MANIFEST_DIR")).join("../../docs/api.md");
    let page = std::fs::read_to_string(path).expect("the page is readable");
    let (_, section) = page.split_once(heading).expect("the heading is there");
    let lines = section.lines().skip_while(|line| !line.starts_with('|'));
    let rows = lines.take_while(|line| line.starts_with('|')).skip(2);
    let cells = |row: &str| {
        let cells = row.trim_matches('|').split('|');
        cells
            .map(|cell| cell.trim().trim_matches('`').to_owned())
            .collect()
    };
    rows.map(cells).collect()
}

#[test]
fn the_page_documents_every_reason_with_its_status() {
    let mut documented = BTreeSet::new();
    for row in table("## Refusal reasons") {
        let reason: RefusalReason = serde_json::from_value(json!(row[0])).expect("a reason");
        assert_eq!(row[1], reason.status().to_string(), "{}", row[0]);
        assert!(["not-run", "unknown", "either"].contains(&row[2].as_str()));
        assert!(
            documented.insert(row[0].clone()),
            "{} is documented twice",
            row[0]
        );
    }
    assert_eq!(documented, all_reasons());
}

#[actix_rt::test]
async fn an_entry_serves_every_documented_route() -> Result<(), HarnessError> {
    let harness = support::start(1, &json!({})).await?;
    let address = harness.entries[0].process.address;
    let bearer = format!("Bearer {CLERK}");
    let headers = [("authorization", bearer.as_str())];
    let rows = table("## Caller routes");
    assert!(rows.len() > 5);
    for row in rows {
        let (method, path) = row[0].split_once(' ').expect("a method and a path");
        let path = path
            .replace("{service}", "desk")
            .replace("{path}", "tickets/12");
        let method = if method == "ANY" { "GET" } else { method };
        let call = harness
            .client
            .call(address, method, &path, &headers, Bytes::new());
        let answer = call.await?;
        let problem = serde_json::from_slice::<ProblemBody>(&answer.body);
        let reason = problem.ok().map(|problem| problem.reason);
        assert_ne!(reason, Some(RefusalReason::UnknownRoute), "{}", row[0]);
        assert!(answer.status != 404 && answer.status != 405, "{}", row[0]);
    }
    Ok(())
}
