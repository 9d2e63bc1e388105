//! Checks the routes of a service for duplicates and conflicts.

use std::collections::BTreeMap;

use crate::source::{MistakeKind, NodeView, SourceChecker};

use super::schema::MAX_ROUTES;

/// The parsed fields of one route.
struct RouteView<'a> {
    view: NodeView<'a>,
    method: &'a str,
    path: &'a str,
    segments: Vec<&'a str>,
    idempotent: Option<bool>,
}

impl RouteView<'_> {
    fn name(&self) -> String {
        format!("{} {}", self.method, self.path)
    }

    /// Returns whether some call matches both routes.
    fn overlaps(&self, other: &Self) -> bool {
        let is_match = |(own, other): (&&str, &&str)| own == other || *own == "*" || *other == "*";
        self.method == other.method
            && self.segments.len() == other.segments.len()
            && self.segments.iter().zip(&other.segments).all(is_match)
    }

    /// Returns whether some call matches both routes and only one of them is idempotent.
    fn conflicts_with(&self, other: &Self) -> bool {
        let differs = matches!(
            (self.idempotent, other.idempotent),
            (Some(own), Some(other)) if own != other
        );
        differs && self.overlaps(other)
    }
}

/// Adds a mistake for each route that duplicates or conflicts with an earlier one.
pub(super) fn check_routes(service: &NodeView<'_>, checker: &mut SourceChecker<'_>) {
    let Some(list) = service.field("routes") else {
        return;
    };
    let items = list.items().into_iter().take(MAX_ROUTES);
    let routes: Vec<RouteView<'_>> = items.filter_map(read_route).collect();
    let mut first_indices = BTreeMap::new();
    for (index, route) in routes.iter().enumerate() {
        let first_index = *first_indices
            .entry((route.method, route.path))
            .or_insert(index);
        let earlier = &routes[..index];
        if first_index < index {
            let first = &routes[first_index];
            let kind = MistakeKind::Repeated {
                found: format!("route \"{}\"", route.name()),
                first_line: checker.line(&first.view),
            };
            checker.add_mistake(&route.view, kind);
        } else if let Some(first) = earlier.iter().find(|first| first.conflicts_with(route)) {
            let kind = MistakeKind::RouteOverlap {
                found: route.name(),
                other: first.name(),
                first_line: checker.line(&first.view),
            };
            checker.add_mistake(&route.view, kind);
        }
    }
}

fn read_route(view: NodeView<'_>) -> Option<RouteView<'_>> {
    let method = view.field("method")?.text()?;
    let path = view.field("path")?.text()?;
    let idempotent = view.field("idempotent").and_then(|field| field.boolean());
    Some(RouteView {
        view,
        method,
        path,
        segments: path.split('/').collect(),
        idempotent,
    })
}
