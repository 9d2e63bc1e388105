//! The platform's store, as PROTOCOL.md describes it: objects with revisions, lists and watches.

use std::collections::BTreeMap;
use std::net::{SocketAddr, TcpListener};
use std::sync::atomic::{AtomicBool, Ordering};
use std::sync::{Arc, Condvar, Mutex};
use std::time::{Duration, Instant};

use crate::http::{Connection, Message, answer};
use crate::json::Json;

#[derive(Default)]
struct State {
    revision: u64,
    /// The objects by kind and name.
    objects: BTreeMap<(String, String), Json>,
    /// Every change: its revision, the kind, the object, and whether it was deleted.
    history: Vec<(u64, String, Json, bool)>,
}

/// The store, shared by its connections.
#[derive(Clone)]
pub struct Store {
    state: Arc<(Mutex<State>, Condvar)>,
    pub address: SocketAddr,
}

/// A port of the store, which can be cut off.
#[derive(Clone)]
pub struct Door {
    pub address: SocketAddr,
    is_cut: Arc<AtomicBool>,
}

impl Door {
    pub fn cut(&self, is_cut: bool) {
        self.is_cut.store(is_cut, Ordering::Relaxed);
    }

    /// Waits as long as the caller does while nothing passes; `false` if nothing did.
    fn passes(&self) -> bool {
        let is_cut = self.is_cut.load(Ordering::Relaxed);
        if is_cut {
            std::thread::sleep(Duration::from_secs(6));
        }
        !is_cut
    }
}

fn object(name: &str, revision: u64, specification: &Json) -> Json {
    let metadata = BTreeMap::from([
        ("name".to_owned(), Json::Text(name.to_owned())),
        ("revision".to_owned(), Json::Number(revision.to_string())),
        ("created".to_owned(), Json::Number(revision.to_string())),
        ("finalizers".to_owned(), Json::List(Vec::new())),
        ("deletion_pending".to_owned(), Json::Bool(false)),
    ]);
    Json::Object(BTreeMap::from([
        ("metadata".to_owned(), Json::Object(metadata)),
        ("specification".to_owned(), specification.clone()),
        ("status".to_owned(), Json::Null),
    ]))
}

impl Store {
    /// Starts a store on a free port.
    pub fn start() -> std::io::Result<Self> {
        let mut store = Self {
            state: Arc::default(),
            address: SocketAddr::from(([127, 0, 0, 1], 0)),
        };
        store.address = store.door(Vec::new())?.address;
        Ok(store)
    }

    /// Opens another port, over which one machine reaches the store. The machine reaches servers over links of its own:
    /// the first address of each pair stands for the second one.
    pub fn door(&self, links: Vec<(String, String)>) -> std::io::Result<Door> {
        let listener = TcpListener::bind(("127.0.0.1", 0))?;
        let door = Door {
            address: listener.local_addr()?,
            is_cut: Arc::default(),
        };
        let (store, shared) = (self.clone(), door.clone());
        std::thread::spawn(move || {
            for stream in listener.incoming().flatten() {
                let (store, door, links) = (store.clone(), shared.clone(), links.clone());
                std::thread::spawn(move || {
                    let mut connection = Connection::new(stream);
                    while let Ok(Some(request)) = connection.message() {
                        if !door.passes() {
                            return;
                        }
                        let (status, mut body) = store.serve(&request);
                        for (link, server) in &links {
                            body = body.replace(server, link);
                        }
                        let headers = "Content-Type: application/json\r\n";
                        if !door.passes()
                            || answer(&mut connection.stream, status, headers, body.as_bytes())
                                .is_err()
                        {
                            return;
                        }
                    }
                });
            }
        });
        Ok(door)
    }

    /// Writes an object without a condition. Returns the store's revision.
    pub fn put(&self, kind: &str, name: &str, specification: &str) -> u64 {
        let specification = Json::parse(specification).expect("JSON of the driver");
        let mut state = self.state.0.lock().expect("the store");
        state.write(kind, name, &specification);
        self.state.1.notify_all();
        state.revision
    }

    /// Removes an object.
    pub fn delete(&self, kind: &str, name: &str) {
        let mut state = self.state.0.lock().expect("the store");
        state.remove(kind, name);
        self.state.1.notify_all();
    }

    fn serve(&self, request: &Message) -> (&'static str, String) {
        let target = request.target().to_owned();
        let (path, query) = target.split_once('?').unwrap_or((&target, ""));
        let query: BTreeMap<&str, &str> = query
            .split('&')
            .filter_map(|pair| pair.split_once('='))
            .collect();
        let Some(path) = path.strip_prefix("/objects/") else {
            return ("404 Not Found", "{}".to_owned());
        };
        let (kind, name) = match path.split_once('/') {
            Some((kind, name)) => (kind, Some(decode(name))),
            None => (path, None),
        };
        match (request.method(), name) {
            ("GET", None) if query.contains_key("watch") => self.watch(kind, &query),
            ("GET", None) => self.list(kind, &query),
            ("GET", Some(name)) => {
                let state = self.state.0.lock().expect("the store");
                match state.objects.get(&(kind.to_owned(), name)) {
                    Some(object) => ("200 OK", object.to_string()),
                    None => ("404 Not Found", "{}".to_owned()),
                }
            }
            ("DELETE", Some(name)) => {
                self.delete(kind, &name);
                ("200 OK", "{}".to_owned())
            }
            ("POST" | "PUT", name) => self.write(request, kind, name),
            _ => ("400 Bad Request", "{}".to_owned()),
        }
    }

