//! Starts the platform stand-in and administration daemons, and makes calls to them.

use std::io::{BufRead, BufReader, Write};
use std::net::SocketAddr;
use std::path::PathBuf;
use std::process::{Child, Command, Stdio};
use std::sync::atomic::{AtomicU32, Ordering};
use std::sync::{Arc, Mutex};
use std::time::{Duration, Instant};

use actix_web::http::Method;
use gs_document::{digest_document, digest_token};
use gs_platform::{HttpPlatform, HttpPlatformOptions};
use gs_protocol::admin::{AcceptAnswer, AdminProblem, HeadView, HistoryView, PromoteRequest};
use gs_protocol::ids::{OperationId, SequenceNumber};
use gs_standin::platform::{
    CallStats, FaultSwitches, PlatformHandle, PlatformOptions, VmChange, start,
};
use serde::Serialize;
use serde::de::DeserializeOwned;
use serde_json::json;
use uuid::Uuid;

/// The token of an operator with every right.
pub const ALICE: &str = "token-of-alice";
/// The token of another operator with every right.
pub const BOB: &str = "token-of-bob";
/// The token of an operator with only the right to read.
pub const MONITOR: &str = "token-of-the-monitor";

const CALL_TIMEOUT: Duration = Duration::from_secs(60);
const LOG_TIMEOUT: Duration = Duration::from_secs(30);

/// The platform stand-in of one test.
pub struct PlatformFixture {
    handle: PlatformHandle,
    http: awc::Client,
}

impl PlatformFixture {
    pub fn start() -> Self {
        let options = PlatformOptions {
            vm_lag_ms: 0,
            ..PlatformOptions::default()
        };
        Self {
            handle: start(&options).expect("the stand-in starts"),
            http: awc::Client::builder().timeout(CALL_TIMEOUT).finish(),
        }
    }

    pub fn platform(&self) -> HttpPlatform {
        HttpPlatform::new(HttpPlatformOptions::new(self.handle.address()))
    }

    pub async fn set_faults(&self, faults: FaultSwitches) {
        self.control("faults", &faults).await;
    }

    pub async fn change_vms(&self, change: VmChange) {
        self.control("vms", &change).await;
    }

    async fn control(&self, name: &str, body: &impl Serialize) {
        let url = format!("http://{}/control/{name}", self.handle.address());
        let sent = self.http.post(url).send_json(body).await;
        assert!(sent.expect("answered").status().is_success());
    }

    pub async fn stats(&self) -> CallStats {
        let url = format!("http://{}/control/stats", self.handle.address());
        let mut answer = self.http.get(url).send().await.expect("answered");
        answer.json().await.expect("statistics")
    }

    pub fn start_admin(&self) -> AdminProcess {
        AdminProcess::start(&self.write_settings(), self.http.clone())
    }

    fn write_settings(&self) -> PathBuf {
        static NEXT: AtomicU32 = AtomicU32::new(0);
        let number = NEXT.fetch_add(1, Ordering::Relaxed);
        let name = format!("admin-{}-{number}.jsonc", std::process::id());
        let path = PathBuf::from(env!("CARGO_TARGET_TMPDIR")).join(name);
        let settings = json!({
            "listen": "127.0.0.1:0",
            "platform": self.handle.address(),
            "bootstrapOperators": operators(),
            "limits": { "maxDocumentBytes": 20_000, "platformMs": 1_000, "operationMs": 8_000 },
        });
        let mut file = std::fs::File::create(&path).expect("a file for the settings");
        write!(file, "{settings}").expect("written");
        path
    }
}

/// A daemon process, which is killed when the value is dropped.
pub struct AdminProcess {
    child: Child,
    address: SocketAddr,
    log: Arc<Mutex<Vec<String>>>,
    http: awc::Client,
}

impl AdminProcess {
    fn start(settings: &PathBuf, http: awc::Client) -> Self {
        let mut child = Command::new(env!("CARGO_BIN_EXE_gs-admin"))
            .arg("--settings")
            .arg(settings)
            .stderr(Stdio::piped())
            .spawn()
            .expect("the daemon starts");
        let mut lines = BufReader::new(child.stderr.take().expect("piped")).lines();
        let address = lines
            .by_ref()
            .map_while(Result::ok)
            .find_map(|line| line.split_once("ready address=")?.1.parse().ok())
            .expect("the daemon becomes ready");
        let log = Arc::new(Mutex::new(Vec::new()));
        let writer_log = Arc::clone(&log);
        std::thread::spawn(move || {
            for line in lines.map_while(Result::ok) {
                writer_log.lock().expect("not poisoned").push(line);
            }
        });
        Self {
            child,
            address,
            log,
            http,
        }
    }

    /// Kills the daemon.
    pub fn kill(mut self) {
        self.child.kill().expect("the daemon runs");
        self.child.wait().expect("the daemon ended");
    }

