//! The entries of a small deployment as processes, and the record of a run.

use std::fs::File;
use std::io::{BufRead, BufReader, Write};
use std::net::{SocketAddr, TcpListener, UdpSocket};
use std::path::{Path, PathBuf};
use std::process::{Child, Command, Stdio};
use std::sync::atomic::{AtomicU32, Ordering};
use std::sync::{Arc, Mutex};
use std::time::{Duration, Instant};

use crate::http::exchange;

/// The file in which a run is recorded, and the process ids of what it started.
#[derive(Clone)]
pub struct Record {
    file: Arc<Mutex<File>>,
    pids: Arc<Mutex<File>>,
    pub began: Instant,
    pub folder: PathBuf,
}

impl Record {
    /// `folder` is the temporary folder of the run.
    pub fn new(path: &Path, folder: &Path) -> std::io::Result<Self> {
        Ok(Self {
            file: Arc::new(Mutex::new(File::create(path)?)),
            pids: Arc::new(Mutex::new(File::create(folder.join("pids"))?)),
            began: Instant::now(),
            folder: folder.to_owned(),
        })
    }

    pub fn line(&self, text: &str) {
        let at = self.began.elapsed().as_secs_f64();
        let mut file = self.file.lock().expect("the record");
        let _ = writeln!(file, "{at:9.3} {text}");
    }

    /// Writes a line to the record and to the standard output.
    pub fn tell(&self, text: &str) {
        self.line(text);
        println!("{text}");
    }

    pub fn keep_pid(&self, pid: u32) {
        let mut pids = self.pids.lock().expect("the process ids");
        let _ = writeln!(pids, "{pid}");
        let _ = pids.flush();
    }
}

/// Ports below those that the kernel gives out by itself; each run begins at another one.
static NEXT_PORT: AtomicU32 = AtomicU32::new(0);

/// A free port of the loopback interface, for TCP and UDP.
pub fn free_port() -> u16 {
    loop {
        let step = NEXT_PORT.fetch_add(1, Ordering::Relaxed);
        let port =
            12_000 + (std::process::id().wrapping_mul(97).wrapping_add(step) % 18_000) as u16;
        if TcpListener::bind(("127.0.0.1", port)).is_ok()
            && UdpSocket::bind(("127.0.0.1", port)).is_ok()
        {
            return port;
        }
    }
}

/// Two ports in a row that are free.
fn free_pair() -> u16 {
    loop {
        let (port, next) = (free_port(), free_port());
        if port.checked_add(1) == Some(next) {
            return port;
        }
    }
}

/// An entry process.
pub struct Node {
    pub front: SocketAddr,
    pub ready: SocketAddr,
    pub child: Child,
    settings: PathBuf,
}

impl Drop for Node {
    fn drop(&mut self) {
        let _ = self.child.kill();
        let _ = self.child.wait();
    }
}

fn local(port: u16) -> SocketAddr {
    SocketAddr::from(([127, 0, 0, 1], port))
}

impl Node {
    /// Starts an entry with the command of the deploy file. `bounds` are the lines of that table.
    pub fn start(
        record: &Record,
        name: &str,
        zone: &str,
        store: SocketAddr,
        bounds: &str,
        limits: &str,
    ) -> std::io::Result<Self> {
        let (front, ready, directory) = (free_port(), free_port(), free_port());
        let internal = free_pair();
        let text = format!(
            "node_name = \"{name}\"\nrole = \"entry\"\nmachine_class = \"front\"\nserves = [\"front\",\"directory\"]\nip = \"127.0.0.1\"\n\
             zone = \"{zone}\"\nregion = \"loop\"\ninternal_port_range = [{internal},{}]\nseeds = []\nbootstrap = true\n\
             discovery = \"platform\"\nentry = \"directory\"\nheartbeat_ms = 1200\n[zones]\n{zone} = \"loop\"\n\
             [listen]\nfront = \"127.0.0.1:{front}\"\nready = \"127.0.0.1:{ready}\"\ndirectory = \"127.0.0.1:{directory}\"\n\
             [limits]\n{limits}\n[fault_tolerance]\nmachines = 2\nzones = 0\nregions = 0\n[bounds]\n{bounds}\n\
             [platform]\naddress = \"{store}\"\nform = \"objects\"\nwrites_per_s = 400\nreads_per_s = 2000\nhistory_s = 20\n\
             value_bytes = 1048576\nttl_min_ms = 1000\n",
            internal + 1,
        );
        let settings = record.folder.join(format!("{name}.toml"));
        std::fs::write(&settings, text)?;
        let child = Self::spawn(record, name, &settings)?;
        Ok(Self {
            front: local(front),
            ready: local(ready),
            child,
            settings,
        })
    }

    fn spawn(record: &Record, name: &str, settings: &Path) -> std::io::Result<Child> {
        let log = File::options()
            .create(true)
            .append(true)
            .open(record.folder.join(format!("{name}.log")))?;
        let child = Command::new("target/release/gs-node")
            .arg("entry")
            .env("GERANIUMSTAGE_CONFIG", settings)
            .stdin(Stdio::null())
            .stdout(log.try_clone()?)
            .stderr(log)
            .spawn()?;
        record.keep_pid(child.id());
        record.line(&format!("started {name} as process {}", child.id()));
        Ok(child)
    }

    /// Ends the process as the platform does and starts it again after a short delay.
    pub fn kill_and_restart(&mut self, record: &Record, name: &str) -> std::io::Result<()> {
        let _ = self.child.kill();
        let _ = self.child.wait();
        std::thread::sleep(Duration::from_millis(500));
        self.child = Self::spawn(record, name, &self.settings)?;
        Ok(())
    }

    /// Returns the resident memory of the process, in bytes.
    pub fn memory(&self) -> u64 {
        let status = std::fs::read_to_string(format!("/proc/{}/status", self.child.id()))
            .unwrap_or_default();
        let line = status.lines().find_map(|line| line.strip_prefix("VmRSS:"));
        let kilobytes = line
            .and_then(|line| line.trim().split(' ').next())
            .and_then(|text| text.parse::<u64>().ok());
        kilobytes.unwrap_or(0) * 1_024
    }

    pub fn is_ready(&self) -> bool {
        let request = b"GET /readiness HTTP/1.1\r\nHost: h\r\nConnection: close\r\n\r\n";
        exchange(self.ready, request, Duration::from_millis(300))
            .is_ok_and(|answer| answer.status() == 200)
    }
}

/// Waits until all entries are ready; `false` after 15 s.
pub fn wait_ready(nodes: &[Node]) -> bool {
    let until = Instant::now() + Duration::from_secs(15);
    while Instant::now() < until {
        if nodes.iter().all(Node::is_ready) {
            return true;
        }
        std::thread::sleep(Duration::from_millis(50));
    }
    false
}

/// Starts a stand-in of this program as a process of its own; each line that it writes goes to `line`.
pub fn start_child(
    record: &Record,
    arguments: &[String],
    line: impl Fn(&str) + Send + 'static,
) -> std::io::Result<Child> {
    let mut child = Command::new(std::env::current_exe()?)
        .args(arguments)
        .stdin(Stdio::piped())
        .stdout(Stdio::piped())
        .spawn()?;
    record.keep_pid(child.id());
    if let Some(output) = child.stdout.take() {
        std::thread::spawn(move || {
            for text in BufReader::new(output).lines().map_while(Result::ok) {
                line(&text);
            }
        });
    }
    Ok(child)
}
