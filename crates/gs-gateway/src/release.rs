//! Releases prefill results that no decode engine will claim.

use std::net::SocketAddr;
use std::time::Duration;

use bytes::Bytes;
use http_body_util::Full;
use hyper::Request;
use hyper::header::HOST;

use crate::connection::fetch;
use crate::wire::EngineCall;

/// Timeout of a release call.
const RELEASE_TIMEOUT: Duration = Duration::from_secs(1);

/// Maximum size of the answer, in bytes.
const MAX_ANSWER_BYTES: usize = 65_536;

/// Sends a release call in the background. A result whose release fails expires by itself.
pub(crate) fn release_result(address: SocketAddr, call: EngineCall) {
    let request = Request::builder()
        .method(call.method)
        .uri(call.path)
        .header(HOST, address.to_string())
        .body(Full::new(Bytes::new()));
    actix_rt::spawn(async move {
        let request = match request {
            Ok(request) => request,
            Err(error) => {
                log::warn!(target: "generation", engine:% = address, error:%; "cannot build the release call");
                return;
            }
        };
        if let Err(error) = fetch(address, request, RELEASE_TIMEOUT, MAX_ANSWER_BYTES).await {
            log::info!(target: "generation", engine:% = address, error:%; "release failed: the result will expire");
        }
    });
}
