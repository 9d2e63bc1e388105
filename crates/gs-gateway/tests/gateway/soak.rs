//! Soak test: several entries, servers with seeded random faults, and clients that check every answer.
//!
//! `GS_SOAK_SEED=7 GS_SOAK_SECONDS=60 cargo test -p gs-gateway --test gateway soak -- --nocapture` runs
//! longer and prints the applied faults.

use std::cell::{Cell, RefCell};
use std::collections::BTreeMap;
use std::rc::Rc;
use std::time::{Duration, Instant};

use rand::seq::SliceRandom;
use rand::{Rng, SeedableRng};
use rand_pcg::Pcg64Mcg;
use test_case::test_case;

use super::support::{
    Deployment, RawAnswer, RawClient, Route, Script, StubServer, decode_server, header,
    plain_server, prefill_server, request, wait_until,
};

const ENTRIES: usize = 3;
const SERVERS: usize = 3;
const CLIENTS: usize = 12;
const EVENTS: u32 = 6;

/// Range of the time between two mode changes of a server, in milliseconds.
const MODE_CHANGE_MS: std::ops::Range<u64> = 50..300;

/// Time that clients wait for an answer, in milliseconds.
const DEADLINE_MS: u64 = 700;

/// Pause before each event of a stream.
const EVENT_PAUSE: Duration = Duration::from_millis(3);

/// How a server handles its requests.
#[derive(Clone, Copy, Debug, Eq, Ord, PartialEq, PartialOrd)]
enum Mode {
    Healthy,
    /// Rejects every request and marks it as not run.
    Full,
    /// Answers as another server at the same address.
    Replaced,
    /// Runs the request and resets the connection.
    Resets,
    /// Runs the request and never answers.
    Hangs,
    /// Runs the request and answers with an error.
    Fails,
    /// Answers, then sends bytes that belong to no request.
    Extra,
    /// Closes the connection in the middle of its answer.
    Truncates,
    /// Answers without a request ID.
    Unsigned,
}

const MODES: [Mode; 9] = [
    Mode::Healthy,
    Mode::Full,
    Mode::Replaced,
    Mode::Resets,
    Mode::Hangs,
    Mode::Fails,
    Mode::Extra,
    Mode::Truncates,
    Mode::Unsigned,
];

/// How often servers have run each request, by request ID.
type RunCounts = Rc<RefCell<BTreeMap<String, u32>>>;

fn event(id: &str, number: u32) -> String {
    Script::chunk(&format!("id: {number}\ndata: {id} {number}\n\n"))
}

/// Returns what a server in the given mode does with a request.
fn script_for(mode: Mode, text: &str, runs: &RunCounts) -> Script {
    let id = header(text, "t-id").expect("the request ID of the client");
    let stage = header(text, "t-stage").unwrap_or_default();
    match mode {
        Mode::Full => return Script::complete(503, "t-not-run: 1\r\n", ""),
        Mode::Replaced => return Script::complete(421, "", ""),
        _ if stage == "prefill" => return Script::complete(200, "", &format!("handle of-{id}")),
        _ => {}
    }
    if let Some(handle) = stage.strip_prefix("decode ") {
        assert_eq!(
            handle,
            format!("of-{id}"),
            "decode with the prefill result of another request"
        );
    }
    *runs.borrow_mut().entry(id.clone()).or_default() += 1;
    let body = format!("whole {id}");
    match mode {
        Mode::Resets => return Script::Reset(String::new()),
        Mode::Hangs => return Script::Hold(String::new()),
        Mode::Fails => return Script::complete(500, "", &body),
        Mode::Unsigned => {
            return Script::Send("HTTP/1.1 200 OK\r\ncontent-length: 7\r\n\r\nnobody's".to_owned());
        }
        _ => {}
    }
    if stage.starts_with("decode") {
        let first =
            header(text, "t-after").map_or(0, |last| last.parse::<u32>().expect("a number") + 1);
        let mut chunks = vec![Script::chunked_head()];
        chunks.extend((first..EVENTS).map(|number| event(&id, number)));
        match mode {
            Mode::Truncates => {
                chunks.truncate(chunks.len().min(3));
                chunks.push("20\r\nid: 99\ndata: cu".to_owned());
            }
            Mode::Extra => {
                chunks.push("0\r\n\r\nHTTP/1.1 200 OK\r\ncontent-length: 1\r\n\r\nx".to_owned());
            }
            _ => chunks.push("0\r\n\r\n".to_owned()),
        }
        return Script::Chunks(chunks, EVENT_PAUSE);
    }
    let healthy = Script::complete(200, "", &body);
    match (mode, healthy) {
        (Mode::Extra, Script::Send(bytes)) => Script::Send(bytes + "HTTP/1.1 200 OK\r\n\r\nmore"),
        (Mode::Truncates, Script::Send(bytes)) => {
            Script::Reset(bytes[..bytes.len() - 3].to_owned())
        }
        (_, healthy) => healthy,
    }
}

