//! Logs never hold up who writes them.

use std::io::Write;
use std::sync::mpsc::{Receiver, Sender, channel};
use std::time::{Duration, Instant};

use gs_gateway::logs::QueuedWriter;

/// An output that nobody reads: each write waits until the test lets it go on.
struct FullPipe {
    go_on: Receiver<()>,
    written: Sender<String>,
}

impl Write for FullPipe {
    fn write(&mut self, bytes: &[u8]) -> std::io::Result<usize> {
        // The test has ended if it lets nothing go on any more.
        let _ = self.go_on.recv();
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
fn a_full_pipe_holds_nobody_up_and_lost_lines_are_counted() {
    let (go_on, gate) = channel();
    let (written, lines) = channel();
    let pipe = FullPipe {
        go_on: gate,
        written,
    };
    let mut writer = QueuedWriter::start(pipe);
    let began = Instant::now();
    for number in 0..20_000 {
        writeln!(writer, "line {number}").expect("a line is taken or left out");
    }
    assert!(began.elapsed() < Duration::from_secs(5));
    drop(go_on);
    let told: String = lines.iter().take(40).collect();
    assert!(told.contains("left_out="), "{told}");
}
