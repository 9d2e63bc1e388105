//! An entry that reaches no server passes its clients' requests on through a peer that has an older configuration.

use std::collections::BTreeMap;
use std::net::SocketAddr;
use std::path::Path;
use std::process::Child;
use std::sync::atomic::{AtomicBool, AtomicUsize, Ordering};
use std::sync::{Arc, Mutex};
use std::time::{Duration, Instant};

use crate::fleet::{Node, Record, free_port, start_child, wait_ready};
use crate::http::exchange;
use crate::link::Link;
use crate::store::Store;

const ENTRIES: usize = 4;
/// The entry that loses the servers, and the one that loses the store.
const WITHOUT_SERVERS: usize = 0;
const WITHOUT_STORE: usize = 1;
/// How long each of them is cut off.
const CUT: Duration = Duration::from_millis(5_500);
const STABILITY: Duration = Duration::from_millis(3_000);
/// `rollback_slack_ms`.
const SLACK: Duration = Duration::from_millis(250);

const BOUNDS: &str = "stability_window_ms = 3000\ngrace_s = 8\nretry_budget_ratio = 0.2\nbudget_extra_retries = 52\n\
budget_window_s = 10\nttl_max_s = 5\ndrain_ms = 2000\nconfig_apply_ms = 2000\nrollback_slack_ms = 250";
const LIMITS: &str =
    "cpu_share = 0.25\ncores = 1\nmemory_mb = 110\nfile_descriptors = 4100\nlink_mbps = 1000.0";

/// The configuration; the route goes to one service, then to another.
fn configuration(version: u64, service: &str) -> String {
    format!(
        r#"{{"version":{version},"routes":[
{{"name":"r-check","host":"desk.example","path_prefix":"/puxa403/","kind":"safe","timeout_ms":600,"target_latency_ms":120,"priority":2,"service":"{service}","max_attempts":2,"public":false}}],
"services":[{{"name":"old-app","health_path":"/health","max_connections":96,"protocol":"h1","tls":false}},{{"name":"new-app","health_path":"/health","max_connections":96,"protocol":"h1","tls":false}}],
"limits":{{"max_header_bytes":16384,"max_body_bytes":4194304,"header_timeout_ms":3000,"idle_timeout_ms":15000}}}}"#
    )
}

