//! One tenant's read crashes each server that begins to run it; other tenants read the same path.

use std::collections::{BTreeMap, BTreeSet};
use std::path::Path;
use std::process::Child;
use std::sync::atomic::{AtomicBool, AtomicU64, Ordering};
use std::sync::{Arc, Mutex};
use std::time::{Duration, Instant};

use crate::fleet::{Node, Record, free_port, start_child, wait_ready};
use crate::http::exchange;
use crate::store::Store;

const ENTRIES: usize = 4;
const SERVERS: usize = 4;
/// How long the case plays.
const LENGTH: Duration = Duration::from_secs(60);
/// A server is back some seconds after a crash.
const BACK_AFTER: Duration = Duration::from_secs(3);
/// The harmful request comes again after this time.
const AGAIN_AFTER: Duration = Duration::from_secs(5);
/// `stability_window_ms` of the settings.
const STABILITY: Duration = Duration::from_millis(3_000);
/// More retries than this break the rule.
const MOST_RETRIES: usize = 3;

const BOUNDS: &str = "stability_window_ms = 3000\ngrace_s = 8\nretry_budget_ratio = 0.2\nbudget_extra_retries = 52\n\
budget_window_s = 10\nttl_max_s = 5\ndrain_ms = 2000\nconfig_apply_ms = 2000\nrevoke_fail_closed = true\nrevoke_ms = 5000";
const LIMITS: &str =
    "cpu_share = 0.25\ncores = 1\nmemory_mb = 110\nfile_descriptors = 4100\nlink_mbps = 1000.0";

const CONFIGURATION: &str = r#"{"version":7,"routes":[
{"name":"r-read","host":"counter.example","path_prefix":"/puxa403/","kind":"safe","timeout_ms":3000,"target_latency_ms":300,"priority":2,"service":"desk","max_attempts":2,"public":false},
{"name":"r-charge","host":"counter.example","path_prefix":"/pule252/","kind":"unsafe","timeout_ms":3000,"target_latency_ms":300,"priority":2,"service":"desk","max_attempts":1,"public":false}],
"services":[{"name":"desk","health_path":"/health","max_connections":96,"protocol":"h1","tls":false}],
"limits":{"max_header_bytes":16384,"max_body_bytes":4194304,"header_timeout_ms":3000,"idle_timeout_ms":15000},
"tenants":[{"name":"acme","api_keys":["key-of-acme-7f3a91c2"],"priority":1},{"name":"birch","api_keys":["key-of-birch-02d9e6b4"],"priority":1},{"name":"cedar","api_keys":["key-of-cedar-5c1e07a2"],"priority":1}]}"#;

/// What the servers have said.
#[derive(Default)]
struct Seen {
    /// When the harmful request reached a server, with its id and the server's.
    harmful: Vec<(Instant, String, String)>,
    crashes: Vec<Instant>,
    /// Runs by request id.
    runs: BTreeMap<String, usize>,
}

struct Slot {
    id: String,
    address: String,
    child: Mutex<Option<Child>>,
}

struct Case {
    record: Record,
    store: Store,
    slots: Vec<Slot>,
    seen: Mutex<Seen>,
    crashed_by: &'static str,
    sound_path: &'static str,
    starts: AtomicU64,
    stop: AtomicBool,
}

impl Case {
    /// Starts a server under an id of its own and registers it. Its end by a crash is followed by a start after some seconds.
    fn start_server(self: &Arc<Self>, slot: usize) -> std::io::Result<()> {
        let number = self.starts.fetch_add(1, Ordering::Relaxed);
        let known = &self.slots[slot];
        let id = format!("{}-{number}", known.id);
        let case = Arc::clone(self);
        let (own, address) = (id.clone(), known.address.clone());
        let arguments = ["server", &id, &known.address, "15", self.crashed_by].map(str::to_owned);
        let child = start_child(&self.record, &arguments, move |line| {
            case.hear(slot, &own, &address, line)
        })?;
        *known.child.lock().expect("the slot") = Some(child);
        Ok(())
    }

    fn register(&self, id: &str, address: &str, sequence: u64) {
        let born = std::time::SystemTime::now()
            .duration_since(std::time::UNIX_EPOCH)
            .unwrap_or_default()
            .as_millis();
        let specification = format!(
            "{{\"service\":\"desk\",\"address\":\"{address}\",\"zone\":\"duluth\",\"version\":\"v1\",\"slots\":6,\"state\":\"ready\",\"cold_remaining_ms\":0,\"sequence\":{sequence},\"born\":{born}}}"
        );
        self.store.put("servers", id, &specification);
    }

