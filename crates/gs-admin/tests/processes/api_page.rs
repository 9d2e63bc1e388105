//! `docs/api.md` matches the routes and the reasons of the administration API.

use std::collections::BTreeSet;
use std::path::Path;

use actix_web::http::Method;
use gs_protocol::admin::{AdminProblem, AdminReason};
use serde_json::json;

use crate::support::{ALICE, PlatformFixture};

/// How the detail starts in the refusal of a call that does not exist.
const UNKNOWN_CALL: &str = "call \"";

/// Returns the first two cells of each row in the table below a heading of `docs/api.md`.
fn read_table(heading: &str) -> Vec<(String, String)> {
    let path = Path::new(env!("CARGO_MANIFEST_DIR")).join("../../docs/api.md");
    let page = std::fs::read_to_string(path).expect("the page is readable");
    let (_, section) = page.split_once(heading).expect("the heading is there");
    let lines = section.lines().skip_while(|line| !line.starts_with('|'));
    let rows = lines.take_while(|line| line.starts_with('|')).skip(2);
    let cell = |row: &str, index| {
        let cell = row.split('|').nth(index).expect("a cell");
        cell.trim().trim_matches('`').to_owned()
    };
    rows.map(|row| (cell(row, 1), cell(row, 2))).collect()
}

#[actix_rt::test]
async fn every_documented_route_exists() {
    let fixture = PlatformFixture::start();
    let admin = fixture.start_admin();
    let rows = read_table("## Administration routes");
    assert!(rows.len() > 10);
    for (route, _) in rows {
        let (method, path) = route.split_once(' ').expect("a method and a path");
        let path = path.split('?').next().expect("a path");
        let path = path.replace("{digest}", "sha256:0");
        let method: Method = method.parse().expect("a method");
        let reply = admin.send(method, &path, ALICE, Vec::new()).await;
        assert!(reply.status != 0, "{route} is not answered");
        let problem = serde_json::from_slice::<AdminProblem>(&reply.body);
        let is_unknown = problem.is_ok_and(|problem| problem.detail.starts_with(UNKNOWN_CALL));
        assert!(!is_unknown, "{route}");
    }
}

#[test]
fn every_reason_is_documented_with_its_status() {
    let error = serde_json::from_value::<AdminReason>(json!("")).expect_err("no reason");
    let text = error.to_string();
    let (_, names) = text.split_once("expected one of").expect("a list");
    let known: BTreeSet<_> = names.split('`').skip(1).step_by(2).collect();
    let rows = read_table("## Administration reasons");
    let documented: BTreeSet<_> = rows.iter().map(|(name, _)| name.as_str()).collect();
    assert_eq!(documented, known);
    for (name, status) in &rows {
        let reason: AdminReason = serde_json::from_value(json!(name)).expect("a reason");
        assert_eq!(*status, reason.status().to_string(), "{name}");
    }
}
