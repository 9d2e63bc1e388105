//! Writing a log line never blocks the caller.

use std::io::Write;
use std::sync::mpsc::{Receiver, Sender, channel};
use std::time::{Duration, Instant};

use gs_gateway::logs::QueuedWriter;

/// An output that blocks each write until the test releases it, like a pipe without a reader.
struct FullPipe {
    release: Receiver<()>,
    written: Sender<String>,
}

impl Write for FullPipe {
    fn write(&mut self, bytes: &[u8]) -> std::io::Result<usize> {
        // Fails only after the test has dropped its sender.
        let _ = self.release.recv();
        let _ = self
            .written
            .send(String::from_utf8_lossy(bytes).into_owned());
        Ok(bytes.len())
    }

    fn flush(&mut self) -> std::io::Result<()> {
        Ok(())
    }
}

#[test]
fn a_full_pipe_does_not_block_writers_and_dropped_lines_are_counted() {
    let (release, releases) = channel();
    let (written, lines) = channel();
    let pipe = FullPipe {
        release: releases,
        written,
    };
    let mut writer = QueuedWriter::start(pipe);
    let began = Instant::now();
    for number in 0..20_000 {
        writeln!(writer, "line {number}").expect("a line is queued or dropped");
    }
    assert!(began.elapsed() < Duration::from_secs(5));
    drop(release);
    let output: String = lines.iter().take(40).collect();
    assert!(output.contains("left_out="), "{output}");
}
