//! Tests of matching routes and selecting their services.

use std::collections::BTreeMap;

use gs_control::forwarding::{ClientLimits, RouteKind, RouteRule, RouteTable, RouteTarget};
use test_case::test_case;

use super::support::milliseconds;

fn rule(host: &str, prefix: &str, weights: &[u32]) -> RouteRule {
    let targets = weights
        .iter()
        .enumerate()
        .map(|(number, weight)| RouteTarget {
            service: format!("service-{number}").as_str().into(),
            weight: *weight,
        });
    RouteRule {
        name: prefix.to_owned(),
        host: host.to_owned(),
        path_prefix: prefix.to_owned(),
        kind: RouteKind::Safe,
        timeout: milliseconds(600),
        latency_target: milliseconds(100),
        is_public: false,
        rank: 0,
        targets: targets.collect(),
        max_attempts: 2,
    }
}

#[test_case("desk.example", "/a/x", Some("/a/"); "shorter prefix")]
#[test_case("desk.example", "/a/b/x", Some("/a/b/"); "longest prefix wins")]
#[test_case("DESK.example:80", "/a/", Some("/a/"); "case and port of the host")]
#[test_case("desk.example", "/a", None; "a prefix ends with a slash")]
#[test_case("desk.example", "/ab/x", None; "a prefix matches complete path segments")]
#[test_case("other.example", "/a/x", None; "other host")]
fn a_route_is_found_by_host_and_longest_prefix(host: &str, path: &str, expected: Option<&str>) {
    let rules = vec![
        rule("desk.example", "/a/", &[1]),
        rule("desk.example", "/a/b/", &[1]),
        rule("third.example", "/a/b/x/", &[1]),
    ];
    let table = RouteTable::new(1, ClientLimits::default(), rules, BTreeMap::new());
    let found = table.find(host, path).map(|rule| rule.path_prefix.as_str());
    assert_eq!(found, expected);
}

#[test_case(&[90, 10], 0.0, Some("service-0"))]
#[test_case(&[90, 10], 0.89, Some("service-0"))]
#[test_case(&[90, 10], 0.91, Some("service-1"))]
#[test_case(&[90, 0], 1.0, Some("service-0"); "a weight of zero gets nothing")]
#[test_case(&[0], 0.5, None; "no weight at all")]
fn targets_are_selected_by_weight(weights: &[u32], draw: f64, expected: Option<&str>) {
    let rule = rule("desk.example", "/a/", weights);
    assert_eq!(rule.target(draw).map(|name| name.as_str()), expected);
}
