//! Tests of recognizing workspaces by their API keys.

use std::collections::BTreeMap;

use gs_control::forwarding::{
    ClientLimits, CostUnit, KeyDigest, KeyError, RequestCaller, RouteKind, RouteRule, RouteTable,
    WorkspaceSpec, WorkspaceTable,
};
use test_case::test_case;

use super::support::milliseconds;

fn digest(key: &str) -> KeyDigest {
    KeyDigest::new(key.as_bytes())
}

fn workspace(name: &str) -> WorkspaceSpec {
    WorkspaceSpec {
        name: name.to_owned(),
        rank: None,
        unit: CostUnit::Requests,
        quota: None,
    }
}

fn route(is_public: bool) -> RouteRule {
    RouteRule {
        name: "r".to_owned(),
        host: "desk.example".to_owned(),
        path_prefix: "/".to_owned(),
        kind: RouteKind::Safe,
        timeout: milliseconds(600),
        latency_target: milliseconds(100),
        rank: 0,
        is_public,
        targets: Vec::new(),
        max_attempts: 1,
    }
}

/// A table with these workspaces and their keys.
fn table_with(workspaces: Option<&[(&str, &[&str])]>) -> RouteTable {
    let mut table = RouteTable::new(1, ClientLimits::default(), Vec::new(), BTreeMap::new());
    table.workspaces = workspaces.map(|workspaces| {
        let mut table = WorkspaceTable::new();
        for (name, keys) in workspaces {
            table.insert(workspace(name), keys.iter().map(|key| digest(key)));
        }
        table
    });
    table
}

fn identify(table: &RouteTable, is_public: bool, key: Option<&str>) -> Result<String, KeyError> {
    let key = key.map(digest);
    let caller = table.identify_caller(&route(is_public), key.as_ref())?;
    Ok(match caller {
        RequestCaller::Unscoped => "unscoped".to_owned(),
        RequestCaller::Public => "public".to_owned(),
        RequestCaller::Workspace(workspace) => workspace.name.clone(),
    })
}

const HUKA: &[(&str, &[&str])] = &[("huka", &["k1", "k2"]), ("taupo", &["k3"])];

/// Guards against keys that pass without a workspace, and against keys that are asked for where the
/// configuration has none or the route is public.
#[test_case(None, false, None, Ok("unscoped"); "no workspaces and no key")]
#[test_case(None, false, Some("k9"), Ok("unscoped"); "no workspaces and some key")]
#[test_case(Some(&[]), false, None, Err(KeyError::Missing); "an empty list and no key")]
#[test_case(Some(&[]), false, Some("k1"), Err(KeyError::Unknown); "an empty list means that no key exists")]
#[test_case(Some(&[]), true, None, Ok("public"); "an empty list and a public route")]
#[test_case(Some(HUKA), false, Some("k2"), Ok("huka"); "the second key of a workspace")]
#[test_case(Some(HUKA), false, Some("k3"), Ok("taupo"); "the key of another workspace")]
#[test_case(Some(HUKA), false, Some("k"), Err(KeyError::Unknown); "the beginning of a key")]
#[test_case(Some(HUKA), false, Some("K1"), Err(KeyError::Unknown); "a key in another case")]
#[test_case(Some(HUKA), false, Some(""), Err(KeyError::Unknown); "an empty key")]
#[test_case(Some(HUKA), false, None, Err(KeyError::Missing); "no key")]
#[test_case(Some(HUKA), true, Some("k1"), Ok("public"); "a key on a public route grants nothing")]
#[test_case(Some(HUKA), true, Some("k9"), Ok("public"); "an unknown key on a public route")]
fn a_caller_is_identified(
    workspaces: Option<&[(&str, &[&str])]>,
    is_public: bool,
    key: Option<&str>,
    expected: Result<&str, KeyError>,
) {
    let table = table_with(workspaces);
    let expected = expected.map(str::to_owned);
    assert_eq!(identify(&table, is_public, key), expected);
}

/// Guards against a later workspace that takes over the key of an earlier one.
#[test]
fn a_key_held_twice_stays_with_the_first_workspace() {
    let table = table_with(Some(&[("huka", &["k1"]), ("taupo", &["k1", "k2"])]));
    assert_eq!(identify(&table, false, Some("k1")), Ok("huka".to_owned()));
    assert_eq!(identify(&table, false, Some("k2")), Ok("taupo".to_owned()));
    let workspaces = table.workspaces.expect("workspaces");
    assert_eq!(workspaces.workspaces().len(), 2);
}

/// Guards against keys in logs: what a digest shows must neither contain the key nor suffice to look it up.
#[test]
fn a_digest_shows_neither_the_key_nor_all_of_itself() {
    for shown in [digest("k1").to_string(), format!("{:?}", digest("k1"))] {
        assert_eq!(shown.len(), 8, "{shown}");
        assert!(!shown.contains("k1"), "{shown}");
    }
}

#[test_case(CostUnit::Requests, None, 1; "a request")]
#[test_case(CostUnit::Requests, Some(700), 1; "a request with token counts")]
#[test_case(CostUnit::Tokens { plain: 40 }, Some(700), 700; "tokens")]
#[test_case(CostUnit::Tokens { plain: 40 }, Some(0), 0; "no tokens")]
#[test_case(CostUnit::Tokens { plain: 40 }, None, 40; "tokens of a request without counts")]
fn a_request_costs_by_its_unit(unit: CostUnit, tokens: Option<u64>, expected: u64) {
    assert_eq!(unit.cost(tokens), expected);
}
