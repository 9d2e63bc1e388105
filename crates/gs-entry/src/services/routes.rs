//! Matches calls to the routes of a service.

use gs_document::document::{RouteEntry, RouteMethod, ServiceEntry};
use percent_encoding::percent_decode_str;

/// Segment of a route's path that matches any one plain segment.
const ANY_SEGMENT: &str = "*";

/// Finds the first route that matches a method and a path, which is encoded and has no query.
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
    let all_match = pattern.split('/').all(|expected| {
        segments.next().is_some_and(|segment| {
            expected == segment || expected == ANY_SEGMENT && is_plain_segment(segment)
        })
    });
    all_match && segments.next().is_none()
}

/// Whether a segment is unambiguous. A server that normalizes paths could resolve any other segment
/// to a different route, which may not be idempotent.
fn is_plain_segment(segment: &str) -> bool {
    let decoded: Vec<u8> = percent_decode_str(segment).collect();
    let is_ambiguous =
        |byte: &u8| matches!(byte, b'/' | b'\\' | b'%' | b';') || byte.is_ascii_control();
    !matches!(decoded.as_slice(), b"" | b"." | b"..") && !decoded.iter().any(is_ambiguous)
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
