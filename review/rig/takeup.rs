//! Clients that leave while their stream is taken up at another model server after a crash.
//!
//! Rule GONE: half a second after clients have closed their connections, servers are still at work on more than a
//! quarter of the streams that would have lasted so long.

use std::collections::HashMap;
use std::sync::atomic::{AtomicBool, Ordering};
use std::sync::{Arc, Mutex};
use std::thread::{scope, sleep};
use std::time::{Duration, Instant};

use crate::Outcome;
use crate::bench::{HOST, Stage, model_service, stream_route};
use crate::http::{Connection, read_chunk, read_head};
use crate::servers::{Exchange, Profile, Server};

/// Streams that run when their server crashes.
const STREAMS: u32 = 24;

/// Events of a stream and the time between two.
const EVENTS: u32 = 70;
const EVENT_GAP: Duration = Duration::from_millis(45);

/// Time in which a decode server reads a prompt of 5,000 tokens anew: half of 55.6 tokens a ms.
const READ_TIME: Duration = Duration::from_millis(180);

/// Clients abandon a stream after a gap of four times the objective.
const PATIENCE: Duration = Duration::from_millis(3_200);

/// A run at a server: when it began and when it ended.
type Runs = Arc<Mutex<HashMap<String, (Instant, Option<Instant>, bool)>>>;

struct Work {
    runs: Runs,
    /// Prompts that the servers read now; they share the server's time.
    reading: Mutex<HashMap<String, u32>>,
}

fn stream(exchange: &mut Exchange<'_>, work: &Work, server: &str) {
    if exchange.head.get("x-stage") == Some("prefill") {
        exchange.reject(421);
        return;
    }
    let last: u32 = exchange
        .head
        .get("last-event-id")
        .and_then(|id| id.parse().ok())
        .unwrap_or(0);
    exchange.note(&format!("begins after event {last} of"));
    let key = format!("{}@{server}", exchange.id);
    work.runs
        .lock()
        .expect("the runs")
        .insert(key.clone(), (Instant::now(), None, false));
    let is_read = read_prompt(exchange, work, server);
    let is_whole = is_read && write_events(exchange, last);
    if let Some(run) = work.runs.lock().expect("the runs").get_mut(&key) {
        run.1 = Some(Instant::now());
        run.2 = is_whole;
    }
    exchange.note(if is_whole {
        "completed"
    } else {
        "lost its caller of"
    });
}

/// Reads the prompt in chunks between those of the other requests.
fn read_prompt(exchange: &Exchange<'_>, work: &Work, server: &str) -> bool {
    let change = |by: i32| {
        let mut reading = work.reading.lock().expect("the prompts");
        let count = reading.entry(server.to_owned()).or_default();
        *count = count.saturating_add_signed(by);
        (*count).max(1)
    };
    let mut left = READ_TIME.as_secs_f64();
    change(1);
    let step = Duration::from_millis(5);
    let mut is_read = true;
    while left > 0.0 && is_read {
        let started = Instant::now();
        is_read = exchange.work(step);
        left -= started.elapsed().as_secs_f64() / f64::from(change(0));
    }
    change(-1);
    is_read
}

fn write_events(exchange: &mut Exchange<'_>, last: u32) -> bool {
    let headers = exchange.signed_headers();
    exchange.write(format!("HTTP/1.1 200 OK\r\n{headers}Content-Type: text/event-stream\r\nTransfer-Encoding: chunked\r\n\r\n").as_bytes());
    for number in last + 1..=EVENTS {
        if !exchange.chunk(&format!("id: {number}\ndata: piece {number}\n\n"))
            || !exchange.work(EVENT_GAP)
        {
            return false;
        }
    }
    exchange.write(b"0\r\n\r\n")
}

