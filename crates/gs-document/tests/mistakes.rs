//! Checks the location and the message of every kind of mistake in a document.

use gs_document::{decode_text, parse_accepted_document, parse_document};
use test_case::test_case;

const DOCUMENT: &str = include_str!("fixtures/document.jsonc");

/// Returns the messages for the fixture after the first `old` is replaced by `new`.
fn mistakes_after(old: &str, new: &str) -> Vec<String> {
    assert!(DOCUMENT.contains(old), "the fixture does not contain {old}");
    let text = DOCUMENT.replacen(old, new, 1);
    let Err(list) = parse_document("d.jsonc", &text) else {
        return Vec::new();
    };
    list.mistakes().iter().map(ToString::to_string).collect()
}

#[test]
fn the_fixture_has_no_mistakes() {
    assert_eq!(mistakes_after("500", "500"), Vec::<String>::new());
}

#[test_case("\"firstTokenMs\": 500", "\"firstTokenMs\": 0", "d.jsonc:7:23: callers.desk.firstTokenMs: found 0; expected an integer from 1 to 600000"; "target of zero")]
#[test_case("\"firstTokenMs\": 500", "\"firstTokenMs\": -5", "d.jsonc:7:23: callers.desk.firstTokenMs: found -5; expected an integer from 1 to 600000"; "negative target")]
#[test_case("\"firstTokenMs\": 500", "\"firstTokenMs\": \"0.5 s\"", "d.jsonc:7:23: callers.desk.firstTokenMs: found \"0.5 s\"; expected an integer from 1 to 600000"; "target as a string")]
#[test_case("\"firstTokenMs\": 500", "\"firstTokenMs\": 0.5", "d.jsonc:7:23: callers.desk.firstTokenMs: found 0.5; expected an integer from 1 to 600000"; "target with a fraction")]
#[test_case("\"firstTokenMs\": 500,", "", "d.jsonc:4:13: callers.desk: missing field \"firstTokenMs\"; expected an integer from 1 to 600000"; "missing target")]
#[test_case("\"guaranteedShare\": 0.5", "\"guaranteedShare\": 1e999", "d.jsonc:9:26: callers.desk.guaranteedShare: found 1e999; expected a number from 0 to 1"; "number above the float range")]
#[test_case("\"urgent\"", "\"urgnt\"", "d.jsonc:6:15: callers.desk.rank: found \"urgnt\"; did you mean \"urgent\"? expected one of \"urgent\", \"normal\""; "unknown rank")]
#[test_case("[\"notes\"],\n      \"services\"", "[\"note\"],\n      \"services\"", "d.jsonc:10:18: callers.desk.models[0]: \"note\" is not in \"models\"; did you mean \"notes\"? expected one of \"notes\""; "unknown model")]
#[test_case("[\"charges\"]", "[\"charges\", \"charges\"]", "d.jsonc:11:31: callers.desk.services[1]: \"charges\" is duplicated; first occurrence on line 11"; "service twice")]
#[test_case("\"guaranteedShare\": 0.25", "\"guaranteedShare\": 0.75", "d.jsonc:3:14: callers: the guaranteed shares sum to 1.25; the maximum is 1"; "shares above the fleet capacity")]
#[test_case("0000002\"", "0000001\"", "d.jsonc:14:24: callers.batch.tokenDigests[0]: the token digest is duplicated; first occurrence on line 5"; "token of two callers")]
#[test_case("sha256:0000000000000000000000000000000000000000000000000000000000000001", "secret-token", "d.jsonc:5:24: callers.desk.tokenDigests[0]: found a string of 12 bytes; expected \"sha256:\" and 64 lower-case hexadecimal digits"; "token in place of its digest")]
#[test_case("\"batch\": {", "\"desk\": {", "d.jsonc:13:5: callers.desk: \"desk\" is duplicated; first occurrence on line 4"; "caller twice")]
#[test_case("\"batch\": {", "\"night batch\": {", "d.jsonc:13:5: callers.night batch: found \"night batch\"; expected a name of 1 to 64 letters, digits, \".\", \"_\" and \"-\", starting with a letter or digit"; "caller with a space")]
#[test_case("\"serverKind\": \"notes-engine\"", "\"serverKind\": \"charge-server\"", "d.jsonc:23:30: models.notes.serverKind: server kind \"charge-server\" has protocol \"service\"; expected a kind with protocol \"engine\""; "model on a service")]
#[test_case("\"path\": \"/charges\"", "\"path\": \"charges\"", "d.jsonc:29:37: services.charges.routes[0].path: found \"charges\"; expected a path that starts with \"/\", with \"*\" for a whole segment"; "path without a slash")]
#[test_case("\"GET\", \"path\": \"/charges/*\"", "\"POST\", \"path\": \"/charges\"", "d.jsonc:30:9: services.charges.routes[1]: route \"POST /charges\" is duplicated; first occurrence on line 29"; "route twice")]
#[test_case("\"GET\", \"path\": \"/charges/*\"", "\"POST\", \"path\": \"/*\"", "d.jsonc:30:9: services.charges.routes[1]: route \"POST /*\" overlaps with \"POST /charges\" on line 29; both must have the same \"idempotent\" value"; "routes that contradict")]
#[test_case("\"serverKinds\": {", "\"keyRetentionS\": 604801, \"serverKinds\": {", "d.jsonc:34:20: keyRetentionS: found 604801; expected an integer from 1 to 604800"; "retention beyond a week")]
#[test_case("\"checksFence\"", "\"checkFence\"", "d.jsonc:35:45: serverKinds.notes-engine.checkFence: unknown field \"checkFence\"; did you mean \"checksFence\"? expected one of \"protocol\", \"checksFence\""; "unknown field")]
#[test_case("\"rank\": \"urgent\",", "\"rank\": \"urgent\"", "d.jsonc:7:7: (root): syntax error: expected a comma before this value"; "missing comma")]
#[test_case("\"rank\": \"urgent\",", "rank: \"urgent\",", "d.jsonc:6:7: (root): syntax error: expected string for object property"; "field without quotes")]
fn a_mistake_is_reported_with_its_location(old: &str, new: &str, expected: &str) {
    assert_eq!(mistakes_after(old, new), [expected]);
}