/// Starts a server and returns it with its mode, which [`run_faults`] changes.
async fn start_server(runs: &RunCounts) -> (StubServer, Rc<Cell<Mode>>) {
    let mode = Rc::new(Cell::new(Mode::Healthy));
    let (current_mode, runs) = (Rc::clone(&mode), Rc::clone(runs));
    let server = StubServer::start(move |_, text| match text.starts_with("DELETE") {
        true => Script::complete(200, "", ""),
        false => script_for(current_mode.get(), text, &runs),
    })
    .await;
    (server, mode)
}

/// Answers that clients have received.
#[derive(Debug, Default)]
struct ClientTally {
    statuses: BTreeMap<u16, u32>,
    broken_streams: u32,
    answered_not_run: Vec<String>,
    at_most_once: Vec<String>,
}

/// Checks that an answer belongs to its request, and that it is complete or recognizably incomplete.
fn check_answer(id: &str, route: Route, answer: &RawAnswer, tally: &mut ClientTally) {
    let status = answer.status();
    *tally.statuses.entry(status).or_default() += 1;
    let body = answer.body();
    match (status, route) {
        (200, Route::Safe | Route::Unsafe) => assert_eq!(body, format!("whole {id}")),
        (200, Route::Stream | Route::Resumable) => {
            let numbers: Vec<u32> = body
                .lines()
                .filter_map(|line| line.strip_prefix(&format!("data: {id} ")))
                .map(|number| number.parse().expect("a number"))
                .collect();
            let expected: Vec<u32> = (0..numbers.len() as u32).collect();
            assert_eq!(numbers, expected, "{id}: {body}");
            assert_eq!(
                numbers.len(),
                body.matches("data: ").count(),
                "{id}: {body}"
            );
            let is_complete = answer.has_last_chunk();
            assert!(
                !is_complete || numbers.len() as u32 == EVENTS,
                "{id}: {body}"
            );
            tally.broken_streams += u32::from(!is_complete);
        }
        (408 | 421 | 429 | 503, _) => tally.answered_not_run.push(id.to_owned()),
        // 0: the connection was closed without an answer.
        (0 | 500 | 502 | 504, _) => {}
        _ => panic!("{id}: {answer:?}"),
    }
}

/// Sends requests until the given time.
async fn run_client(
    number: usize,
    seed: u64,
    until: Instant,
    entries: Rc<Vec<Deployment>>,
    tally: Rc<RefCell<ClientTally>>,
) {
    let mut rng = Pcg64Mcg::seed_from_u64(seed ^ (number as u64 + 1) << 32);
    let mut sent = 0;
    while Instant::now() < until {
        sent += 1;
        let id = format!("c{number}r{sent}");
        let routes = [Route::Safe, Route::Unsafe, Route::Stream, Route::Resumable];
        let route = *routes.choose(&mut rng).expect("a route");
        if matches!(route, Route::Unsafe | Route::Stream) {
            tally.borrow_mut().at_most_once.push(id.clone());
        }
        let address = entries.choose(&mut rng).expect("an entry").address;
        let headers = format!("connection: close\r\nt-deadline: {DEADLINE_MS}\r\n");
        let mut client = RawClient::connect(address).await;
        client.send(&request(route, &id, &headers)).await;
        if rng.gen_bool(0.1) {
            tokio::time::sleep(Duration::from_millis(rng.gen_range(0..30))).await;
            continue;
        }
        let answer = client.read_all().await;
        check_answer(&id, route, &answer, &mut tally.borrow_mut());
    }
}

