//! Accepts clients' connections and reads their requests.
//!
//! When a client closes its connection while a request is served, the request is dropped together with all
//! work that it has started.

use std::convert::Infallible;
use std::rc::Rc;
use std::sync::Arc;
use std::time::{Duration, Instant};

use bytes::{Bytes, BytesMut};
use gs_control::forwarding::{RequestCaller, RouteKind, RouteRule, RouteTable, ShutdownPhase};
use gs_control::quarantine::{CallerIdentity, RequestContents, RequestIdentity};
use gs_protocol::ids::ServiceName;
use http_body_util::BodyExt;
use hyper::body::{Body, Incoming};
use hyper::header::{CONNECTION, HOST, HeaderValue};
use hyper::http::request::Parts;
use hyper::server::conn::http1::Builder;
use hyper::service::service_fn;
use hyper::{Request, StatusCode};
use hyper_util::rt::{TokioIo, TokioTimer};
use socket2::SockRef;
use tokio::net::{TcpListener, TcpStream};

use crate::answer::{ClientAnswer, local_answer};
use crate::client_stream::{ClientStream, ReaderProgress};
use crate::detour::forward_to_peer;
use crate::gateway::Gateway;
use crate::generation::forward_generation;
use crate::plain::{DEFAULT_RETRY_AFTER, ForwardJob, forward_plain};
use crate::reservation::{ActiveRequest, KeptBytes, OpenConnection};
use crate::wire::RequestMetadata;

/// Interval at which an idle connection checks whether the process is stopping.
const STOP_POLL_INTERVAL: Duration = Duration::from_millis(100);

/// Pause after a failed accept, for example because file descriptors ran out.
const ACCEPT_RETRY_PAUSE: Duration = Duration::from_millis(20);

/// Time limit of a request that goes through a peer and whose route is not known here, if it names no deadline.
const UNKNOWN_ROUTE_LIMIT: Duration = Duration::from_secs(10);

/// Minimum read buffer that the HTTP library accepts.
const MIN_BUFFER_BYTES: usize = 8_192;

/// Bytes that the kernel holds for a client beyond what the client's own buffer takes. Without this bound it holds
/// up to some megabytes for each client that does not read.
const MAX_UNSENT_BYTES: u32 = 65_536;

/// Who has sent a request to this entry.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
enum RequestSender {
    Client,
    /// Another entry, for its client. The request goes through no further entry.
    Peer,
}

/// Accepts and serves client connections until the process ends.
pub async fn serve_clients(gateway: Rc<Gateway>, listener: TcpListener) {
    accept_connections(gateway, listener, RequestSender::Client).await;
}

/// Accepts and serves connections of peers that reach no server, until the process ends.
pub async fn serve_peers(gateway: Rc<Gateway>, listener: TcpListener) {
    accept_connections(gateway, listener, RequestSender::Peer).await;
}

async fn accept_connections(gateway: Rc<Gateway>, listener: TcpListener, sender: RequestSender) {
    loop {
        let stream = accept(&listener).await;
        let open = gateway.open_connections.get();
        if open >= gateway.settings.max_connections {
            log::warn!(target: "ingress", open; "connection refused: too many open connections");
            continue;
        }
        let open_connection = OpenConnection::begin(&gateway);
        let gateway = Rc::clone(&gateway);
        actix_rt::spawn(async move {
            serve_connection(gateway, stream, sender).await;
            drop(open_connection);
        });
    }
}

async fn accept(listener: &TcpListener) -> TcpStream {
    loop {
        match listener.accept().await {
            Ok((stream, _)) => {
                if let Err(error) = stream.set_nodelay(true) {
                    log::debug!(target: "ingress", "cannot disable Nagle's algorithm: {error}");
                }
                let unsent = SockRef::from(&stream).set_tcp_notsent_lowat(MAX_UNSENT_BYTES);
                if let Err(error) = unsent {
                    log::debug!(target: "ingress", "cannot bound the unsent bytes: {error}");
                }
                return stream;
            }
            Err(error) => {
                log::warn!(target: "ingress", error:%; "cannot accept a connection");
                tokio::time::sleep(ACCEPT_RETRY_PAUSE).await;
            }
        }
    }
}