#[test]
fn all_mistakes_are_reported_together_in_text_order() {
    let text = DOCUMENT
        .replace("\"urgent\"", "3")
        .replace("[\"charges\"]", "[\"pickups\"]")
        .replace("0.25", "0.9")
        .replace("\"serverKinds\"", "\"serverKind\"");
    let list = parse_document("d.jsonc", &text).expect_err("the text has mistakes");
    let paths: Vec<String> = list
        .mistakes()
        .iter()
        .map(|mistake| format!("{} {}", mistake.line, mistake.path))
        .collect();
    let expected = [
        "2 (root)",
        "3 callers",
        "6 callers.desk.rank",
        "11 callers.desk.services[0]",
        "23 models.notes.serverKind",
        "27 services.charges.serverKind",
        "34 serverKind",
    ];
    assert_eq!(paths, expected);
}

#[test_case(""; "nothing")]
#[test_case("// only a comment"; "only a comment")]
#[test_case("[]"; "a list")]
#[test_case("null"; "null")]
#[test_case("{} {}"; "two values")]
#[test_case("{\"callers\": {"; "cut off")]
fn a_text_that_is_not_a_document_is_refused(text: &str) {
    assert!(parse_document("d.jsonc", text).is_err());
}

#[test]
fn invalid_utf8_is_reported_at_its_location() {
    let list = decode_text("d.jsonc", b"{\n\"\xff").expect_err("the bytes are not UTF-8");
    assert_eq!(
        list.to_string(),
        "d.jsonc:2:2: (root): the bytes are not UTF-8"
    );
}

#[test]
fn a_document_above_the_size_limit_is_refused() {
    let text = format!("//{}\n{DOCUMENT}", " ".repeat(1_048_576));
    let list = parse_document("d.jsonc", &text).expect_err("the text is too large");
    assert!(
        list.to_string().ends_with("the limit is 1048576 bytes"),
        "{list}"
    );
}

#[test]
fn deep_nesting_is_refused_before_parsing() {
    let text = "[".repeat(1_000_000);
    let list = parse_document("d.jsonc", &text).expect_err("the text is nested too deeply");
    assert_eq!(
        list.to_string(),
        "d.jsonc:1:33: (root): nested more than 32 levels deep"
    );
}

#[test]
fn mistakes_beyond_a_thousand_are_only_counted() {
    let models = vec!["\"absent\""; 1_500].join(", ");
    let text = DOCUMENT.replacen("[\"notes\"]", &format!("[{models}]"), 1);
    let list = parse_document("d.jsonc", &text).expect_err("the text has mistakes");
    assert_eq!(list.mistakes().len(), 1_001);
    let last = list.mistakes()[1_000].to_string();
    assert!(
        last.ends_with(": 2000 more mistakes are not listed"),
        "{last}"
    );
}

#[test_case("\"firstTokenMs\": 500", "\"firstTokenMs\": 600001", true; "value out of the present range")]
#[test_case("[\"charges\"]", "[\"pickups\"]", true; "unresolved reference")]
#[test_case("\"rank\"", "\"urgency\"", false; "field of an unknown name")]
fn an_accepted_document_is_checked_only_for_structure(old: &str, new: &str, is_parsed: bool) {
    let text = DOCUMENT.replacen(old, new, 1);
    assert!(parse_document("d.jsonc", &text).is_err());
    assert_eq!(parse_accepted_document("d.jsonc", &text).is_ok(), is_parsed);
}
