//! Checks that span several fields of a document.

use std::collections::BTreeMap;

use crate::source::{CheckReport, MistakeKind, NodeView};

use super::routes::check_routes;

/// The sum of all callers' guaranteed shares that the fleet can honour.
const MAX_SHARE_SUM: f64 = 1.0;

/// The rounding error allowed in a sum of shares.
const SHARE_TOLERANCE: f64 = 1e-9;

/// Checks the document at the root; values of wrong types are left to the shape's check.
pub(super) fn check_document(root: &NodeView<'_>, report: &mut CheckReport<'_>) {
    check_shares(root, report);
    let protocols = read_protocols(root);
    let services = section(root, "services");
    check_protocols(&section(root, "models"), "engine", &protocols, report);
    check_protocols(&services, "service", &protocols, report);
    for (_, service) in &services {
        check_routes(service, report);
    }
}

fn check_shares(root: &NodeView<'_>, report: &mut CheckReport<'_>) {
    let Some(callers) = root.field("callers") else {
        return;
    };
    let share = |(_, caller): (&str, NodeView<'_>)| caller.field("guaranteedShare")?.number();
    let is_share = |share: &f64| (0.0..=MAX_SHARE_SUM).contains(share);
    let shares = callers.entries().into_iter().filter_map(share);
    let sum: f64 = shares.filter(is_share).sum();
    if sum > MAX_SHARE_SUM + SHARE_TOLERANCE {
        let kind = MistakeKind::ShareSum {
            found: sum.to_string(),
            allowed: MAX_SHARE_SUM.to_string(),
        };
        report.add(&callers, kind);
    }
}

/// The protocols of the server kinds by name, as far as they can be read.
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
    report: &mut CheckReport<'_>,
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
            report.add(&kind_name, kind);
        }
    }
}

fn section<'a>(root: &NodeView<'a>, name: &str) -> Vec<(&'a str, NodeView<'a>)> {
    root.field(name)
        .map_or_else(Vec::new, |section| section.entries())
}
