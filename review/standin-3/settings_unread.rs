//! The settings file gives a shorter grace period and the process is told by SIGHUP; then the process is stopped.

use std::collections::BTreeSet;
use std::sync::atomic::{AtomicBool, Ordering};
use std::sync::Mutex;
use std::time::{Duration, Instant};

use crate::http::call;
use crate::node::{Node, Settings};
use crate::server::Server;
use crate::store::Store;
use crate::{booking, configuration, Case};

/// The grace period after the change.
const GRACE: Duration = Duration::from_secs(4);

/// Requests sent up to this time after SIGTERM are excused if their server was still at work at the end.
const EXCUSED: Duration = Duration::from_secs(3);

struct Exchange {
    id: String,
    sent: Instant,
    ended: Instant,
    /// Status of a whole answer.
    status: Option<u16>,
}

pub fn run(case: &Case) -> bool {
    let (before, after) = (
        Settings {
            grace_s: if case.has_trouble { 8 } else { GRACE.as_secs() },
            memory_mb: 260,
        },
        Settings {
            grace_s: GRACE.as_secs(),
            memory_mb: 260,
        },
    );
    let store = Store::start();
    store.put("config", "main", &configuration(800));
    let servers: Vec<_> = (1..=3)
        .map(|number| Server::start(&format!("i-{number}"), Duration::from_millis(300), 800))
        .collect();
    for server in &servers {
        store.put("servers", &server.name, &server.entry("desk", "ready"));
    }
    let mut node = Node::start(&case.folder, "front-shah-alam-1", store.address, &before);
    let _other = Node::start(&case.folder, "front-shah-alam-2", store.address, &before);
    case.note(&format!("two entries are ready; grace_s is {}", before.grace_s));
    let front = node.front;
    let exchanges: Mutex<Vec<Exchange>> = Mutex::default();
    let is_over = AtomicBool::new(false);
    let start = Instant::now();
    let mut stopped = start;
    std::thread::scope(|scope| {
        let (exchanges, is_over) = (&exchanges, &is_over);
        // Clients that keep the entry's address: three times as long as `ttl_s`, which is 2.
        scope.spawn(move || {
            let mut number = 0;
            while !is_over.load(Ordering::SeqCst) {
                let id = format!("b{number:04}");
                scope.spawn(move || {
                    let sent = Instant::now();
                    let answer = call(front, &booking(&id, 1_500, "close"), Duration::from_millis(1_500));
                    let answer = answer.filter(|answer| answer.whole);
                    exchanges.lock().expect("exchanges").push(Exchange {
                        id,
                        sent,
                        ended: Instant::now(),
                        status: answer.map(|answer| answer.status()),
                    });
                });
                number += 1;
                std::thread::sleep(Duration::from_millis(50));
            }
        });
        let wait_until = |time: u64| {
            std::thread::sleep(Duration::from_millis(time).saturating_sub(start.elapsed()));
        };
        wait_until(3_000);
        if case.has_trouble {
            node.write_settings(&after);
            node.signal("HUP");
            case.note("the settings file now says grace_s = 4; SIGHUP sent");
        }
        wait_until(9_000);
        node.signal("TERM");
        stopped = Instant::now();
        case.note("SIGTERM sent");
        while stopped.elapsed() < GRACE && !node.has_exited() {
            std::thread::sleep(Duration::from_millis(5));
        }
        match node.has_exited() {
            true => case.note(&format!(
                "the entry has exited {} ms after SIGTERM",
                stopped.elapsed().as_millis()
            )),
            false => {
                node.kill();
                case.note(&format!(
                    "SIGKILL sent {} ms after SIGTERM",
                    stopped.elapsed().as_millis()
                ));
            }
        }
        is_over.store(true, Ordering::SeqCst);
    });
    let runs: Vec<_> = servers.iter().flat_map(|server| server.runs()).collect();
    let ran: BTreeSet<String> = runs.into_iter().map(|run| run.id).collect();
    let mut exchanges = exchanges.into_inner().expect("exchanges");
    exchanges.sort_by_key(|exchange| exchange.sent);
    let mut lost = 0;
    for exchange in &exchanges {
        let has_run = ran.contains(&exchange.id);
        let since = exchange.sent.saturating_duration_since(stopped);
        let is_lost = exchange.status.is_none() && has_run;
        let counts = is_lost && since > EXCUSED;
        lost += usize::from(counts);
        let mark = match (is_lost, counts) {
            (true, true) => ": LOST",
            (true, false) => ": cut, but excused",
            (false, _) => "",
        };
        case.note(&format!(
            "request {} sent at {} ms ({} ms after SIGTERM), ended at {} ms, whole answer: {:?}, reached a server: {has_run}{mark}",
            exchange.id,
            case.at(exchange.sent),
            since.as_millis(),
            case.at(exchange.ended),
            exchange.status
        ));
    }
    case.note(&format!(
        "{lost} requests that were sent later than 3 s after SIGTERM reached a server and got no whole answer"
    ));
    lost > 0
}