async fn serve_connection(gateway: Rc<Gateway>, stream: TcpStream, sender: RequestSender) {
    let limits = gateway
        .table()
        .map(|table| table.limits)
        .unwrap_or_default();
    let service_gateway = Rc::clone(&gateway);
    let service = service_fn(move |request| {
        let gateway = Rc::clone(&service_gateway);
        async move { Ok::<_, Infallible>(serve_request(&gateway, request, sender).await) }
    });
    let progress = Rc::new(ReaderProgress::default());
    gateway.answer_budget.add_reader(&progress);
    let stream = ClientStream::new(stream, Rc::clone(&progress));
    let connection = Builder::new()
        .timer(TokioTimer::new())
        .header_read_timeout(limits.idle_timeout)
        .max_buf_size((limits.header_bytes * 2).max(MIN_BUFFER_BYTES))
        .serve_connection(TokioIo::new(stream), service);
    tokio::pin!(connection);
    let mut is_closing = false;
    loop {
        tokio::select! {
            ended = connection.as_mut() => {
                if let Err(error) = ended {
                    log::debug!(target: "ingress", "client connection failed: {error}");
                }
                return;
            }
            () = progress.cut_requested() => return,
            () = tokio::time::sleep(STOP_POLL_INTERVAL) => {
                if progress.is_stalled() {
                    log::info!(target: "ingress", "connection closed: its client does not read");
                    return;
                }
                if !is_closing && gateway.shutdown_phase() >= Some(ShutdownPhase::Finish) {
                    connection.as_mut().graceful_shutdown();
                    is_closing = true;
                }
            }
        }
    }
}

/// Reads, forwards and answers one request.
async fn serve_request(
    gateway: &Rc<Gateway>,
    request: Request<Incoming>,
    sender: RequestSender,
) -> ClientAnswer {
    let _active = ActiveRequest::begin(gateway);
    let peers = match sender {
        RequestSender::Client => gateway.detour(),
        RequestSender::Peer => Vec::new(),
    };
    let mut answer = match peers.is_empty() {
        true => serve_here(gateway, request).await,
        false => forward_to_peer(gateway, request, &peers).await,
    };
    if gateway.is_stopping() {
        answer
            .headers_mut()
            .insert(CONNECTION, HeaderValue::from_static("close"));
    }
    answer
}

async fn serve_here(gateway: &Rc<Gateway>, request: Request<Incoming>) -> ClientAnswer {
    match read_job(gateway, request).await {
        Ok(job) => forward(gateway, job).await,
        Err(answer) => answer,
    }
}

/// Forwards a request by the kind of its route.
async fn forward(gateway: &Rc<Gateway>, job: ForwardJob) -> ClientAnswer {
    if let Some(refusal) = job.shutdown_refusal(gateway) {
        return refusal;
    }
    let request_id = job.metadata.request_id.clone();
    let ends_at = job.ends_at();
    let forwarded = async {
        match job.rule.kind {
            RouteKind::Streaming { .. } => forward_generation(gateway, job).await,
            RouteKind::Safe | RouteKind::Unsafe => forward_plain(gateway, &job).await,
        }
    };
    within_time_limit(gateway, &request_id, ends_at, forwarded).await
}

/// Waits for the answer to a request that may run, at most until its time limit or until this entry exits.
pub(crate) async fn within_time_limit(
    gateway: &Gateway,
    request_id: &str,
    ends_at: Instant,
    forwarded: impl Future<Output = ClientAnswer>,
) -> ClientAnswer {
    tokio::select! {
        biased;
        answer = forwarded => answer,
        () = tokio::time::sleep_until(ends_at.into()) => {
            log::info!(target: "request", id = request_id; "given up: its time limit passed");
            local_answer(StatusCode::GATEWAY_TIMEOUT, "the request may have run\n")
        }
        () = gateway.final_answers_due() => {
            log::warn!(target: "request", id = request_id; "given up: this entry exits");
            local_answer(StatusCode::GATEWAY_TIMEOUT, "the request may have run\n")
        }
    }
}

/// The table, route and service of a request.
struct RequestRoute {
    table: Arc<RouteTable>,
    rule: Arc<RouteRule>,
    service: ServiceName,
    caller: RequestCaller,
}

