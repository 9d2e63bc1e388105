//! Several entries before servers that fail by a seed, and clients that check every answer.
//!
//! `GS_SOAK_SEED=7 GS_SOAK_SECONDS=60 cargo test -p gs-gateway --test gateway soak -- --nocapture` plays
//! longer and prints what was played.

use std::cell::{Cell, RefCell};
use std::collections::BTreeMap;
use std::rc::Rc;
use std::time::{Duration, Instant};

use rand::seq::SliceRandom;
use rand::{Rng, SeedableRng};
use rand_pcg::Pcg64Mcg;
use test_case::test_case;

use super::support::{
    Deployment, RawAnswer, RawClient, Route, Script, StubServer, decode_entry, header,
    prefill_entry, request, service_entry, wait_until,
};

const ENTRIES: usize = 3;
const SERVERS: usize = 3;
const CLIENTS: usize = 12;
const EVENTS: u32 = 6;

/// Between two changes of a server.
const CHANGE: std::ops::Range<u64> = 50..300;

/// How long clients wait, in milliseconds.
const DEADLINE: u64 = 700;

/// Between two events of a stream.
const PAUSE: Duration = Duration::from_millis(3);

/// How a server treats what it gets.
#[derive(Clone, Copy, Debug, Eq, Ord, PartialEq, PartialOrd)]
enum Mode {
    Sound,
    /// Turns everything away and says so.
    Full,
    /// Another server has the address.
    Replaced,
    /// Runs it and resets the connection.
    Resets,
    /// Runs it and never answers.
    Mute,
    /// Runs it and fails.
    Fails,
    /// Answers, then sends bytes of nobody.
    Extra,
    /// Breaks its answer off.
    Cuts,
    /// Answers without saying to what.
    Unsigned,
}

const MODES: [Mode; 9] = [
    Mode::Sound,
    Mode::Full,
    Mode::Replaced,
    Mode::Resets,
    Mode::Mute,
    Mode::Fails,
    Mode::Extra,
    Mode::Cuts,
    Mode::Unsigned,
];

/// What servers have run, by request.
type Runs = Rc<RefCell<BTreeMap<String, u32>>>;

fn event(id: &str, number: u32) -> String {
    Script::chunk(&format!("id: {number}\ndata: {id} {number}\n\n"))
}

/// What a server in a mode does with a request.
fn play(mode: Mode, text: &str, runs: &Runs) -> Script {
    let id = header(text, "t-id").expect("the client's identity");
    let stage = header(text, "t-stage").unwrap_or_default();
    match mode {
        Mode::Full => return Script::whole(503, "t-not-run: 1\r\n", ""),
        Mode::Replaced => return Script::whole(421, "", ""),
        _ if stage == "prefill" => return Script::whole(200, "", &format!("handle of-{id}")),
        _ => {}
    }
    if let Some(handle) = stage.strip_prefix("decode ") {
        assert_eq!(handle, format!("of-{id}"), "the result of another request");
    }
    *runs.borrow_mut().entry(id.clone()).or_default() += 1;
    let whole = format!("whole {id}");
    match mode {
        Mode::Resets => return Script::Reset(String::new()),
        Mode::Mute => return Script::Hold(String::new()),
        Mode::Fails => return Script::whole(500, "", &whole),
        Mode::Unsigned => {
            return Script::Send("HTTP/1.1 200 OK\r\ncontent-length: 7\r\n\r\nnobody's".to_owned());
        }
        _ => {}
    }
    if stage.starts_with("decode") {
        let first =
            header(text, "t-after").map_or(0, |last| last.parse::<u32>().expect("a number") + 1);
        let mut pieces = vec![Script::chunked_head()];
        pieces.extend((first..EVENTS).map(|number| event(&id, number)));
        match mode {
            Mode::Cuts => {
                pieces.truncate(pieces.len().min(3));
                pieces.push("20\r\nid: 99\ndata: cu".to_owned());
            }
            Mode::Extra => {
                pieces.push("0\r\n\r\nHTTP/1.1 200 OK\r\ncontent-length: 1\r\n\r\nx".to_owned());
            }
            _ => pieces.push("0\r\n\r\n".to_owned()),
        }
        return Script::Pieces(pieces, PAUSE);
    }
    let sound = Script::whole(200, "", &whole);
    match (mode, sound) {
        (Mode::Extra, Script::Send(bytes)) => Script::Send(bytes + "HTTP/1.1 200 OK\r\n\r\nmore"),
        (Mode::Cuts, Script::Send(bytes)) => Script::Reset(bytes[..bytes.len() - 3].to_owned()),
        (_, sound) => sound,
    }
}

/// A server whose mode the fault plan changes.
async fn start_server(runs: &Runs) -> (StubServer, Rc<Cell<Mode>>) {
    let mode = Rc::new(Cell::new(Mode::Sound));
    let (played, runs) = (Rc::clone(&mode), Rc::clone(runs));
    let server = StubServer::start(move |_, text| match text.starts_with("DELETE") {
        true => Script::whole(200, "", ""),
        false => play(played.get(), text, &runs),
    })
    .await;
    (server, mode)
}

