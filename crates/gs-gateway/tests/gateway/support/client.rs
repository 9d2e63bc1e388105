//! A client that sends and receives raw bytes.

use std::net::SocketAddr;

use tokio::io::{AsyncReadExt, AsyncWriteExt};
use tokio::net::TcpStream;

/// The raw bytes of an answer, up to the end of the connection.
#[derive(Clone, Debug)]
pub struct RawAnswer(pub String);

impl RawAnswer {
    pub fn status(&self) -> u16 {
        let status = self
            .0
            .split(' ')
            .nth(1)
            .and_then(|status| status.parse().ok());
        status.unwrap_or(0)
    }

    pub fn body(&self) -> &str {
        self.0.split_once("\r\n\r\n").map_or("", |(_, body)| body)
    }

    /// Whether a chunked answer is complete.
    pub fn has_last_chunk(&self) -> bool {
        self.0.ends_with("0\r\n\r\n")
    }
}

pub struct RawClient(pub TcpStream);

impl RawClient {
    pub async fn connect(address: SocketAddr) -> Self {
        Self(TcpStream::connect(address).await.expect("a connection"))
    }

    pub async fn send(&mut self, bytes: &str) {
        self.0
            .write_all(bytes.as_bytes())
            .await
            .expect("an open connection");
    }

    /// Reads until the connection ends.
    pub async fn read_all(&mut self) -> RawAnswer {
        let mut bytes = Vec::new();
        // A reset ends the answer as well.
        let _ = self.0.read_to_end(&mut bytes).await;
        RawAnswer(String::from_utf8_lossy(&bytes).into_owned())
    }

    /// Reads until the received bytes contain a text; returns them.
    pub async fn read_until(&mut self, text: &str) -> String {
        let mut bytes = Vec::new();
        let mut buffer = [0; 1_024];
        loop {
            let read = self.0.read(&mut buffer).await.expect("an open connection");
            assert!(read > 0, "the answer ended before {text:?}");
            bytes.extend_from_slice(&buffer[..read]);
            let seen = String::from_utf8_lossy(&bytes).into_owned();
            if seen.contains(text) {
                return seen;
            }
        }
    }
}