    /// Waits until the log of the daemon contains a text; returns the log since it became ready.
    pub fn wait_for_log(&self, text: &str) -> String {
        let deadline = Instant::now() + LOG_TIMEOUT;
        loop {
            let log = self.log.lock().expect("not poisoned").join("\n");
            if log.contains(text) {
                return log;
            }
            assert!(Instant::now() < deadline, "no \"{text}\" in {log}");
            std::thread::sleep(Duration::from_millis(5));
        }
    }

    /// Makes a call; returns the status and the body.
    pub async fn send(&self, method: Method, path: &str, token: &str, body: Vec<u8>) -> Reply {
        let url = format!("http://{}{path}", self.address);
        let mut request = self.http.request(method, url);
        if !token.is_empty() {
            request = request.bearer_auth(token);
        }
        let request = request.insert_header(("content-type", "application/json"));
        let Ok(mut answer) = request.send_body(body).await else {
            return Reply::default();
        };
        Reply {
            status: answer.status().as_u16(),
            body: answer.body().await.unwrap_or_default().to_vec(),
        }
    }

    pub async fn get(&self, path: &str, token: &str) -> Reply {
        let path = format!("/admin/v1/{path}");
        self.send(Method::GET, &path, token, Vec::new()).await
    }

    pub async fn post(&self, path: &str, token: &str, body: &impl Serialize) -> Reply {
        let body = serde_json::to_vec(body).expect("JSON");
        let path = format!("/admin/v1/{path}");
        self.send(Method::POST, &path, token, body).await
    }

    pub async fn try_document(&self, token: &str, key: OperationKey, document: &[u8]) -> Reply {
        let OperationKey {
            operation,
            expected,
        } = key;
        let path = format!("/admin/v1/try?operation={operation}&expected={expected}");
        self.send(Method::POST, &path, token, document.to_vec())
            .await
    }

    pub async fn promote(&self, token: &str, key: OperationKey, document: &[u8]) -> Reply {
        let request = PromoteRequest {
            digest: digest_document(document),
            operation: key.operation,
            expected: key.expected,
        };
        self.post("promote", token, &request).await
    }

    pub async fn head(&self, environment: &str) -> HeadView {
        let path = format!("head?environment={environment}");
        self.get(&path, ALICE).await.parse()
    }

    pub async fn history(&self, environment: &str) -> HistoryView {
        let path = format!("history?environment={environment}");
        self.get(&path, MONITOR).await.parse()
    }
}

impl Drop for AdminProcess {
    fn drop(&mut self) {
        // The daemon may have ended already.
        let _ = self.child.kill();
        let _ = self.child.wait();
    }
}

/// The answer to a call; its status is 0 if the connection failed.
#[derive(Debug, Default)]
pub struct Reply {
    pub status: u16,
    pub body: Vec<u8>,
}

impl Reply {
    pub fn parse<T: DeserializeOwned>(&self) -> T {
        let body = String::from_utf8_lossy(&self.body);
        serde_json::from_slice(&self.body)
            .unwrap_or_else(|error| panic!("{} {body}: {error}", self.status))
    }

    pub fn accepted(&self) -> AcceptAnswer {
        assert_eq!(self.status, 200, "{}", String::from_utf8_lossy(&self.body));
        self.parse()
    }

    pub fn problem(&self) -> AdminProblem {
        let problem: AdminProblem = self.parse();
        assert_eq!(
            (problem.status, problem.reason.status()),
            (self.status, self.status)
        );
        problem
    }
}

/// Identifies an operation; calls with the same key are retries of one operation.
#[derive(Clone, Copy)]
pub struct OperationKey {
    pub operation: OperationId,
    pub expected: SequenceNumber,
}

/// Returns the key of an operation that replaces the head with sequence number `expected`.
pub fn operation_key(number: u128, expected: u64) -> OperationKey {
    OperationKey {
        operation: OperationId(Uuid::from_u128(number)),
        expected: SequenceNumber(expected),
    }
}

/// The operators of the tests, as in documents and settings.
fn operators() -> serde_json::Value {
    let all = json!(["drain", "promote", "read", "try"]);
    json!({
        "alice": { "tokenDigests": [digest_token(ALICE)], "rights": all },
        "bob": { "tokenDigests": [digest_token(BOB)], "rights": all },
        "monitor": { "tokenDigests": [digest_token(MONITOR)], "rights": ["read"] },
    })
}

/// Returns a valid document that has one caller of this name and the operators of the tests.
pub fn document(caller: &str) -> Vec<u8> {
    document_with(caller, &operators())
}

/// Returns a valid document that has one caller of this name and the given operators.
pub fn document_with(caller: &str, operators: &serde_json::Value) -> Vec<u8> {
    let document = json!({
        "callers": {
            caller: {
                "tokenDigests": [digest_token(caller)],
                "rank": "urgent",
                "firstTokenMs": 500,
                "betweenTokensMs": 30,
                "models": ["care-notes"],
            },
        },
        "models": {
            "care-notes": {
                "serverKind": "care-notes", "maxPromptTokens": 1000, "maxOutputTokens": 100,
            },
        },
        "serverKinds": { "care-notes": { "protocol": "engine" } },
        "operators": operators,
    });
    document.to_string().into_bytes()
}