/// Finds the route of a request. An error is the answer to a request without one.
fn find_route(
    gateway: &Gateway,
    metadata: &RequestMetadata,
    path: &str,
) -> Result<RequestRoute, Box<ClientAnswer>> {
    let Some(table) = gateway.table() else {
        log::info!(target: "request", id:% = metadata.request_id; "refused: no configuration received yet");
        let answer = not_run_answer(gateway, StatusCode::SERVICE_UNAVAILABLE);
        return Err(Box::new(answer));
    };
    let Some(rule) = table.find(&metadata.host, path).cloned() else {
        // A newer configuration may have a route.
        if let Some(retry_after) = gateway.currency_refusal(&table, &metadata.request_id) {
            return Err(Box::new(not_run_after(gateway, retry_after)));
        }
        log::info!(target: "request", id:% = metadata.request_id, version = table.version; "no route matches the request");
        let answer = local_answer(StatusCode::NOT_FOUND, "no route\n");
        return Err(Box::new(answer));
    };
    let caller = gateway.identify_caller(&table, &rule, metadata)?;
    let Some(service) = rule.target(gateway.random_fraction()).cloned() else {
        log::warn!(target: "request", id:% = metadata.request_id, route = rule.name; "the route has no target service");
        let answer = not_run_answer(gateway, StatusCode::SERVICE_UNAVAILABLE);
        return Err(Box::new(answer));
    };
    Ok(RequestRoute {
        table,
        rule,
        service,
        caller,
    })
}

/// Builds the answer to a request that was not sent to a server.
pub(crate) fn not_run_answer(gateway: &Gateway, status: StatusCode) -> ClientAnswer {
    let mut answer = local_answer(status, "not run\n");
    let (name, value) = gateway.wire.retry_after(DEFAULT_RETRY_AFTER);
    answer.headers_mut().insert(name, value);
    answer
}

/// Builds the answer to a request that cannot be served now and may be sent again after a time.
pub(crate) fn not_run_after(gateway: &Gateway, after: Duration) -> ClientAnswer {
    let mut answer = not_run_answer(gateway, StatusCode::SERVICE_UNAVAILABLE);
    let (name, value) = gateway.wire.retry_after(after);
    answer.headers_mut().insert(name, value);
    answer
}

/// Parses the metadata of a request. An error is the answer to an invalid one.
fn parse_metadata(gateway: &Gateway, head: &Parts) -> Result<RequestMetadata, Box<ClientAnswer>> {
    gateway.wire.parse_request(head).map_err(|error| {
        log::info!(target: "request", error:%; "refused: invalid request");
        Box::new(local_answer(
            StatusCode::BAD_REQUEST,
            "not a proper request\n",
        ))
    })
}

/// Reads a body within the time limit of its request.
async fn read_body_in_time(
    gateway: &Rc<Gateway>,
    body: Incoming,
    limit: usize,
    request_id: &str,
    ends_at: Instant,
) -> Result<(Bytes, KeptBytes), ClientAnswer> {
    let reading = read_body(gateway, body, limit, request_id);
    let Ok(read) = tokio::time::timeout_at(ends_at.into(), reading).await else {
        log::info!(target: "request", id = request_id; "refused: the body did not arrive within the time limit");
        return Err(not_run_answer(gateway, StatusCode::REQUEST_TIMEOUT));
    };
    read
}

/// A complete request whose route another entry finds.
pub(crate) struct ReceivedRequest {
    pub head: Parts,
    pub metadata: RequestMetadata,
    pub body: Bytes,
    pub arrived: Instant,
    /// When the exchange ends, by the routes in force here.
    pub ends_at: Instant,
    _kept_bytes: KeptBytes,
}

/// Reads a complete request for another entry. An error is the answer to an invalid or refused request.
pub(crate) async fn receive_request(
    gateway: &Rc<Gateway>,
    request: Request<Incoming>,
) -> Result<ReceivedRequest, ClientAnswer> {
    let arrived = Instant::now();
    let (head, body) = request.into_parts();
    let metadata = parse_metadata(gateway, &head).map_err(|answer| *answer)?;
    let table = gateway.table();
    let table = table.ok_or_else(|| not_run_answer(gateway, StatusCode::SERVICE_UNAVAILABLE))?;
    let rule = table.find(&metadata.host, head.uri.path());
    let time_limit = match rule {
        Some(rule) => rule.time_limit(metadata.deadline),
        None => metadata.deadline.unwrap_or(UNKNOWN_ROUTE_LIMIT),
    };
    let ends_at = arrived + time_limit;
    let limit = table.limits.body_bytes;
    let (body, kept_bytes) =
        read_body_in_time(gateway, body, limit, &metadata.request_id, ends_at).await?;
    Ok(ReceivedRequest {
        head,
        metadata,
        body,
        arrived,
        ends_at,
        _kept_bytes: kept_bytes,
    })
}