/// Changes the servers' modes until the given time; half of the changes make a server healthy.
async fn run_faults(seed: u64, until: Instant, modes: Vec<Rc<Cell<Mode>>>) -> BTreeMap<Mode, u32> {
    let mut rng = Pcg64Mcg::seed_from_u64(seed);
    let mut applied_modes = BTreeMap::new();
    while Instant::now() < until {
        let wait = rng.gen_range(MODE_CHANGE_MS) / modes.len() as u64;
        tokio::time::sleep(Duration::from_millis(wait)).await;
        let mode = match rng.gen_bool(0.5) {
            true => Mode::Healthy,
            false => *MODES.choose(&mut rng).expect("a mode"),
        };
        *applied_modes.entry(mode).or_default() += 1;
        modes.choose(&mut rng).expect("a server").set(mode);
    }
    modes.iter().for_each(|mode| mode.set(Mode::Healthy));
    applied_modes
}

fn setting(name: &str) -> Option<u64> {
    std::env::var(name).ok().and_then(|text| text.parse().ok())
}

#[test_case(1)]
#[test_case(2)]
#[test_case(3)]
#[actix_rt::test]
async fn answers_are_correct_despite_random_server_faults(seed: u64) {
    let seed = setting("GS_SOAK_SEED").unwrap_or(seed);
    let seconds = setting("GS_SOAK_SECONDS").unwrap_or(2);
    let runs = RunCounts::default();
    let (mut servers, mut modes) = (Vec::new(), Vec::new());
    for number in 0..SERVERS {
        for list_server in [plain_server, prefill_server, decode_server] {
            let (server, mode) = start_server(&runs).await;
            servers.push(list_server(
                &format!("s{number}-{}", modes.len()),
                server.address,
            ));
            modes.push(mode);
        }
    }
    let mut entries = Vec::new();
    for number in 0..ENTRIES {
        entries.push(Deployment::start_named(&format!("entry-{number}"), servers.clone()).await);
    }
    Deployment::join(&entries).await;
    let entries = Rc::new(entries);
    let tally = Rc::new(RefCell::new(ClientTally::default()));
    let until = Instant::now() + Duration::from_secs(seconds);
    let faults = actix_rt::spawn(run_faults(seed, until, modes));
    let clients = (0..CLIENTS).map(|number| {
        let (entries, tally) = (Rc::clone(&entries), Rc::clone(&tally));
        run_client(number, seed, until, entries, tally)
    });
    futures_util::future::join_all(clients).await;
    let applied_modes = faults.await.expect("the faults end");
    wait_until(|| entries.iter().all(|entry| entry.gateway.is_idle())).await;

    let (runs, tally) = (runs.borrow(), tally.borrow());
    println!(
        "seed {seed}: {applied_modes:?}, {:?}, {} broken streams",
        tally.statuses, tally.broken_streams
    );
    let count = |id: &String| runs.get(id).copied().unwrap_or(0);
    for id in &tally.answered_not_run {
        assert_eq!(count(id), 0, "{id} was answered as not run but has run");
    }
    for id in &tally.at_most_once {
        assert!(count(id) <= 1, "{id} ran {} times", count(id));
    }
    let successes = tally.statuses.get(&200).copied().unwrap_or(0);
    assert!(successes > 0, "no request succeeded: {:?}", tally.statuses);
}
