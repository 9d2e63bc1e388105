//! A model engine of the platform, as a process of its own.
//!
//! Arguments: ID, ADDRESS, STAGE, EVENTS and GAP_MS of a stream, and after how many events a request whose body begins
//! with "harmful" crashes the engine ("-" for never). It writes a line for each request that reaches it.

use std::io::{Read, Write};
use std::net::TcpListener;
use std::sync::Arc;
use std::sync::atomic::{AtomicU64, Ordering};
use std::time::Duration;

use crate::http::{Connection, Message, answer};

struct Engine {
    id: String,
    stage: String,
    events: u64,
    gap: Duration,
    crash_after: Option<u64>,
    handles: AtomicU64,
}

fn report(line: &str) {
    let mut out = std::io::stdout().lock();
    let _ = out.write_all(format!("{line}\n").as_bytes());
    let _ = out.flush();
}

impl Engine {
    fn serve(&self, connection: &mut Connection, request: &Message) -> std::io::Result<()> {
        let stream = &mut connection.stream;
        if request.target().starts_with("/kv-handle/") {
            return answer(stream, "200 OK", "", b"");
        }
        if request.target() == "/order" {
            // An order that this engine does not know.
            return answer(stream, "400 Bad Request", "", b"");
        }
        let not_run = format!("X-Instance-Id: {}\r\nX-Not-Executed: 1\r\n", self.id);
        let expected = request.header("x-expected-instance");
        if expected.is_some_and(|expected| expected != self.id) {
            return answer(stream, "421 Misdirected Request", &not_run, b"");
        }
        let Some(id) = request.header("x-request-id") else {
            return answer(stream, "400 Bad Request", &not_run, b"");
        };
        let is_prefill = request.header("x-stage") == Some("prefill");
        if is_prefill != (self.stage == "prefill") {
            return answer(stream, "421 Misdirected Request", &not_run, b"");
        }
        if is_prefill {
            std::thread::sleep(Duration::from_millis(20));
            let number = self.handles.fetch_add(1, Ordering::Relaxed);
            let body = format!(
                "{{\"transfer_handle\":\"{}x{number}\",\"tokens\":100,\"version\":1}}",
                self.id
            );
            let headers = format!("Content-Type: application/json\r\nX-Request-Id: {id}\r\n");
            return answer(stream, "200 OK", &headers, body.as_bytes());
        }
        let is_harmful = request.body.starts_with(b"harmful");
        let first: u64 = request
            .header("last-event-id")
            .and_then(|last| last.parse().ok())
            .unwrap_or(0)
            + 1;
        report(&format!(
            "run {id} {} {first}",
            if is_harmful { "harmful" } else { "sound" }
        ));
        let head = format!(
            "HTTP/1.1 200 OK\r\nContent-Type: text/event-stream\r\nX-Request-Id: {id}\r\nX-Server-Signature: sig.{}.{id}\r\n\
             X-Weight-Versions: 1\r\nTransfer-Encoding: chunked\r\n\r\n",
            self.id
        );
        stream.write_all(head.as_bytes())?;
        for number in first..=self.events {
            std::thread::sleep(self.gap);
            if is_harmful
                && self
                    .crash_after
                    .is_some_and(|after| number - first >= after)
            {
                report(&format!("crash {id} {number}"));
                std::process::exit(101);
            }
            let event = format!("id: {number}\ndata: piece {number} of {id}\n\n");
            stream.write_all(format!("{:x}\r\n{event}\r\n", event.len()).as_bytes())?;
        }
        stream.write_all(b"0\r\n\r\n")?;
        report(&format!("end {id}"));
        Ok(())
    }
}

/// Runs an engine until its standard input ends.
pub fn run(arguments: &[String]) -> i32 {
    let [id, address, stage, events, gap_ms, crash_after] = arguments else {
        return 2;
    };
    let Ok(listener) = TcpListener::bind(address.as_str()) else {
        return 2;
    };
    let engine = Arc::new(Engine {
        id: id.clone(),
        stage: stage.clone(),
        events: events.parse().unwrap_or(20),
        gap: Duration::from_millis(gap_ms.parse().unwrap_or(30)),
        crash_after: crash_after.parse().ok(),
        handles: AtomicU64::new(1),
    });
    report("listening");
    std::thread::spawn(move || {
        for stream in listener.incoming().flatten() {
            let engine = Arc::clone(&engine);
            std::thread::spawn(move || {
                let mut connection = Connection::new(stream);
                while let Ok(Some(request)) = connection.message() {
                    if engine.serve(&mut connection, &request).is_err() {
                        return;
                    }
                }
            });
        }
    });
    let mut end = [0; 1];
    while std::io::stdin().read(&mut end).is_ok_and(|read| read > 0) {}
    0
}
