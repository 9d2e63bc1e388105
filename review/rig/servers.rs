//! Stand-ins for servers: they register in the store, check for whom a request is, run it and record it.

use std::io::{BufReader, ErrorKind, Write};
use std::net::{SocketAddr, TcpListener, TcpStream};
use std::sync::Arc;
use std::sync::atomic::{AtomicBool, Ordering};
use std::time::{Duration, Instant};

use crate::http::{Head, read_body, read_head};
use crate::record::Record;
use crate::store::Store;

/// Interval at which a working server checks whether its caller has closed the connection.
const CHECK_INTERVAL: Duration = Duration::from_millis(5);

/// What a server is, as it registers.
#[derive(Clone)]
pub struct Profile {
    /// Name of this start of the server.
    pub id: String,
    /// Service that it belongs to.
    pub service: &'static str,
    /// Zone that it runs in.
    pub zone: &'static str,
    /// Requests that it runs at once.
    pub slots: u32,
    /// Stage, if it is a model server.
    pub stage: Option<&'static str>,
}

/// A request at a server.
pub struct Exchange<'a> {
    /// The server.
    pub profile: &'a Profile,
    /// Head of the request.
    pub head: Head,
    /// Id of the request.
    pub id: String,
    /// Length of the body.
    pub body_length: usize,
    /// The record of this run.
    pub record: &'a Record,
    stream: TcpStream,
}

impl Exchange<'_> {
    /// Notes an event of this request.
    pub fn note(&self, event: &str) {
        self.record
            .note(&format!("server {} {event} {}", self.profile.id, self.id));
    }

    /// Whether the caller has closed the connection.
    pub fn is_abandoned(&self) -> bool {
        let mut byte = [0];
        let _ = self.stream.set_nonblocking(true);
        let seen = self.stream.peek(&mut byte);
        let _ = self.stream.set_nonblocking(false);
        match seen {
            Ok(0) => true,
            Ok(_) => false,
            Err(error) => error.kind() != ErrorKind::WouldBlock,
        }
    }

    /// Works for a time; `false` if the caller closes the connection meanwhile, which ends the work.
    pub fn work(&self, time: Duration) -> bool {
        let end = Instant::now() + time;
        loop {
            let left = end.saturating_duration_since(Instant::now());
            if left.is_zero() {
                return true;
            }
            if self.is_abandoned() {
                return false;
            }
            std::thread::sleep(left.min(CHECK_INTERVAL));
        }
    }

    /// Writes bytes; `false` if the connection has ended.
    pub fn write(&mut self, bytes: &[u8]) -> bool {
        self.stream.write_all(bytes).is_ok()
    }

    /// Returns the headers that every answer of a run bears.
    pub fn signed_headers(&self) -> String {
        format!(
            "X-Request-Id: {}\r\nX-Server-Signature: {}.{}\r\n",
            self.id, self.profile.id, self.id
        )
    }

    /// Answers with success.
    pub fn succeed(&mut self, kind: &str, body: &str) -> bool {
        let headers = self.signed_headers();
        self.write(
            format!(
                "HTTP/1.1 200 OK\r\n{headers}Content-Type: {kind}\r\nContent-Length: {}\r\n\r\n{body}",
                body.len()
            )
            .as_bytes(),
        )
    }

    /// Sends one chunk of a chunked answer.
    pub fn chunk(&mut self, text: &str) -> bool {
        self.write(format!("{:x}\r\n{text}\r\n", text.len()).as_bytes())
    }

    /// Rejects the request without running it.
    pub fn reject(&mut self, status: u16) -> bool {
        let id = &self.id;
        self.write(
            format!(
                "HTTP/1.1 {status} Rejected\r\nX-Request-Id: {id}\r\nX-Not-Executed: 1\r\nContent-Length: 0\r\n\r\n"
            )
            .as_bytes(),
        )
    }
}

