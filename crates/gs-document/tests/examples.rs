//! Checks that the example files are valid and match what their comments state.

use gs_document::document::{CallerRank, EnvironmentDocument};
use gs_document::settings::{
    AdminLimits, ClaimSettings, EntryLimits, EnvironmentNames, IntervalSettings, TimeoutSettings,
    parse_admin_settings, parse_entry_settings,
};
use gs_document::{digest_token, parse_document};
use test_case::test_case;

const GREAT_LAKES: &str = include_str!("../../../examples/great-lakes.jsonc");
const KLANG_VALLEY: &str = include_str!("../../../examples/klang-valley.jsonc");
const ENTRY: &str = include_str!("../../../examples/entry.jsonc");
const ENTRY_SAULT: &str = include_str!("../../../examples/entry-sault.jsonc");
const ADMIN: &str = include_str!("../../../examples/admin.jsonc");

fn parse_example(text: &str) -> EnvironmentDocument {
    parse_document("example", text).unwrap_or_else(|list| panic!("{list}"))
}

#[test_case(GREAT_LAKES, "counter-clerk", &["POST /charges", "POST /pickups"]; "great lakes")]
#[test_case(KLANG_VALLEY, "franchise-owner", &["POST /bookings", "POST /orders"]; "klang valley")]
fn an_example_names_urgent_callers_and_non_idempotent_routes(
    text: &str,
    urgent: &str,
    non_idempotent: &[&str],
) {
    let document = parse_example(text);
    let caller = &document.callers[&urgent.into()];
    assert_eq!(caller.rank, CallerRank::Urgent);
    let routes = document.services.values().flat_map(|entry| &entry.routes);
    let found: Vec<String> = routes
        .filter(|route| !route.idempotent)
        .map(|route| format!("{:?} {}", route.method, route.path).replace("Post", "POST"))
        .collect();
    assert_eq!(found, non_idempotent);
}

#[test_case(GREAT_LAKES; "great lakes")]
#[test_case(KLANG_VALLEY; "klang valley")]
fn token_digests_of_an_example_match_its_example_tokens(text: &str) {
    let document = parse_example(text);
    let callers = document.callers.iter();
    let callers = callers.map(|(name, entry)| (name.as_str(), &entry.token_digests));
    let operators = document.operators.iter();
    let operators = operators.map(|(name, entry)| (name.as_str(), &entry.token_digests));
    for (name, digests) in callers.chain(operators) {
        let expected = digest_token(&format!("{name}-example-token"));
        assert_eq!(digests, &[expected], "{name}");
    }
}

#[test]
fn the_entry_example_lists_the_defaults() {
    let settings = parse_entry_settings("entry", ENTRY).unwrap_or_else(|list| panic!("{list}"));
    assert_eq!(settings.limits, EntryLimits::default());
    assert_eq!(settings.intervals, IntervalSettings::default());
    assert_eq!(settings.timeouts, TimeoutSettings::default());
    assert_eq!(settings.claims, ClaimSettings::default());
    assert_eq!(settings.traffic_threads.get(), 2);
}

#[test]
fn the_entry_examples_form_one_deployment() {
    let parse = |text| parse_entry_settings("entry", text).unwrap_or_else(|list| panic!("{list}"));
    let (duluth, sault) = (parse(ENTRY), parse(ENTRY_SAULT));
    assert_eq!(duluth.servers, sault.servers);
    assert_eq!(duluth.peers[0].peer_address, sault.peer_listen);
    assert_eq!(sault.peers[0].peer_address, duluth.peer_listen);
    assert_eq!(duluth.peer_key, sault.peer_key);
}

#[test]
fn the_admin_example_lists_the_defaults() {
    let settings = parse_admin_settings("admin", ADMIN).unwrap_or_else(|list| panic!("{list}"));
    assert_eq!(settings.environments, EnvironmentNames::default());
    assert_eq!(settings.limits, AdminLimits::default());
}
