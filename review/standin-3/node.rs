//! Starts, signals and ends the project's program.

use std::io::Write;
use std::net::{SocketAddr, TcpListener};
use std::path::{Path, PathBuf};
use std::process::{Child, Command, Stdio};
use std::time::{Duration, Instant};

use crate::http::call;

/// The settings of an entry that vary.
#[derive(Clone, Debug)]
pub struct Settings {
    pub grace_s: u64,
    pub memory_mb: u64,
}

/// A running entry.
pub struct Node {
    pub name: String,
    child: Child,
    pub front: SocketAddr,
    ready: SocketAddr,
    directory: SocketAddr,
    internal: u16,
    store: SocketAddr,
    file: PathBuf,
    folder: PathBuf,
}

impl Drop for Node {
    fn drop(&mut self) {
        self.kill();
    }
}

fn free_port() -> u16 {
    let listener = TcpListener::bind(("127.0.0.1", 0)).expect("a free port");
    listener.local_addr().expect("an address").port()
}

/// Two free ports in a row.
fn free_pair() -> u16 {
    loop {
        let first = free_port();
        if first < u16::MAX && TcpListener::bind(("127.0.0.1", first + 1)).is_ok() {
            return first;
        }
    }
}

impl Node {
    /// Starts an entry and waits until it is ready. Exits with 2 if it does not become ready.
    pub fn start(folder: &Path, name: &str, store: SocketAddr, settings: &Settings) -> Self {
        for _ in 0..5 {
            let local = |port| SocketAddr::from(([127, 0, 0, 1], port));
            let (front, ready, directory) = (free_port(), free_port(), free_port());
            let internal = free_pair();
            let file = folder.join(format!("{name}.toml"));
            let mut node = Self {
                name: name.to_owned(),
                child: Command::new("true").spawn().expect("a process"),
                front: local(front),
                ready: local(ready),
                directory: local(directory),
                internal,
                store,
                file,
                folder: folder.to_owned(),
            };
            let _ = node.child.wait();
            node.write_settings(settings);
            node.spawn();
            if node.wait_ready(Duration::from_secs(8)) {
                return node;
            }
        }
        eprintln!("an entry does not become ready");
        std::process::exit(2);
    }

    /// Writes the settings file, as the platform does at a start and whenever the settings change.
    pub fn write_settings(&self, settings: &Settings) {
        let (front, ready, directory) = (self.front, self.ready, self.directory);
        let (name, store, first) = (&self.name, self.store, self.internal);
        let Settings { grace_s, memory_mb } = settings;
        let last = first + 1;
        let text = format!(
            r#"node_name = "{name}"
role = "my-front"
machine_class = "front"
serves = ["front","directory"]
ip = "127.0.0.1"
zone = "shah-alam"
region = "klang-valley"
internal_port_range = [{first},{last}]
seeds = []
bootstrap = true
counted_in_tolerance = false
discovery = "platform"
entry = "directory"
heartbeat_ms = 1200
contracts = ["base","drain","config","cost","retry","recover","split","stream","engine","platform"]
[zones]
shah-alam = "klang-valley"
[listen]
front = "{front}"
ready = "{ready}"
directory = "{directory}"
[limits]
cpu_share = 0.25
cores = 1
memory_mb = {memory_mb}
file_descriptors = 4100
link_mbps = 1000.0
disk_mb = 0
[fault_tolerance]
machines = 2
zones = 0
regions = 0
[bounds]
seed_lag_s = 3
reuse_after_s = 2
stability_window_ms = 3000
ack_ms = 4000
catch_up_s = 4
drain_ms = 2000
grace_s = {grace_s}
loss_slack_ms = 200
config_apply_ms = 2000
rollback_slack_ms = 250
max_skew_ms = 5000
retry_budget_ratio = 0.2
budget_window_s = 10
budget_extra_retries = 54
recovery_s = 12
transit_ms = 120
retry_after_s = 4.7
fencing_enforced = false
lease_ms = 3000
thaw_slack_ms = 300
ttl_max_s = 5
[platform]
address = "{store}"
form = "objects"
writes_per_s = 400
reads_per_s = 2000
history_s = 20
value_bytes = 1048576
ttl_min_ms = 1000
"#
        );
        std::fs::write(&self.file, text).expect("a settings file");
    }

    /// Starts the process by the command of the deploy file.
    pub fn spawn(&mut self) {
        let log = std::fs::File::options()
            .create(true)
            .append(true)
            .open(self.folder.join(format!("{}.log", self.name)));
        self.child = Command::new("target/release/gs-node")
            .arg("entry")
            .env_clear()
            .env("PATH", std::env::var("PATH").unwrap_or_default())
            .env("GERANIUMSTAGE_CONFIG", &self.file)
            .stdin(Stdio::null())
            .stdout(log.map_or_else(|_| Stdio::null(), Stdio::from))
            .stderr(Stdio::null())
            .spawn()
            .unwrap_or_else(|error| {
                eprintln!("target/release/gs-node does not start: {error}");
                std::process::exit(2);
            });
        // The script ends these processes if it is interrupted.
        let pids = std::fs::File::options()
            .create(true)
            .append(true)
            .open(self.folder.join("pids"));
        if let Ok(mut pids) = pids {
            let _ = writeln!(pids, "{}", self.child.id());
        }
    }

    /// Sends a signal by its name.
    pub fn signal(&self, name: &str) {
        let _ = Command::new("sh")
            .args(["-c", &format!("kill -{name} {}", self.child.id())])
            .status();
    }

    pub fn kill(&mut self) {
        let _ = self.child.kill();
        let _ = self.child.wait();
    }

    pub fn has_exited(&mut self) -> bool {
        self.child.try_wait().ok().flatten().is_some()
    }

    pub fn is_ready(&self) -> bool {
        let request = b"GET /readiness HTTP/1.1\r\nHost: ready\r\nConnection: close\r\n\r\n";
        call(self.ready, request, Duration::from_secs(1)).is_some_and(|answer| answer.status() == 200)
    }

    pub fn wait_ready(&mut self, limit: Duration) -> bool {
        let end = Instant::now() + limit;
        while Instant::now() < end && !self.has_exited() {
            if self.is_ready() {
                return true;
            }
            std::thread::sleep(Duration::from_millis(50));
        }
        false
    }
}