/// Reads a complete request and finds its route. An error is the answer to an invalid or refused request.
async fn read_job(
    gateway: &Rc<Gateway>,
    request: Request<Incoming>,
) -> Result<ForwardJob, ClientAnswer> {
    let arrived = Instant::now();
    let (head, body) = request.into_parts();
    let metadata = parse_metadata(gateway, &head).map_err(|answer| *answer)?;
    let RequestRoute {
        table,
        rule,
        service,
        caller,
    } = find_route(gateway, &metadata, head.uri.path()).map_err(|answer| *answer)?;
    let quota = gateway
        .take_quota(&caller, &metadata)
        .map_err(|answer| *answer)?;
    let ends_at = arrived + rule.time_limit(metadata.deadline);
    let limit = table.limits.body_bytes;
    let (body, kept_bytes) =
        read_body_in_time(gateway, body, limit, &metadata.request_id, ends_at).await?;
    let path = head.uri.path_and_query();
    let path = path.map_or("/", |path| path.as_str());
    let identity = RequestIdentity {
        method: head.method.as_str(),
        path,
        body: &body,
        host: &metadata.host,
        caller: CallerIdentity::new(&caller, metadata.api_key.as_ref()),
    };
    let contents = RequestContents::new(&identity, metadata.shared_parts.clone());
    let Ok(path) = path.parse() else {
        return Err(local_answer(StatusCode::BAD_REQUEST, "not a proper path\n"));
    };
    let mut headers = head.headers;
    if !headers.contains_key(HOST)
        && let Ok(host) = HeaderValue::from_str(&metadata.host)
    {
        headers.insert(HOST, host);
    }
    Ok(ForwardJob {
        metadata,
        method: head.method,
        path,
        headers,
        body,
        rule,
        service,
        caller,
        quota,
        arrived,
        contents,
        _kept_bytes: kept_bytes,
    })
}

/// Reads a body and counts its bytes before they come in: all of them if its length is known, or else
/// each part. An error is the answer to a request whose body is too long, cannot be kept or breaks off.
async fn read_body(
    gateway: &Rc<Gateway>,
    mut body: Incoming,
    limit: usize,
    request_id: &str,
) -> Result<(Bytes, KeptBytes), ClientAnswer> {
    let too_long = || {
        log::info!(target: "request", id = request_id, limit; "refused: the body exceeds the size limit");
        local_answer(StatusCode::PAYLOAD_TOO_LARGE, "the body is too long\n")
    };
    let not_kept = || {
        log::warn!(target: "request", id = request_id; "refused: the limit of buffered request bytes is reached");
        not_run_answer(gateway, StatusCode::SERVICE_UNAVAILABLE)
    };
    let declared = body.size_hint().lower();
    let declared = usize::try_from(declared).unwrap_or(usize::MAX);
    if declared > limit {
        return Err(too_long());
    }
    let mut kept_bytes = KeptBytes::none(gateway);
    if !kept_bytes.extend_to(declared) {
        return Err(not_kept());
    }
    let mut bytes = BytesMut::new();
    while let Some(frame) = body.frame().await {
        let frame = frame.map_err(|error| {
            log::info!(target: "request", id = request_id, error:%; "the body is incomplete");
            local_answer(StatusCode::BAD_REQUEST, "the body broke off\n")
        })?;
        let Ok(data) = frame.into_data() else {
            continue;
        };
        let length = bytes.len() + data.len();
        if length > limit {
            return Err(too_long());
        }
        if !kept_bytes.extend_to(length) {
            return Err(not_kept());
        }
        bytes.reserve(declared.saturating_sub(bytes.len()));
        bytes.extend_from_slice(&data);
    }
    Ok((bytes.freeze(), kept_bytes))
}

/// Serves requests from their head alone, such as health checks; their bodies are ignored.
pub async fn serve_bodiless(
    listener: TcpListener,
    answer: impl Fn(&hyper::http::request::Parts) -> ClientAnswer + 'static,
) {
    let answer = Rc::new(answer);
    loop {
        let stream = accept(&listener).await;
        let answer = Rc::clone(&answer);
        let service = service_fn(move |request: Request<Incoming>| {
            let (head, _) = request.into_parts();
            let answered = answer(&head);
            async move { Ok::<_, Infallible>(answered) }
        });
        actix_rt::spawn(async move {
            let connection = Builder::new().serve_connection(TokioIo::new(stream), service);
            if let Err(error) = connection.await {
                log::debug!(target: "ingress", "connection failed: {error}");
            }
        });
    }
}
