//! Counts the datagrams between entries, and how late the tasks of this process run.

use std::cell::RefCell;
use std::rc::Rc;
use std::time::{Duration, Instant};

use crate::peers::ReportSocket;

/// Interval at which the counters are read for their peaks.
const SAMPLE_INTERVAL: Duration = Duration::from_millis(250);

/// Samples between two lines of the log.
const SAMPLES_PER_LINE: u32 = 8;

/// Bytes of an IPv4 and a UDP header.
pub(crate) const DATAGRAM_OVERHEAD_BYTES: usize = 28;

/// Datagrams and bytes that were exchanged in one direction.
#[derive(Clone, Copy, Debug, Default, Eq, PartialEq)]
pub(crate) struct TrafficCount {
    /// Number of datagrams.
    pub datagrams: u64,
    /// Their bytes, with the headers of the network.
    pub bytes: u64,
    /// The bytes among them of reports that are passed on for other entries.
    pub relayed_bytes: u64,
}

impl TrafficCount {
    /// Counts a datagram with `length` bytes.
    pub(crate) fn add(&mut self, length: usize, is_relayed: bool) {
        let bytes = (length + DATAGRAM_OVERHEAD_BYTES) as u64;
        self.datagrams += 1;
        self.bytes += bytes;
        self.relayed_bytes += if is_relayed { bytes } else { 0 };
    }
}

/// Datagrams that an entry has exchanged with its peers since the last line of the log.
#[derive(Debug, Default)]
pub(crate) struct TrafficMeter {
    pub sent: RefCell<TrafficCount>,
    pub received: RefCell<TrafficCount>,
}

/// Logs the datagrams of a socket until the process ends.
pub(crate) async fn log_traffic(socket: Rc<ReportSocket>, link_rate: Option<u64>) {
    loop {
        let started = Instant::now();
        let mut max_delay = Duration::ZERO;
        let (mut peak_sent, mut peak_received) = (0, 0);
        for _ in 0..SAMPLES_PER_LINE {
            let before = (
                socket.traffic.sent.borrow().bytes,
                socket.traffic.received.borrow().bytes,
            );
            let slept = Instant::now();
            tokio::time::sleep(SAMPLE_INTERVAL).await;
            max_delay = max_delay.max(slept.elapsed().saturating_sub(SAMPLE_INTERVAL));
            peak_sent = peak_sent.max(socket.traffic.sent.borrow().bytes - before.0);
            peak_received = peak_received.max(socket.traffic.received.borrow().bytes - before.1);
        }
        let (sent, received) = (socket.traffic.sent.take(), socket.traffic.received.take());
        let samples_per_second = 1.0 / SAMPLE_INTERVAL.as_secs_f64();
        let peak = |bytes: u64| (bytes as f64 * samples_per_second) as u64;
        log::info!(
            target: "peers",
            period_ms = started.elapsed().as_millis() as u64,
            sent = sent.datagrams,
            sent_bytes = sent.bytes,
            sent_relayed_bytes = sent.relayed_bytes,
            peak_sent_bytes_per_s = peak(peak_sent),
            received = received.datagrams,
            received_bytes = received.bytes,
            received_relayed_bytes = received.relayed_bytes,
            peak_received_bytes_per_s = peak(peak_received),
            link_bytes_per_s:? = link_rate,
            max_timer_delay_ms = max_delay.as_millis() as u64;
            "datagrams exchanged"
        );
    }
}
