//! A plain server of the platform, as a process of its own, so that it can crash as one.
//!
//! Arguments: ID, ADDRESS, WORK_MS, and the tenant whose reads crash it. It writes a line for each
//! request that reaches it and ends with its standard input.

use std::io::{Read, Write};
use std::net::TcpListener;
use std::sync::Arc;
use std::time::Duration;

use crate::http::{Connection, Message, answer};

/// What a server does with requests.
struct Server {
    id: String,
    work: Duration,
    crashed_by: String,
}

fn report(line: &str) {
    let mut out = std::io::stdout().lock();
    let _ = out.write_all(format!("{line}\n").as_bytes());
    let _ = out.flush();
}

impl Server {
    fn serve(&self, request: &Message) -> (&'static str, String, String) {
        if request.target() == "/health" {
            return (
                "200 OK",
                format!("X-Instance-Id: {}\r\n", self.id),
                String::new(),
            );
        }
        let expected = request.header("x-expected-instance");
        if expected.is_some_and(|expected| expected != self.id) {
            let headers = format!("X-Instance-Id: {}\r\nX-Not-Executed: 1\r\n", self.id);
            return ("421 Misdirected Request", headers, String::new());
        }
        let Some(id) = request.header("x-request-id") else {
            return (
                "400 Bad Request",
                "X-Not-Executed: 1\r\n".to_owned(),
                String::new(),
            );
        };
        let tenant = request.header("x-tenant").unwrap_or("-");
        report(&format!(
            "run {id} {tenant} {} {}",
            request.method(),
            request.target()
        ));
        std::thread::sleep(self.work);
        if tenant == self.crashed_by && request.method() == "GET" {
            report(&format!("crash {id}"));
            std::process::exit(101);
        }
        let headers = format!(
            "X-Request-Id: {id}\r\nX-Server-Signature: sig.{}.{id}\r\n",
            self.id
        );
        (
            "200 OK",
            headers,
            format!("answer of {} to {tenant} for {id}\n", self.id),
        )
    }
}

/// Runs a server until its standard input ends.
pub fn run(arguments: &[String]) -> i32 {
    let [id, address, work_ms, crashed_by] = arguments else {
        return 2;
    };
    let Ok(listener) = TcpListener::bind(address.as_str()) else {
        return 2;
    };
    let work = Duration::from_millis(work_ms.parse().unwrap_or(15));
    let server = Arc::new(Server {
        id: id.clone(),
        work,
        crashed_by: crashed_by.clone(),
    });
    report("listening");
    std::thread::spawn(move || {
        for stream in listener.incoming().flatten() {
            let server = Arc::clone(&server);
            std::thread::spawn(move || {
                let mut connection = Connection::new(stream);
                while let Ok(Some(request)) = connection.message() {
                    let (status, headers, body) = server.serve(&request);
                    if answer(&mut connection.stream, status, &headers, body.as_bytes()).is_err() {
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
