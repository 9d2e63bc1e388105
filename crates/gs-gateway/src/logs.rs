//! Structured logs on standard output that never block the traffic.

use std::io::{self, Write};
use std::sync::atomic::{AtomicU64, Ordering};
use std::sync::mpsc::{SyncSender, TrySendError, sync_channel};
use std::sync::{Arc, Mutex};
use std::time::{Duration, Instant};

use env_logger::{Builder, Env, Target};
use log::kv::{Error, Key, Value, VisitSource};

/// Lines buffered for a slow reader of the logs.
const QUEUE_CAPACITY: usize = 512;

/// Maximum number of lines per log target and second.
const LINES_PER_SECOND: u32 = 200;

/// Window over which lines are counted.
const BUDGET_WINDOW: Duration = Duration::from_secs(1);

/// Queues lines for a writer thread; lines that find the queue full are dropped and counted.
pub struct QueuedWriter {
    sender: SyncSender<Vec<u8>>,
    dropped_lines: Arc<AtomicU64>,
}

impl QueuedWriter {
    /// Starts the thread that writes to `output`.
    pub fn start(mut output: impl Write + Send + 'static) -> Self {
        let (sender, receiver) = sync_channel::<Vec<u8>>(QUEUE_CAPACITY);
        let dropped_lines = Arc::new(AtomicU64::new(0));
        let shared_count = Arc::clone(&dropped_lines);
        std::thread::spawn(move || {
            for line in receiver {
                let dropped = shared_count.swap(0, Ordering::Relaxed);
                if dropped > 0 {
                    // If standard output is closed, there is nowhere to report the error.
                    let _ = writeln!(
                        output,
                        "level=WARN target=logs left_out={dropped} msg=\"log lines dropped\""
                    );
                }
                if output
                    .write_all(&line)
                    .and_then(|()| output.flush())
                    .is_err()
                {
                    return;
                }
            }
        });
        Self {
            sender,
            dropped_lines,
        }
    }
}

impl Write for QueuedWriter {
    fn write(&mut self, bytes: &[u8]) -> io::Result<usize> {
        match self.sender.try_send(bytes.to_vec()) {
            Ok(()) => {}
            Err(TrySendError::Full(_) | TrySendError::Disconnected(_)) => {
                self.dropped_lines.fetch_add(1, Ordering::Relaxed);
            }
        }
        Ok(bytes.len())
    }

    fn flush(&mut self) -> io::Result<()> {
        Ok(())
    }
}

/// Lines of one log target in the current window.
#[derive(Debug)]
struct LineBudget {
    window_start: Instant,
    written: u32,
    dropped: u32,
}

/// Rate limits of all log targets.
#[derive(Debug, Default)]
struct LineBudgets(Mutex<std::collections::BTreeMap<String, LineBudget>>);

impl LineBudgets {
    /// Counts a line. Returns how many lines were dropped before it, or `None` if the limit is reached.
    fn count_line(&self, target: &str) -> Option<u32> {
        let mut budgets = self.0.lock().unwrap_or_else(|broken| broken.into_inner());
        let now = Instant::now();
        if !budgets.contains_key(target) {
            let budget = LineBudget {
                window_start: now,
                written: 0,
                dropped: 0,
            };
            budgets.insert(target.to_owned(), budget);
        }
        let budget = budgets.get_mut(target)?;
        if now.saturating_duration_since(budget.window_start) >= BUDGET_WINDOW {
            budget.window_start = now;
            budget.written = 0;
        }
        if budget.written >= LINES_PER_SECOND {
            budget.dropped += 1;
            return None;
        }
        budget.written += 1;
        Some(std::mem::take(&mut budget.dropped))
    }
}

/// Writes the key-value fields of a line.
struct FieldWriter<'a>(&'a mut dyn Write);

impl<'kvs> VisitSource<'kvs> for FieldWriter<'_> {
    fn visit_pair(&mut self, key: Key<'kvs>, value: Value<'kvs>) -> Result<(), Error> {
        let text = value.to_string();
        match text.contains([' ', '"', '=']) {
            true => write!(self.0, " {key}={text:?}")?,
            false => write!(self.0, " {key}={text}")?,
        }
        Ok(())
    }
}

/// Installs the process-wide logger: logfmt on `output`, at the level of `RUST_LOG` or `info`.
pub fn install(output: impl Write + Send + 'static) {
    let budgets = LineBudgets::default();
    let started = Instant::now();
    Builder::from_env(Env::default().default_filter_or("info"))
        .target(Target::Pipe(Box::new(QueuedWriter::start(output))))
        .format(move |buffer, record| {
            let Some(dropped) = budgets.count_line(record.target()) else {
                return Ok(());
            };
            let since = started.elapsed().as_millis();
            write!(
                buffer,
                "up_ms={since} level={} target={} msg={:?}",
                record.level(),
                record.target(),
                record.args().to_string()
            )?;
            if dropped > 0 {
                write!(buffer, " left_out={dropped}")?;
            }
            let visited = record.key_values().visit(&mut FieldWriter(buffer));
            if visited.is_err() {
                write!(buffer, " fields=unreadable")?;
            }
            writeln!(buffer)
        })
        .init();
}
