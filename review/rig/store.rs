//! Stand-in for the platform's metadata store: lists, watches and conditional writes of objects.

use std::collections::BTreeMap;
use std::io::{BufReader, Write};
use std::net::{SocketAddr, TcpListener, TcpStream};
use std::sync::{Arc, Condvar, Mutex};
use std::time::{Duration, Instant};

use crate::http::{Head, read_body, read_head};
use crate::json::{Json, parse};

/// One change of an object.
struct Change {
    revision: u64,
    kind: String,
    object: String,
    is_deleted: bool,
}

#[derive(Default)]
struct Objects {
    revision: u64,
    objects: BTreeMap<(String, String), (u64, String)>,
    changes: Vec<Change>,
}

/// The store. It loses nothing and answers at once.
#[derive(Clone)]
pub struct Store {
    state: Arc<(Mutex<Objects>, Condvar)>,
    /// Address of its interface.
    pub address: SocketAddr,
}

fn object_text(name: &str, revision: u64, specification: &str) -> String {
    format!(
        "{{\"metadata\":{{\"name\":\"{name}\",\"revision\":{revision},\"created\":{revision},\"finalizers\":[],\"deletion_pending\":false}},\"specification\":{specification},\"status\":null}}"
    )
}

impl Store {
    /// Starts a store on a free port.
    pub fn start() -> std::io::Result<Self> {
        let listener = TcpListener::bind(("127.0.0.1", 0))?;
        let store = Self {
            state: Arc::default(),
            address: listener.local_addr()?,
        };
        let served = store.clone();
        std::thread::spawn(move || {
            for stream in listener.incoming().flatten() {
                let store = served.clone();
                std::thread::spawn(move || store.serve(stream));
            }
        });
        Ok(store)
    }

    /// Writes an object and returns its revision.
    pub fn put(&self, kind: &str, name: &str, specification: &str) -> u64 {
        let (lock, changed) = &*self.state;
        let mut state = lock.lock().expect("the store");
        let key = (kind.to_owned(), name.to_owned());
        if let Some((revision, known)) = state.objects.get(&key)
            && known == specification
        {
            return *revision;
        }
        state.revision += 1;
        let revision = state.revision;
        state
            .objects
            .insert(key, (revision, specification.to_owned()));
        state.changes.push(Change {
            revision,
            kind: kind.to_owned(),
            object: object_text(name, revision, specification),
            is_deleted: false,
        });
        changed.notify_all();
        revision
    }

    /// Removes an object; `false` if there is none.
    pub fn delete(&self, kind: &str, name: &str) -> bool {
        let (lock, changed) = &*self.state;
        let mut state = lock.lock().expect("the store");
        let key = (kind.to_owned(), name.to_owned());
        let Some((revision, specification)) = state.objects.remove(&key) else {
            return false;
        };
        state.revision += 1;
        let change = Change {
            revision: state.revision,
            kind: kind.to_owned(),
            object: object_text(name, revision, &specification),
            is_deleted: true,
        };
        state.changes.push(change);
        changed.notify_all();
        true
    }

    fn serve(&self, stream: TcpStream) {
        let mut reader = BufReader::new(stream);
        while let Some(head) = read_head(&mut reader) {
            let Some(body) = read_body(&head, &mut reader) else {
                return;
            };
            let (status, text) = self.answer(&head, &String::from_utf8_lossy(&body));
            let answer = format!(
                "HTTP/1.1 {status} S\r\nContent-Type: application/json\r\nContent-Length: {}\r\n\r\n{text}",
                text.len()
            );
            if reader.get_mut().write_all(answer.as_bytes()).is_err() {
                return;
            }
        }
    }

    fn answer(&self, head: &Head, body: &str) -> (u16, String) {
        let (path, query) = head.target().split_once('?').unwrap_or((head.target(), ""));
        let query: BTreeMap<&str, &str> = query
            .split('&')
            .filter_map(|pair| pair.split_once('='))
            .collect();
        let path = path.strip_prefix("/objects/").unwrap_or_default();
        let (kind, name) = path.split_once('/').unwrap_or((path, ""));
        let name = decode(name);
        match (head.method(), name.as_str()) {
            ("GET", "") if query.contains_key("watch") => self.watch(kind, &query),
            ("GET", "") => self.list(kind, &decode(query.get("after").copied().unwrap_or(""))),
            ("GET", name) => match self.object(kind, name) {
                Some((_, text)) => (200, text),
                None => (404, String::new()),
            },
            ("POST", "") => self.write(kind, None, body),
            ("PUT", name) => self.write(kind, Some(name), body),
            ("DELETE", name) => match self.delete(kind, name) {
                true => (200, "{}".to_owned()),
                false => (404, String::new()),
            },
            _ => (404, String::new()),
        }
    }

