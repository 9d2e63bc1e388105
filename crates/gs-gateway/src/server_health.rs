//! Records what exchanges with servers tell of their health.

use std::time::Instant;

use gs_protocol::ids::ServerName;

use crate::gateway::Gateway;
use crate::wire::AnswerClass;

impl Gateway {
    /// Records an answer of a server, for its failure rate.
    pub(crate) fn record_answer(&self, server: &ServerName, is_failure: bool) {
        let mut state = self.state.borrow_mut();
        state
            .loads
            .record_answer(Instant::now(), server, is_failure);
    }

    /// Records the class of a server's answer, for its failure rate and for what runs at its address.
    pub(crate) fn record_class(&self, server: &ServerName, class: AnswerClass) {
        match class {
            AnswerClass::Success => self.record_answer(server, false),
            AnswerClass::ServerFailure | AnswerClass::NotExecuted | AnswerClass::Foreign => {
                self.record_answer(server, true);
            }
            AnswerClass::Misdirected => self.record_misdirected(server),
        }
    }

    /// Records a failed connection; the server gets no new work for a while.
    pub(crate) fn record_unreachable(&self, server: &ServerName) {
        let mut state = self.state.borrow_mut();
        let backoff = state.loads.record_unreachable(Instant::now(), server);
        log::info!(target: "servers", server:%, hold_ms = backoff.as_millis() as u64; "server unreachable");
        drop(state);
        self.report_changed.notify_one();
        self.record_link_failure(server);
    }

    /// Records that an engine has no free capacity.
    pub(crate) fn record_full(&self, server: &ServerName) {
        let mut state = self.state.borrow_mut();
        state.loads.record_full(Instant::now(), server);
    }

    /// Records that another server answers at a server's address.
    pub(crate) fn record_misdirected(&self, server: &ServerName) {
        log::info!(target: "servers", server:%; "another server answers at the address");
        let mut state = self.state.borrow_mut();
        state.directory.record_misdirected(Instant::now(), server);
        self.report_changed.notify_one();
    }
}
