//! One process of a rig.

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

/// How long a process may take to become ready or to end.
const PATIENCE: Duration = Duration::from_secs(60);

/// Between two looks at a process that is to end.
const LOOK_INTERVAL: Duration = Duration::from_millis(10);

/// What marks the line by which a process says that it is ready.
const READY_MARK: &str = "ready address=";

/// What marks the second address of an entry's ready line.
const PEER_MARK: &str = " peer=";

/// Where the programs are.
#[derive(Clone, Debug)]
pub struct ProgramDirectory {
    folder: PathBuf,
}

impl ProgramDirectory {
    /// The programs in the folder of one of them.
    pub fn containing(program: impl AsRef<Path>) -> Self {
        let folder = program.as_ref().parent().unwrap_or(Path::new("."));
        Self {
            folder: folder.to_owned(),
        }
    }

    /// The path of a program.
    pub fn path(&self, name: &str) -> Result<PathBuf, HarnessError> {
        let path = self.folder.join(name);
        if path.exists() {
            Ok(path)
        } else {
            Err(HarnessError::MissingProgram(path))
        }
    }
}

/// A signal to a process.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum ProcessSignal {
    /// Go on after a stop.
    Continue,
    /// End at once.
    Kill,
    /// Stop until continued.
    Stop,
    /// End gracefully.
    Terminate,
}

/// A process that is ended when this is dropped.
#[derive(Debug)]
pub struct HarnessProcess {
    /// Where it serves HTTP.
    pub address: SocketAddr,
    /// Where an entry takes links.
    pub peer_address: Option<SocketAddr>,
    child: Child,
    log: Arc<Mutex<Vec<String>>>,
}

impl HarnessProcess {
    /// Starts a process and waits for its ready line.
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
        let lines = follow_log(&mut child, Arc::clone(&log));
        let deadline = Instant::now() + PATIENCE;
        let ready = wait_ready(&lines, deadline);
        let Some((address, peer_address)) = ready else {
            // It may have ended already.
            let _ = child.kill();
            let _ = child.wait();
            let log = joined(&log);
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

    /// All that the process has logged.
    pub fn log(&self) -> String {
        joined(&self.log)
    }

    /// Sends a signal.
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

    /// Waits until the process has ended by itself.
    pub fn wait(&mut self) -> Result<ExitStatus, HarnessError> {
        let deadline = Instant::now() + PATIENCE;
        while Instant::now() < deadline {
            if let Some(status) = self.exit_status()? {
                return Ok(status);
            }
            std::thread::sleep(LOOK_INTERVAL);
        }
        Err(HarnessError::NotInTime {
            what: "the end of a process".to_owned(),
        })
    }

    /// The exit status, once the process has ended by itself.
    pub fn exit_status(&mut self) -> Result<Option<ExitStatus>, HarnessError> {
        self.child
            .try_wait()
            .map_err(HarnessError::system("waiting for a process"))
    }

    /// Ends the process at once.
    pub fn close(self) {
        drop(self);
    }
}

impl Drop for HarnessProcess {
    fn drop(&mut self) {
        // It may have ended already.
        let _ = self.child.kill();
        let _ = self.child.wait();
    }
}

/// Collects what a process logs, and hands each line on until nobody listens.
fn follow_log(child: &mut Child, log: Arc<Mutex<Vec<String>>>) -> Receiver<String> {
    let (sender, lines) = channel();
    if let Some(stderr) = child.stderr.take() {
        std::thread::spawn(move || {
            for line in BufReader::new(stderr).lines().map_while(Result::ok) {
                log.lock()
                    .unwrap_or_else(PoisonError::into_inner)
                    .push(line.clone());
                // Nobody listens once the process is ready.
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
        let left = deadline.saturating_duration_since(Instant::now());
        let line = lines.recv_timeout(left).ok()?;
        if let Some(found) = read_ready(&line) {
            return Some(found);
        }
    }
}

fn read_ready(line: &str) -> Option<(SocketAddr, Option<SocketAddr>)> {
    let (_, rest) = line.split_once(READY_MARK)?;
    let address = rest.split_whitespace().next()?.parse().ok()?;
    let peer = rest
        .split_once(PEER_MARK)
        .and_then(|(_, rest)| rest.split_whitespace().next());
    Some((address, peer.and_then(|peer| peer.parse().ok())))
}

fn joined(log: &Mutex<Vec<String>>) -> String {
    log.lock()
        .unwrap_or_else(PoisonError::into_inner)
        .join("\n")
}
