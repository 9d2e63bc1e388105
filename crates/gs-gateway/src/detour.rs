//! Requests of clients that go through a peer, because this entry reaches no server.
//!
//! The peer handles such a request as if its client had sent it there: it alone finds the route, takes the quota and
//! chooses servers. A request goes through one peer at most.

use std::net::SocketAddr;
use std::rc::Rc;
use std::time::{Duration, Instant};

use bytes::Bytes;
use http_body_util::Full;
use hyper::body::Incoming;
use hyper::header::{HOST, HeaderValue};
use hyper::http::request::Parts;
use hyper::{Request, Response, StatusCode};

use crate::answer::{AnswerBody, ClientAnswer, PassedBody, local_answer};
use crate::connection::{CallError, ServerConnection};
use crate::gateway::Gateway;
use crate::ingress::{ReceivedRequest, not_run_answer, receive_request, within_time_limit};
use crate::plain::CONNECT_TIMEOUT;

/// Maximum number of peers to which a connection is tried for a request.
const MAX_PEERS: usize = 3;

/// Time that a peer's final answer may take to arrive after the request's time limit.
const ANSWER_TRANSIT: Duration = Duration::from_millis(100);

impl Gateway {
    /// Returns the peers that a client's request should go through; empty if it is to be served here.
    pub(crate) fn detour(&self) -> Vec<SocketAddr> {
        match self.is_isolated() && !self.is_stopping() {
            true => self.substitutes(),
            false => Vec::new(),
        }
    }
}

/// Forwards a client's request to the first of the peers that can be reached, and returns its answer.
pub(crate) async fn forward_to_peer(
    gateway: &Rc<Gateway>,
    request: Request<Incoming>,
    peers: &[SocketAddr],
) -> ClientAnswer {
    let received = match receive_request(gateway, request).await {
        Ok(received) => received,
        Err(answer) => return answer,
    };
    let ends_at = received.ends_at + ANSWER_TRANSIT;
    let id = &received.metadata.request_id;
    let exchange = try_peers(gateway, &received, peers);
    within_time_limit(gateway, id, ends_at, exchange).await
}

async fn try_peers(
    gateway: &Gateway,
    received: &ReceivedRequest,
    peers: &[SocketAddr],
) -> ClientAnswer {
    let id = &received.metadata.request_id;
    for peer in peers.iter().take(MAX_PEERS) {
        let exchange = async {
            let mut connection = ServerConnection::open(*peer, CONNECT_TIMEOUT).await?;
            let request = peer_request(gateway, received);
            let answer = connection.send(request).await?;
            Ok::<_, CallError>((answer, connection))
        };
        match exchange.await {
            Ok((answer, connection)) => {
                log::debug!(target: "request", id, peer:%, status = answer.status().as_u16(); "answered through a peer");
                return passed_answer(gateway, received, answer, connection);
            }
            Err(error) if error.is_not_sent() => {
                log::info!(target: "request", id, peer:%, error:%; "cannot send the request to a peer");
            }
            Err(error) => {
                log::info!(target: "request", id, peer:%, error:%; "the exchange with a peer failed");
                return local_answer(StatusCode::BAD_GATEWAY, "the request may have run\n");
            }
        }
    }
    not_run_answer(gateway, StatusCode::SERVICE_UNAVAILABLE)
}

fn peer_request(gateway: &Gateway, received: &ReceivedRequest) -> Request<Full<Bytes>> {
    let Parts {
        method,
        uri,
        headers,
        ..
    } = &received.head;
    let mut request = Request::new(Full::new(received.body.clone()));
    *request.method_mut() = method.clone();
    *request.uri_mut() = uri.clone();
    let deadline = received.metadata.deadline.map(|deadline| {
        let waited = received.arrived.elapsed();
        deadline.saturating_sub(waited)
    });
    *request.headers_mut() = gateway.wire.peer_headers(headers, deadline);
    if !request.headers().contains_key(HOST)
        && let Ok(host) = HeaderValue::from_str(&received.metadata.host)
    {
        request.headers_mut().insert(HOST, host);
    }
    request
}

/// Builds the client's answer from that of a peer, whose body is passed on as it arrives.
fn passed_answer(
    gateway: &Gateway,
    received: &ReceivedRequest,
    answer: Response<Incoming>,
    connection: ServerConnection,
) -> ClientAnswer {
    let (head, body) = answer.into_parts();
    let left = received.ends_at.saturating_duration_since(Instant::now());
    let body = PassedBody::new(body, connection, left + ANSWER_TRANSIT);
    let mut answer = Response::new(AnswerBody::Passed(Box::new(body)));
    *answer.status_mut() = head.status;
    *answer.headers_mut() = gateway.wire.client_headers(&head.headers);
    answer
}
