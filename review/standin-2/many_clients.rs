//! Many clients keep their connections open between long requests; the platform ends a process that exceeds its memory.

use std::collections::BTreeMap;
use std::io::Write;
use std::net::{SocketAddr, TcpStream};
use std::path::Path;
use std::process::Child;
use std::sync::atomic::{AtomicBool, AtomicUsize, Ordering};
use std::sync::{Arc, Mutex};
use std::time::{Duration, Instant};

use crate::fleet::{Node, Record, free_port, start_child, wait_ready};
use crate::http::Connection;
use crate::store::Store;

const ENTRIES: usize = 2;
/// Clients of each entry as usual, and how many times as many come in a burst.
const USUAL: usize = 800;
const BURST: f64 = 2.3;
const BURST_LENGTH: Duration = Duration::from_millis(4_000);
/// When bursts begin, from the start of traffic.
const BURSTS: [u64; 4] = [14, 34, 54, 74];
const LENGTH: Duration = Duration::from_secs(90);
/// Each client sends a request in this time; `idle_timeout_ms` is 15 s, of which clients use four fifths.
const PERIOD: Duration = Duration::from_secs(10);
/// Bytes of a request, of 4,194,304 that the limits allow.
const BODY_BYTES: usize = 60_000;
/// `memory_mb` of the settings.
const MEMORY_MB: u64 = 110;
const MOST_ENDS: usize = 2;
const WORKERS: usize = 40;

const BOUNDS: &str = "stability_window_ms = 3000\ngrace_s = 8\nretry_budget_ratio = 0.2\nbudget_extra_retries = 52\n\
budget_window_s = 10\nttl_max_s = 5\ndrain_ms = 2000\nconfig_apply_ms = 2000";
const LIMITS: &str =
    "cpu_share = 0.25\ncores = 1\nmemory_mb = 110\nfile_descriptors = 4100\nlink_mbps = 1000.0";
const CONFIGURATION: &str = r#"{"version":7,"routes":[
{"name":"r-notes","host":"counter.example","path_prefix":"/pule252/","kind":"unsafe","timeout_ms":3000,"target_latency_ms":800,"priority":2,"service":"notes","max_attempts":1,"public":false}],
"services":[{"name":"notes","health_path":"/health","max_connections":200,"protocol":"h1","tls":false}],
"limits":{"max_header_bytes":16384,"max_body_bytes":4194304,"header_timeout_ms":3000,"idle_timeout_ms":15000}}"#;

struct Case {
    fronts: Vec<SocketAddr>,
    stop: AtomicBool,
    /// Whether the clients of a burst are here.
    is_burst: AtomicBool,
    count: AtomicUsize,
    statuses: Mutex<BTreeMap<String, usize>>,
}

/// One client: its entry, whether it comes in bursts only, and its connection.
struct Client {
    entry: usize,
    in_bursts: bool,
    connection: Option<Connection>,
    next: Instant,
}

impl Client {
    fn send(&mut self, case: &Case, body: &[u8]) -> std::io::Result<u16> {
        let connection = match &mut self.connection {
            Some(connection) => connection,
            None => {
                let stream =
                    TcpStream::connect_timeout(&case.fronts[self.entry], Duration::from_secs(1))?;
                stream.set_read_timeout(Some(Duration::from_secs(4)))?;
                self.connection.insert(Connection::new(stream))
            }
        };
        let id = case.count.fetch_add(1, Ordering::Relaxed);
        let head = format!(
            "POST /pule252/2f HTTP/1.1\r\nHost: counter.example\r\nX-Request-Id: c{id}\r\nX-Deadline-Remaining-Ms: 3000\r\nContent-Length: {}\r\n\r\n",
            body.len()
        );
        connection.stream.write_all(head.as_bytes())?;
        connection.stream.write_all(body)?;
        let answer = connection
            .message()?
            .ok_or(std::io::ErrorKind::UnexpectedEof)?;
        let status = answer.status();
        if answer
            .header("connection")
            .is_some_and(|value| value.eq_ignore_ascii_case("close"))
        {
            self.connection = None;
        }
        Ok(status)
    }
}

/// Serves the requests of some clients, one after the other.
fn work(case: &Case, mut clients: Vec<Client>) {
    let body = vec![b'x'; BODY_BYTES];
    while !case.stop.load(Ordering::Relaxed) {
        let mut is_idle = true;
        for client in &mut clients {
            let is_here = !client.in_bursts || case.is_burst.load(Ordering::Relaxed);
            if !is_here {
                client.connection = None;
                client.next = Instant::now();
                continue;
            }
            if client.next > Instant::now() || case.stop.load(Ordering::Relaxed) {
                continue;
            }
            is_idle = false;
            client.next = Instant::now() + PERIOD;
            let sent = client.send(case, &body);
            let text = match sent {
                Ok(status) => status.to_string(),
                Err(error) => {
                    client.connection = None;
                    format!("{:?}", error.kind())
                }
            };
            *case
                .statuses
                .lock()
                .expect("the answers")
                .entry(text)
                .or_default() += 1;
        }
        if is_idle {
            std::thread::sleep(Duration::from_millis(5));
        }
    }
}

