//! HTTP/1.1 over blocking sockets: reading a message, and one exchange of a client.

use std::io::{Error, ErrorKind, Read, Result, Write};
use std::net::{SocketAddr, TcpStream};
use std::time::{Duration, Instant};

/// A request or an answer. `first` is its first line.
#[derive(Clone, Debug)]
pub struct Message {
    pub first: String,
    pub headers: Vec<(String, String)>,
    pub body: Vec<u8>,
}

impl Message {
    pub fn header(&self, name: &str) -> Option<&str> {
        let mut headers = self.headers.iter();
        let found = headers.find(|(known, _)| known.eq_ignore_ascii_case(name));
        found.map(|(_, value)| value.as_str())
    }

    pub fn method(&self) -> &str {
        self.first.split(' ').next().unwrap_or("")
    }

    pub fn target(&self) -> &str {
        self.first.split(' ').nth(1).unwrap_or("")
    }

    pub fn status(&self) -> u16 {
        let status = self.first.split(' ').nth(1);
        status.and_then(|status| status.parse().ok()).unwrap_or(0)
    }
}

/// Reads messages from a connection, keeping what follows the current one.
pub struct Connection {
    pub stream: TcpStream,
    rest: Vec<u8>,
}

impl Connection {
    pub fn new(stream: TcpStream) -> Self {
        let _ = stream.set_nodelay(true);
        Self {
            stream,
            rest: Vec::new(),
        }
    }

    fn more(&mut self) -> Result<usize> {
        let mut buffer = [0; 16_384];
        let read = self.stream.read(&mut buffer)?;
        self.rest.extend_from_slice(&buffer[..read]);
        Ok(read)
    }

    /// Reads the head of a message; `None` at the end of the connection.
    pub fn head(&mut self) -> Result<Option<Message>> {
        let end = loop {
            if let Some(end) = self.rest.windows(4).position(|bytes| bytes == b"\r\n\r\n") {
                break end;
            }
            if self.more()? == 0 {
                return match self.rest.is_empty() {
                    true => Ok(None),
                    false => Err(Error::new(ErrorKind::UnexpectedEof, "cut within a head")),
                };
            }
        };
        let text = String::from_utf8_lossy(&self.rest[..end]).into_owned();
        self.rest.drain(..end + 4);
        let mut lines = text.split("\r\n");
        let first = lines.next().unwrap_or("").to_owned();
        let headers = lines.filter_map(|line| line.split_once(':'));
        let headers = headers.map(|(name, value)| (name.to_owned(), value.trim().to_owned()));
        Ok(Some(Message {
            first,
            headers: headers.collect(),
            body: Vec::new(),
        }))
    }

    fn line(&mut self) -> Result<String> {
        loop {
            if let Some(end) = self.rest.windows(2).position(|bytes| bytes == b"\r\n") {
                let line = String::from_utf8_lossy(&self.rest[..end]).into_owned();
                self.rest.drain(..end + 2);
                return Ok(line);
            }
            if self.more()? == 0 {
                return Err(Error::new(ErrorKind::UnexpectedEof, "cut within a body"));
            }
        }
    }

    /// Takes up to `limit` bytes of the body, at least one.
    fn some(&mut self, limit: usize) -> Result<Vec<u8>> {
        if self.rest.is_empty() && self.more()? == 0 {
            return Err(Error::new(ErrorKind::UnexpectedEof, "cut within a body"));
        }
        let taken = self.rest.len().min(limit);
        Ok(self.rest.drain(..taken).collect())
    }

    /// Reads a body and calls `part` for each piece. Fails if it is incomplete.
    pub fn body(&mut self, head: &Message, mut part: impl FnMut(&[u8])) -> Result<()> {
        let chunked = head.header("transfer-encoding");
        if chunked.is_some_and(|coding| coding.eq_ignore_ascii_case("chunked")) {
            loop {
                let size = self.line()?;
                let size = size.split(';').next().unwrap_or("").trim().to_owned();
                let size = usize::from_str_radix(&size, 16)
                    .map_err(|_| Error::new(ErrorKind::InvalidData, "a bad chunk"))?;
                let mut left = size;
                while left > 0 {
                    let bytes = self.some(left)?;
                    left -= bytes.len();
                    part(&bytes);
                }
                self.line()?;
                if size == 0 {
                    return Ok(());
                }
            }
        }
        let length = head
            .header("content-length")
            .and_then(|length| length.parse().ok());
        let mut left: usize = length.unwrap_or(0);
        while left > 0 {
            let bytes = self.some(left)?;
            left -= bytes.len();
            part(&bytes);
        }
        Ok(())
    }

    /// Reads a message with its whole body.
    pub fn message(&mut self) -> Result<Option<Message>> {
        let Some(mut message) = self.head()? else {
            return Ok(None);
        };
        let mut bytes = Vec::new();
        self.body(&message, |part| bytes.extend_from_slice(part))?;
        message.body = bytes;
        Ok(Some(message))
    }
}

/// Writes an answer with a length.
pub fn answer(stream: &mut TcpStream, status: &str, headers: &str, body: &[u8]) -> Result<()> {
    let head = format!(
        "HTTP/1.1 {status}\r\n{headers}Content-Length: {}\r\n\r\n",
        body.len()
    );
    let mut bytes = head.into_bytes();
    bytes.extend_from_slice(body);
    stream.write_all(&bytes)
}

/// One exchange on a connection of its own. Fails if no complete answer comes within `limit`.
pub fn exchange(address: SocketAddr, request: &[u8], limit: Duration) -> Result<Message> {
    let until = Instant::now() + limit;
    let stream = TcpStream::connect_timeout(&address, limit.min(Duration::from_secs(1)))?;
    let left = until.saturating_duration_since(Instant::now());
    stream.set_read_timeout(Some(left.max(Duration::from_millis(1))))?;
    let mut connection = Connection::new(stream);
    connection.stream.write_all(request)?;
    let message = connection.message()?;
    message.ok_or_else(|| Error::new(ErrorKind::UnexpectedEof, "closed without an answer"))
}
