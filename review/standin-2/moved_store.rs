//! The platform moves the store's address for some machines: it changes their settings files and sends SIGHUP.

use std::collections::BTreeMap;
use std::net::SocketAddr;
use std::path::Path;
use std::process::Child;
use std::sync::atomic::{AtomicBool, AtomicUsize, Ordering};
use std::sync::{Arc, Mutex};
use std::time::{Duration, Instant};

use crate::fleet::{Node, Record, free_port, start_child, wait_ready};
use crate::http::exchange;
use crate::store::Store;

const ENTRIES: usize = 6;
/// Entries that get SIGHUP: half of them.
const MOVED: usize = 3;
const STABILITY: Duration = Duration::from_millis(3_000);
/// How long the store answers at both addresses.
const OVERLAP: Duration = Duration::from_secs(5);
/// `config_apply_ms` and `max_skew_ms` together.
const APPLY: Duration = Duration::from_millis(7_000);

const BOUNDS: &str = "stability_window_ms = 3000\ngrace_s = 8\nretry_budget_ratio = 0.2\nbudget_extra_retries = 54\n\
budget_window_s = 10\nttl_max_s = 5\ndrain_ms = 2000\nconfig_apply_ms = 2000\nmax_skew_ms = 5000\nrollback_slack_ms = 250";
const LIMITS: &str =
    "cpu_share = 0.25\ncores = 1\nmemory_mb = 260\nfile_descriptors = 4100\nlink_mbps = 1000.0";

fn configuration(version: u64, service: &str) -> String {
    format!(
        r#"{{"version":{version},"routes":[
{{"name":"r-check","host":"desk.example","path_prefix":"/puxa403/","kind":"safe","timeout_ms":800,"target_latency_ms":300,"priority":2,"service":"{service}","max_attempts":2,"public":false}}],
"services":[{{"name":"old-app","health_path":"/health","max_connections":100,"protocol":"h1","tls":false}},{{"name":"new-app","health_path":"/health","max_connections":100,"protocol":"h1","tls":false}}],
"limits":{{"max_header_bytes":16384,"max_body_bytes":4194304,"header_timeout_ms":3000,"idle_timeout_ms":15000}}}}"#
    )
}

