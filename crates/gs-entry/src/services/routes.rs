//! Finds the route of a call in the document.

use gs_document::document::{RouteEntry, RouteMethod, ServiceEntry};
use percent_encoding::percent_decode_str;

/// The segment of a route's path that stands for any one segment.
const ANY_SEGMENT: &str = "*";

/// Finds the first route that matches a method and a path, as it came and without its query.
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
            .is_some_and(|found| wanted == found || wanted == ANY_SEGMENT && is_plain(found))
    });
    all && segments.next().is_none()
}

/// Whether a segment names one thing. A server that normalises paths could take any other segment for a
/// way to another route, which may not be idempotent.
fn is_plain(segment: &str) -> bool {
    let decoded: Vec<u8> = percent_decode_str(segment).collect();
    let suspect = |byte: &u8| matches!(byte, b'/' | b'\\' | b'%' | b';') || byte.is_ascii_control();
    !matches!(decoded.as_slice(), b"" | b"." | b"..") && !decoded.iter().any(suspect)
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