    fn object(&self, kind: &str, name: &str) -> Option<(u64, String)> {
        let state = self.state.0.lock().expect("the store");
        let (revision, text) = state.objects.get(&(kind.to_owned(), name.to_owned()))?;
        Some((*revision, object_text(name, *revision, text)))
    }

    fn write(&self, kind: &str, path_name: Option<&str>, body: &str) -> (u16, String) {
        let Some(object) = parse(body) else {
            return (400, String::new());
        };
        let metadata = object.get("metadata");
        let named = metadata
            .and_then(|metadata| metadata.get("name"))
            .and_then(Json::text);
        let Some(name) = path_name.or(named) else {
            return (400, String::new());
        };
        let expected = metadata
            .and_then(|metadata| metadata.get("revision"))
            .and_then(Json::number);
        let known = self.object(kind, name);
        match (&known, path_name) {
            (Some((_, text)), None) => return (409, text.clone()),
            (None, Some(_)) => return (404, String::new()),
            (Some((revision, text)), Some(_)) if expected.is_some_and(|at| at != *revision) => {
                return (409, text.clone());
            }
            _ => {}
        }
        let mut specification = String::new();
        object
            .get("specification")
            .unwrap_or(&Json::Null)
            .write(&mut specification);
        let revision = self.put(kind, name, &specification);
        (200, object_text(name, revision, &specification))
    }

    fn list(&self, kind: &str, after: &str) -> (u16, String) {
        let state = self.state.0.lock().expect("the store");
        let of_kind = state
            .objects
            .iter()
            .filter(|((of, name), _)| of == kind && name.as_str() > after);
        let items: Vec<String> = of_kind
            .map(|((_, name), (revision, text))| object_text(name, *revision, text))
            .collect();
        let items = items.join(",");
        (
            200,
            format!(
                "{{\"items\":[{items}],\"has_more\":false,\"at\":{}}}",
                state.revision
            ),
        )
    }

    fn watch(&self, kind: &str, query: &BTreeMap<&str, &str>) -> (u16, String) {
        let number = |name: &str| {
            query
                .get(name)
                .and_then(|text| text.parse::<u64>().ok())
                .unwrap_or(0)
        };
        let from = number("watch");
        let end = Instant::now() + Duration::from_millis(number("wait_ms").min(30_000));
        let (lock, changed) = &*self.state;
        let mut state = lock.lock().expect("the store");
        loop {
            let news = state
                .changes
                .iter()
                .filter(|change| change.revision > from && change.kind == kind);
            let events: Vec<String> = news
                .map(|change| {
                    format!(
                        "{{\"deleted\":{},\"object\":{}}}",
                        change.is_deleted, change.object
                    )
                })
                .collect();
            let left = end.saturating_duration_since(Instant::now());
            if !events.is_empty() || left.is_zero() {
                let events = events.join(",");
                return (
                    200,
                    format!("{{\"events\":[{events}],\"at\":{}}}", state.revision),
                );
            }
            state = changed.wait_timeout(state, left).expect("the store").0;
        }
    }
}

/// Decodes a percent-encoded name.
fn decode(text: &str) -> String {
    let bytes = text.as_bytes();
    let mut decoded = Vec::new();
    let mut at = 0;
    while at < bytes.len() {
        let code = text
            .get(at + 1..at + 3)
            .and_then(|code| u8::from_str_radix(code, 16).ok());
        match (bytes[at], code) {
            (b'%', Some(code)) => {
                decoded.push(code);
                at += 3;
            }
            (byte, _) => {
                decoded.push(byte);
                at += 1;
            }
        }
    }
    String::from_utf8_lossy(&decoded).into_owned()
}