    fn hear(self: &Arc<Self>, slot: usize, id: &str, address: &str, line: &str) {
        let now = Instant::now();
        let words: Vec<&str> = line.split(' ').collect();
        match words.as_slice() {
            ["listening"] => {
                self.register(id, address, 1);
                self.record
                    .line(&format!("server {id} listens at {address} and registers"));
            }
            ["run", request, tenant, method, target] => {
                let mut seen = self.seen.lock().expect("what was seen");
                *seen.runs.entry((*request).to_owned()).or_default() += 1;
                if *tenant == "acme" && *method == "GET" {
                    seen.harmful
                        .push((now, (*request).to_owned(), id.to_owned()));
                    drop(seen);
                    self.record.line(&format!(
                        "server {id} runs {request} of {tenant}: {method} {target}"
                    ));
                }
            }
            ["crash", request] => {
                self.seen.lock().expect("what was seen").crashes.push(now);
                self.record
                    .line(&format!("server {id} crashes while it runs {request}"));
                let case = Arc::clone(self);
                let id = id.to_owned();
                std::thread::spawn(move || {
                    if let Some(mut child) = case.slots[slot].child.lock().expect("the slot").take()
                    {
                        let _ = child.wait();
                    }
                    std::thread::sleep(BACK_AFTER);
                    if case.stop.load(Ordering::Relaxed) {
                        return;
                    }
                    // Its entry has expired by the time at which the next start registers.
                    case.store.delete("servers", &id);
                    let _ = case.start_server(slot);
                });
            }
            _ => {}
        }
    }
}

fn request(method: &str, path: &str, id: &str, key: &str, body: &str) -> Vec<u8> {
    format!(
        "{method} {path} HTTP/1.1\r\nHost: counter.example\r\nX-Request-Id: {id}\r\nX-Deadline-Remaining-Ms: 3000\r\n\
         Authorization: Bearer {key}\r\nContent-Length: {}\r\n\r\n{body}",
        body.len()
    )
    .into_bytes()
}

/// What became of a client's requests.
#[derive(Default)]
struct Outcomes {
    by_status: Mutex<BTreeMap<String, usize>>,
}

impl Outcomes {
    fn add(&self, what: &str) {
        *self
            .by_status
            .lock()
            .expect("the outcomes")
            .entry(what.to_owned())
            .or_default() += 1;
    }

    fn text(&self) -> String {
        let counts = self.by_status.lock().expect("the outcomes");
        let counts: Vec<String> = counts
            .iter()
            .map(|(status, count)| format!("{status}: {count}"))
            .collect();
        counts.join(", ")
    }
}

/// Sends a request and returns what was answered.
fn send(
    case: &Case,
    front: std::net::SocketAddr,
    bytes: &[u8],
    id: &str,
    what: &str,
    outcomes: &Outcomes,
) -> u16 {
    let answered = exchange(front, bytes, Duration::from_millis(3_200));
    let (text, status) = match &answered {
        Ok(answer) => (answer.status().to_string(), answer.status()),
        Err(error) => (format!("{:?}", error.kind()), 0),
    };
    outcomes.add(&text);
    if status != 200 || what == "harmful" {
        case.record
            .line(&format!("{what} request {id} answered {text}"));
    }
    status
}

fn wait(case: &Case, pause: Duration) -> bool {
    std::thread::sleep(pause);
    !case.stop.load(Ordering::Relaxed)
}

/// Sends sound requests of two tenants, one after the other, to all entries in turn.
fn sound_client(
    case: Arc<Case>,
    fronts: Vec<std::net::SocketAddr>,
    number: usize,
    outcomes: Arc<[Outcomes; 3]>,
) {
    let (_, key) = [
        ("birch", "key-of-birch-02d9e6b4"),
        ("cedar", "key-of-cedar-5c1e07a2"),
    ][number % 2];
    let mut count = 0_usize;
    while wait(&case, Duration::from_millis(100)) {
        count += 1;
        let front = fronts[(count + number) % fronts.len()];
        let id = format!("s{number}-{count}");
        // Two charges for each read.
        if count % 3 == 0 {
            let bytes = request("GET", case.sound_path, &id, key, "");
            send(&case, front, &bytes, &id, "read", &outcomes[0]);
        } else {
            let body = format!("{{\"ticket\":\"{id}\",\"cents\":450}}");
            let bytes = request("POST", "/pule252/2f", &id, key, &body);
            send(&case, front, &bytes, &id, "charge", &outcomes[1]);
        }
    }
}

