//! Checks the differences between documents and their display.

use gs_document::{diff_documents, parse_document};
use test_case::test_case;

const DOCUMENT: &str = include_str!("fixtures/document.jsonc");

/// The first route of the fixture, including the comma.
const FIRST_ROUTE: &str = r#"{ "method": "POST", "path": "/charges", "idempotent": false },"#;

#[test_case("500", "400", &["~ callers.desk.firstTokenMs: 500 -> 400"]; "changed target")]
#[test_case("\"betweenTokensMs\": 30,", "\"betweenTokensMs\": 30, \"worth\": 1.0,", &[]; "explicit default")]
#[test_case("\"batch\": {", "\"night\": {", &[
    "- callers.batch: ", "+ callers.night: ",
]; "renamed caller")]
#[test_case(FIRST_ROUTE, "", &["- services.charges.routes.POST /charges: "]; "removed route")]
#[test_case("\"idempotent\": false", "\"idempotent\": true", &[
    "~ services.charges.routes.POST /charges.idempotent: false -> true",
]; "route made idempotent")]
#[test_case("[\"notes\"],\n      \"services\"", "[],\n      \"services\"", &[
    "~ callers.desk.models: [\"notes\"] -> []",
]; "changed list")]
fn a_difference_is_listed_with_its_path(old: &str, new: &str, expected: &[&str]) {
    let before = parse_document("old", DOCUMENT).expect("the fixture is valid");
    let text = DOCUMENT.replacen(old, new, 1);
    let after = parse_document("new", &text).unwrap_or_else(|list| panic!("{list}"));
    let changes = diff_documents(&before, &after).expect("serialises");
    assert_eq!(changes.len(), expected.len(), "{changes:?}");
    for (change, expected) in changes.iter().zip(expected) {
        let line = change.to_string();
        assert!(line.starts_with(expected), "{line}");
    }
}

#[test]
fn a_changed_order_of_routes_is_a_difference() {
    let mut before = parse_document("old", DOCUMENT).expect("the fixture is valid");
    let after = before.clone();
    let service = before.services.get_mut(&"charges".into());
    service.expect("the service exists").routes.reverse();
    let changes = diff_documents(&before, &after).expect("serialises");
    let expected = "~ services.charges.routes: [\"GET /charges/*\",\"POST /charges\"] -> [\"POST /charges\",\"GET /charges/*\"]";
    assert_eq!(changes.len(), 1);
    assert_eq!(changes[0].to_string(), expected);
}
