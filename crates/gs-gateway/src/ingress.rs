//! Takes clients' connections and requests.
//!
//! The connection ends with its client: while a request is served, the end of the client's stream drops
//! the request and all that it has going on.

use std::cell::Cell;
use std::convert::Infallible;
use std::rc::Rc;
use std::time::{Duration, Instant};

use bytes::Bytes;
use gs_control::forwarding::{RouteKind, ShutdownPhase};
use http_body_util::{BodyExt, LengthLimitError, Limited};
use hyper::body::Incoming;
use hyper::header::{CONNECTION, HOST, HeaderValue};
use hyper::server::conn::http1::Builder;
use hyper::service::service_fn;
use hyper::{Request, StatusCode};
use hyper_util::rt::{TokioIo, TokioTimer};
use tokio::net::{TcpListener, TcpStream};

use crate::answer::{ClientAnswer, gateway_answer};
use crate::gateway::Gateway;
use crate::generation::forward_generation;
use crate::plain::{DEFAULT_RETRY_AFTER, ForwardJob, forward_plain};
use crate::reservation::{ActiveRequest, KeptBytes};

/// How often an idle connection looks whether the process is ending.
const STOP_POLL_INTERVAL: Duration = Duration::from_millis(100);

/// How long an accept that failed, for want of descriptors say, is not tried again.
const ACCEPT_RETRY_PAUSE: Duration = Duration::from_millis(20);

/// The least read buffer that the HTTP library allows.
const MIN_BUFFER_BYTES: usize = 8_192;

/// Serves clients until the process ends.
pub async fn serve_clients(gateway: Rc<Gateway>, listener: TcpListener) {
    let open = Rc::new(Cell::new(0_usize));
    loop {
        let stream = accept(&listener).await;
        if open.get() >= gateway.settings.max_connections {
            log::warn!(target: "ingress", open = open.get(); "connection refused: too many are open");
            continue;
        }
        let open_guard = OpenConnection::count(&open);
        let gateway = Rc::clone(&gateway);
        actix_rt::spawn(async move {
            let _open_guard = open_guard;
            serve_connection(gateway, stream).await;
        });
    }
}

async fn accept(listener: &TcpListener) -> TcpStream {
    loop {
        match listener.accept().await {
            Ok((stream, _)) => {
                if let Err(error) = stream.set_nodelay(true) {
                    log::debug!(target: "ingress", "Nagle's algorithm stays on: {error}.");
                }
                return stream;
            }
            Err(error) => {
                log::warn!(target: "ingress", error:%; "connection not accepted");
                tokio::time::sleep(ACCEPT_RETRY_PAUSE).await;
            }
        }
    }
}

/// Counts an open connection.
struct OpenConnection(Rc<Cell<usize>>);

impl OpenConnection {
    fn count(open: &Rc<Cell<usize>>) -> Self {
        open.set(open.get() + 1);
        Self(Rc::clone(open))
    }
}

impl Drop for OpenConnection {
    fn drop(&mut self) {
        self.0.set(self.0.get() - 1);
    }
}

async fn serve_connection(gateway: Rc<Gateway>, stream: TcpStream) {
    let limits = gateway
        .table()
        .map(|table| table.limits)
        .unwrap_or_default();
    let served = Rc::clone(&gateway);
    let service = service_fn(move |request| {
        let gateway = Rc::clone(&served);
        async move { Ok::<_, Infallible>(serve_request(&gateway, request).await) }
    });
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
                    log::debug!(target: "ingress", "A client's connection ended: {error}.");
                }
                return;
            }
            () = tokio::time::sleep(STOP_POLL_INTERVAL), if !is_closing => {
                if gateway.shutdown_phase() >= Some(ShutdownPhase::Finish) {
                    connection.as_mut().graceful_shutdown();
                    is_closing = true;
                }
            }
        }
    }
}

/// Answers one request of a client.
async fn serve_request(gateway: &Rc<Gateway>, request: Request<Incoming>) -> ClientAnswer {
    let _active = ActiveRequest::begin(gateway);
    let mut answer = match read_job(gateway, request).await {
        Ok(job) => forward(gateway, job).await,
        Err(answer) => answer,
    };
    if gateway.is_stopping() {
        answer
            .headers_mut()
            .insert(CONNECTION, HeaderValue::from_static("close"));
    }
    answer
}

