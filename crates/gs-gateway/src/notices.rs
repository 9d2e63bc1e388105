//! What servers say of themselves in their answers: limits, pauses, and that they are leaving.

use std::time::Instant;

use gs_control::forwarding::LimitChange;
use gs_protocol::ids::ServerName;
use hyper::http::response::Parts;

use crate::gateway::Gateway;
use crate::wire::AnswerClass;

/// A request that was sent to a server: when, and to which of its starts.
#[derive(Clone, Copy, Debug)]
pub(crate) struct SentRequest {
    at: Instant,
    started_at_ms: Option<u64>,
}

impl Gateway {
    /// Notes the time and the server's start for a request that is sent now.
    pub(crate) fn note_sent(&self, server: &ServerName) -> SentRequest {
        let state = self.state.borrow();
        let listed = state.directory.get(server);
        SentRequest {
            at: Instant::now(),
            started_at_ms: listed.and_then(|listed| listed.started_at_ms),
        }
    }

    /// Records the class of an answer in the health of its server, unless the server asks for a pause: the pause then
    /// keeps requests away, and no longer than the server wants.
    pub(crate) fn record_head(
        &self,
        server: &ServerName,
        sent: SentRequest,
        class: AnswerClass,
        head: &Parts,
    ) {
        self.record_notice(server, sent, class, head);
        if class != AnswerClass::NotExecuted || !self.is_paused(server) {
            self.record_class(server, class);
        }
    }

    /// Records what the head of an answer to a request says of its server. An answer of another server says nothing
    /// of this one.
    pub(crate) fn record_notice(
        &self,
        server: &ServerName,
        sent: SentRequest,
        class: AnswerClass,
        head: &Parts,
    ) {
        if matches!(class, AnswerClass::Foreign | AnswerClass::Misdirected) {
            return;
        }
        let notice = self.wire.server_notice(head);
        let now = Instant::now();
        let mut state = self.state.borrow_mut();
        let change = state
            .limits
            .record_answer(now, server, sent.at, notice.limit);
        let pause = state
            .limits
            .record_pause(now, server, sent.at, notice.pause);
        let is_leaving =
            notice.is_leaving && state.directory.record_leaving(server, sent.started_at_ms);
        drop(state);
        if let Some(LimitChange { server, limit }) = &change {
            let source = self.settings.own.identity.entry.as_str();
            log::info!(target: "servers", server:%, limit:?, source; "request limit changed");
        }
        if let Some(pause) = pause {
            log::info!(target: "servers", server:%, pause_ms = pause.as_millis() as u64; "the server asks for a pause");
        }
        if is_leaving {
            log::info!(target: "servers", server:%, born:? = sent.started_at_ms; "the server says that it is leaving");
        }
        if change.is_some() || is_leaving {
            self.report_changed.notify_one();
        }
    }

    /// Whether a server has asked for a pause that has not ended.
    pub(crate) fn is_paused(&self, server: &ServerName) -> bool {
        let state = self.state.borrow();
        state.limits.is_paused(Instant::now(), server)
    }

    /// Whether a server that was chosen before may still get a request: it is in use and has asked for no pause.
    pub(crate) fn may_send(&self, server: &ServerName) -> bool {
        let now = Instant::now();
        let state = self.state.borrow();
        state.directory.is_usable(now, server) && !state.limits.is_paused(now, server)
    }
}
