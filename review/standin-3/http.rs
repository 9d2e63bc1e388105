//! A minimal HTTP/1.1 reader for the stand-ins: one request or answer at a time, with a length or in chunks.

use std::collections::BTreeMap;
use std::io::{Read, Write};
use std::net::{SocketAddr, TcpStream};
use std::time::Duration;

/// A request or answer: its first line, its headers by lower-case name, and its body.
#[derive(Clone, Debug, Default)]
pub struct Message {
    pub line: String,
    pub headers: BTreeMap<String, String>,
    pub body: Vec<u8>,
    /// Whether the whole body has arrived.
    pub whole: bool,
}

impl Message {
    pub fn header(&self, name: &str) -> &str {
        self.headers.get(name).map_or("", String::as_str)
    }

    /// The status of an answer; 0 if there is none.
    pub fn status(&self) -> u16 {
        let word = self.line.split(' ').nth(1);
        word.and_then(|word| word.parse().ok()).unwrap_or(0)
    }
}

/// Reads a head. `None` if the connection ends before it is complete. The second value holds the bytes after it.
pub fn read_head(stream: &mut TcpStream) -> Option<(Message, Vec<u8>)> {
    let mut bytes = Vec::new();
    let mut buffer = [0; 4096];
    let end = loop {
        if let Some(end) = bytes.windows(4).position(|part| part == b"\r\n\r\n") {
            break end;
        }
        let count = stream.read(&mut buffer).ok().filter(|count| *count > 0)?;
        bytes.extend_from_slice(&buffer[..count]);
    };
    let rest = bytes.split_off(end + 4);
    let text = String::from_utf8_lossy(&bytes[..end]).into_owned();
    let mut lines = text.split("\r\n");
    let line = lines.next().unwrap_or_default().to_owned();
    let headers = lines.filter_map(|line| {
        let (name, value) = line.split_once(':')?;
        Some((name.to_ascii_lowercase(), value.trim().to_owned()))
    });
    let message = Message {
        line,
        headers: headers.collect(),
        ..Message::default()
    };
    Some((message, rest))
}

/// Reads a request with its body, which has a length or is absent.
pub fn read_request(stream: &mut TcpStream) -> Option<Message> {
    let (mut message, mut body) = read_head(stream)?;
    let length: usize = message.header("content-length").parse().unwrap_or(0);
    let mut buffer = [0; 16384];
    while body.len() < length {
        let count = stream.read(&mut buffer).ok().filter(|count| *count > 0)?;
        body.extend_from_slice(&buffer[..count]);
    }
    message.body = body;
    message.whole = true;
    Some(message)
}

/// Connects, sends bytes and reads one answer with a length. `None` if no head arrives.
pub fn call(address: SocketAddr, bytes: &[u8], limit: Duration) -> Option<Message> {
    let mut stream = TcpStream::connect_timeout(&address, Duration::from_secs(1)).ok()?;
    stream.set_read_timeout(Some(limit)).ok()?;
    stream.write_all(bytes).ok()?;
    let (mut message, mut body) = read_head(&mut stream)?;
    let length: usize = message.header("content-length").parse().unwrap_or(0);
    let mut buffer = [0; 16384];
    while body.len() < length {
        match stream.read(&mut buffer) {
            Ok(count) if count > 0 => body.extend_from_slice(&buffer[..count]),
            _ => break,
        }
    }
    message.whole = body.len() >= length;
    message.body = body;
    Some(message)
}
