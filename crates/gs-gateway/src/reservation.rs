//! Guards that count work at a server, buffered bytes, active requests and open connections until they are
//! dropped.

use std::cell::Cell;
use std::rc::Rc;
use std::time::Instant;

use gs_control::forwarding::{ServerLoad, ShutdownPhase, StreamKey, StreamShape};
use gs_protocol::ids::ServerName;

use crate::gateway::Gateway;

/// Counts work at a server until it is dropped.
pub(crate) struct Reservation {
    gateway: Rc<Gateway>,
    server: ServerName,
    load: ServerLoad,
}

impl std::fmt::Debug for Reservation {
    fn fmt(&self, formatter: &mut std::fmt::Formatter<'_>) -> std::fmt::Result {
        formatter
            .debug_struct("Reservation")
            .field("server", &self.server)
            .field("load", &self.load)
            .finish_non_exhaustive()
    }
}

impl Reservation {
    /// Counts work at a server, and a request toward its limit.
    pub fn acquire(gateway: &Rc<Gateway>, server: &ServerName, load: ServerLoad) -> Self {
        let mut state = gateway.state.borrow_mut();
        state.loads.add(server, load);
        if state.limits.record_sent(Instant::now(), server) {
            gateway.report_changed.notify_one();
        }
        drop(state);
        Self::from_counted(gateway, server, load)
    }

    /// Wraps work that is already counted.
    pub fn from_counted(gateway: &Rc<Gateway>, server: &ServerName, load: ServerLoad) -> Self {
        Self {
            gateway: Rc::clone(gateway),
            server: server.clone(),
            load,
        }
    }
}

impl Drop for Reservation {
    fn drop(&mut self) {
        let mut state = self.gateway.state.borrow_mut();
        state.loads.remove(&self.server, self.load);
        let holds_requests = !state.scheduling.plain.is_empty();
        drop(state);
        if holds_requests {
            self.gateway.capacity_changed.notify_one();
        }
    }
}

/// Counts a stream at a decode engine until it is dropped.
pub(crate) struct StreamReservation {
    gateway: Rc<Gateway>,
    server: ServerName,
    key: StreamKey,
}

impl std::fmt::Debug for StreamReservation {
    fn fmt(&self, formatter: &mut std::fmt::Formatter<'_>) -> std::fmt::Result {
        formatter
            .debug_struct("StreamReservation")
            .field("server", &self.server)
            .field("key", &self.key)
            .finish_non_exhaustive()
    }
}

impl StreamReservation {
    /// Counts a stream at an engine, and a request toward its limit.
    pub fn acquire(gateway: &Rc<Gateway>, server: &ServerName, shape: StreamShape) -> Self {
        let mut state = gateway.state.borrow_mut();
        let key = state.loads.add_stream(server, shape);
        state.limits.record_sent(Instant::now(), server);
        drop(state);
        Self::from_counted(gateway, server, key)
    }

    /// Wraps a stream that is already counted.
    pub fn from_counted(gateway: &Rc<Gateway>, server: &ServerName, key: StreamKey) -> Self {
        gateway.report_changed.notify_one();
        Self {
            gateway: Rc::clone(gateway),
            server: server.clone(),
            key,
        }
    }

    /// Returns the engine of the stream.
    pub fn server(&self) -> &ServerName {
        &self.server
    }

    /// Adds generated tokens to the counted size of the stream.
    pub fn grow(&self, tokens: u32) {
        let mut state = self.gateway.state.borrow_mut();
        state.loads.grow_stream(&self.server, self.key, tokens);
    }
}

impl Drop for StreamReservation {
    fn drop(&mut self) {
        let mut state = self.gateway.state.borrow_mut();
        state.loads.remove_stream(&self.server, self.key);
        drop(state);
        self.gateway.report_changed.notify_one();
        self.gateway.capacity_changed.notify_one();
    }
}

/// Fraction of the memory for bodies that long ones may use; the rest is left for short ones.
pub const LONG_BODY_FRACTION: f64 = 0.75;

/// Counts the bytes of a buffered request body until it is dropped.
pub(crate) struct KeptBytes {
    gateway: Rc<Gateway>,
    bytes: usize,
}

impl std::fmt::Debug for KeptBytes {
    fn fmt(&self, formatter: &mut std::fmt::Formatter<'_>) -> std::fmt::Result {
        formatter
            .debug_tuple("KeptBytes")
            .field(&self.bytes)
            .finish()
    }
}

impl KeptBytes {
    /// Size from which a body is long.
    const LONG_BODY_BYTES: usize = 65_536;

    /// Starts to count a body of which no byte has come in.
    pub fn none(gateway: &Rc<Gateway>) -> Self {
        Self {
            gateway: Rc::clone(gateway),
            bytes: 0,
        }
    }

    /// Counts a body as having `length` bytes, if it had fewer before; `false` if the memory for bodies
    /// does not suffice.
    pub fn extend_to(&mut self, length: usize) -> bool {
        let limit = self.gateway.settings.max_kept_bytes;
        let limit = match length < Self::LONG_BODY_BYTES {
            true => limit,
            false => (limit as f64 * LONG_BODY_FRACTION) as usize,
        };
        let more = length.saturating_sub(self.bytes);
        let total = self.gateway.kept_bytes.get() + more;
        if more > 0 && total > limit {
            return false;
        }
        self.gateway.kept_bytes.set(total);
        self.bytes += more;
        true
    }
}

impl Drop for KeptBytes {
    fn drop(&mut self) {
        let total = self.gateway.kept_bytes.get();
        self.gateway
            .kept_bytes
            .set(total.saturating_sub(self.bytes));
    }
}

/// Counts a request in progress until it is dropped.
pub(crate) struct ActiveRequest(Rc<Gateway>);

impl ActiveRequest {
    /// Counts one more active request.
    pub fn begin(gateway: &Rc<Gateway>) -> Self {
        gateway
            .active_requests
            .set(gateway.active_requests.get() + 1);
        Self(Rc::clone(gateway))
    }
}

impl Drop for ActiveRequest {
    fn drop(&mut self) {
        self.0
            .active_requests
            .set(self.0.active_requests.get().saturating_sub(1));
    }
}

/// Counts a client's connection until it is dropped.
pub(crate) struct OpenConnection {
    gateway: Rc<Gateway>,
    is_awaited: bool,
}

impl OpenConnection {
    /// Counts one more open connection. The exit of the process waits for it unless it was opened when
    /// requests were no longer accepted, so that refused clients do not delay the exit.
    pub fn begin(gateway: &Rc<Gateway>) -> Self {
        let is_awaited = gateway.shutdown_phase() < Some(ShutdownPhase::Finish);
        let count = |counter: &Cell<usize>| counter.set(counter.get() + 1);
        count(&gateway.open_connections);
        if is_awaited {
            count(&gateway.awaited_connections);
        }
        Self {
            gateway: Rc::clone(gateway),
            is_awaited,
        }
    }
}

impl Drop for OpenConnection {
    fn drop(&mut self) {
        let discount = |counter: &Cell<usize>| counter.set(counter.get().saturating_sub(1));
        discount(&self.gateway.open_connections);
        if self.is_awaited {
            discount(&self.gateway.awaited_connections);
        }
    }
}
