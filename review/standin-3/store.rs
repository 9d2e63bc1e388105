//! A stand-in of the platform's store: objects by kind and name, lists, watches and conditional writes.

use std::collections::{BTreeMap, BTreeSet};
use std::io::Write;
use std::net::{SocketAddr, TcpListener, TcpStream};
use std::sync::{Arc, Condvar, Mutex};
use std::time::{Duration, Instant};

use crate::http::{read_request, Message};

/// An object as its bytes in answers, with the revision of its last change.
type Object = (u64, Vec<u8>);

struct Change {
    at: Instant,
    revision: u64,
    kind: String,
    object: Vec<u8>,
    deleted: bool,
}

#[derive(Default)]
struct State {
    revision: u64,
    objects: BTreeMap<(String, String), Object>,
    history: Vec<Change>,
    /// Age of what a call with `serializable` returns.
    stale: Duration,
    /// Addresses at which the servers were watched with `serializable`.
    stale_readers: BTreeSet<SocketAddr>,
}

/// The store. It answers every call at once and never loses one.
pub struct Store {
    state: Mutex<State>,
    changed: Condvar,
    pub address: SocketAddr,
}

impl Store {
    pub fn start() -> Arc<Self> {
        let listener = TcpListener::bind(("127.0.0.1", 0)).expect("a port for the store");
        let store = Arc::new(Self {
            state: Mutex::new(State {
                revision: 100,
                ..State::default()
            }),
            changed: Condvar::new(),
            address: listener.local_addr().expect("an address"),
        });
        store.accept(listener);
        store
    }

    fn accept(self: &Arc<Self>, listener: TcpListener) {
        let served = Arc::clone(self);
        std::thread::spawn(move || {
            for stream in listener.incoming().flatten() {
                let store = Arc::clone(&served);
                std::thread::spawn(move || store.serve(stream));
            }
        });
    }

    /// Serves at one more address, and returns it.
    pub fn listen(self: &Arc<Self>) -> SocketAddr {
        let listener = TcpListener::bind(("127.0.0.1", 0)).expect("a port for the store");
        let address = listener.local_addr().expect("an address");
        self.accept(listener);
        address
    }

    pub fn set_stale(&self, age: Duration) {
        self.state.lock().expect("the state").stale = age;
    }

    pub fn forget_readers(&self) {
        self.state.lock().expect("the state").stale_readers.clear();
    }

    /// Returns at which addresses the servers were watched with `serializable`.
    pub fn stale_readers(&self) -> BTreeSet<SocketAddr> {
        self.state.lock().expect("the state").stale_readers.clone()
    }

