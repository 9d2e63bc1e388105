//! Small calls that give something back to an engine.

use std::net::SocketAddr;
use std::time::Duration;

use bytes::Bytes;
use http_body_util::Full;
use hyper::Request;
use hyper::header::HOST;

use crate::call::fetch;
use crate::wire::EngineCall;

/// How long such a call may take.
const RELEASE_TIMEOUT: Duration = Duration::from_secs(1);

/// The longest answer, in bytes.
const MAX_ANSWER_BYTES: usize = 65_536;

/// Sends a call in the background; what is not given back lapses by itself.
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
                log::warn!(target: "generation", engine:% = address, error:%; "call not built");
                return;
            }
        };
        if let Err(error) = fetch(address, request, RELEASE_TIMEOUT, MAX_ANSWER_BYTES).await {
            log::info!(target: "generation", engine:% = address, error:%; "not given back; it lapses");
        }
    });
}
