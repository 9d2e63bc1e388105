//! Servers that answer with the exact bytes that a test scripts.

use std::cell::{Cell, RefCell};
use std::net::SocketAddr;
use std::rc::Rc;
use std::time::Duration;

use socket2::SockRef;
use tokio::io::{AsyncReadExt, AsyncWriteExt};
use tokio::net::{TcpListener, TcpStream};
use tokio::sync::Notify;
use tokio::task::{LocalSet, spawn_local};

/// What a server does with one request; `{id}` in the bytes is replaced by the request ID.
#[derive(Clone, Debug)]
pub enum Script {
    /// Sends bytes and closes the connection.
    Send(String),
    /// Sends bytes and resets the connection.
    Reset(String),
    /// Sends bytes and leaves the connection open.
    Hold(String),
    /// Sends the first string, then the second one again and again until the connection closes.
    Endless(String, String),
    /// Sends each string after a pause, then closes the connection.
    Chunks(Vec<String>, Duration),
    /// Sends bytes and crashes: cuts all connections and refuses new ones for a while.
    Crash(String, Duration),
}

impl Script {
    /// Sends a complete answer.
    pub fn complete(status: u16, headers: &str, body: &str) -> Self {
        let length = body.len();
        Self::Send(format!(
            "HTTP/1.1 {status} X\r\nt-id: {{id}}\r\n{headers}content-length: {length}\r\n\r\n{body}"
        ))
    }

    /// Returns the head of a chunked answer.
    pub fn chunked_head() -> String {
        "HTTP/1.1 200 OK\r\nt-id: {id}\r\ntransfer-encoding: chunked\r\n\r\n".to_owned()
    }

    /// Encodes one chunk.
    pub fn chunk(data: &str) -> String {
        format!("{:x}\r\n{data}\r\n", data.len())
    }
}

type ScriptFn = dyn Fn(usize, &str) -> Script;

/// A scripted server on loopback.
#[derive(Clone)]
pub struct StubServer {
    pub address: SocketAddr,
    requests: Rc<RefCell<Vec<String>>>,
    closed_connections: Rc<RefCell<usize>>,
    crashes: Rc<Cell<usize>>,
    crashed: Rc<Notify>,
    down_time: Rc<Cell<Duration>>,
}

impl StubServer {
    /// Starts a server; the script is called with the number of the request, from 0, and its bytes.
    pub async fn start(script: impl Fn(usize, &str) -> Script + 'static) -> Self {
        let listener = TcpListener::bind(("127.0.0.1", 0)).await.expect("a port");
        let server = Self {
            address: listener.local_addr().expect("an address"),
            requests: Rc::default(),
            closed_connections: Rc::default(),
            crashes: Rc::default(),
            crashed: Rc::default(),
            down_time: Rc::default(),
        };
        let shared = server.clone();
        actix_rt::spawn(async move { shared.run(listener, Rc::new(script)).await });
        server
    }

    /// Serves connections. A crash ends all of them and the listener, which is opened again later.
    async fn run(&self, first: TcpListener, script: Rc<ScriptFn>) {
        let mut listener = first;
        loop {
            let connections = LocalSet::new();
            let accepting = async {
                while let Ok((stream, _)) = listener.accept().await {
                    let (shared, script) = (self.clone(), Rc::clone(&script));
                    spawn_local(async move { shared.serve(stream, &*script).await });
                }
            };
            let crashed = async {
                tokio::select! {
                    () = accepting => {}
                    () = self.crashed.notified() => {}
                }
            };
            connections.run_until(crashed).await;
            drop(connections);
            drop(listener);
            tokio::time::sleep(self.down_time.get()).await;
            listener = TcpListener::bind(self.address).await.expect("the port");
        }
    }

    /// Returns how often the server has crashed.
    pub fn crashes(&self) -> usize {
        self.crashes.get()
    }

    /// Returns the received requests with heads and bodies.
    pub fn requests(&self) -> Vec<String> {
        self.requests.borrow().clone()
    }

    /// Returns the number of connections that the sender closed while the server held them open.
    pub fn closed_connections(&self) -> usize {
        *self.closed_connections.borrow()
    }

    async fn serve(&self, mut stream: TcpStream, script: &ScriptFn) {
        let Some(request) = read_request(&mut stream).await else {
            return;
        };
        let number = self.requests.borrow().len();
        let action = script(number, &request);
        let id = header(&request, "t-id").unwrap_or_default();
        self.requests.borrow_mut().push(request);
        let filled = |text: &str| text.replace("{id}", &id).into_bytes();
        match action {
            Script::Send(text) => {
                let _ = stream.write_all(&filled(&text)).await;
            }
            Script::Reset(text) => {
                let _ = stream.write_all(&filled(&text)).await;
                tokio::time::sleep(Duration::from_millis(20)).await;
                reset_on_close(&stream);
            }
            Script::Hold(text) => {
                let _ = stream.write_all(&filled(&text)).await;
                let mut rest = [0; 64];
                while !matches!(stream.read(&mut rest).await, Ok(0) | Err(_)) {}
                *self.closed_connections.borrow_mut() += 1;
            }
            Script::Endless(start, repeated) => {
                let _ = stream.write_all(&filled(&start)).await;
                let repeated = filled(&repeated.repeat(1 + 4_096 / repeated.len()));
                while stream.write_all(&repeated).await.is_ok() {}
                *self.closed_connections.borrow_mut() += 1;
            }
            Script::Crash(text, down_time) => {
                let _ = stream.write_all(&filled(&text)).await;
                self.crashes.set(self.crashes.get() + 1);
                self.down_time.set(down_time);
                self.crashed.notify_one();
                std::future::pending::<()>().await;
            }
            Script::Chunks(chunks, pause) => {
                for chunk in chunks {
                    tokio::time::sleep(pause).await;
                    if stream.write_all(&filled(&chunk)).await.is_err() {
                        return;
                    }
                }
            }
        }
    }
}

/// Makes closing the connection send a reset.
fn reset_on_close(stream: &TcpStream) {
    let lingering = SockRef::from(stream).set_linger(Some(Duration::ZERO));
    lingering.expect("a socket with a linger option");
}

/// Returns the value of a header of a request.
pub fn header(request: &str, name: &str) -> Option<String> {
    let line = request
        .lines()
        .find(|line| line.to_ascii_lowercase().starts_with(&format!("{name}:")))?;
    Some(line.split_once(':')?.1.trim().to_owned())
}

async fn read_request(stream: &mut TcpStream) -> Option<String> {
    let mut bytes = Vec::new();
    let mut buffer = [0; 4_096];
    loop {
        let text = String::from_utf8_lossy(&bytes).into_owned();
        if let Some(end) = text.find("\r\n\r\n") {
            let length = header(&text, "content-length").and_then(|text| text.parse().ok());
            if bytes.len() >= end + 4 + length.unwrap_or(0) {
                return Some(text);
            }
        }
        match stream.read(&mut buffer).await {
            Ok(0) | Err(_) => return None,
            Ok(read) => bytes.extend_from_slice(&buffer[..read]),
        }
    }
}