    /// Writes an object whose `specification` has these bytes, as any writer may.
    pub fn put(&self, kind: &str, name: &str, specification: &[u8]) -> Vec<u8> {
        let mut state = self.state.lock().expect("the state");
        state.revision += 1;
        let revision = state.revision;
        let head = format!(
            r#"{{"metadata":{{"name":"{name}","revision":{revision},"created":{revision},"finalizers":[],"deletion_pending":false}},"specification":"#
        );
        let object = [head.as_bytes(), specification, br#","status":null}"#].concat();
        let key = (kind.to_owned(), name.to_owned());
        state.objects.insert(key, (revision, object.clone()));
        state.history.push(Change {
            at: Instant::now(),
            revision,
            kind: kind.to_owned(),
            object: object.clone(),
            deleted: false,
        });
        self.changed.notify_all();
        object
    }

    pub fn delete(&self, kind: &str, name: &str) {
        let mut state = self.state.lock().expect("the state");
        let key = (kind.to_owned(), name.to_owned());
        if let Some((_, object)) = state.objects.remove(&key) {
            state.revision += 1;
            let revision = state.revision;
            state.history.push(Change {
                at: Instant::now(),
                revision,
                kind: kind.to_owned(),
                object,
                deleted: true,
            });
            self.changed.notify_all();
        }
    }

    fn serve(&self, mut stream: TcpStream) {
        let Some(request) = read_request(&mut stream) else {
            return;
        };
        let (status, body) = self.answer(&request, stream.local_addr().ok());
        let head = format!(
            "HTTP/1.1 {status} Answer\r\nContent-Type: application/json\r\nContent-Length: {}\r\n\r\n",
            body.len()
        );
        // A caller that has left needs no answer.
        let _ = stream.write_all(&[head.as_bytes(), &body].concat());
    }

    fn answer(&self, request: &Message, at: Option<SocketAddr>) -> (u16, Vec<u8>) {
        let mut words = request.line.split(' ');
        let (method, target) = (words.next().unwrap_or(""), words.next().unwrap_or(""));
        let (path, query) = target.split_once('?').unwrap_or((target, ""));
        let mut parts = path.trim_start_matches("/objects/").split('/');
        let (kind, name) = (parts.next().unwrap_or(""), parts.next());
        let value = |key: &str| {
            let mut pairs = query.split('&').filter_map(|pair| pair.split_once('='));
            pairs.find(|(name, _)| *name == key).map(|(_, value)| value)
        };
        let number = |key: &str| value(key).and_then(|text| text.parse::<u64>().ok());
        match (method, name, number("watch")) {
            ("GET", None, Some(since)) => {
                let wait = Duration::from_millis(number("wait_ms").unwrap_or(0));
                let is_stale = value("serializable") == Some("1");
                if let Some(at) = at.filter(|_| is_stale && kind == "servers") {
                    self.state.lock().expect("the state").stale_readers.insert(at);
                }
                (200, self.watch(kind, since, wait, is_stale))
            }
            ("GET", None, None) => (200, self.list(kind)),
            ("POST" | "PUT", _, _) => self.write(method, kind, &request.body),
            _ => (404, b"{}".to_vec()),
        }
    }

    fn list(&self, kind: &str) -> Vec<u8> {
        let state = self.state.lock().expect("the state");
        let of_kind = state.objects.iter().filter(|((of, _), _)| of == kind);
        let items: Vec<&[u8]> = of_kind.map(|(_, (_, object))| &object[..]).collect();
        let end = format!(r#"],"has_more":false,"at":{}}}"#, state.revision);
        [br#"{"items":["#, &items.join(&b","[..])[..], end.as_bytes()].concat()
    }

    fn watch(&self, kind: &str, since: u64, wait: Duration, is_stale: bool) -> Vec<u8> {
        let end = Instant::now() + wait;
        let mut state = self.state.lock().expect("the state");
        let stale = if is_stale { state.stale } else { Duration::ZERO };
        loop {
            let is_seen = |change: &&Change| change.at.elapsed() >= stale;
            let seen_up_to = state.history.iter().filter(is_seen).map(|change| change.revision).max();
            let changes = state.history.iter().filter(is_seen);
            let changes = changes.filter(|change| change.revision > since && change.kind == kind);
            let events: Vec<Vec<u8>> = changes
                .map(|change| {
                    let end = format!(r#","deleted":{}}}"#, change.deleted);
                    [br#"{"object":"#, &change.object[..], end.as_bytes()].concat()
                })
                .collect();
            let left = end.saturating_duration_since(Instant::now());
            if !events.is_empty() || left.is_zero() {
                // A call that is behind tells no revision before the one that it was asked from.
                let at = match is_stale {
                    true => seen_up_to.unwrap_or(0).max(since),
                    false => state.revision,
                };
                let end = format!(r#"],"at":{at}}}"#);
                return [br#"{"events":["#, &events.join(&b","[..])[..], end.as_bytes()].concat();
            }
            // What is only old enough later is looked for from time to time.
            let pause = if is_stale {
                left.min(Duration::from_millis(20))
            } else {
                left
            };
            state = self.changed.wait_timeout(state, pause).expect("the state").0;
        }
    }

    fn write(&self, method: &str, kind: &str, body: &[u8]) -> (u16, Vec<u8>) {
        let text = String::from_utf8_lossy(body);
        let name = member(&text, "name").unwrap_or("").trim_matches('"');
        let revision = member(&text, "revision").and_then(|text| text.parse::<u64>().ok());
        let specification = member(&text, "specification").unwrap_or("null");
        let known = {
            let state = self.state.lock().expect("the state");
            let key = (kind.to_owned(), name.to_owned());
            state.objects.get(&key).cloned()
        };
        match (method, known) {
            ("POST", Some((_, object))) => (409, object),
            ("PUT", None) => (404, b"{}".to_vec()),
            ("PUT", Some((known, object))) if revision.is_some_and(|of| of != known) => (409, object),
            _ => (200, self.put(kind, name, specification.as_bytes())),
        }
    }
}

/// Returns the text of the first member with this name. The callers are programs of the project, which write
/// no white space and no such name within a text.
fn member<'a>(text: &'a str, name: &str) -> Option<&'a str> {
    let key = format!("\"{name}\":");
    let start = text.find(&key)? + key.len();
    let value = &text[start..];
    let (mut depth, mut is_text, mut is_escaped) = (0_i32, false, false);
    for (position, letter) in value.char_indices() {
        if is_text {
            match (is_escaped, letter) {
                (true, _) => is_escaped = false,
                (false, '\\') => is_escaped = true,
                (false, '"') => is_text = false,
                _ => {}
            }
            continue;
        }
        match letter {
            '"' => is_text = true,
            '{' | '[' => depth += 1,
            '}' | ']' if depth == 0 => return Some(&value[..position]),
            '}' | ']' => depth -= 1,
            ',' if depth == 0 => return Some(&value[..position]),
            _ => {}
        }
    }
    Some(value)
}