/// What clients have been told.
#[derive(Debug, Default)]
struct Tally {
    statuses: BTreeMap<u16, u32>,
    broken_streams: u32,
    promised: Vec<String>,
    once: Vec<String>,
}

/// Checks that an answer is the request's own, and whole or broken off for all to see.
fn check(id: &str, route: Route, answer: &RawAnswer, tally: &mut Tally) {
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
            let is_whole = answer.has_last_chunk();
            assert!(!is_whole || numbers.len() as u32 == EVENTS, "{id}: {body}");
            tally.broken_streams += u32::from(!is_whole);
        }
        (408 | 421 | 429 | 503, _) => tally.promised.push(id.to_owned()),
        // 0: the connection was closed without an answer.
        (0 | 500 | 502 | 504, _) => {}
        _ => panic!("{id}: {answer:?}"),
    }
}

/// Sends requests until the time is over.
async fn run_client(
    number: usize,
    seed: u64,
    until: Instant,
    entries: Rc<Vec<Deployment>>,
    tally: Rc<RefCell<Tally>>,
) {
    let mut rng = Pcg64Mcg::seed_from_u64(seed ^ (number as u64 + 1) << 32);
    let mut sent = 0;
    while Instant::now() < until {
        sent += 1;
        let id = format!("c{number}r{sent}");
        let routes = [Route::Safe, Route::Unsafe, Route::Stream, Route::Resumable];
        let route = *routes.choose(&mut rng).expect("a route");
        if matches!(route, Route::Unsafe | Route::Stream) {
            tally.borrow_mut().once.push(id.clone());
        }
        let address = entries.choose(&mut rng).expect("an entry").address;
        let headers = format!("connection: close\r\nt-deadline: {DEADLINE}\r\n");
        let mut client = RawClient::connect(address).await;
        client.send(&request(route, &id, &headers)).await;
        if rng.gen_bool(0.1) {
            tokio::time::sleep(Duration::from_millis(rng.gen_range(0..30))).await;
            continue;
        }
        let answer = client.read_all().await;
        check(&id, route, &answer, &mut tally.borrow_mut());
    }
}

/// Changes the servers' modes until the time is over; half of the time all is well with a server.
async fn run_faults(seed: u64, until: Instant, modes: Vec<Rc<Cell<Mode>>>) -> BTreeMap<Mode, u32> {
    let mut rng = Pcg64Mcg::seed_from_u64(seed);
    let mut played = BTreeMap::new();
    while Instant::now() < until {
        let wait = rng.gen_range(CHANGE) / modes.len() as u64;
        tokio::time::sleep(Duration::from_millis(wait)).await;
        let mode = match rng.gen_bool(0.5) {
            true => Mode::Sound,
            false => *MODES.choose(&mut rng).expect("a mode"),
        };
        *played.entry(mode).or_default() += 1;
        modes.choose(&mut rng).expect("a server").set(mode);
    }
    modes.iter().for_each(|mode| mode.set(Mode::Sound));
    played
}

fn setting(name: &str) -> Option<u64> {
    std::env::var(name).ok().and_then(|text| text.parse().ok())
}

#[test_case(1)]
#[test_case(2)]
#[test_case(3)]
#[actix_rt::test]
async fn a_soak_breaks_no_promise(seed: u64) {
    let seed = setting("GS_SOAK_SEED").unwrap_or(seed);
    let seconds = setting("GS_SOAK_SECONDS").unwrap_or(2);
    let runs = Runs::default();
    let (mut servers, mut modes) = (Vec::new(), Vec::new());
    for number in 0..SERVERS {
        for entry in [service_entry, prefill_entry, decode_entry] {
            let (server, mode) = start_server(&runs).await;
            servers.push(entry(&format!("s{number}-{}", modes.len()), server.address));
            modes.push(mode);
        }
    }
    let mut entries = Vec::new();
    for number in 0..ENTRIES {
        entries.push(Deployment::start_named(&format!("entry-{number}"), servers.clone()).await);
    }
    Deployment::join(&entries).await;
    let entries = Rc::new(entries);
    let tally = Rc::new(RefCell::new(Tally::default()));
    let until = Instant::now() + Duration::from_secs(seconds);
    let faults = actix_rt::spawn(run_faults(seed, until, modes));
    let clients = (0..CLIENTS).map(|number| {
        let (entries, tally) = (Rc::clone(&entries), Rc::clone(&tally));
        run_client(number, seed, until, entries, tally)
    });
    futures_util::future::join_all(clients).await;
    let played = faults.await.expect("the faults end");
    wait_until(|| entries.iter().all(|entry| entry.gateway.is_idle())).await;

    let (runs, tally) = (runs.borrow(), tally.borrow());
    println!(
        "seed {seed}: {played:?}, {:?}, {} broken streams",
        tally.statuses, tally.broken_streams
    );
    let count = |id: &String| runs.get(id).copied().unwrap_or(0);
    for id in &tally.promised {
        assert_eq!(count(id), 0, "{id} was refused and has run");
    }
    for id in &tally.once {
        assert!(count(id) <= 1, "{id} ran {} times", count(id));
    }
    let whole = tally.statuses.get(&200).copied().unwrap_or(0);
    assert!(whole > 0, "nothing was served: {:?}", tally.statuses);
}
