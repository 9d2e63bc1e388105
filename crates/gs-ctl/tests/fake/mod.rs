//! Runs gs-ctl against a fake administration API that gives scripted answers.

use std::collections::VecDeque;
use std::net::SocketAddr;
use std::path::PathBuf;
use std::process::Command;
use std::sync::{Arc, Mutex, MutexGuard};

use actix_web::http::StatusCode;
use actix_web::{App, HttpRequest, HttpResponse, HttpServer, web};
use serde_json::Value;

/// The operator's token in every test.
pub const TOKEN: &str = "operator-test-token";

/// The fake's answer to one call.
#[derive(Clone, Debug)]
pub enum ScriptedAnswer {
    /// A status and a JSON body.
    Json(u16, Value),
    /// The status 200 and a body.
    Bytes(&'static str),
    /// No answer; the connection stays open.
    NoAnswer,
}

/// A call that the fake received; `target` is the method and the URI.
#[derive(Clone, Debug, PartialEq)]
pub struct ReceivedCall {
    pub target: String,
    pub body: String,
}

/// The answers that the fake has left, and the calls that it received.
#[derive(Default)]
struct FakeScript {
    answers: VecDeque<ScriptedAnswer>,
    calls: Vec<ReceivedCall>,
}

impl FakeScript {
    /// Records the call and returns the next answer. The last answer is repeated.
    fn record_call(&mut self, call: ReceivedCall) -> ScriptedAnswer {
        self.calls.push(call);
        if self.answers.len() > 1 {
            return self.answers.pop_front().expect("two answers are left");
        }
        self.answers.front().cloned().expect("one answer is left")
    }
}

/// The script, shared between the test and the fake's threads.
#[derive(Clone, Default)]
struct SharedScript(Arc<Mutex<FakeScript>>);

impl SharedScript {
    fn lock(&self) -> MutexGuard<'_, FakeScript> {
        self.0.lock().expect("no thread panicked")
    }
}

/// The result of a run of gs-ctl, with the calls that the fake received.
pub struct CtlOutcome {
    pub code: Option<i32>,
    pub stdout: String,
    pub stderr: String,
    pub calls: Vec<ReceivedCall>,
}

/// Runs gs-ctl against a fake that gives these answers in turn.
pub fn run_scripted(arguments: &[&str], answers: &[ScriptedAnswer]) -> CtlOutcome {
    let script = SharedScript::default();
    script.lock().answers.extend(answers.iter().cloned());
    let arguments: Vec<String> = arguments.iter().map(|text| (*text).to_owned()).collect();
    let shared = script.clone();
    let output = actix_rt::System::new().block_on(async move {
        let (address, server) = start_fake(shared);
        let run = actix_rt::task::spawn_blocking(move || run_ctl(address, &arguments));
        let output = run.await.expect("the run ends");
        server.stop(false).await;
        output
    });
    CtlOutcome {
        code: output.status.code(),
        stdout: String::from_utf8(output.stdout).expect("the output is text"),
        stderr: String::from_utf8(output.stderr).expect("the output is text"),
        calls: script.lock().calls.clone(),
    }
}

fn start_fake(script: SharedScript) -> (SocketAddr, actix_web::dev::ServerHandle) {
    let factory = move || {
        App::new()
            .app_data(web::Data::new(script.clone()))
            .default_service(web::to(answer_call))
    };
    let server = HttpServer::new(factory)
        .workers(1)
        .disable_signals()
        .shutdown_timeout(0)
        .bind(("127.0.0.1", 0))
        .expect("a port is free");
    let address = server.addrs()[0];
    let server = server.run();
    let handle = server.handle();
    actix_rt::spawn(server);
    (address, handle)
}

async fn answer_call(
    request: HttpRequest,
    body: web::Bytes,
    script: web::Data<SharedScript>,
) -> HttpResponse {
    let authorization = request.headers().get("authorization");
    let authorization = authorization.expect("the call has a token");
    assert_eq!(authorization, &format!("Bearer {TOKEN}"));
    let call = ReceivedCall {
        target: format!("{} {}", request.method(), request.uri()),
        body: String::from_utf8_lossy(&body).into_owned(),
    };
    let answer = script.lock().record_call(call);
    match answer {
        ScriptedAnswer::Json(status, value) => {
            let status = StatusCode::from_u16(status).expect("the status is valid");
            HttpResponse::build(status).json(value)
        }
        ScriptedAnswer::Bytes(bytes) => HttpResponse::Ok().body(bytes),
        ScriptedAnswer::NoAnswer => std::future::pending().await,
    }
}

fn run_ctl(address: SocketAddr, arguments: &[String]) -> std::process::Output {
    let token_file =
        PathBuf::from(env!("CARGO_MANIFEST_DIR")).join("tests/fixtures/operator.token");
    let (command, command_arguments) = arguments.split_first().expect("a command is given");
    Command::new(env!("CARGO_BIN_EXE_gs-ctl"))
        .arg(command)
        .args(["--admin", &address.to_string(), "--timeout-ms", "1000"])
        .arg("--token-file")
        .arg(token_file)
        .args(command_arguments)
        .output()
        .expect("gs-ctl runs")
}
