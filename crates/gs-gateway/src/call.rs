//! One HTTP exchange over a connection of its own.
//!
//! Connections to servers are not used again: an answer that comes late, twice or too long can then never
//! be taken for another request's, and a connection that has gone silent holds up one request at most.

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

/// Between two keep-alive probes of an idle connection.
const PROBE_INTERVAL: Duration = Duration::from_secs(1);

/// Probes without an answer after which a connection is given up.
const PROBE_RETRIES: u32 = 2;

/// Why an exchange failed.
#[derive(Debug, thiserror::Error)]
pub enum CallError {
    /// No connection was made in time.
    #[error("no connection within {0:?}")]
    ConnectTimeout(Duration),
    /// The connection was refused.
    #[error("cannot connect: {0}")]
    Connect(std::io::Error),
    /// The connection ended before any byte of the request was written.
    #[error("the request was not sent: {0}")]
    NotSent(hyper::Error),
    /// The exchange broke after the request may have been read.
    #[error("the exchange broke: {0}")]
    Broken(hyper::Error),
    /// The answer is longer than the caller takes.
    #[error("the answer is too long")]
    TooLong,
    /// The server answered with a refusal or a failure.
    #[error("the server answered {0}")]
    Refused(u16),
    /// No answer came in time.
    #[error("no answer within {0:?}")]
    AnswerTimeout(Duration),
}

impl CallError {
    /// Whether no byte of the request can have been read.
    pub fn is_not_sent(&self) -> bool {
        match self {
            Self::ConnectTimeout(_) | Self::Connect(_) | Self::NotSent(_) => true,
            Self::Broken(_) | Self::TooLong | Self::Refused(_) | Self::AnswerTimeout(_) => false,
        }
    }
}

/// An open connection; dropping it closes the connection and with it the request.
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
    /// Connects to an address.
    pub async fn open(address: SocketAddr, limit: Duration) -> Result<Self, CallError> {
        let connecting = TcpStream::connect(address);
        let stream = tokio::time::timeout(limit, connecting)
            .await
            .map_err(|_| CallError::ConnectTimeout(limit))?
            .map_err(CallError::Connect)?;
        if let Err(error) = set_options(&stream) {
            log::debug!(target: "call", "A socket keeps its options: {error}.");
        }
        let (sender, connection) = Builder::new()
            .handshake(TokioIo::new(stream))
            .await
            .map_err(CallError::NotSent)?;
        let driver = actix_rt::spawn(async move {
            if let Err(error) = connection.await {
                log::debug!(target: "call", "A connection to a server ended: {error}.");
            }
        });
        Ok(Self { sender, driver })
    }

    /// Whether the other end has closed the connection.
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

    /// Reads a whole body of at most `limit` bytes.
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

/// Turns keep-alive probes on, since a connection may go silent for good, and Nagle's algorithm off.
fn set_options(stream: &TcpStream) -> std::io::Result<()> {
    stream.set_nodelay(true)?;
    let probes = TcpKeepalive::new()
        .with_time(PROBE_INTERVAL)
        .with_interval(PROBE_INTERVAL)
        .with_retries(PROBE_RETRIES);
    SockRef::from(stream).set_tcp_keepalive(&probes)
}

/// One whole exchange within a time limit, for small calls.
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
