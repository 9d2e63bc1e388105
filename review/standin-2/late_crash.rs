//! A prompt crashes each model engine that runs it, some events after its first one.

use std::collections::{BTreeMap, BTreeSet};
use std::io::Write;
use std::net::{SocketAddr, TcpStream};
use std::path::Path;
use std::process::Child;
use std::sync::atomic::{AtomicBool, AtomicU64, Ordering};
use std::sync::{Arc, Mutex};
use std::time::{Duration, Instant};

use crate::fleet::{Node, Record, free_port, start_child, wait_ready};
use crate::http::Connection;
use crate::store::Store;

const ENTRIES: usize = 4;
const STAGES: [&str; 7] = [
    "prefill", "prefill", "decode", "decode", "decode", "decode", "decode",
];
const LENGTH: Duration = Duration::from_secs(60);
const BACK_AFTER: Duration = Duration::from_secs(3);
const AGAIN_AFTER: Duration = Duration::from_secs(5);
const STABILITY: Duration = Duration::from_millis(3_000);
const MOST_RETRIES: usize = 3;

/// Events of a stream, and the pause between two.
const EVENTS: &str = "40";
const GAP_MS: &str = "30";

const BOUNDS: &str = "stability_window_ms = 3000\ngrace_s = 8\nretry_budget_ratio = 0.2\nbudget_extra_retries = 52\n\
budget_window_s = 10\nttl_max_s = 5\ndrain_ms = 2000\nconfig_apply_ms = 2000";
const LIMITS: &str =
    "cpu_share = 0.25\ncores = 1\nmemory_mb = 110\nfile_descriptors = 4100\nlink_mbps = 1000.0";

const CONFIGURATION: &str = r#"{"version":7,"routes":[
{"name":"r-notes","host":"counter.example","path_prefix":"/lohu930/","kind":"streaming","timeout_ms":14000,"target_latency_ms":2000,"priority":0,"service":"care","max_attempts":1,"public":false,"sticky_sessions":true,"resumable":false,"gap_target_ms":300}],
"services":[{"name":"care","health_path":"/health","max_connections":200,"protocol":"h1","tls":false,"engine":{"slots":24,"kv_cache_tokens":71867,"kv_token_bytes":327680,"link_mbps":11000000.0,"moves":true,"backups":true,"stride":1,"most":12,"handle_ttl_s":4.0,"stage_switch_s":6.0,"pin_ms":4000.0,"hold_ms":2000.0,"models":[{"name":"m"}]}}],
"limits":{"max_header_bytes":16384,"max_body_bytes":4194304,"header_timeout_ms":3000,"idle_timeout_ms":15000}}"#;

#[derive(Default)]
struct Seen {
    harmful: Vec<(Instant, String)>,
    crashes: Vec<Instant>,
}

struct Slot {
    id: String,
    stage: &'static str,
    address: String,
    child: Mutex<Option<Child>>,
}

struct Case {
    record: Record,
    store: Store,
    slots: Vec<Slot>,
    seen: Mutex<Seen>,
    crash_after: &'static str,
    starts: AtomicU64,
    stop: AtomicBool,
    outcomes: Mutex<BTreeMap<String, usize>>,
}

impl Case {
    fn start_engine(self: &Arc<Self>, slot: usize) -> std::io::Result<()> {
        let number = self.starts.fetch_add(1, Ordering::Relaxed);
        let known = &self.slots[slot];
        let id = format!("{}-{number}", known.id);
        let case = Arc::clone(self);
        let own = id.clone();
        let arguments = [
            "engine",
            &id,
            &known.address,
            known.stage,
            EVENTS,
            GAP_MS,
            self.crash_after,
        ];
        let child = start_child(&self.record, &arguments.map(str::to_owned), move |line| {
            case.hear(slot, &own, line)
        })?;
        *known.child.lock().expect("the slot") = Some(child);
        Ok(())
    }