fn play(record: &Record, trouble: bool) -> std::io::Result<i32> {
    let store = Store::start()?;
    store.put("config", "main", CONFIGURATION);
    let mut children: Vec<Child> = Vec::new();
    for number in 0..8 {
        let (id, address) = (
            format!("i-notes-{number}"),
            SocketAddr::from(([127, 0, 0, 1], free_port())),
        );
        let arguments = ["server", &id, &address.to_string(), "15", "nobody"].map(str::to_owned);
        children.push(start_child(record, &arguments, |_| {})?);
        let specification = format!(
            "{{\"service\":\"notes\",\"address\":\"{address}\",\"zone\":\"duluth\",\"version\":\"v1\",\"slots\":24,\"state\":\"ready\",\"cold_remaining_ms\":0,\"sequence\":1,\"born\":1700000000000}}"
        );
        store.put("servers", &id, &specification);
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
    let case = Arc::new(Case {
        fronts: nodes.iter().map(|node| node.front).collect(),
        stop: AtomicBool::new(false),
        is_burst: AtomicBool::new(false),
        count: AtomicUsize::new(0),
        statuses: Mutex::default(),
    });
    let began = Instant::now();
    record.line("traffic begins");
    let most = (USUAL as f64 * BURST) as usize;
    let mut shares: Vec<Vec<Client>> = (0..WORKERS).map(|_| Vec::new()).collect();
    for number in 0..ENTRIES * most {
        // The first requests of the usual clients are spread over a period.
        let next = began + PERIOD.mul_f64((number % 1_000) as f64 / 1_000.0);
        let client = Client {
            entry: number % ENTRIES,
            in_bursts: number / ENTRIES >= USUAL,
            connection: None,
            next,
        };
        shares[number % WORKERS].push(client);
    }
    let workers: Vec<_> = shares
        .into_iter()
        .map(|clients| {
            let case = Arc::clone(&case);
            std::thread::spawn(move || work(&case, clients))
        })
        .collect();
    let mut ends = [0_usize; ENTRIES];
    let mut peaks = [0_u64; ENTRIES];
    let mut told = Instant::now();
    while began.elapsed() < LENGTH {
        let is_burst = trouble
            && BURSTS.iter().any(|begin| {
                let begin = Duration::from_secs(*begin);
                began.elapsed() >= begin && began.elapsed() < begin + BURST_LENGTH
            });
        if case.is_burst.swap(is_burst, Ordering::Relaxed) != is_burst {
            record.line(if is_burst {
                "a burst begins"
            } else {
                "the burst ends"
            });
        }
        let memory: Vec<u64> = nodes.iter().map(Node::memory).collect();
        if told.elapsed() > Duration::from_secs(1) {
            told = Instant::now();
            record.line(&format!(
                "resident memory in MB: {:?}",
                memory
                    .iter()
                    .map(|bytes| bytes / 1_048_576)
                    .collect::<Vec<_>>()
            ));
        }
        for (number, bytes) in memory.into_iter().enumerate() {
            peaks[number] = peaks[number].max(bytes / 1_048_576);
            if bytes > MEMORY_MB * 1_048_576 {
                ends[number] += 1;
                record.line(&format!(
                    "entry {number} has {} MB and is killed",
                    bytes / 1_048_576
                ));
                nodes[number].kill_and_restart(record, &format!("front-duluth-{number}"))?;
            }
        }
        std::thread::sleep(Duration::from_millis(100));
    }
    case.stop.store(true, Ordering::Relaxed);
    for worker in workers {
        let _ = worker.join();
    }
    record.tell(&format!(
        "answers: {:?}",
        case.statuses.lock().expect("the answers")
    ));
    record.tell(&format!(
        "most resident memory in MB: {peaks:?}; killed for more than {MEMORY_MB} MB: {ends:?} times"
    ));
    drop(nodes);
    for mut child in children {
        let _ = child.kill();
        let _ = child.wait();
    }
    let served = case
        .statuses
        .lock()
        .expect("the answers")
        .get("200")
        .copied()
        .unwrap_or(0);
    if served < 1_000 {
        record.tell("too few requests were served: the case says nothing");
        return Ok(2);
    }
    let is_broken = ends.iter().all(|ends| *ends > MOST_ENDS);
    record.tell(if is_broken { "BROKEN: Fault" } else { "HELD" });
    Ok(i32::from(is_broken))
}

/// Arguments: the record's path, the temporary folder. `TROUBLE=0` leaves out the bursts.
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