#[derive(Default)]
struct Seen {
    sent: BTreeMap<String, (Instant, usize)>,
    runs: Vec<(String, &'static str)>,
}

fn play(record: &Record, trouble: bool) -> std::io::Result<i32> {
    let store = Store::start()?;
    store.put("config", "main", &configuration(7, "old-app"));
    let seen: Arc<Mutex<Seen>> = Arc::default();
    let mut children: Vec<Child> = Vec::new();
    for (number, service) in ["old-app", "old-app", "new-app", "new-app"]
        .into_iter()
        .enumerate()
    {
        let (id, address) = (
            format!("i-{service}-{number}"),
            SocketAddr::from(([127, 0, 0, 1], free_port())),
        );
        let arguments = ["server", &id, &address.to_string(), "15", "nobody"].map(str::to_owned);
        let seen = Arc::clone(&seen);
        children.push(start_child(record, &arguments, move |line| {
            if let Some(request) = line
                .strip_prefix("run ")
                .and_then(|rest| rest.split(' ').next())
            {
                seen.lock()
                    .expect("what was seen")
                    .runs
                    .push((request.to_owned(), service));
            }
        })?);
        let specification = format!(
            "{{\"service\":\"{service}\",\"address\":\"{address}\",\"zone\":\"cheras\",\"version\":\"v1\",\"slots\":6,\"state\":\"ready\",\"cold_remaining_ms\":0,\"sequence\":1,\"born\":1700000000000}}"
        );
        store.put("servers", &id, &specification);
    }
    std::thread::sleep(Duration::from_millis(500));
    let mut nodes = Vec::new();
    let mut doors = Vec::new();
    for number in 0..ENTRIES {
        let door = store.door(Vec::new())?;
        nodes.push(Node::start(
            record,
            &format!("front-cheras-{number}"),
            "cheras",
            door.address,
            BOUNDS,
            LIMITS,
        )?);
        doors.push(door);
    }
    if !wait_ready(&nodes) {
        record.tell("the entries did not become ready");
        return Ok(2);
    }
    std::thread::sleep(STABILITY);
    record.line("traffic begins");
    let stop = Arc::new(AtomicBool::new(false));
    let count = Arc::new(AtomicUsize::new(0));
    let statuses: Arc<Mutex<BTreeMap<String, usize>>> = Arc::default();
    let mut clients = Vec::new();
    for (entry, node) in nodes.iter().enumerate() {
        let front = node.front;
        let (stop, count, statuses, seen) = (
            Arc::clone(&stop),
            Arc::clone(&count),
            Arc::clone(&statuses),
            Arc::clone(&seen),
        );
        let record = record.clone();
        clients.push(std::thread::spawn(move || {
            while !stop.load(Ordering::Relaxed) {
                let id = format!("q{}", count.fetch_add(1, Ordering::Relaxed));
                let request = format!("GET /puxa403/2f HTTP/1.1\r\nHost: desk.example\r\nX-Request-Id: {id}\r\nX-Deadline-Remaining-Ms: 1500\r\n\r\n");
                seen.lock().expect("what was seen").sent.insert(id.clone(), (Instant::now(), entry));
                let answered = exchange(front, request.as_bytes(), Duration::from_millis(1_600));
                let text = answered.map_or_else(|error| format!("{:?}", error.kind()), |answer| answer.status().to_string());
                record.line(&format!("request {id} to entry {entry} answered {text}"));
                *statuses.lock().expect("the answers").entry(text).or_default() += 1;
                std::thread::sleep(Duration::from_millis(100));
            }
        }));
    }
    std::thread::sleep(Duration::from_secs(2));
    for number in 0..MOVED {
        let after = if trouble {
            store.door(Vec::new())?.address
        } else {
            doors[number].address
        };
        nodes[number].reload_with_store(doors[number].address, after)?;
        record.line(&format!("entry {number}: the settings file names the store at {after} (before: {}), SIGHUP sent", doors[number].address));
    }
    std::thread::sleep(OVERLAP);
    if trouble {
        doors[..MOVED].iter().for_each(|door| door.cut(true));
        record.line("the store does not answer at the former addresses any more");
    }
    std::thread::sleep(STABILITY * 2);
    let acknowledged = Instant::now();
    store.put("config", "main", &configuration(8, "new-app"));
    record.line("version 8 is acknowledged: the route goes to new-app");
    std::thread::sleep(APPLY + Duration::from_secs(15));
    stop.store(true, Ordering::Relaxed);
    for client in clients {
        let _ = client.join();
    }
    let seen = seen.lock().expect("what was seen");
    for (id, service) in &seen.runs {
        record.line(&format!("request {id} was run by {service}"));
    }
    record.tell(&format!(
        "answers: {:?}",
        statuses.lock().expect("the answers")
    ));
    let is_late = |id: &String| {
        seen.sent
            .get(id)
            .is_some_and(|(sent, _)| *sent > acknowledged + APPLY)
    };
    let entry_of = |id: &String| seen.sent.get(id).map_or(ENTRIES, |(_, entry)| *entry);
    let late = seen.runs.iter().filter(|(id, _)| is_late(id));
    let old = late.clone().filter(|(_, service)| *service == "old-app");
    let (moved, others): (Vec<_>, Vec<_>) = old.partition(|(id, _)| entry_of(id) < MOVED);
    record.tell(&format!(
        "of {} requests that were sent later than 7 s after the acknowledgement and ran, old-app ran {} of the entries with new settings and {} of the others",
        late.count(),
        moved.len(),
        others.len()
    ));
    let is_broken = !moved.is_empty() || !others.is_empty();
    record.tell(if is_broken { "BROKEN: CONFIG" } else { "HELD" });
    drop(nodes);
    for mut child in children {
        let _ = child.kill();
        let _ = child.wait();
    }
    Ok(i32::from(is_broken))
}

/// Arguments: the record's path, the temporary folder. With `TROUBLE=0` SIGHUP comes without another address.
pub fn run(arguments: &[String]) -> i32 {
    let [record, folder] = arguments else {
        return 2;
    };
    let trouble = std::env::var("TROUBLE").as_deref() != Ok("0");
    let Ok(record) = Record::new(Path::new(record), Path::new(folder)) else {
        return 2;
    };
    play(&record, trouble).unwrap_or_else(|error| {
        record.tell(&format!("the case could not run: {error}"));
        2
    })
}