/// A running server.
pub struct Server {
    profile: Profile,
    address: SocketAddr,
    is_down: Arc<AtomicBool>,
    streams: Arc<std::sync::Mutex<Vec<TcpStream>>>,
}

impl Server {
    /// Starts a server and registers it. `run` handles a request that is for this server.
    pub fn start(
        store: &Store,
        record: &Record,
        profile: Profile,
        run: impl Fn(&mut Exchange<'_>) + Send + Sync + 'static,
    ) -> std::io::Result<Self> {
        let listener = TcpListener::bind(("127.0.0.1", 0))?;
        let address = listener.local_addr()?;
        let server = Self {
            profile: profile.clone(),
            address,
            is_down: Arc::default(),
            streams: Arc::default(),
        };
        server.report(store, "ready");
        let (is_down, streams) = (Arc::clone(&server.is_down), Arc::clone(&server.streams));
        let (record, run) = (record.clone(), Arc::new(run));
        std::thread::spawn(move || {
            for stream in listener.incoming().flatten() {
                if is_down.load(Ordering::SeqCst) {
                    return;
                }
                if let Ok(copy) = stream.try_clone() {
                    streams.lock().expect("the connections").push(copy);
                }
                let (profile, record, run) = (profile.clone(), record.clone(), Arc::clone(&run));
                std::thread::spawn(move || serve(&profile, &record, stream, &*run));
            }
        });
        Ok(server)
    }

    /// Writes the server's entry in the store, with its state.
    pub fn report(&self, store: &Store, state: &str) {
        let Profile {
            id,
            service,
            zone,
            slots,
            stage,
        } = &self.profile;
        let stage = stage.map_or(String::new(), |stage| {
            format!(",\"stage\":\"{stage}\",\"models\":[{{\"name\":\"m\",\"version\":1,\"adapters\":[]}}]")
        });
        let entry = format!(
            "{{\"service\":\"{service}\",\"address\":\"{}\",\"zone\":\"{zone}\",\"version\":\"v1\",\"slots\":{slots},\"state\":\"{state}\",\"cold_remaining_ms\":0{stage},\"sequence\":1}}",
            self.address
        );
        store.put("servers", id, &entry);
    }

    /// Crashes the server: nothing listens at its address any more. `false` if it has crashed before. Its connections
    /// end with [`Self::close_connections`].
    pub fn crash(&self) -> bool {
        if self.is_down.swap(true, Ordering::SeqCst) {
            return false;
        }
        // Wakes the listener, which ends.
        let _ = TcpStream::connect(self.address);
        let end = Instant::now() + Duration::from_millis(100);
        while Instant::now() < end && TcpStream::connect(self.address).is_ok() {
            std::thread::sleep(Duration::from_millis(1));
        }
        true
    }

    /// Ends all connections, as the system does when a process has crashed.
    pub fn close_connections(&self) {
        for stream in self.streams.lock().expect("the connections").drain(..) {
            let _ = stream.shutdown(std::net::Shutdown::Both);
        }
    }
}

fn serve(profile: &Profile, record: &Record, stream: TcpStream, run: &dyn Fn(&mut Exchange<'_>)) {
    let Ok(copy) = stream.try_clone() else { return };
    let mut reader = BufReader::new(stream);
    while let Some(head) = read_head(&mut reader) {
        let Some(body) = read_body(&head, &mut reader) else {
            return;
        };
        let Ok(stream) = copy.try_clone() else { return };
        let mut exchange = Exchange {
            profile,
            id: head.get("x-request-id").unwrap_or_default().to_owned(),
            head,
            body_length: body.len(),
            record,
            stream,
        };
        let expected = exchange.head.get("x-expected-instance");
        if expected.is_some_and(|expected| expected != profile.id) {
            exchange.reject(421);
        } else if exchange.id.is_empty() {
            let is_known = ["DELETE", "GET"].contains(&exchange.head.method());
            exchange.reject(if is_known { 200 } else { 400 });
        } else {
            run(&mut exchange);
        }
    }
}
