//! Drives the reclaim slice and sends its cancel requests to engines.

use std::cell::RefCell;
use std::net::SocketAddr;
use std::rc::Rc;
use std::time::{Duration, Instant};

use gs_control::reclaim::{ReclaimEffect, ReclaimEvent, ReclaimState};
use gs_document::settings::EntrySettings;
use gs_protocol::engine::CancelRequest;
use gs_protocol::ids::AttemptId;

use crate::engine::{ClientPool, EngineClient};

/// An attempt whose engine resources must be released.
#[derive(Clone, Debug)]
pub struct ReclaimRequest {
    /// Identifier of the attempt.
    pub attempt: AttemptId,
    /// Engines that may hold resources for it.
    pub engines: Vec<SocketAddr>,
}

/// Cancels attempts on engines until the engines acknowledge it.
pub struct ReclaimHandler {
    state: ReclaimState,
    client: EngineClient,
    timeout: Duration,
    acknowledged: Rc<RefCell<Vec<ReclaimEvent>>>,
}

impl ReclaimHandler {
    /// Creates a handler without pending cancels.
    pub fn new(settings: &EntrySettings) -> Self {
        let pool = Rc::new(ClientPool::new(settings.timeouts.connect));
        Self {
            state: ReclaimState::default(),
            client: EngineClient::new(pool),
            timeout: settings.timeouts.reserve,
            acknowledged: Rc::default(),
        }
    }

    /// Starts to release the resources of an attempt.
    pub fn start(&mut self, now: Instant, request: ReclaimRequest) {
        let ReclaimRequest { attempt, engines } = request;
        for engine in engines {
            self.handle(now, ReclaimEvent::CancelRequested { attempt, engine });
        }
    }

    /// Handles acknowledgements received since the last tick, and repeats cancels that are due.
    pub fn tick(&mut self, now: Instant) {
        let events = self.acknowledged.take();
        for event in events {
            self.handle(now, event);
        }
        self.handle(now, ReclaimEvent::Tick);
    }

    fn handle(&mut self, now: Instant, event: ReclaimEvent) {
        let mut effects = Vec::new();
        self.state.handle(now, event, &mut effects);
        for ReclaimEffect::Cancel { attempt, engine } in effects {
            self.send(attempt, engine);
        }
    }

    fn send(&self, attempt: AttemptId, engine: SocketAddr) {
        let client = self.client.clone();
        let time_limit = self.timeout;
        let acknowledged = Rc::clone(&self.acknowledged);
        actix_rt::spawn(async move {
            match client
                .cancel(engine, &CancelRequest { attempt }, time_limit)
                .await
            {
                Ok(()) => {
                    acknowledged
                        .borrow_mut()
                        .push(ReclaimEvent::CancelAcknowledged { attempt, engine });
                }
                Err(error) => log::debug!(target: "reclaim", attempt:%; "Cancel failed: {error}."),
            }
        });
    }
}
