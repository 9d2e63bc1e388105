//! Checks that the routes of a service do not contradict one another.

use std::collections::BTreeMap;

use crate::source::{CheckReport, MistakeKind, NodeView};

use super::shape::MAX_ROUTES;

/// One route as far as it could be read.
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

    /// Whether some call matches both routes.
    fn overlaps(&self, other: &Self) -> bool {
        let is_match = |(own, other): (&&str, &&str)| own == other || *own == "*" || *other == "*";
        self.method == other.method
            && self.segments.len() == other.segments.len()
            && self.segments.iter().zip(&other.segments).all(is_match)
    }

    /// Whether the routes say opposite things of the same call.
    fn contradicts(&self, other: &Self) -> bool {
        let differs = matches!(
            (self.idempotent, other.idempotent),
            (Some(own), Some(other)) if own != other
        );
        differs && self.overlaps(other)
    }
}

/// Adds a mistake for each route that repeats or contradicts an earlier one.
pub(super) fn check_routes(service: &NodeView<'_>, report: &mut CheckReport<'_>) {
    let Some(list) = service.field("routes") else {
        return;
    };
    let items = list.items().into_iter().take(MAX_ROUTES);
    let routes: Vec<RouteView<'_>> = items.filter_map(read_route).collect();
    let mut first_places = BTreeMap::new();
    for (place, route) in routes.iter().enumerate() {
        let first_place = *first_places
            .entry((route.method, route.path))
            .or_insert(place);
        let earlier = &routes[..place];
        if first_place < place {
            let first = &routes[first_place];
            let kind = MistakeKind::Repeated {
                found: format!("route \"{}\"", route.name()),
                first_line: report.line(&first.view),
            };
            report.add(&route.view, kind);
        } else if let Some(first) = earlier.iter().find(|first| first.contradicts(route)) {
            let kind = MistakeKind::RouteOverlap {
                found: route.name(),
                other: first.name(),
                first_line: report.line(&first.view),
            };
            report.add(&route.view, kind);
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
