//! Many users at once, with bodies within `max_body_bytes`.
//!
//! Rule Fault: on a tenth of the machines in use (two at least) processes end by themselves three times, memory over
//! the limit counted. The platform kills a process that exceeds `memory_mb` and starts it again.

use std::net::SocketAddr;
use std::sync::atomic::{AtomicBool, AtomicU32, AtomicU64, Ordering};
use std::thread::{scope, sleep};
use std::time::{Duration, Instant};

use crate::Outcome;
use crate::bench::{HOST, Stage, plain_route, plain_service};
use crate::http::Connection;
use crate::servers::{Profile, Server};

/// Entries and the usual number of clients that send to each at once.
const ENTRIES: u32 = 3;
const USUAL_CLIENTS: u32 = 18;

/// A burst is at most 2.5 times the usual traffic on the sites.
const BURST_CLIENTS: u32 = 45;

/// Size of a body: `max_body_bytes`.
const BODY_BYTES: usize = 4_194_304;

/// Pace at which a client sends: one piece each interval, 17.5 Mbit/s; all of a burst stay below `link_mbps`.
const PIECE_BYTES: usize = 65_536;
const PIECE_INTERVAL: Duration = Duration::from_millis(30);

/// Limit of a process: `memory_mb`.
const MEMORY_LIMIT: u64 = 110 * 1_048_576;

/// When the burst begins and ends, and when the run ends.
const BURST_AT: Duration = Duration::from_secs(6);
const BURST_END: Duration = Duration::from_secs(16);
const END: Duration = Duration::from_secs(20);

struct Tally {
    started: Instant,
    is_over: AtomicBool,
    answered: AtomicU32,
    refused: AtomicU32,
    cut: AtomicU32,
}

fn upload(stage: &Stage, tally: &Tally, front: SocketAddr, end: Duration) {
    let Some(mut connection) = Connection::open(front) else {
        return sleep(Duration::from_millis(200));
    };
    let piece = vec![b'x'; PIECE_BYTES];
    while tally.started.elapsed() < end {
        let id = stage.new_id();
        stage.record.note(&format!("client sends {id}"));
        let mut is_open = connection.send(format!("POST /photos/1 HTTP/1.1\r\nHost: {HOST}\r\nX-Request-Id: {id}\r\nX-Deadline-Remaining-Ms: 14000\r\nContent-Length: {BODY_BYTES}\r\n\r\n").as_bytes());
        let mut next = Instant::now();
        for _ in 0..BODY_BYTES / PIECE_BYTES {
            is_open = is_open && connection.send(&piece);
            next += PIECE_INTERVAL;
            sleep(next.saturating_duration_since(Instant::now()));
        }
        let answer = connection
            .answer(Duration::from_secs(14))
            .filter(|_| is_open);
        let status = answer.as_ref().map_or(0, |(head, _)| head.status());
        stage.record.note(&format!(
            "client {id} gets {}",
            if status == 0 {
                "no answer".to_owned()
            } else {
                status.to_string()
            }
        ));
        let count = match status {
            200 => &tally.answered,
            503 => &tally.refused,
            _ => &tally.cut,
        };
        count.fetch_add(1, Ordering::SeqCst);
        if answer.is_none() {
            return sleep(Duration::from_millis(200));
        }
    }
}

/// Plays the case.
pub fn play(stage: &Stage) -> Outcome {
    let mut servers = Vec::new();
    for number in 1..=4_usize {
        let profile = Profile {
            id: format!("i-desk{number}"),
            service: "counter-desk",
            zone: ["duluth", "sault", "marquette"][number % 3],
            slots: 6,
            stage: None,
        };
        let server = Server::start(&stage.store, &stage.record, profile, |exchange| {
            exchange.note(&format!("runs, body {}", exchange.body_length));
            if exchange.work(Duration::from_millis(15)) {
                exchange.succeed("text/plain", "done");
            }
        });
        match server {
            Ok(server) => servers.push(server),
            Err(error) => return Outcome::CouldNotRun(error.to_string()),
        }
    }
    let route = plain_route("photos", "unsafe", "counter-desk", 14_000, 4_000);
    stage.configure(1, &route, &plain_service("counter-desk"));
    let nodes = match stage.start_entries(ENTRIES) {
        Ok(nodes) => nodes,
        Err(reason) => return Outcome::CouldNotRun(reason),
    };
    let tally = Tally {
        started: Instant::now(),
        is_over: AtomicBool::new(false),
        answered: AtomicU32::new(0),
        refused: AtomicU32::new(0),
        cut: AtomicU32::new(0),
    };
    let fronts: Vec<_> = nodes.iter().map(|node| node.front).collect();
    let ends: Vec<AtomicU32> = nodes.iter().map(|_| AtomicU32::new(0)).collect();
    let peaks: Vec<AtomicU64> = nodes.iter().map(|_| AtomicU64::new(0)).collect();
    scope(|threads| {
        for (mut node, (ends, peak)) in nodes.into_iter().zip(ends.iter().zip(&peaks)) {
            let tally = &tally;
            threads.spawn(move || {
                while !tally.is_over.load(Ordering::SeqCst) {
                    sleep(Duration::from_millis(10));
                    let memory = node.memory();
                    peak.fetch_max(memory, Ordering::SeqCst);
                    let has_ended = node.has_ended();
                    if memory > MEMORY_LIMIT || has_ended {
                        ends.fetch_add(1, Ordering::SeqCst);
                        stage.record.say(&format!(
                            "platform {} is at {} MB, over its memory_mb; killed and started again",
                            node.name,
                            memory / 1_048_576
                        ));
                        node.restart(Duration::from_millis(500));
                    }
                }
            });
        }
        // The entries end after the last client.
        scope(|clients| {
            for front in fronts {
                for number in 0..BURST_CLIENTS {
                    let tally = &tally;
                    if number >= USUAL_CLIENTS && !stage.is_troubled {
                        continue;
                    }
                    clients.spawn(move || {
                        if number >= USUAL_CLIENTS {
                            sleep(BURST_AT);
                        }
                        sleep(Duration::from_millis(u64::from(number) * 37));
                        let end = if number >= USUAL_CLIENTS {
                            BURST_END
                        } else {
                            END
                        };
                        while tally.started.elapsed() < end {
                            upload(stage, tally, front, end);
                        }
                    });
                }
            }
        });
        tally.is_over.store(true, Ordering::SeqCst);
    });
    let ends: Vec<u32> = ends.into_iter().map(AtomicU32::into_inner).collect();
    let peaks: Vec<u64> = peaks
        .into_iter()
        .map(|peak| peak.into_inner() / 1_048_576)
        .collect();
    stage.record.say(&format!(
        "answered {}, refused {}, cut off {}",
        tally.answered.into_inner(),
        tally.refused.into_inner(),
        tally.cut.into_inner()
    ));
    stage
        .record
        .say(&format!("peak MB {peaks:?}, ends {ends:?}"));
    match ends.iter().filter(|ends| **ends >= 3).count() >= 2 {
        true => Outcome::Broken,
        false => Outcome::Held,
    }
}