async fn forward(gateway: &Rc<Gateway>, job: ForwardJob) -> ClientAnswer {
    let phase = gateway.shutdown_phase();
    let is_stream = matches!(job.rule.kind, RouteKind::Streaming { .. });
    let is_refused = match phase {
        None | Some(ShutdownPhase::TakeAll) => false,
        Some(ShutdownPhase::TakeShort) => is_stream,
        Some(ShutdownPhase::Finish | ShutdownPhase::Exit) => true,
    };
    if is_refused {
        log::info!(target: "request", id:% = job.metadata.request, phase:?; "refused: this entry stops");
        return job.refusal_answer(gateway, Duration::ZERO);
    }
    match is_stream {
        true => forward_generation(gateway, job).await,
        false => forward_plain(gateway, &job).await,
    }
}

/// Reads a request to its end and finds its route.
async fn read_job(
    gateway: &Rc<Gateway>,
    request: Request<Incoming>,
) -> Result<ForwardJob, ClientAnswer> {
    let arrived = Instant::now();
    let (head, body) = request.into_parts();
    let metadata = gateway.wire.parse_request(&head).map_err(|error| {
        log::info!(target: "request", error:%; "refused: not a proper request");
        gateway_answer(StatusCode::BAD_REQUEST, "not a proper request\n")
    })?;
    let refused = |status, text| {
        let mut answer = gateway_answer(status, text);
        let (name, value) = gateway.wire.retry_after(DEFAULT_RETRY_AFTER);
        answer.headers_mut().insert(name, value);
        answer
    };
    let Some(table) = gateway.table() else {
        log::info!(target: "request", id:% = metadata.request; "refused: no configuration is known");
        return Err(refused(StatusCode::SERVICE_UNAVAILABLE, "not run\n"));
    };
    let Some(rule) = table.find(&metadata.host, head.uri.path()).cloned() else {
        log::info!(target: "request", id:% = metadata.request, version = table.version; "no route");
        return Err(gateway_answer(StatusCode::NOT_FOUND, "no route\n"));
    };
    let Some(service) = rule.target(gateway.random_fraction()).cloned() else {
        log::warn!(target: "request", id:% = metadata.request, route = rule.name; "the route has no service");
        return Err(refused(StatusCode::SERVICE_UNAVAILABLE, "not run\n"));
    };
    let body = read_body(body, table.limits.body_bytes, &metadata.request).await?;
    let Some(kept_bytes) = KeptBytes::acquire(gateway, body.len()) else {
        log::warn!(target: "request", id:% = metadata.request; "refused: too many bytes of requests are kept");
        return Err(refused(StatusCode::SERVICE_UNAVAILABLE, "not run\n"));
    };
    let path = head
        .uri
        .path_and_query()
        .map(|path| path.as_str())
        .unwrap_or("/");
    let Ok(path) = path.parse() else {
        return Err(gateway_answer(
            StatusCode::BAD_REQUEST,
            "not a proper path\n",
        ));
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
        arrived,
        _kept_bytes: kept_bytes,
    })
}

async fn read_body(body: Incoming, limit: usize, request: &str) -> Result<Bytes, ClientAnswer> {
    match Limited::new(body, limit).collect().await {
        Ok(collected) => Ok(collected.to_bytes()),
        Err(error) if error.is::<LengthLimitError>() => {
            log::info!(target: "request", id = request, limit; "refused: the body is too long");
            Err(gateway_answer(
                StatusCode::PAYLOAD_TOO_LARGE,
                "the body is too long\n",
            ))
        }
        Err(error) => {
            log::info!(target: "request", id = request, error:%; "the body broke off");
            Err(gateway_answer(
                StatusCode::BAD_REQUEST,
                "the body broke off\n",
            ))
        }
    }
}

/// Serves short calls without a body, such as health checks.
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
                log::debug!(target: "ingress", "A connection ended: {error}.");
            }
        });
    }
}
