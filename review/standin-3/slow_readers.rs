//! Clients read long answers of unsafe requests slowly but steadily.

use std::collections::BTreeSet;
use std::io::{Read, Write};
use std::net::{SocketAddr, TcpStream};
use std::sync::Mutex;
use std::time::{Duration, Instant};

use crate::http::read_head;
use crate::node::{Node, Settings};
use crate::server::Server;
use crate::store::Store;
use crate::{booking, configuration, Case};

const ANSWER_BYTES: usize = 3_900_000;

/// What a client takes a second: the whole answer in 9.75 s.
const BYTES_PER_SECOND: f64 = 400_000.0;

/// Time that the client and the route give a request.
const DEADLINE: Duration = Duration::from_millis(14_000);

const CLIENTS: usize = 40;

/// `config_apply_ms` of the site.
const APPLY: Duration = Duration::from_millis(2_000);

const SETTINGS: Settings = Settings {
    grace_s: 8,
    memory_mb: 260,
};

struct Reading {
    id: String,
    sent: Instant,
    ended: Instant,
    status: u16,
    bytes: usize,
    is_whole: bool,
}

pub fn run(case: &Case) -> bool {
    let store = Store::start();
    store.put("config", "main", &configuration(DEADLINE.as_millis() as u64));
    let work = Duration::from_millis(60);
    let servers: Vec<_> = (1..=3)
        .map(|number| Server::start(&format!("i-{number}"), work, ANSWER_BYTES))
        .collect();
    for server in &servers {
        store.put("servers", &server.name, &server.entry("desk", "ready"));
    }
    let nodes: Vec<Node> = ["front-shah-alam-1", "front-shah-alam-2"]
        .iter()
        .map(|name| Node::start(&case.folder, name, store.address, &SETTINGS))
        .collect();
    case.wait_until(Duration::from_secs(4));
    case.note("two entries are ready, three servers answer with 3.9 MB");
    for node in &nodes {
        node.signal("HUP");
    }
    let signalled = Instant::now();
    case.note("SIGHUP sent to both entries; the settings are as before");
    let readings: Mutex<Vec<Reading>> = Mutex::default();
    std::thread::scope(|scope| {
        for number in 0..CLIENTS {
            let (front, readings) = (nodes[number % nodes.len()].front, &readings);
            scope.spawn(move || {
                let reading = read_answer(front, &format!("b{number:02}"), case.has_trouble);
                readings.lock().expect("readings").extend(reading);
            });
            std::thread::sleep(Duration::from_millis(40));
        }
    });
    let runs: Vec<_> = servers.iter().flat_map(|server| server.runs()).collect();
    let ran: BTreeSet<String> = runs.into_iter().map(|run| run.id).collect();
    let mut lost = 0;
    for reading in readings.into_inner().expect("readings") {
        let took = reading.ended.saturating_duration_since(reading.sent);
        let is_lost = !reading.is_whole
            && ran.contains(&reading.id)
            && reading.sent.saturating_duration_since(signalled) <= APPLY
            && took < DEADLINE;
        lost += usize::from(is_lost);
        case.note(&format!(
            "request {} sent at {} ms, status {}, {} bytes of the body, whole: {}, reached a server: {}, connection ended after {} ms{}",
            reading.id,
            case.at(reading.sent),
            reading.status,
            reading.bytes,
            reading.is_whole,
            ran.contains(&reading.id),
            took.as_millis(),
            if is_lost { ": LOST" } else { "" }
        ));
    }
    case.note(&format!(
        "{lost} requests reached a server, and their connections ended within a part of the answer"
    ));
    lost > 0
}

/// Sends a request and reads its answer, slowly or as fast as it comes.
fn read_answer(front: SocketAddr, id: &str, is_slow: bool) -> Option<Reading> {
    let mut stream = TcpStream::connect(front).ok()?;
    stream.set_read_timeout(Some(DEADLINE)).ok()?;
    let sent = Instant::now();
    stream
        .write_all(&booking(id, DEADLINE.as_millis() as u64, "keep-alive"))
        .ok()?;
    let (head, rest) = read_head(&mut stream)?;
    let length: usize = head.header("content-length").parse().unwrap_or(0);
    let mut bytes = rest.len();
    let mut buffer = [0; 16384];
    while bytes < length {
        match stream.read(&mut buffer) {
            Ok(count) if count > 0 => bytes += count,
            _ => break,
        }
        let due = Duration::from_secs_f64(bytes as f64 / BYTES_PER_SECOND);
        if is_slow {
            std::thread::sleep(due.saturating_sub(sent.elapsed()));
        }
    }
    Some(Reading {
        id: id.to_owned(),
        sent,
        ended: Instant::now(),
        status: head.status(),
        bytes,
        is_whole: bytes >= length,
    })
}
