//! Connections to servers, each used for a single HTTP exchange.
//!
//! Connections are not reused: an answer that is late, duplicated or too long can then never be taken for
//! the answer to another request, and a connection that stops responding blocks one request at most.

use std::net::SocketAddr;
use std::time::Duration;

use bytes::Bytes;
use http_body_util::{BodyExt, Full, LengthLimitError, Limited};
use hyper::body::Incoming;
use hyper::client::conn::http1::{Builder, SendRequest};
use hyper::{Request, Response};
use hyper_util::rt::TokioIo;
use socket2::{SockRef, TcpKeepalive};
use tokio::net::TcpStream;
use tokio::task::JoinHandle;

/// Interval between two keep-alive probes of an idle connection.
const PROBE_INTERVAL: Duration = Duration::from_secs(1);

/// Number of unanswered probes after which a connection is closed.
const PROBE_RETRIES: u32 = 2;

/// Maximum size of the bytes that a connection buffers, among them the head of an answer.
const MAX_BUFFERED_BYTES: usize = 65_536;

/// Bytes that the kernel holds for a server beyond what the server's own buffer takes.
const MAX_UNSENT_BYTES: u32 = 65_536;

/// Why an exchange failed.
#[derive(Debug, thiserror::Error)]
pub enum CallError {
    /// The connection was not established in time.
    #[error("connecting timed out after {0:?}")]
    ConnectTimeout(Duration),
    /// The connection could not be established.
    #[error("cannot connect: {0}")]
    Connect(std::io::Error),
    /// The server holds as many bytes of requests as it is known to bear.
    #[error("the server can hold no more bytes now")]
    NoIntake,
    /// The connection ended before any byte of the request was written.
    #[error("the request was not sent: {0}")]
    NotSent(hyper::Error),
    /// The request may no longer be sent to a server.
    #[error("the request may no longer be sent")]
    NotStarted,
    /// The connection failed after the server may have read the request.
    #[error("the connection failed during the exchange: {0}")]
    Broken(hyper::Error),
    /// The answer exceeds the size limit.
    #[error("the answer exceeds the size limit")]
    TooLong,
    /// The server answered with this status, but the answer is an error or its body is invalid.
    #[error("the server answered with status {0}")]
    Refused(u16),
    /// The answer did not arrive in time.
    #[error("no answer within {0:?}")]
    AnswerTimeout(Duration),
}

impl CallError {
    /// Whether the server could not be reached.
    pub fn is_unreachable(&self) -> bool {
        self.is_not_sent() && !matches!(self, Self::NoIntake | Self::NotStarted)
    }

    /// Whether the server certainly has not read any byte of the request.
    pub fn is_not_sent(&self) -> bool {
        match self {
            Self::ConnectTimeout(_)
            | Self::Connect(_)
            | Self::NoIntake
            | Self::NotSent(_)
            | Self::NotStarted => true,
            Self::Broken(_) | Self::TooLong | Self::Refused(_) | Self::AnswerTimeout(_) => false,
        }
    }
}

/// A connection to a server for one exchange; dropping it closes the connection and aborts the request.
#[derive(Debug)]
pub struct ServerConnection {
    sender: SendRequest<Full<Bytes>>,
    driver: JoinHandle<()>,
}

impl Drop for ServerConnection {
    fn drop(&mut self) {
        self.driver.abort();
    }
}

impl ServerConnection {
    /// Connects to an address within `limit`.
    pub async fn open(address: SocketAddr, limit: Duration) -> Result<Self, CallError> {
        let connecting = TcpStream::connect(address);
        let stream = tokio::time::timeout(limit, connecting)
            .await
            .map_err(|_| CallError::ConnectTimeout(limit))?
            .map_err(CallError::Connect)?;
        if let Err(error) = set_options(&stream) {
            log::debug!(target: "call", "cannot set the socket options: {error}");
        }
        let (sender, connection) = Builder::new()
            .max_buf_size(MAX_BUFFERED_BYTES)
            .handshake(TokioIo::new(stream))
            .await
            .map_err(CallError::NotSent)?;
        let driver = actix_rt::spawn(async move {
            if let Err(error) = connection.await {
                log::debug!(target: "call", "server connection failed: {error}");
            }
        });
        Ok(Self { sender, driver })
    }

    /// Whether the server has closed the connection.
    pub fn is_closed(&self) -> bool {
        self.sender.is_closed()
    }

    /// Sends a request and waits for the head of the answer.
    pub async fn send(
        &mut self,
        request: Request<Full<Bytes>>,
    ) -> Result<Response<Incoming>, CallError> {
        let sent = self.sender.try_send_request(request).await;
        sent.map_err(|mut failed| match failed.take_message() {
            Some(_) => CallError::NotSent(failed.into_error()),
            None => CallError::Broken(failed.into_error()),
        })
    }

    /// Reads a complete body of at most `limit` bytes; longer ones fail with [`CallError::TooLong`].
    pub async fn read_body(body: Incoming, limit: usize) -> Result<Bytes, CallError> {
        match Limited::new(body, limit).collect().await {
            Ok(collected) => Ok(collected.to_bytes()),
            Err(error) if error.is::<LengthLimitError>() => Err(CallError::TooLong),
            Err(error) => match error.downcast::<hyper::Error>() {
                Ok(error) => Err(CallError::Broken(*error)),
                Err(_) => Err(CallError::TooLong),
            },
        }
    }
}

/// Enables keep-alive probes, which detect a silent peer, disables Nagle's algorithm, and bounds the unsent bytes.
fn set_options(stream: &TcpStream) -> std::io::Result<()> {
    stream.set_nodelay(true)?;
    SockRef::from(stream).set_tcp_notsent_lowat(MAX_UNSENT_BYTES)?;
    let probes = TcpKeepalive::new()
        .with_time(PROBE_INTERVAL)
        .with_interval(PROBE_INTERVAL)
        .with_retries(PROBE_RETRIES);
    SockRef::from(stream).set_tcp_keepalive(&probes)
}

/// Performs a complete exchange within a time limit; the answer's body may have `body_limit` bytes.
pub async fn fetch(
    address: SocketAddr,
    request: Request<Full<Bytes>>,
    limit: Duration,
    body_limit: usize,
) -> Result<Response<Bytes>, CallError> {
    let exchange = async {
        let mut connection = ServerConnection::open(address, limit).await?;
        let (head, body) = connection.send(request).await?.into_parts();
        let body = ServerConnection::read_body(body, body_limit).await?;
        Ok(Response::from_parts(head, body))
    };
    tokio::time::timeout(limit, exchange)
        .await
        .map_err(|_| CallError::AnswerTimeout(limit))?
}
