//! Property tests of parsing and comparison, with a fixed seed.

use std::collections::BTreeMap;
use std::time::Duration;

use gs_document::document::{
    CallerEntry, CallerRank, EnvironmentDocument, ModelEntry, RouteEntry, RouteMethod,
    ServerKindEntry, ServerProtocol, ServiceEntry,
};
use gs_document::settings::{parse_admin_settings, parse_entry_settings};
use gs_document::{diff_documents, digest_token, parse_accepted_document, parse_document};
use proptest::collection::vec;
use proptest::prelude::*;
use proptest::test_runner::{Config, RngAlgorithm, TestRng, TestRunner};

const DOCUMENT: &str = include_str!("fixtures/document.jsonc");

fn seeded_runner(cases: u32) -> TestRunner {
    let config = Config {
        cases,
        failure_persistence: None,
        ..Config::default()
    };
    TestRunner::new_with_rng(config, TestRng::deterministic_rng(RngAlgorithm::ChaCha))
}

fn any_callers() -> impl Strategy<Value = BTreeMap<String, CallerEntry>> {
    let caller = (
        1_u64..600_000,
        1_u64..600_000,
        1_u32..1_000_000,
        any::<bool>(),
    );
    vec(caller, 1..8).prop_map(|callers| {
        let share = 1.0 / 8.0;
        let entry = |(index, (first, between, thousandths, urgent)): (usize, _)| {
            let entry = CallerEntry {
                token_digests: vec![digest_token(&index.to_string())],
                rank: if urgent {
                    CallerRank::Urgent
                } else {
                    CallerRank::Normal
                },
                first_token: Duration::from_millis(first),
                between_tokens: Duration::from_millis(between),
                worth: f64::from(thousandths) / 1_000.0,
                guaranteed_share: share,
                queue_bound: thousandths,
                models: vec!["m/1".into()],
                services: if urgent { vec!["s".into()] } else { Vec::new() },
            };
            (format!("caller-{index}"), entry)
        };
        callers.into_iter().enumerate().map(entry).collect()
    })
}

fn any_document() -> impl Strategy<Value = EnvironmentDocument> {
    let route = |method, idempotent| RouteEntry {
        method,
        path: "/a/*".to_owned(),
        idempotent,
        deadline: Duration::from_millis(700),
    };
    let kind = |protocol, checks_fence| ServerKindEntry {
        protocol,
        checks_fence,
    };
    (
        any_callers(),
        1_u64..604_800,
        1_u32..1_000_000,
        any::<bool>(),
    )
        .prop_map(
            move |(callers, retention, tokens, flag)| EnvironmentDocument {
                callers: callers
                    .into_iter()
                    .map(|(name, entry)| (name.as_str().into(), entry))
                    .collect(),
                models: BTreeMap::from([(
                    "m/1".into(),
                    ModelEntry {
                        server_kind: "e".into(),
                        max_prompt_tokens: tokens,
                        max_output_tokens: tokens,
                    },
                )]),
                services: BTreeMap::from([(
                    "s".into(),
                    ServiceEntry {
                        server_kind: "p".into(),
                        routes: vec![
                            route(RouteMethod::Get, true),
                            route(RouteMethod::Post, flag),
                        ],
                    },
                )]),
                server_kinds: BTreeMap::from([
                    ("e".into(), kind(ServerProtocol::Engine, flag)),
                    ("p".into(), kind(ServerProtocol::Service, !flag)),
                ]),
                operators: BTreeMap::new(),
                key_retention: Duration::from_secs(retention),
            },
        )
}

#[test]
fn a_serialized_document_parses_to_the_same_value() {
    seeded_runner(256)
        .run(&any_document(), |document| {
            let text = serde_json::to_string_pretty(&document).expect("serialises");
            let parsed = parse_document("d.jsonc", &text)
                .map_err(|list| TestCaseError::fail(list.to_string()))?;
            prop_assert_eq!(&parsed, &document);
            let changes = diff_documents(&document, &parsed).expect("serialises");
            prop_assert_eq!(changes, Vec::new());
            Ok(())
        })
        .expect("holds for every case");
}

#[test]
fn arbitrary_text_does_not_panic() {
    let tokens = r#"([{}\[\]:,"'/*\\ \n]|"callers"|"desk"|"\\u[0-9a-f]{0,4}|-?[0-9.e]{1,5}|true|null|é|\PC)*"#;
    seeded_runner(2_048)
        .run(&tokens, |text| {
            let _ = parse_document("d.jsonc", &text);
            let _ = parse_entry_settings("s.jsonc", &text);
            let _ = parse_admin_settings("s.jsonc", &text);
            Ok(())
        })
        .expect("holds for every case");
}

#[test]
fn a_damaged_document_does_not_panic() {
    let offsets: Vec<usize> = DOCUMENT.char_indices().map(|(offset, _)| offset).collect();
    let damage = (
        0..offsets.len(),
        0..offsets.len(),
        "[{}\\[\\]:,\"a0é/*]{0,3}",
    );
    seeded_runner(2_048)
        .run(&damage, |(left, right, insert)| {
            let (start, end) = (offsets[left.min(right)], offsets[left.max(right)]);
            let replaced = [&DOCUMENT[..start], &insert, &DOCUMENT[end..]].concat();
            let _ = parse_document("d.jsonc", &replaced);
            let inserted = [&DOCUMENT[..start], &insert, &DOCUMENT[start..]].concat();
            let _ = parse_document("d.jsonc", &inserted);
            let _ = parse_accepted_document("d.jsonc", &inserted);
            Ok(())
        })
        .expect("holds for every case");
}
