//! Starts the project's entry processes, as the platform does, and sends them signals.

use std::fs;
use std::net::{SocketAddr, TcpListener, UdpSocket};
use std::path::{Path, PathBuf};
use std::process::{Child, Command, Stdio};
use std::sync::atomic::{AtomicU32, Ordering};
use std::time::{Duration, Instant};

use crate::http::Connection;

/// Program and argument of the deploy file.
const PROGRAM: &str = "target/release/gs-node";
const ARGUMENT: &str = "entry";

/// Settings of a small deployment, as the pages show them.
const SETTINGS: &str = include_str!("settings.toml");

/// An entry process and its addresses.
pub struct Node {
    child: Child,
    pid_file: PathBuf,
    settings: PathBuf,
    /// Name of the machine.
    pub name: String,
    /// Address for clients.
    pub front: SocketAddr,
    /// Address for readiness checks.
    pub ready: SocketAddr,
}

/// Ports below those that systems give to outgoing connections, so that none of these takes one meanwhile.
const PORTS: std::ops::Range<u16> = 20_000..30_000;

/// Number of ports that were tried.
static TRIED: AtomicU32 = AtomicU32::new(0);

/// Returns an address that is free for TCP and UDP, each time another one.
fn free_address() -> SocketAddr {
    loop {
        let offset = std::process::id()
            .wrapping_mul(61)
            .wrapping_add(TRIED.fetch_add(1, Ordering::SeqCst));
        let port = PORTS.start + (offset % u32::from(PORTS.end - PORTS.start)) as u16;
        let address = SocketAddr::from(([127, 0, 0, 1], port));
        if TcpListener::bind(address).is_ok() && UdpSocket::bind(address).is_ok() {
            return address;
        }
    }
}

/// Sends a signal by name to a process.
pub fn signal(pid: u32, name: &str) {
    let sent = Command::new("kill")
        .args([format!("-{name}"), pid.to_string()])
        .status();
    assert!(
        sent.is_ok_and(|status| status.success()),
        "signal {name} to {pid}"
    );
}

impl Node {
    /// Starts an entry. `folder` is the temporary folder of this run.
    pub fn start(folder: &Path, number: u32, zone: &str, store: SocketAddr) -> Self {
        let name = format!("front-{zone}-{number}");
        let (front, ready, directory) = (free_address(), free_address(), free_address());
        let text = SETTINGS
            .replace("@name", &name)
            .replace("@zone", zone)
            .replace("@front", &front.to_string())
            .replace("@ready", &ready.to_string())
            .replace("@directory", &directory.to_string())
            .replace("@store", &store.to_string())
            .replace("@port", &free_address().port().to_string());
        let settings = folder.join(format!("{name}.toml"));
        fs::write(&settings, text).expect("the settings file");
        let child = launch(&settings, folder, &name);
        let pid_file = folder.join(format!("{name}.pid"));
        fs::write(&pid_file, child.id().to_string()).expect("the process id");
        Self {
            child,
            pid_file,
            settings,
            name,
            front,
            ready,
        }
    }

    /// Returns the process id.
    pub fn pid(&self) -> u32 {
        self.child.id()
    }

    /// Sends a signal by name.
    pub fn signal(&self, name: &str) {
        signal(self.pid(), name);
    }

    /// Whether the process has ended.
    pub fn has_ended(&mut self) -> bool {
        let ended = self.child.try_wait().is_ok_and(|status| status.is_some());
        if ended {
            let _ = fs::remove_file(&self.pid_file);
        }
        ended
    }

    /// Kills the process and starts it again with the same settings after a delay, as the platform does.
    pub fn restart(&mut self, delay: Duration) {
        let _ = self.child.kill();
        let _ = self.child.wait();
        std::thread::sleep(delay);
        let folder = self.settings.parent().expect("the folder").to_owned();
        self.child = launch(&self.settings, &folder, &self.name);
        let _ = fs::write(&self.pid_file, self.child.id().to_string());
    }

    /// Returns the resident memory of the process in bytes.
    pub fn memory(&self) -> u64 {
        let status = fs::read_to_string(format!("/proc/{}/status", self.pid())).unwrap_or_default();
        let line = status.lines().find_map(|line| line.strip_prefix("VmRSS:"));
        let kilobytes = line.and_then(|line| line.split_whitespace().next()?.parse::<u64>().ok());
        kilobytes.unwrap_or(0) * 1_024
    }

    /// Returns the status of the readiness check; `None` without an answer.
    pub fn readiness(&self) -> Option<u16> {
        let mut connection = Connection::open(self.ready)?;
        connection.send(b"GET /readiness HTTP/1.1\r\nHost: ready\r\nConnection: close\r\n\r\n");
        let (head, _) = connection.answer(Duration::from_secs(1))?;
        Some(head.status())
    }

    /// Waits until the entry is ready.
    pub fn wait_ready(&self) -> bool {
        let end = Instant::now() + Duration::from_secs(10);
        while Instant::now() < end {
            if self.readiness() == Some(200) {
                return true;
            }
            std::thread::sleep(Duration::from_millis(50));
        }
        false
    }
}

impl Drop for Node {
    fn drop(&mut self) {
        let _ = self.child.kill();
        let _ = self.child.wait();
        let _ = fs::remove_file(&self.pid_file);
    }
}

fn launch(settings: &Path, folder: &Path, name: &str) -> Child {
    let mut options = fs::OpenOptions::new();
    let log = options
        .create(true)
        .append(true)
        .open(folder.join(format!("{name}.log")));
    let log = log.map_or_else(|_| Stdio::null(), Stdio::from);
    Command::new(PROGRAM)
        .arg(ARGUMENT)
        .env("GERANIUMSTAGE_CONFIG", settings)
        .stdin(Stdio::null())
        .stdout(log)
        .spawn()
        .expect("the project's program")
}