/// Sends the harmful request again and again, each time with one retry, as the client of a safe request does.
fn harmful_client(
    case: Arc<Case>,
    fronts: Vec<std::net::SocketAddr>,
    outcomes: Arc<[Outcomes; 3]>,
) {
    let mut count = 0_usize;
    while wait(&case, AGAIN_AFTER) {
        for _ in 0..2 {
            count += 1;
            let id = format!("h{count}");
            let bytes = request("GET", "/puxa403/2f", &id, "key-of-acme-7f3a91c2", "");
            if send(
                &case,
                fronts[count % fronts.len()],
                &bytes,
                &id,
                "harmful",
                &outcomes[2],
            ) == 200
            {
                break;
            }
            std::thread::sleep(Duration::from_millis(300));
        }
    }
}

fn play(record: &Record, trouble: bool, apart: bool) -> std::io::Result<i32> {
    let store = Store::start()?;
    store.put("config", "main", CONFIGURATION);
    let slots = (0..SERVERS).map(|slot| Slot {
        id: format!("i-desk{slot}"),
        address: format!("127.0.0.1:{}", free_port()),
        child: Mutex::default(),
    });
    let case = Arc::new(Case {
        record: record.clone(),
        store: store.clone(),
        slots: slots.collect(),
        seen: Mutex::default(),
        crashed_by: if trouble { "acme" } else { "nobody" },
        sound_path: if apart { "/puxa403/3e" } else { "/puxa403/2f" },
        starts: AtomicU64::new(0),
        stop: AtomicBool::new(false),
    });
    for slot in 0..SERVERS {
        case.start_server(slot)?;
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
    let outcomes = Arc::new([
        Outcomes::default(),
        Outcomes::default(),
        Outcomes::default(),
    ]);
    let mut clients = Vec::new();
    for number in 0..8 {
        let (case, fronts, outcomes) = (Arc::clone(&case), fronts.clone(), Arc::clone(&outcomes));
        clients.push(std::thread::spawn(move || {
            sound_client(case, fronts, number, outcomes)
        }));
    }
    {
        let (case, fronts, outcomes) = (Arc::clone(&case), fronts.clone(), Arc::clone(&outcomes));
        clients.push(std::thread::spawn(move || {
            harmful_client(case, fronts, outcomes)
        }));
    }
    std::thread::sleep(LENGTH);
    case.stop.store(true, Ordering::Relaxed);
    for client in clients {
        let _ = client.join();
    }
    let seen = case.seen.lock().expect("what was seen");
    record.tell(&format!(
        "reads of the other tenants: {}",
        outcomes[0].text()
    ));
    record.tell(&format!(
        "charges of the other tenants: {}",
        outcomes[1].text()
    ));
    record.tell(&format!("the harmful read: {}", outcomes[2].text()));
    record.tell(&format!(
        "the harmful read reached servers {} times and crashed {}",
        seen.harmful.len(),
        seen.crashes.len()
    ));
    let served = outcomes[0]
        .by_status
        .lock()
        .expect("the outcomes")
        .get("200")
        .copied()
        .unwrap_or(0);
    if served < 100 {
        record.tell("too few sound reads were served: the case says nothing");
        return Ok(2);
    }
    let Some(third) = seen.crashes.get(2) else {
        record.tell("HELD: fewer than three crashes");
        return Ok(0);
    };
    let late = seen
        .harmful
        .iter()
        .filter(|(at, _, _)| *at > *third + STABILITY);
    // Each attempt of the client counts once, however many servers it reached.
    let attempts: BTreeSet<&str> = late.clone().map(|(_, id, _)| id.as_str()).collect();
    let (arrivals, attempts) = (late.count(), attempts.len());
    record.tell(&format!("from 3 s after the third crash on it reached servers {arrivals} times in {attempts} attempts; {MOST_RETRIES} are allowed"));
    let broken = attempts > MOST_RETRIES;
    record.tell(if broken { "BROKEN: BUDGET" } else { "HELD" });
    Ok(i32::from(broken))
}

/// Arguments: the record's path, the temporary folder. `TROUBLE=0` leaves out the crashes; with `APART=1` the other
/// tenants read another path, which shows the cause.
pub fn run(arguments: &[String]) -> i32 {
    let [record, folder] = arguments else {
        return 2;
    };
    let apart = std::env::var("APART").as_deref() == Ok("1");
    let trouble = std::env::var("TROUBLE").as_deref() != Ok("0");
    let Ok(record) = Record::new(Path::new(record), Path::new(folder)) else {
        return 2;
    };
    play(&record, trouble, apart).unwrap_or_else(|error| {
        record.tell(&format!("the case could not run: {error}"));
        2
    })
}
