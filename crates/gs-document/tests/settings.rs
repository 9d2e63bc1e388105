//! Checks the defaults and the mistakes of process settings.

use std::time::Duration;

use gs_document::settings::{PlacementPolicy, parse_admin_settings, parse_entry_settings};
use gs_protocol::ids::DataCentreName;
use test_case::test_case;

const ENTRY: &str = r#"{
  "name": "entry-1",
  "dataCentre": "duluth",
  "environment": "production",
  "listen": "127.0.0.1:8080",
  "peerListen": "127.0.0.1:8081",
  "platform": "127.0.0.1:8090",
  "peerKey": "0123456789abcdef",
  "servers": [
    { "name": "notes-1", "kind": "notes", "address": "127.0.0.1:9001", "dataCentre": "sault" },
    { "name": "notes-2", "kind": "notes", "address": "127.0.0.1:9002", "dataCentre": "sault" }
  ],
  "delays": { "sault": 5 }
}"#;

#[test]
fn absent_entry_settings_get_defaults() {
    let settings = parse_entry_settings("e.jsonc", ENTRY).expect("the settings are valid");
    assert_eq!(settings.placement, PlacementPolicy::Cost);
    assert_eq!(settings.vm_records().len(), 2);
    assert_eq!(settings.intervals.load_poll, Duration::from_millis(100));
    let delay = |name: &str| settings.delay_to(&DataCentreName::from(name));
    assert_eq!(delay("duluth"), Some(Duration::ZERO));
    assert_eq!(delay("sault"), Some(Duration::from_millis(5)));
    assert_eq!(delay("marquette"), None);
}

#[test]
fn the_peer_key_is_redacted() {
    let settings = parse_entry_settings("e.jsonc", ENTRY).expect("the settings are valid");
    assert!(!format!("{settings:?}").contains("0123456789abcdef"));
    let short = ENTRY.replace("0123456789abcdef", "0123");
    let list = parse_entry_settings("e.jsonc", &short).expect_err("the key is too short");
    let expected =
        "e.jsonc:8:14: peerKey: found a string of 4 bytes; expected a string of at least 16 bytes";
    assert_eq!(list.to_string(), expected);
}

#[test_case("\"delays\": { \"sault\": 5 }", "\"intervals\": { \"heartbeat\": 5 }", "e.jsonc:13:18: intervals.heartbeat: unknown field \"heartbeat\"; did you mean \"heartbeatMs\"? expected one of \"loadPollMs\", \"cachePollMs\", \"headPollMs\", \"vmPollMs\", \"heartbeatMs\", \"suspectAfterMs\", \"statusMs\""; "missing unit suffix")]
#[test_case("\"notes-2\"", "\"notes-1\"", "e.jsonc:11:15: servers[1].name: \"notes-1\" is duplicated; first occurrence on line 10"; "duplicate server")]
#[test_case("\"127.0.0.1:9002\"", "\"localhost:9002\"", "e.jsonc:11:54: servers[1].address: found \"localhost:9002\"; expected an address of the form \"IP:PORT\""; "address with a host name")]
fn a_mistake_in_entry_settings_is_reported(old: &str, new: &str, expected: &str) {
    let text = ENTRY.replacen(old, new, 1);
    let list = parse_entry_settings("e.jsonc", &text).expect_err("the settings are invalid");
    assert_eq!(list.to_string(), expected);
}

#[test]
fn trial_and_production_must_differ() {
    let text = r#"{
      "listen": "127.0.0.1:8082", "platform": "127.0.0.1:8090",
      "environments": { "trial": "a", "production": "a" }
    }"#;
    let list = parse_admin_settings("a.jsonc", text).expect_err("the names are equal");
    let expected =
        "a.jsonc:3:53: environments.production: \"a\" is duplicated; first occurrence on line 3";
    assert_eq!(list.to_string(), expected);
}