    fn hear(self: &Arc<Self>, slot: usize, id: &str, line: &str) {
        let now = Instant::now();
        let words: Vec<&str> = line.split(' ').collect();
        match words.as_slice() {
            ["listening"] => {
                let Slot { stage, address, .. } = &self.slots[slot];
                let born = std::time::SystemTime::now()
                    .duration_since(std::time::UNIX_EPOCH)
                    .unwrap_or_default();
                let specification = format!(
                    "{{\"service\":\"care\",\"address\":\"{address}\",\"zone\":\"duluth\",\"version\":\"v1\",\"slots\":24,\"state\":\"ready\",\"cold_remaining_ms\":0,\"stage\":\"{stage}\",\"models\":[{{\"name\":\"m\",\"version\":1,\"adapters\":[]}}],\"sequence\":1,\"born\":{}}}",
                    born.as_millis()
                );
                self.store.put("servers", id, &specification);
                self.record.line(&format!(
                    "engine {id} ({stage}) listens at {address} and registers"
                ));
            }
            ["run", request, "harmful", _] => {
                self.seen
                    .lock()
                    .expect("what was seen")
                    .harmful
                    .push((now, (*request).to_owned()));
                self.record
                    .line(&format!("engine {id} runs the harmful request {request}"));
            }
            ["crash", request, event] => {
                self.seen.lock().expect("what was seen").crashes.push(now);
                self.record.line(&format!(
                    "engine {id} crashes at event {event} of {request}"
                ));
                let case = Arc::clone(self);
                let id = id.to_owned();
                std::thread::spawn(move || {
                    if let Some(mut child) = case.slots[slot].child.lock().expect("the slot").take()
                    {
                        let _ = child.wait();
                    }
                    std::thread::sleep(BACK_AFTER);
                    if !case.stop.load(Ordering::Relaxed) {
                        case.store.delete("servers", &id);
                        let _ = case.start_engine(slot);
                    }
                });
            }
            _ => {}
        }
    }

    fn count(&self, what: String) {
        *self
            .outcomes
            .lock()
            .expect("the outcomes")
            .entry(what)
            .or_default() += 1;
    }
}

/// Sends a stream request and reads its answer to the end. Returns what became of it.
fn stream(front: SocketAddr, id: &str, body: &str) -> String {
    let request = format!(
        "POST /lohu930/2f HTTP/1.1\r\nHost: counter.example\r\nX-Request-Id: {id}\r\nX-Model: m\r\nX-Token-Counts: 100,40\r\n\
         X-Prompt-Prefix: 5c1e07a2:60,{id}:40\r\nX-Deadline-Remaining-Ms: 14000\r\nContent-Length: {}\r\n\r\n{body}",
        body.len()
    );
    let read = || -> std::io::Result<(u16, usize)> {
        let stream = TcpStream::connect_timeout(&front, Duration::from_secs(1))?;
        stream.set_read_timeout(Some(Duration::from_secs(15)))?;
        let mut connection = Connection::new(stream);
        connection.stream.write_all(request.as_bytes())?;
        let head = connection
            .head()?
            .ok_or(std::io::ErrorKind::UnexpectedEof)?;
        let mut events = 0;
        connection.body(&head, |part| {
            events += part.windows(2).filter(|bytes| bytes == b"\n\n").count()
        })?;
        Ok((head.status(), events))
    };
    match read() {
        Ok((200, 40)) => "200, complete".to_owned(),
        Ok((200, events)) => format!("200, {events} events"),
        Ok((status, _)) => status.to_string(),
        Err(_) => "broken off".to_owned(),
    }
}

fn wait(case: &Case, pause: Duration) -> bool {
    std::thread::sleep(pause);
    !case.stop.load(Ordering::Relaxed)
}