#[derive(Default)]
struct Seen {
    /// When each request was sent, and to which entry.
    sent: BTreeMap<String, (Instant, usize)>,
    /// Which service ran each request, and when.
    runs: Vec<(String, &'static str, Instant)>,
}

fn play(record: &Record, trouble: (bool, bool)) -> std::io::Result<i32> {
    let store = Store::start()?;
    store.put("config", "main", &configuration(7, "old-app"));
    let seen: Arc<Mutex<Seen>> = Arc::default();
    let mut servers: Vec<(String, SocketAddr)> = Vec::new();
    let mut children: Vec<Child> = Vec::new();
    for (number, service) in [
        "old-app", "old-app", "old-app", "new-app", "new-app", "new-app",
    ]
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
                seen.lock().expect("what was seen").runs.push((
                    request.to_owned(),
                    service,
                    Instant::now(),
                ));
            }
        })?);
        let specification = format!(
            "{{\"service\":\"{service}\",\"address\":\"{address}\",\"zone\":\"duluth\",\"version\":\"v1\",\"slots\":6,\"state\":\"ready\",\"cold_remaining_ms\":0,\"sequence\":1,\"born\":1700000000000}}"
        );
        store.put("servers", &id, &specification);
        servers.push((id, address));
    }
    std::thread::sleep(Duration::from_millis(500));
    let (mut nodes, mut doors, mut links) = (Vec::new(), Vec::new(), Vec::new());
    for number in 0..ENTRIES {
        let mut pairs = Vec::new();
        if number == WITHOUT_SERVERS {
            for (_, address) in &servers {
                let link = Link::open(*address)?;
                pairs.push((link.address.to_string(), address.to_string()));
                links.push(link);
            }
        }
        let door = store.door(pairs)?;
        nodes.push(Node::start(
            record,
            &format!("front-duluth-{number}"),
            "duluth",
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
    for client in 0..6_usize {
        // Four clients use the entry that loses the servers, the others one that loses nothing.
        let entry = if client < 4 { WITHOUT_SERVERS } else { 2 };
        let front = nodes[entry].front;
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
                let request = format!("GET /puxa403/2f HTTP/1.1\r\nHost: desk.example\r\nX-Request-Id: {id}\r\nX-Deadline-Remaining-Ms: 600\r\n\r\n");
                seen.lock().expect("what was seen").sent.insert(id.clone(), (Instant::now(), entry));
                let answered = exchange(front, request.as_bytes(), Duration::from_millis(700));
                let text = answered.map_or_else(|error| format!("{:?}", error.kind()), |answer| answer.status().to_string());
                record.line(&format!("request {id} to entry {entry} answered {text}"));
                *statuses.lock().expect("the answers").entry(format!("entry {entry}, {text}")).or_default() += 1;
                std::thread::sleep(Duration::from_millis(40));
            }
        }));
    }
    std::thread::sleep(Duration::from_secs(2));
    let store_cut = Instant::now();
    if trouble.1 {
        doors[WITHOUT_STORE].cut(true);
        record.line(&format!(
            "entry {WITHOUT_STORE} is partitioned from the store"
        ));
    }
    std::thread::sleep(Duration::from_millis(500));
    store.put("config", "main", &configuration(8, "new-app"));
    record.line("version 8 is acknowledged: the route goes to new-app");
    std::thread::sleep(Duration::from_millis(700));
    let server_cut = Instant::now();
    if trouble.0 {
        links.iter().for_each(|link| link.cut(true));
        record.line(&format!(
            "entry {WITHOUT_SERVERS} is cut off from the servers"
        ));
    }
    std::thread::sleep(CUT.saturating_sub(store_cut.elapsed()));
    doors[WITHOUT_STORE].cut(false);
    record.line("the first cut has ended");
    std::thread::sleep(CUT.saturating_sub(server_cut.elapsed()));
    links.iter().for_each(|link| link.cut(false));
    record.line("the second cut has ended");
    std::thread::sleep(Duration::from_secs(4));
    stop.store(true, Ordering::Relaxed);
    for client in clients {
        let _ = client.join();
    }
    let seen = seen.lock().expect("what was seen");
    for (id, service, at) in &seen.runs {
        record.line(&format!(
            "request {id} was run by {service} at {:.3}",
            at.duration_since(record.began).as_secs_f64()
        ));
    }
    for (what, number) in statuses.lock().expect("the answers").iter() {
        record.tell(&format!("{what}: {number}"));
    }
    let entry_of = |id: &String| seen.sent.get(id).map(|(_, entry)| *entry);
    let first_effect = seen
        .runs
        .iter()
        .find(|(id, service, _)| *service == "new-app" && entry_of(id) == Some(WITHOUT_SERVERS));
    let Some((_, _, effect_at)) = first_effect else {
        record.tell("no server saw the effect of version 8 over the entry: the case says nothing");
        return Ok(2);
    };
    let is_regress = |(id, service, _): &&(String, &'static str, Instant)| {
        let sent = seen.sent.get(id);
        *service == "old-app"
            && sent.is_some_and(|(sent, entry)| {
                *entry == WITHOUT_SERVERS && *sent > *effect_at + SLACK
            })
    };
    let regressed = seen.runs.iter().filter(is_regress).count();
    let later = seen
        .sent
        .values()
        .filter(|(sent, entry)| *entry == WITHOUT_SERVERS && *sent > *effect_at + SLACK)
        .count();
    record.tell(&format!(
        "of {later} requests sent to entry {WITHOUT_SERVERS} later than 250 ms after new-app saw version 8 over it, old-app ran {regressed}"
    ));
    drop(nodes);
    for mut child in children {
        let _ = child.kill();
        let _ = child.wait();
    }
    record.tell(if regressed > 0 {
        "BROKEN: CONFIG"
    } else {
        "HELD"
    });
    Ok(i32::from(regressed > 0))
}

/// Arguments: the record's path, the temporary folder. `TROUBLE=0` leaves out both cuts, `TROUBLE=servers` and
/// `TROUBLE=store` all but one.
pub fn run(arguments: &[String]) -> i32 {
    let [record, folder] = arguments else {
        return 2;
    };
    let trouble = match std::env::var("TROUBLE").as_deref() {
        Ok("0") => (false, false),
        Ok("servers") => (true, false),
        Ok("store") => (false, true),
        _ => (true, true),
    };
    let Ok(record) = Record::new(Path::new(record), Path::new(folder)) else {
        return 2;
    };
    play(&record, trouble).unwrap_or_else(|error| {
        record.tell(&format!("the case could not run: {error}"));
        2
    })
}
