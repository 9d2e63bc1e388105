//! Checks that span several fields of a document: shares, protocols and routes.

use std::collections::BTreeMap;

use crate::source::{MistakeKind, NodeView, SourceChecker};

use super::routes::check_routes;

/// The maximum sum of all callers' guaranteed shares: the whole fleet.
const MAX_SHARE_SUM: f64 = 1.0;

/// The rounding error tolerated in a sum of shares.
const SHARE_TOLERANCE: f64 = 1e-9;

/// Runs all checks on a document. Values of the wrong type are ignored because the check against
/// the schema reports them.
pub(super) fn check_document(root: &NodeView<'_>, checker: &mut SourceChecker<'_>) {
    check_shares(root, checker);
    let protocols = read_protocols(root);
    let services = section(root, "services");
    check_protocols(&section(root, "models"), "engine", &protocols, checker);
    check_protocols(&services, "service", &protocols, checker);
    for (_, service) in &services {
        check_routes(service, checker);
    }
}

fn check_shares(root: &NodeView<'_>, checker: &mut SourceChecker<'_>) {
    let Some(callers) = root.field("callers") else {
        return;
    };
    let read_share = |(_, caller): (&str, NodeView<'_>)| caller.field("guaranteedShare")?.number();
    let is_valid = |share: &f64| (0.0..=MAX_SHARE_SUM).contains(share);
    let shares = callers.entries().into_iter().filter_map(read_share);
    let sum: f64 = shares.filter(is_valid).sum();
    if sum > MAX_SHARE_SUM + SHARE_TOLERANCE {
        let kind = MistakeKind::ShareSum {
            found: sum.to_string(),
            allowed: MAX_SHARE_SUM.to_string(),
        };
        checker.add_mistake(&callers, kind);
    }
}

/// Returns the protocol of each server kind by name; kinds without a readable protocol are omitted.
fn read_protocols<'a>(root: &NodeView<'a>) -> BTreeMap<&'a str, &'a str> {
    let kinds = section(root, "serverKinds").into_iter();
    let protocol = |(name, kind): (&'a str, NodeView<'a>)| {
        let protocol = kind.field("protocol")?.text()?;
        Some((name, protocol))
    };
    kinds.filter_map(protocol).collect()
}

fn check_protocols(
    entries: &[(&str, NodeView<'_>)],
    allowed: &str,
    protocols: &BTreeMap<&str, &str>,
    checker: &mut SourceChecker<'_>,
) {
    for (_, entry) in entries {
        let Some(kind_name) = entry.field("serverKind") else {
            continue;
        };
        let Some(name) = kind_name.text() else {
            continue;
        };
        let protocol = protocols.get(name);
        if let Some(protocol) = protocol.filter(|protocol| **protocol != allowed) {
            let kind = MistakeKind::WrongProtocol {
                found: name.to_owned(),
                protocol: (*protocol).to_owned(),
                allowed: allowed.to_owned(),
            };
            checker.add_mistake(&kind_name, kind);
        }
    }
}

fn section<'a>(root: &NodeView<'a>, name: &str) -> Vec<(&'a str, NodeView<'a>)> {
    root.field(name)
        .map_or_else(Vec::new, |section| section.entries())
}
