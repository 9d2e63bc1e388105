//! Requests that clients send some seconds after the SIGTERM of the machine that takes them.
//!
//! Rule LOST, around planned work: the machine passes the request on to a server and then ends its connection
//! without an answer.

use std::sync::Arc;
use std::sync::atomic::{AtomicU32, Ordering};
use std::thread::{scope, sleep};
use std::time::Duration;

use crate::Outcome;
use crate::bench::{HOST, Stage, plain_route, plain_service};
use crate::http::Connection;
use crate::servers::{Profile, Server};

/// Clients, each with one kept connection to the machine.
const CLIENTS: u32 = 12;

/// Work of a charge at its server.
const WORK: Duration = Duration::from_millis(3_000);

/// Time-out of the route and deadline of the clients.
const TIMEOUT_MS: u32 = 6_000;

/// When the charges are sent, after the SIGTERM. Some clients keep what the directory answered (2 s) three times as
/// long.
const FIRST_CHARGE: Duration = Duration::from_millis(4_900);

/// Time between two charges.
const SPACING: Duration = Duration::from_millis(40);

/// Plays the case.
pub fn play(stage: &Stage) -> Outcome {
    let mut servers = Vec::new();
    for number in 1..=4 {
        let profile = Profile {
            id: format!("i-desk{number}"),
            service: "counter-desk",
            zone: ["duluth", "sault", "marquette"][number % 3],
            slots: 6,
            stage: None,
        };
        let server = Server::start(&stage.store, &stage.record, profile, |exchange| {
            let is_lookup = exchange.head.method() == "GET";
            exchange.note("runs");
            let work = if is_lookup {
                Duration::from_millis(15)
            } else {
                WORK
            };
            match exchange.work(work) && exchange.succeed("text/plain", "done") {
                true => exchange.note("answered"),
                false => exchange.note("lost its caller while it ran"),
            }
        });
        match server {
            Ok(server) => servers.push(server),
            Err(error) => return Outcome::CouldNotRun(error.to_string()),
        }
    }
    let routes = [
        plain_route("charge", "unsafe", "counter-desk", TIMEOUT_MS, 4_000),
        plain_route("lookup", "safe", "counter-desk", 600, 120),
    ];
    stage.configure(1, &routes.join(","), &plain_service("counter-desk"));
    let nodes = match stage.start_entries(3) {
        Ok(nodes) => nodes,
        Err(reason) => return Outcome::CouldNotRun(reason),
    };
    let node = &nodes[0];
    let (lost, answered) = (Arc::new(AtomicU32::new(0)), Arc::new(AtomicU32::new(0)));
    let mut connections = Vec::new();
    for _ in 0..CLIENTS {
        // The lookup makes this a kept connection.
        let Some(mut connection) = Connection::open(node.front) else {
            return Outcome::CouldNotRun("no connection".to_owned());
        };
        let id = stage.new_id();
        connection.send(format!("GET /lookup/1 HTTP/1.1\r\nHost: {HOST}\r\nX-Request-Id: {id}\r\nX-Deadline-Remaining-Ms: 600\r\n\r\n").as_bytes());
        match connection.answer(Duration::from_secs(1)) {
            Some((head, _)) if head.status() == 200 => connections.push(connection),
            _ => return Outcome::CouldNotRun("a lookup failed".to_owned()),
        }
    }
    if stage.is_troubled {
        node.signal("TERM");
        stage
            .record
            .say(&format!("platform SIGTERM to {}", node.name));
    }
    scope(|threads| {
        for (number, mut connection) in connections.into_iter().enumerate() {
            let (lost, answered) = (Arc::clone(&lost), Arc::clone(&answered));
            threads.spawn(move || {
                sleep(FIRST_CHARGE + SPACING * number as u32);
                let id = stage.new_id();
                let body = "{\"ticket\":12,\"cents\":450}";
                let is_sent = connection.send(format!("POST /charge/1 HTTP/1.1\r\nHost: {HOST}\r\nX-Request-Id: {id}\r\nX-Deadline-Remaining-Ms: {TIMEOUT_MS}\r\nContent-Length: {}\r\n\r\n{body}", body.len()).as_bytes());
                stage.record.note(&format!("client sends {id}, sent {is_sent}"));
                match connection.answer(Duration::from_millis(u64::from(TIMEOUT_MS) + 500)) {
                    Some((head, _)) => {
                        answered.fetch_add(1, Ordering::SeqCst);
                        stage.record.note(&format!("client {id} gets {}", head.status()));
                    }
                    None => {
                        lost.fetch_add(1, Ordering::SeqCst);
                        stage.record.note(&format!("client {id}: its connection ended without an answer"));
                    }
                }
            });
        }
        if stage.is_troubled {
            threads.spawn(|| {
                // The platform's SIGKILL after `grace_s`; without effect on a process that has ended.
                sleep(Duration::from_secs(8));
                stage.record.note("platform grace_s is over");
            });
        }
    });
    drop(nodes);
    let (lost, answered) = (lost.load(Ordering::SeqCst), answered.load(Ordering::SeqCst));
    stage.record.say(&format!(
        "{answered} charges answered, {lost} passed on or read and cut off without an answer"
    ));
    match lost {
        0 => Outcome::Held,
        _ => Outcome::Broken,
    }
}
