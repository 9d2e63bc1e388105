//! The record of a run: what was sent, answered and run, with times from the start.

use std::fs::File;
use std::io::{BufWriter, Write};
use std::sync::{Arc, Mutex};
use std::time::Instant;

/// Writes lines to the record.
#[derive(Clone)]
pub struct Record {
    started: Instant,
    file: Arc<Mutex<BufWriter<File>>>,
}

impl Record {
    /// Creates the record.
    pub fn create(path: &str) -> std::io::Result<Self> {
        Ok(Self {
            started: Instant::now(),
            file: Arc::new(Mutex::new(BufWriter::new(File::create(path)?))),
        })
    }

    /// Returns the seconds since the start.
    pub fn seconds(&self) -> f64 {
        self.started.elapsed().as_secs_f64()
    }

    /// Writes a line.
    pub fn note(&self, text: &str) {
        let mut file = self.file.lock().expect("the record");
        let _ = writeln!(file, "{:9.3} s  {text}", self.seconds());
    }

    /// Writes a line that is also shown.
    pub fn say(&self, text: &str) {
        self.note(text);
        // Nobody may read the output.
        let _ = writeln!(std::io::stdout(), "{text}");
        let _ = self.file.lock().expect("the record").flush();
    }
}
