//! The cases of the third review. Usage: review-3 CASE FOLDER RECORD, from the repository's root.
//!
//! Exits with 1 if the rule was broken, 0 if it held, 2 if the case could not run. With `TROUBLE=0` in the environment
//! the disruption is left out.

mod http;
mod link;
mod node;
mod server;
mod store;

mod fewer_readers;
mod leaving_unseen;
mod left_after_cut;
mod settings_unread;
mod slow_readers;

use std::io::Write;
use std::path::{Path, PathBuf};
use std::sync::Mutex;
use std::time::{Duration, Instant};

/// What a case runs with.
pub struct Case {
    /// For settings files and logs.
    pub folder: PathBuf,
    pub has_trouble: bool,
    started: Instant,
    record: Mutex<std::fs::File>,
}

impl Case {
    /// Writes a line of the record, with the time since the start.
    pub fn note(&self, text: &str) {
        let at = self.started.elapsed().as_millis();
        let mut record = self.record.lock().expect("the record");
        writeln!(record, "{at:>6} ms  {text}").expect("the record is writable");
    }

    /// Returns the time of a moment in the record.
    pub fn at(&self, moment: Instant) -> u128 {
        moment.saturating_duration_since(self.started).as_millis()
    }

    /// Waits until a time after the start.
    pub fn wait_until(&self, time: Duration) {
        std::thread::sleep(time.saturating_sub(self.started.elapsed()));
    }
}

/// The operator's configuration with one unsafe route to the service `desk`.
pub fn configuration(timeout_ms: u64) -> Vec<u8> {
    format!(
        r#"{{"version":7,"routes":[{{"name":"booking-order","host":"desk.example","path_prefix":"/book/","kind":"unsafe","timeout_ms":{timeout_ms},"target_latency_ms":300,"priority":2,"service":"desk","max_attempts":1}}],"services":[{{"name":"desk","health_path":"/health","max_connections":100,"protocol":"h1","tls":false}}],"limits":{{"max_header_bytes":16384,"max_body_bytes":4194304,"header_timeout_ms":3000,"idle_timeout_ms":15000}}}}"#
    )
    .into_bytes()
}

/// A client's request for the route.
pub fn booking(id: &str, deadline_ms: u64, connection: &str) -> Vec<u8> {
    let body = "x".repeat(600);
    format!(
        "POST /book/order HTTP/1.1\r\nHost: desk.example\r\nX-Request-Id: {id}\r\nX-Deadline-Remaining-Ms: {deadline_ms}\r\nConnection: {connection}\r\nContent-Length: {}\r\n\r\n{body}",
        body.len()
    )
    .into_bytes()
}

fn main() {
    let arguments: Vec<String> = std::env::args().collect();
    let [_, name, folder, record] = &arguments[..] else {
        eprintln!("usage: review-3 CASE FOLDER RECORD");
        std::process::exit(2);
    };
    let Ok(record) = std::fs::File::create(Path::new(record)) else {
        eprintln!("cannot write {record}");
        std::process::exit(2);
    };
    let case = Case {
        folder: PathBuf::from(folder),
        has_trouble: std::env::var("TROUBLE").as_deref() != Ok("0"),
        started: Instant::now(),
        record: Mutex::new(record),
    };
    let is_broken = match name.as_str() {
        "leaving-unseen" => leaving_unseen::run(&case),
        "left-after-cut" => left_after_cut::run(&case),
        "fewer-readers" => fewer_readers::run(&case),
        "settings-unread" => settings_unread::run(&case),
        "slow-readers" => slow_readers::run(&case),
        _ => {
            eprintln!("no case {name}");
            std::process::exit(2);
        }
    };
    case.note(if is_broken {
        "the rule was broken"
    } else {
        "the rule held"
    });
    std::process::exit(i32::from(is_broken));
}
