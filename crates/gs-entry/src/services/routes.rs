//! Finds the route of a call in the document.

use gs_document::document::{RouteEntry, RouteMethod, ServiceEntry};

/// The segment of a route's path that stands for any one segment.
const ANY_SEGMENT: &str = "*";

/// Finds the first route that matches a method and a path (without its query).
pub fn find_route<'a>(
    service: &'a ServiceEntry,
    method: &str,
    path: &str,
) -> Option<&'a RouteEntry> {
    let matches = |route: &&RouteEntry| {
        method_name(route.method) == method && path_matches(&route.path, path)
    };
    service.routes.iter().find(matches)
}

fn path_matches(pattern: &str, path: &str) -> bool {
    let mut segments = path.split('/');
    let all = pattern.split('/').all(|wanted| {
        segments
            .next()
            .is_some_and(|found| wanted == ANY_SEGMENT || wanted == found)
    });
    all && segments.next().is_none()
}

fn method_name(method: RouteMethod) -> &'static str {
    match method {
        RouteMethod::Delete => "DELETE",
        RouteMethod::Get => "GET",
        RouteMethod::Patch => "PATCH",
        RouteMethod::Post => "POST",
        RouteMethod::Put => "PUT",
    }
}
