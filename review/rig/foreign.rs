//! An entry of another writer among the servers in the store, with text that cannot be read.
//!
//! Rule DRAIN: requests reach a server later than `drain_ms` after the store has acknowledged that it is draining.

use std::sync::atomic::{AtomicBool, AtomicU32, Ordering};
use std::sync::{Arc, Mutex};
use std::thread::{scope, sleep};
use std::time::{Duration, Instant};

use crate::Outcome;
use crate::bench::{HOST, Stage, plain_route, plain_service};
use crate::http::Connection;
use crate::servers::{Profile, Server};

/// `drain_ms` of the settings.
const DRAIN: Duration = Duration::from_millis(2_000);

/// How much longer than `drain_ms` the server serves.
const LINGER: Duration = Duration::from_millis(4_000);

/// Clients at each entry, and the time between two requests of one.
const CLIENTS: u32 = 4;
const INTERVAL: Duration = Duration::from_millis(150);

/// Entry of another writer. Its zone ends with half of a UTF-16 pair, as text does that was cut at a length. The
/// answer of the store remains well-formed JSON.
const FOREIGN: &str = "{\"service\":\"stock-room\",\"address\":\"127.0.0.1:9\",\"zone\":\"shelf \\ud83d\",\"version\":\"v1\",\"slots\":1,\"state\":\"ready\",\"cold_remaining_ms\":0,\"sequence\":1}";

/// Plays the case.
pub fn play(stage: &Stage) -> Outcome {
    let acknowledged: Arc<Mutex<Option<Instant>>> = Arc::default();
    let (late, in_time) = (Arc::new(AtomicU32::new(0)), Arc::new(AtomicU32::new(0)));
    let mut servers = Vec::new();
    for number in 1..=4_usize {
        let profile = Profile {
            id: format!("i-desk{number}"),
            service: "counter-desk",
            zone: ["duluth", "sault", "marquette"][number % 3],
            slots: 6,
            stage: None,
        };
        let (acknowledged, late, in_time) = (
            Arc::clone(&acknowledged),
            Arc::clone(&late),
            Arc::clone(&in_time),
        );
        let server = Server::start(&stage.store, &stage.record, profile, move |exchange| {
            let since = acknowledged
                .lock()
                .expect("the time")
                .filter(|_| number == 1);
            if let Some(since) = since.map(|at| at.elapsed()) {
                exchange.note(&format!(
                    "runs {} ms after its leaving was acknowledged",
                    since.as_millis()
                ));
                let count = if since > DRAIN { &late } else { &in_time };
                count.fetch_add(1, Ordering::SeqCst);
            } else {
                exchange.note("runs");
            }
            if exchange.work(Duration::from_millis(15)) {
                exchange.succeed("text/plain", "done");
            }
        });
        match server {
            Ok(server) => servers.push(server),
            Err(error) => return Outcome::CouldNotRun(error.to_string()),
        }
    }
    let route = plain_route("charge", "unsafe", "counter-desk", 600, 120);
    stage.configure(1, &route, &plain_service("counter-desk"));
    let mut nodes = match stage.start_entries(3) {
        Ok(nodes) => nodes,
        Err(reason) => return Outcome::CouldNotRun(reason),
    };
    let is_over = AtomicBool::new(false);
    let (answered, failed) = (AtomicU32::new(0), AtomicU32::new(0));
    scope(|threads| {
        for node in &nodes {
            for _ in 0..CLIENTS {
                let (is_over, answered, failed) = (&is_over, &answered, &failed);
                threads.spawn(move || {
                    let mut kept = None;
                    while !is_over.load(Ordering::SeqCst) {
                        sleep(INTERVAL);
                        let Some(mut connection) = kept.take().or_else(|| Connection::open(node.front)) else {
                            continue;
                        };
                        let id = stage.new_id();
                        connection.send(format!("POST /charge/1 HTTP/1.1\r\nHost: {HOST}\r\nX-Request-Id: {id}\r\nX-Deadline-Remaining-Ms: 600\r\nContent-Length: 2\r\n\r\n{{}}").as_bytes());
                        let answer = connection.answer(Duration::from_millis(1_100));
                        let status = answer.map_or(0, |(head, _)| head.status());
                        stage.record.note(&format!("client {id} gets {status}"));
                        let count = if status == 200 { answered } else { failed };
                        count.fetch_add(1, Ordering::SeqCst);
                        if status != 0 {
                            kept = Some(connection);
                        }
                    }
                });
            }
        }
        sleep(Duration::from_secs(2));
        if stage.is_troubled {
            stage.store.put("servers", "i-stock9", FOREIGN);
            stage
                .record
                .say("another writer puts the entry i-stock9 among the servers");
        }
        sleep(Duration::from_secs(4));
        servers[0].report(&stage.store, "draining");
        *acknowledged.lock().expect("the time") = Some(Instant::now());
        stage
            .record
            .say("server i-desk1 reports draining, acknowledged");
        sleep(DRAIN + LINGER);
        servers[0].crash();
        servers[0].close_connections();
        stage.store.delete("servers", "i-desk1");
        stage.record.say("server i-desk1 has left");
        sleep(Duration::from_secs(1));
        is_over.store(true, Ordering::SeqCst);
    });
    // Not judged: what the same entry does when all machines start again.
    for node in &mut nodes {
        node.signal("KILL");
    }
    for node in &mut nodes {
        node.restart(Duration::from_millis(200));
    }
    let ready = nodes
        .iter()
        .map(|node| node.wait_ready())
        .filter(|is_ready| *is_ready);
    stage.record.say(&format!("not judged: of 3 entries that were all killed and started again, ready within 10 s or more: {}", ready.count()));
    drop(nodes);
    let (late, in_time) = (late.load(Ordering::SeqCst), in_time.load(Ordering::SeqCst));
    stage.record.say(&format!(
        "clients: {} answered, {} failed",
        answered.into_inner(),
        failed.into_inner()
    ));
    stage.record.say(&format!(
        "requests at the leaving server: {in_time} within drain_ms, {late} later"
    ));
    match late {
        0 => Outcome::Held,
        _ => Outcome::Broken,
    }
}