/// Plays the case.
pub fn play(stage: &Stage) -> Outcome {
    let runs: Runs = Arc::default();
    let work = Arc::new(Work {
        runs: Arc::clone(&runs),
        reading: Mutex::default(),
    });
    let start = |number: u32| {
        let profile = Profile {
            id: format!("i-notes{number}"),
            service: "care-notes",
            zone: "duluth",
            slots: 24,
            stage: Some("decode"),
        };
        let (work, name) = (Arc::clone(&work), profile.id.clone());
        Server::start(&stage.store, &stage.record, profile, move |exchange| {
            stream(exchange, &work, &name)
        })
    };
    let Ok(first) = start(1) else {
        return Outcome::CouldNotRun("no server".to_owned());
    };
    let route = stream_route("notes", "care-notes", 14_000, true, 2);
    stage.configure(1, &route, &model_service("care-notes"));
    let nodes = match stage.start_entries(2) {
        Ok(nodes) => nodes,
        Err(reason) => return Outcome::CouldNotRun(reason),
    };
    let left: Mutex<Vec<(String, Instant)>> = Mutex::default();
    let has_begun = AtomicBool::new(false);
    scope(|threads| {
        for number in 0..STREAMS {
            let node = &nodes[number as usize % nodes.len()];
            let (left, has_begun) = (&left, &has_begun);
            threads.spawn(move || {
                sleep(Duration::from_millis(u64::from(number) * 100));
                let id = stage.new_id();
                let Some(mut connection) = Connection::open(node.front) else { return };
                connection.send(format!("POST /notes/1 HTTP/1.1\r\nHost: {HOST}\r\nX-Request-Id: {id}\r\nX-Model: m\r\nX-Token-Counts: 2500,70\r\nX-Prompt-Prefix: 5c1e07a2:200,{id}:2300\r\nX-Deadline-Remaining-Ms: 14000\r\nContent-Length: 2\r\n\r\n{{}}").as_bytes());
                stage.record.note(&format!("client sends {id}"));
                let _ = connection.stream().set_read_timeout(Some(PATIENCE));
                let mut events = 0;
                let head = read_head(&mut connection.reader);
                let status = head.map_or(0, |head| head.status());
                let mut is_whole = false;
                while status == 200 && !is_whole {
                    let waited = Instant::now();
                    match read_chunk(&mut connection.reader) {
                        Some(chunk) if chunk.is_empty() => is_whole = true,
                        Some(_) => {
                            events += 1;
                            has_begun.store(true, Ordering::SeqCst);
                        }
                        None => {
                            if waited.elapsed() >= PATIENCE {
                                drop(connection);
                                left.lock().expect("the clients").push((id.clone(), Instant::now()));
                                stage.record.note(&format!("client {id} leaves after a gap of 3.2 s and {events} events"));
                            } else {
                                stage.record.note(&format!("client {id}: cut off after {events} events"));
                            }
                            return;
                        }
                    }
                }
                stage.record.note(&format!("client {id}: status {status}, {events} events, whole {is_whole}"));
            });
        }
        threads.spawn(|| {
            sleep(Duration::from_millis(2_000));
            if stage.is_troubled && start(2).is_ok() {
                sleep(Duration::from_millis(700));
                first.crash();
                stage.record.say("server i-notes1 crashed");
            }
        });
    });
    sleep(Duration::from_secs(6));
    drop(nodes);
    let runs = runs.lock().expect("the runs");
    let left = left.into_inner().expect("the clients");
    let (mut lasting, mut working) = (0, 0);
    for (id, at) in &left {
        let late = *at + Duration::from_millis(500);
        let run = runs.get(&format!("{id}@i-notes2"));
        if let Some((_, end, _)) = run {
            lasting += 1;
            working += u32::from(end.is_none_or(|end| end > late));
        }
    }
    stage.record.say(&format!(
        "{} clients left; servers were still at work 0.5 s later for {working} of {lasting}",
        left.len()
    ));
    match working > 3 && working * 4 > lasting {
        true => Outcome::Broken,
        false => Outcome::Held,
    }
}
