//! HTTP/1.1 for the stand-ins: reading requests and answers, and connections of clients.

use std::io::{BufRead, BufReader, Write};
use std::net::{SocketAddr, TcpStream};
use std::time::Duration;

/// The head of a request or of an answer.
#[derive(Clone, Debug)]
pub struct Head {
    /// First line.
    pub line: String,
    headers: Vec<(String, String)>,
}

impl Head {
    /// Returns the value of a header.
    pub fn get(&self, name: &str) -> Option<&str> {
        let same = |(key, _): &&(String, String)| key.eq_ignore_ascii_case(name);
        self.headers
            .iter()
            .find(same)
            .map(|(_, value)| value.as_str())
    }

    /// Returns the method of a request.
    pub fn method(&self) -> &str {
        self.line.split(' ').next().unwrap_or_default()
    }

    /// Returns the target of a request.
    pub fn target(&self) -> &str {
        self.line.split(' ').nth(1).unwrap_or_default()
    }

    /// Returns the status of an answer; 0 if there is none.
    pub fn status(&self) -> u16 {
        let status = self.line.split(' ').nth(1);
        status.and_then(|text| text.parse().ok()).unwrap_or(0)
    }

    fn is_chunked(&self) -> bool {
        let coding = self.get("transfer-encoding").unwrap_or_default();
        coding.to_ascii_lowercase().contains("chunked")
    }
}

/// Reads a head; `None` at the end of the connection.
pub fn read_head(reader: &mut impl BufRead) -> Option<Head> {
    let mut line = String::new();
    if reader.read_line(&mut line).ok()? == 0 || !line.ends_with('\n') {
        return None;
    }
    let mut headers = Vec::new();
    loop {
        let mut text = String::new();
        if reader.read_line(&mut text).ok()? == 0 {
            return None;
        }
        let text = text.trim_end();
        if text.is_empty() {
            let line = line.trim_end().to_owned();
            return Some(Head { line, headers });
        }
        let (name, value) = text.split_once(':')?;
        headers.push((name.trim().to_owned(), value.trim().to_owned()));
    }
}

/// Reads one chunk of a chunked body; empty at its end, `None` if it breaks off.
pub fn read_chunk(reader: &mut impl BufRead) -> Option<Vec<u8>> {
    let mut line = String::new();
    if reader.read_line(&mut line).ok()? == 0 {
        return None;
    }
    let size = line.trim().split(';').next().unwrap_or_default();
    let size = usize::from_str_radix(size, 16).ok()?;
    let mut chunk = vec![0; size + 2];
    reader.read_exact(&mut chunk).ok()?;
    chunk.truncate(size);
    Some(chunk)
}

/// Reads a complete body; `None` if it breaks off.
pub fn read_body(head: &Head, reader: &mut impl BufRead) -> Option<Vec<u8>> {
    if head.is_chunked() {
        let mut body = Vec::new();
        loop {
            let chunk = read_chunk(reader)?;
            if chunk.is_empty() {
                return Some(body);
            }
            body.extend_from_slice(&chunk);
        }
    }
    let length = head
        .get("content-length")
        .and_then(|text| text.parse().ok());
    let mut body = vec![0; length.unwrap_or(0)];
    reader.read_exact(&mut body).ok()?;
    Some(body)
}

/// A client's connection to an entry.
pub struct Connection {
    /// Reads answers.
    pub reader: BufReader<TcpStream>,
}

impl Connection {
    /// Connects within a second.
    pub fn open(address: SocketAddr) -> Option<Self> {
        let stream = TcpStream::connect_timeout(&address, Duration::from_secs(1)).ok()?;
        stream.set_nodelay(true).ok()?;
        Some(Self {
            reader: BufReader::new(stream),
        })
    }

    /// Returns the socket.
    pub fn stream(&self) -> &TcpStream {
        self.reader.get_ref()
    }

    /// Sends bytes; `false` if the connection has ended.
    pub fn send(&mut self, bytes: &[u8]) -> bool {
        self.reader.get_mut().write_all(bytes).is_ok()
    }

    /// Reads a complete answer within a time limit for each read; `None` if it does not come or breaks off.
    pub fn answer(&mut self, limit: Duration) -> Option<(Head, Vec<u8>)> {
        self.stream().set_read_timeout(Some(limit)).ok()?;
        let head = read_head(&mut self.reader)?;
        let body = read_body(&head, &mut self.reader)?;
        Some((head, body))
    }
}
