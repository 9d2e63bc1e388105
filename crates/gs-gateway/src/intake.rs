//! Holds long bodies back from servers that hold as much as they are known to bear.

use std::rc::Rc;
use std::time::{Duration, Instant};

use gs_control::forwarding::{BodyOutcome, SentBody};
use gs_protocol::ids::ServerName;
use hyper::Response;
use hyper::body::Incoming;

use crate::connection::CallError;
use crate::gateway::Gateway;
use crate::plain::ForwardJob;

/// Part of the latency target that a request may wait until a server can hold its body.
const INTAKE_WAIT_FRACTION: f64 = 0.5;

/// Interval at which a body that waits is offered again.
const OFFER_INTERVAL: Duration = Duration::from_millis(5);

/// Counts a body at a server until it has its answer, or the exchange is given up by dropping this.
pub(crate) struct BodyGuard {
    gateway: Rc<Gateway>,
    server: ServerName,
    body: SentBody,
    outcome: BodyOutcome,
}

impl BodyGuard {
    /// Records the result of sending the request and waiting for the head of its answer.
    pub fn settle(mut self, sent: &Result<Response<Incoming>, CallError>) {
        self.outcome = match sent {
            Ok(_) => BodyOutcome::Answered,
            Err(CallError::Broken(_)) => BodyOutcome::Broken,
            Err(_) => BodyOutcome::GivenUp,
        };
    }
}

impl Drop for BodyGuard {
    fn drop(&mut self) {
        let mut state = self.gateway.state.borrow_mut();
        let lowered = state
            .intake
            .record_end(&self.server, self.body, self.outcome);
        drop(state);
        if let Some(bound) = lowered {
            log::info!(target: "servers", server:% = self.server, bound; "the server gets fewer bytes at once: its connection broke while it held more");
        }
    }
}

impl Gateway {
    /// Waits until a server can hold the body of a request, and counts it there. Fails with
    /// [`CallError::NoIntake`] if this takes too long for the request, or it must not be sent any more.
    pub(crate) async fn admit_body(
        self: &Rc<Self>,
        server: &ServerName,
        job: &ForwardJob,
    ) -> Result<BodyGuard, CallError> {
        let bytes = job.body.len() as u64;
        let until = job.arrived + job.rule.latency_target.mul_f64(INTAKE_WAIT_FRACTION);
        loop {
            if let Some(body) = self.offer_body(server, bytes) {
                return Ok(BodyGuard {
                    gateway: Rc::clone(self),
                    server: server.clone(),
                    body,
                    outcome: BodyOutcome::GivenUp,
                });
            }
            if Instant::now() >= until.min(job.answer_due()) {
                log::info!(target: "request", id:% = job.metadata.request_id, server:%, bytes; "not sent: the server holds as many bytes as it is known to bear");
                return Err(CallError::NoIntake);
            }
            tokio::time::sleep(OFFER_INTERVAL.mul_f64(1.0 + self.random_fraction())).await;
            // What allowed the request to start may have ended while it waited.
            if self.start_refusal(job).is_some() {
                return Err(CallError::NoIntake);
            }
        }
    }

    /// Records that a request was not sent. A server is unreachable unless the request was held back here.
    pub(crate) fn record_not_sent(&self, server: &ServerName, error: &CallError) {
        if error.is_unreachable() {
            self.record_unreachable(server);
        }
    }

    /// Counts a body at a server if the server can hold it.
    fn offer_body(&self, server: &ServerName, bytes: u64) -> Option<SentBody> {
        let mut state = self.state.borrow_mut();
        let listed = state.directory.get(server);
        let started_at_ms = listed.and_then(|listed| listed.started_at_ms);
        let peers = state.loads.peer_requests(server);
        let admits = state.intake.admits(server, started_at_ms, bytes, peers);
        admits.then(|| {
            state
                .intake
                .record_sent(server, started_at_ms, bytes, peers)
        })
    }
}
