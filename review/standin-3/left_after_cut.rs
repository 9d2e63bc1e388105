//! An entry is cut off from the store; just after the link has healed, the entry of a server is removed.

use std::collections::BTreeMap;
use std::sync::atomic::{AtomicBool, Ordering};
use std::sync::Mutex;
use std::time::{Duration, Instant};

use crate::http::call;
use crate::link::Link;
use crate::node::{Node, Settings};
use crate::server::Server;
use crate::store::Store;
use crate::{booking, configuration, Case};

/// `drain_ms` of the site.
const DRAIN: Duration = Duration::from_millis(2_000);

/// `stability_window_ms` of the site: time after the end of the cut from which the entry is in touch.
const WINDOW: Duration = Duration::from_millis(3_000);

/// Time from the acknowledgement to the end of the server, a little longer than `drain_ms`.
const STAY: Duration = Duration::from_millis(3_000);

const SETTINGS: Settings = Settings {
    grace_s: 8,
    memory_mb: 260,
};

pub fn run(case: &Case) -> bool {
    let store = Store::start();
    store.put("config", "main", &configuration(800));
    let link = Link::start(store.address);
    let work = Duration::from_millis(200);
    let mut servers: Vec<_> = (1..=3)
        .map(|number| Server::start(&format!("i-{number}"), work, 800))
        .collect();
    for server in &servers {
        store.put("servers", &server.name, &server.entry("desk", "ready"));
    }
    let cut_off = Node::start(&case.folder, "front-shah-alam-1", link.address, &SETTINGS);
    let _other = Node::start(&case.folder, "front-shah-alam-2", store.address, &SETTINGS);
    case.note("two entries are ready, three servers are listed as ready");
    let front = cut_off.front;
    let answers: Mutex<BTreeMap<String, String>> = Mutex::default();
    let is_over = AtomicBool::new(false);
    let start = Instant::now();
    let (mut healed, mut acknowledged) = (start, start);
    std::thread::scope(|scope| {
        scope.spawn(|| {
            let mut number = 0;
            while !is_over.load(Ordering::SeqCst) {
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
            link.cut();
            case.note("the first entry is cut off from the store");
        }
        let cut = Instant::now();
        std::thread::sleep(Duration::from_millis(5_500));
        // Heals just after a call has begun, if one begins in time: that call gets no answer.
        while case.has_trouble
            && link.last_opened().elapsed() > Duration::from_millis(20)
            && cut.elapsed() < Duration::from_millis(7_500)
        {
            std::thread::sleep(Duration::from_millis(2));
        }
        link.heal();
        healed = Instant::now();
        case.note(&format!(
            "the link to the store works again, after {} ms",
            cut.elapsed().as_millis()
        ));
        let fourth = Server::start("i-4", work, 800);
        store.put("servers", "i-4", &fourth.entry("desk", "ready"));
        servers.push(fourth);
        std::thread::sleep(Duration::from_millis(400));
        store.delete("servers", "i-1");
        acknowledged = Instant::now();
        case.note("the store has removed the entry of i-1");
        std::thread::sleep(STAY);
        servers[0].end();
        case.note("i-1 has left");
        std::thread::sleep(Duration::from_secs(2));
        is_over.store(true, Ordering::SeqCst);
    });
    let answers = answers.into_inner().expect("answers");
    let (mut late, mut lost) = (0, 0);
    for server in &servers {
        for run in server.runs() {
            let since = run.arrived.saturating_duration_since(acknowledged);
            let is_in_touch = run.arrived.saturating_duration_since(healed) > WINDOW;
            let is_late = server.name == "i-1" && since > DRAIN && is_in_touch;
            late += usize::from(is_late);
            lost += usize::from(is_late && !run.is_answered);
            let answer = answers.get(&run.id).map_or("none", String::as_str);
            let mark = if is_late { ": later than drain_ms, in touch" } else { "" };
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
        "{late} requests reached i-1 later than drain_ms after the acknowledgement, sent by an entry in touch; {lost} of them ran when i-1 left and their results are lost"
    ));
    late > 0
}
