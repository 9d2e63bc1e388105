//! A child process of a test deployment.

use std::io::{BufRead, BufReader};
use std::net::SocketAddr;
use std::path::{Path, PathBuf};
use std::process::{Child, Command, ExitStatus, Stdio};
use std::sync::mpsc::{Receiver, channel};
use std::sync::{Arc, Mutex, PoisonError};
use std::time::{Duration, Instant};

use nix::sys::signal::{Signal, kill};
use nix::unistd::Pid;

use super::HarnessError;

/// Time limit for a process to become ready or to exit.
const PROCESS_TIMEOUT: Duration = Duration::from_secs(60);

/// Interval at which the exit of a process is polled.
const POLL_INTERVAL: Duration = Duration::from_millis(10);

/// Marks the log line that a process writes when it is ready.
const READY_MARKER: &str = "ready address=";

/// Precedes the peer address in the ready line of an entry.
const PEER_MARKER: &str = " peer=";

/// The directory of the built programs.
#[derive(Clone, Debug)]
pub struct ProgramDirectory {
    directory: PathBuf,
}

impl ProgramDirectory {
    /// Uses the directory that contains the given program.
    pub fn containing(program: impl AsRef<Path>) -> Self {
        let directory = program.as_ref().parent().unwrap_or(Path::new("."));
        Self {
            directory: directory.to_owned(),
        }
    }

    /// Returns the path of a program, or an error if it does not exist.
    pub fn path(&self, name: &str) -> Result<PathBuf, HarnessError> {
        let path = self.directory.join(name);
        if path.exists() {
            Ok(path)
        } else {
            Err(HarnessError::MissingProgram(path))
        }
    }
}

/// A signal that can be sent to a process.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum ProcessSignal {
    /// `SIGCONT`: continue after a stop.
    Continue,
    /// `SIGKILL`: end without cleanup.
    Kill,
    /// `SIGSTOP`: pause until continued.
    Stop,
    /// `SIGTERM`: shut down gracefully.
    Terminate,
}

/// A child process, killed on drop.
#[derive(Debug)]
pub struct HarnessProcess {
    /// The address of its HTTP server.
    pub address: SocketAddr,
    /// The address at which an entry accepts connections of other entries.
    pub peer_address: Option<SocketAddr>,
    child: Child,
    log: Arc<Mutex<Vec<String>>>,
}

impl HarnessProcess {
    /// Starts a process and blocks until its ready line appears, for at most `PROCESS_TIMEOUT`.
    pub fn start(
        programs: &ProgramDirectory,
        name: &str,
        arguments: &[&str],
    ) -> Result<Self, HarnessError> {
        let mut child = Command::new(programs.path(name)?)
            .args(arguments)
            .stdin(Stdio::null())
            .stdout(Stdio::null())
            .stderr(Stdio::piped())
            .spawn()
            .map_err(HarnessError::system("starting a process"))?;
        let log = Arc::default();
        let lines = collect_log(&mut child, Arc::clone(&log));
        let deadline = Instant::now() + PROCESS_TIMEOUT;
        let ready = wait_ready(&lines, deadline);
        let Some((address, peer_address)) = ready else {
            // The process may have exited already.
            let _ = child.kill();
            let _ = child.wait();
            let log = join_lines(&log);
            return Err(HarnessError::NotReady {
                program: name.to_owned(),
                log,
            });
        };
        Ok(Self {
            address,
            peer_address,
            child,
            log,
        })
    }

    /// The process id.
    pub fn id(&self) -> u32 {
        self.child.id()
    }

    /// Returns everything that the process has written to standard error.
    pub fn log(&self) -> String {
        join_lines(&self.log)
    }

    /// Sends a signal to the process.
    pub fn signal(&self, signal: ProcessSignal) -> Result<(), HarnessError> {
        let signal = match signal {
            ProcessSignal::Continue => Signal::SIGCONT,
            ProcessSignal::Kill => Signal::SIGKILL,
            ProcessSignal::Stop => Signal::SIGSTOP,
            ProcessSignal::Terminate => Signal::SIGTERM,
        };
        let id = i32::try_from(self.child.id()).unwrap_or(i32::MAX);
        kill(Pid::from_raw(id), signal)
            .map_err(|error| HarnessError::system("sending a signal")(error.into()))
    }

    /// Blocks until the process exits, for at most `PROCESS_TIMEOUT`.
    pub fn wait(&mut self) -> Result<ExitStatus, HarnessError> {
        let deadline = Instant::now() + PROCESS_TIMEOUT;
        while Instant::now() < deadline {
            if let Some(status) = self.exit_status()? {
                return Ok(status);
            }
            std::thread::sleep(POLL_INTERVAL);
        }
        Err(HarnessError::Timeout {
            condition: "the exit of a process".to_owned(),
        })
    }

    /// Returns the exit status, or `None` while the process runs.
    pub fn exit_status(&mut self) -> Result<Option<ExitStatus>, HarnessError> {
        self.child
            .try_wait()
            .map_err(HarnessError::system("waiting for a process"))
    }

    /// Kills the process.
    pub fn close(self) {
        drop(self);
    }
}

impl Drop for HarnessProcess {
    fn drop(&mut self) {
        // The process may have exited already.
        let _ = self.child.kill();
        let _ = self.child.wait();
    }
}

/// Collects the standard error of a process in `log` and sends each line to the returned receiver.
fn collect_log(child: &mut Child, log: Arc<Mutex<Vec<String>>>) -> Receiver<String> {
    let (sender, lines) = channel();
    if let Some(stderr) = child.stderr.take() {
        std::thread::spawn(move || {
            for line in BufReader::new(stderr).lines().map_while(Result::ok) {
                log.lock()
                    .unwrap_or_else(PoisonError::into_inner)
                    .push(line.clone());
                // The receiver is dropped once the process is ready.
                let _ = sender.send(line);
            }
        });
    }
    lines
}

fn wait_ready(
    lines: &Receiver<String>,
    deadline: Instant,
) -> Option<(SocketAddr, Option<SocketAddr>)> {
    loop {
        let remaining = deadline.saturating_duration_since(Instant::now());
        let line = lines.recv_timeout(remaining).ok()?;
        if let Some(addresses) = parse_ready_line(&line) {
            return Some(addresses);
        }
    }
}

fn parse_ready_line(line: &str) -> Option<(SocketAddr, Option<SocketAddr>)> {
    let (_, rest) = line.split_once(READY_MARKER)?;
    let address = rest.split_whitespace().next()?.parse().ok()?;
    let peer = rest
        .split_once(PEER_MARKER)
        .and_then(|(_, rest)| rest.split_whitespace().next());
    Some((address, peer.and_then(|peer| peer.parse().ok())))
}

fn join_lines(log: &Mutex<Vec<String>>) -> String {
    log.lock()
        .unwrap_or_else(PoisonError::into_inner)
        .join("\n")
}
