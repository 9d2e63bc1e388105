//! An entry of another writer holds a byte that no JSON text may hold; then a server leaves.

use std::collections::BTreeMap;
use std::sync::atomic::{AtomicBool, Ordering};
use std::sync::Mutex;
use std::time::{Duration, Instant};

use crate::http::call;
use crate::node::{Node, Settings};
use crate::server::Server;
use crate::store::Store;
use crate::{booking, configuration, Case};

/// `drain_ms` of the site.
const DRAIN: Duration = Duration::from_millis(2_000);

/// Time that the leaving server goes on after that.
const LONGER: Duration = Duration::from_millis(3_000);

/// `recovery_s` of the site.
const RECOVERY: Duration = Duration::from_secs(12);

const LAST_REQUESTS: usize = 20;

const SETTINGS: Settings = Settings {
    grace_s: 8,
    memory_mb: 260,
};

pub fn run(case: &Case) -> bool {
    let store = Store::start();
    store.put("config", "main", &configuration(800));
    let work = Duration::from_millis(200);
    let mut servers: Vec<_> = (1..=3)
        .map(|number| Server::start(&format!("i-{number}"), work, 800))
        .collect();
    for server in &servers {
        store.put("servers", &server.name, &server.entry("desk", "ready"));
    }
    let mut nodes: Vec<Node> = ["front-shah-alam-1", "front-shah-alam-2"]
        .iter()
        .map(|name| Node::start(&case.folder, name, store.address, &SETTINGS))
        .collect();
    case.note("two entries are ready, three servers are listed as ready");
    let fronts: Vec<_> = nodes.iter().map(|node| node.front).collect();
    let answers: Mutex<BTreeMap<String, String>> = Mutex::default();
    let is_over = AtomicBool::new(false);
    let start = Instant::now();
    let mut acknowledged = start;
    std::thread::scope(|scope| {
        scope.spawn(|| {
            let mut number = 0;
            while !is_over.load(Ordering::SeqCst) {
                let front = fronts[number % fronts.len()];
                let (id, answers) = (format!("b{number:04}"), &answers);
                scope.spawn(move || {
                    let sent = booking(&id, 1_500, "close");
                    let answer = call(front, &sent, Duration::from_millis(1_500));
                    let text = answer.map_or("no answer".to_owned(), |answer| answer.status().to_string());
                    answers.lock().expect("answers").insert(id, text);
                });
                number += 1;
                std::thread::sleep(Duration::from_millis(30));
            }
        });
        let wait_until = |time: u64| {
            std::thread::sleep(Duration::from_millis(time).saturating_sub(start.elapsed()));
        };
        wait_until(4_000);
        let zone: &[u8] = match case.has_trouble {
            true => b"shah\x01alam",
            false => b"shah-alam",
        };
        let other = [
            &br#"{"service":"desk","address":"127.0.0.1:9","zone":""#[..],
            zone,
            br#"","version":"v1","slots":6,"state":"resting","sequence":0}"#,
        ];
        store.put("servers", "x-other", &other.concat());
        case.note("another writer puts an entry `x-other` into the store");
        wait_until(9_000);
        let fourth = Server::start("i-4", work, 800);
        store.put("servers", "i-4", &fourth.entry("desk", "ready"));
        servers.push(fourth);
        wait_until(10_000);
        store.put("servers", "i-1", &servers[0].entry("desk", "draining"));
        acknowledged = Instant::now();
        case.note("the store has accepted that i-1 is draining");
        std::thread::sleep(DRAIN + LONGER);
        store.delete("servers", "i-1");
        servers[0].end();
        case.note("i-1 has left");
        std::thread::sleep(Duration::from_secs(2));
        is_over.store(true, Ordering::SeqCst);
    });
    let served = serve_after_final_fault(case, &mut nodes);
    let answers = answers.into_inner().expect("answers");
    let mut late = 0;
    let mut cut = 0;
    for server in &servers {
        let during = server.runs().into_iter().filter(|run| run.id.starts_with('b'));
        for run in during {
            let since = run.arrived.saturating_duration_since(acknowledged);
            let is_late = server.name == "i-1" && since > DRAIN;
            late += usize::from(is_late);
            cut += usize::from(!run.is_answered);
            let answer = answers.get(&run.id).map_or("none", String::as_str);
            let at = case.at(run.arrived);
            let mark = if is_late {
                ", later than drain_ms after the acknowledgement"
            } else {
                ""
            };
            case.note(&format!(
                "request {} reached {} at {at} ms; answered whole by the server: {}; the client got {answer}{mark}",
                run.id, server.name, run.is_answered
            ));
        }
        case.note(&format!("{} got {} requests", server.name, server.runs().len()));
    }
    let mut counts: BTreeMap<&str, usize> = BTreeMap::new();
    for answer in answers.values() {
        *counts.entry(answer).or_default() += 1;
    }
    case.note(&format!("answers to clients: {counts:?}"));
    case.note(&format!(
        "{late} requests reached i-1 later than drain_ms after the acknowledgement; {cut} requests ran at a server that ended before its answer"
    ));
    case.note(&format!(
        "of {LAST_REQUESTS} requests sent later than recovery_s after all entries were killed and started again, {served} were served"
    ));
    late > 0
}

/// Kills all entries, starts them again and returns how many requests are served after `recovery_s`.
fn serve_after_final_fault(case: &Case, nodes: &mut [Node]) -> usize {
    for node in nodes.iter_mut() {
        node.kill();
    }
    std::thread::sleep(Duration::from_millis(1_100));
    for node in nodes.iter_mut() {
        node.spawn();
    }
    case.note("all entries were killed and have started again");
    std::thread::sleep(RECOVERY);
    let is_ready: Vec<bool> = nodes.iter().map(Node::is_ready).collect();
    case.note(&format!("ready: {is_ready:?}"));
    let mut served = 0;
    for number in 0..LAST_REQUESTS {
        let front = nodes[number % nodes.len()].front;
        let sent = booking(&format!("l{number:04}"), 1_500, "close");
        let answer = call(front, &sent, Duration::from_millis(1_500));
        served += usize::from(answer.is_some_and(|answer| answer.status() == 200));
    }
    served
}
