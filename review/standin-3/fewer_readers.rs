//! In a fleet of more than eight entries all entries that read the store exactly lose power at once; then a server leaves.

use std::collections::BTreeMap;
use std::net::SocketAddr;
use std::sync::atomic::{AtomicBool, Ordering};
use std::sync::Mutex;
use std::time::{Duration, Instant};

use crate::http::call;
use crate::node::{Node, Settings};
use crate::server::Server;
use crate::store::Store;
use crate::{booking, configuration, Case};

const ENTRIES: usize = 10;

/// Time for which the entries without power are down: that of the site's `node_kill` with power.
const DOWN: Duration = Duration::from_millis(3_500);

/// `drain_ms` of the site.
const DRAIN: Duration = Duration::from_millis(2_000);

/// Time from the acknowledgement to the end of the server, a little longer than `drain_ms`.
const STAY: Duration = Duration::from_millis(2_700);

/// Age of what a call with `serializable` returns: "data that is seconds old".
const STALE: Duration = Duration::from_millis(3_000);

const SETTINGS: Settings = Settings {
    grace_s: 8,
    memory_mb: 260,
};

pub fn run(case: &Case) -> bool {
    let store = Store::start();
    store.set_stale(STALE);
    store.put("config", "main", &configuration(800));
    let work = Duration::from_millis(200);
    let servers: Vec<_> = (1..=4)
        .map(|number| Server::start(&format!("i-{number}"), work, 800))
        .collect();
    for server in &servers {
        store.put("servers", &server.name, &server.entry("desk", "ready"));
    }
    // Each entry has an address of the store of its own, which tells how it reads.
    let mut nodes: Vec<(Node, SocketAddr)> = (1..=ENTRIES)
        .map(|number| {
            let address = store.listen();
            let name = format!("front-shah-alam-{number}");
            (Node::start(&case.folder, &name, address, &SETTINGS), address)
        })
        .collect();
    case.note(&format!(
        "{ENTRIES} entries are ready, four servers are listed as ready"
    ));
    std::thread::sleep(Duration::from_secs(8));
    store.forget_readers();
    std::thread::sleep(Duration::from_secs(5));
    let stale_readers = store.stale_readers();
    let (left, lost): (Vec<_>, Vec<_>) = nodes
        .drain(..)
        .partition(|(_, address)| stale_readers.contains(address));
    let names =
        |nodes: &[(Node, SocketAddr)]| -> Vec<String> { nodes.iter().map(|(node, _)| node.name.clone()).collect() };
    case.note(&format!("read the servers with `serializable`: {:?}", names(&left)));
    if left.is_empty() || lost.is_empty() {
        eprintln!("the entries do not divide into readers of the two kinds");
        std::process::exit(2);
    }
    let fronts: Vec<_> = left.iter().map(|(node, _)| node.front).collect();
    let answers: Mutex<BTreeMap<String, String>> = Mutex::default();
    let is_over = AtomicBool::new(false);
    let mut acknowledged = Instant::now();
    let mut lost = lost;
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
        std::thread::sleep(Duration::from_secs(4));
        if case.has_trouble {
            for (node, _) in &mut lost {
                node.kill();
            }
            case.note(&format!("without power: {:?}", names(&lost)));
        }
        let killed = Instant::now();
        std::thread::sleep(Duration::from_millis(200));
        store.put("servers", "i-1", &servers[0].entry("desk", "draining"));
        acknowledged = Instant::now();
        case.note("the store has accepted that i-1 is draining");
        std::thread::sleep(STAY);
        store.delete("servers", "i-1");
        servers[0].end();
        case.note("i-1 has left");
        std::thread::sleep(DOWN.saturating_sub(killed.elapsed()));
        if case.has_trouble {
            for (node, _) in &mut lost {
                node.spawn();
            }
            case.note("the others have started again");
        }
        std::thread::sleep(Duration::from_secs(2));
        is_over.store(true, Ordering::SeqCst);
    });
    let answers = answers.into_inner().expect("answers");
    let (mut late, mut cut) = (0, 0);
    for server in &servers {
        for run in server.runs() {
            let since = run.arrived.saturating_duration_since(acknowledged);
            let is_late = server.name == "i-1" && since > DRAIN;
            late += usize::from(is_late);
            cut += usize::from(is_late && !run.is_answered);
            let answer = answers.get(&run.id).map_or("none", String::as_str);
            let mark = if is_late { ": later than drain_ms" } else { "" };
            case.note(&format!(
                "request {} reached {} at {} ms, {} ms after the acknowledgement; answered whole by the server: {}; the client got {answer}{mark}",
                run.id,
                server.name,
                case.at(run.arrived),
                since.as_millis(),
                run.is_answered
            ));
        }
        case.note(&format!("{} got {} requests", server.name, server.runs().len()));
    }
    case.note(&format!(
        "{late} requests reached i-1 later than drain_ms after the acknowledgement, sent by entries that nothing had happened to; {cut} of them ran when i-1 left and their results are lost"
    ));
    late > 0
}