fn play(record: &Record, crash_after: &'static str) -> std::io::Result<i32> {
    let store = Store::start()?;
    store.put("config", "main", CONFIGURATION);
    let slots = STAGES.iter().enumerate().map(|(number, stage)| Slot {
        id: format!("i-care{number}"),
        stage,
        address: format!("127.0.0.1:{}", free_port()),
        child: Mutex::default(),
    });
    let case = Arc::new(Case {
        record: record.clone(),
        store: store.clone(),
        slots: slots.collect(),
        seen: Mutex::default(),
        crash_after,
        starts: AtomicU64::new(0),
        stop: AtomicBool::new(false),
        outcomes: Mutex::default(),
    });
    for slot in 0..STAGES.len() {
        case.start_engine(slot)?;
    }
    std::thread::sleep(Duration::from_millis(500));
    let mut nodes = Vec::new();
    for number in 0..ENTRIES {
        nodes.push(Node::start(
            record,
            &format!("front-duluth-{number}"),
            "duluth",
            store.address,
            BOUNDS,
            LIMITS,
        )?);
    }
    if !wait_ready(&nodes) {
        record.tell("the entries did not become ready");
        return Ok(2);
    }
    std::thread::sleep(STABILITY);
    record.line("traffic begins");
    let fronts: Vec<_> = nodes.iter().map(|node| node.front).collect();
    let mut clients = Vec::new();
    for number in 0..8_usize {
        let (case, fronts) = (Arc::clone(&case), fronts.clone());
        clients.push(std::thread::spawn(move || {
            let mut count = 0;
            while wait(&case, Duration::from_millis(150)) {
                count += 1;
                let id = format!("a{number:x}{count:06x}");
                let outcome = stream(
                    fronts[(number + count) % fronts.len()],
                    &id,
                    &format!("sound prompt {id}"),
                );
                if outcome != "200, complete" {
                    case.record.line(&format!("sound request {id}: {outcome}"));
                }
                case.count(format!("sound, {outcome}"));
            }
        }));
    }
    {
        let (case, fronts) = (Arc::clone(&case), fronts.clone());
        clients.push(std::thread::spawn(move || {
            let mut count = 0;
            while wait(&case, AGAIN_AFTER) {
                count += 1;
                let id = format!("bad{count:05x}");
                let outcome = stream(
                    fronts[count % fronts.len()],
                    &id,
                    "harmful prompt of one caller",
                );
                case.record
                    .line(&format!("harmful request {id}: {outcome}"));
                case.count(format!("harmful, {outcome}"));
            }
        }));
    }
    std::thread::sleep(LENGTH);
    case.stop.store(true, Ordering::Relaxed);
    for client in clients {
        let _ = client.join();
    }
    for (outcome, count) in case.outcomes.lock().expect("the outcomes").iter() {
        record.tell(&format!("{outcome}: {count}"));
    }
    let seen = case.seen.lock().expect("what was seen");
    record.tell(&format!(
        "the harmful request ran {} times and crashed {} engines",
        seen.harmful.len(),
        seen.crashes.len()
    ));
    let served = case
        .outcomes
        .lock()
        .expect("the outcomes")
        .get("sound, 200, complete")
        .copied()
        .unwrap_or(0);
    if served < 100 {
        record.tell("too few sound streams were served: the case says nothing");
        return Ok(2);
    }
    let Some(third) = seen.crashes.get(2) else {
        record.tell("HELD: fewer than three crashes");
        return Ok(0);
    };
    let late = seen
        .harmful
        .iter()
        .filter(|(at, _)| *at > *third + STABILITY);
    let late: BTreeSet<&str> = late.map(|(_, id)| id.as_str()).collect();
    record.tell(&format!("from 3 s after the third crash on it reached engines in {} attempts; {MOST_RETRIES} are allowed", late.len()));
    let broken = late.len() > MOST_RETRIES;
    record.tell(if broken { "BROKEN: BUDGET" } else { "HELD" });
    Ok(i32::from(broken))
}

/// Arguments: the record's path, the temporary folder. `TROUBLE=0` leaves out the crashes; `EARLY=1` moves them to the
/// first event, which shows the cause.
pub fn run(arguments: &[String]) -> i32 {
    let [record, folder] = arguments else {
        return 2;
    };
    let is_set = |name: &str, value: &str| std::env::var(name).as_deref() == Ok(value);
    let crash_after = match (is_set("TROUBLE", "0"), is_set("EARLY", "1")) {
        (true, _) => "-",
        (false, true) => "1",
        (false, false) => "10",
    };
    let Ok(record) = Record::new(Path::new(record), Path::new(folder)) else {
        return 2;
    };
    play(&record, crash_after).unwrap_or_else(|error| {
        record.tell(&format!("the case could not run: {error}"));
        2
    })
}