    fn write(&self, request: &Message, kind: &str, name: Option<String>) -> (&'static str, String) {
        let body = String::from_utf8_lossy(&request.body).into_owned();
        let Some(body) = Json::parse(&body) else {
            return ("400 Bad Request", "{}".to_owned());
        };
        let metadata = body.get("metadata");
        let named = metadata.and_then(|metadata| metadata.get("name"));
        let named = named.and_then(Json::text).map(str::to_owned);
        let Some(key) = name.clone().or(named) else {
            return ("400 Bad Request", "{}".to_owned());
        };
        let wanted = metadata.and_then(|metadata| metadata.get("revision"));
        let wanted = wanted.and_then(Json::number);
        let specification = body.get("specification").cloned().unwrap_or(Json::Null);
        let mut state = self.state.0.lock().expect("the store");
        let known = state.objects.get(&(kind.to_owned(), key.clone())).cloned();
        match (name.is_some(), known) {
            (false, Some(known)) => return ("409 Conflict", known.to_string()),
            (true, None) => return ("404 Not Found", "{}".to_owned()),
            (true, Some(known)) => {
                let revision = known
                    .get("metadata")
                    .and_then(|metadata| metadata.get("revision"));
                let revision = revision.and_then(Json::number);
                if wanted.is_some() && wanted != revision {
                    return ("409 Conflict", known.to_string());
                }
                if known.get("specification") == Some(&specification) {
                    return ("200 OK", known.to_string());
                }
            }
            (false, None) => {}
        }
        let written = state.write(kind, &key, &specification);
        self.state.1.notify_all();
        ("200 OK", written.to_string())
    }

    fn list(&self, kind: &str, query: &BTreeMap<&str, &str>) -> (&'static str, String) {
        let after = query
            .get("after")
            .map(|after| decode(after))
            .unwrap_or_default();
        let state = self.state.0.lock().expect("the store");
        let items = state.objects.iter();
        let items = items.filter(|((known, name), _)| known == kind && *name > after);
        let items: Vec<String> = items.map(|(_, object)| object.to_string()).collect();
        let at = state.revision;
        (
            "200 OK",
            format!(
                "{{\"items\":[{}],\"has_more\":false,\"at\":{at}}}",
                items.join(",")
            ),
        )
    }

    fn watch(&self, kind: &str, query: &BTreeMap<&str, &str>) -> (&'static str, String) {
        let number = |name: &str| {
            query
                .get(name)
                .and_then(|text| text.parse::<u64>().ok())
                .unwrap_or(0)
        };
        let (from, wait) = (number("watch"), Duration::from_millis(number("wait_ms")));
        let until = Instant::now() + wait;
        let mut state = self.state.0.lock().expect("the store");
        loop {
            let news = state
                .history
                .iter()
                .filter(|(revision, known, _, _)| *revision > from && known == kind);
            let events: Vec<String> = news
                .map(|(_, _, object, deleted)| {
                    format!("{{\"object\":{object},\"deleted\":{deleted}}}")
                })
                .collect();
            let left = until.saturating_duration_since(Instant::now());
            if !events.is_empty() || left.is_zero() {
                let at = state.revision.max(from);
                return (
                    "200 OK",
                    format!("{{\"events\":[{}],\"at\":{at}}}", events.join(",")),
                );
            }
            state = self.state.1.wait_timeout(state, left).expect("the store").0;
        }
    }
}

impl State {
    fn write(&mut self, kind: &str, name: &str, specification: &Json) -> Json {
        self.revision += 1;
        let written = object(name, self.revision, specification);
        self.objects
            .insert((kind.to_owned(), name.to_owned()), written.clone());
        self.history
            .push((self.revision, kind.to_owned(), written.clone(), false));
        written
    }

    fn remove(&mut self, kind: &str, name: &str) {
        if let Some(known) = self.objects.remove(&(kind.to_owned(), name.to_owned())) {
            self.revision += 1;
            self.history
                .push((self.revision, kind.to_owned(), known, true));
        }
    }
}

/// Undoes the percent-encoding of a name.
fn decode(text: &str) -> String {
    let mut bytes = Vec::new();
    let mut rest = text.as_bytes();
    while let Some((first, after)) = rest.split_first() {
        let hex = rest.get(1..3).and_then(|hex| std::str::from_utf8(hex).ok());
        let decoded = hex.and_then(|hex| u8::from_str_radix(hex, 16).ok());
        match (first, decoded) {
            (b'%', Some(byte)) => {
                bytes.push(byte);
                rest = &rest[3..];
            }
            _ => {
                bytes.push(*first);
                rest = after;
            }
        }
    }
    String::from_utf8_lossy(&bytes).into_owned()
}
