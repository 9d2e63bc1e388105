//! Sends the cancel orders that the reclaim slice asks for.

use std::cell::RefCell;
use std::net::SocketAddr;
use std::rc::Rc;
use std::time::{Duration, Instant};

use gs_control::reclaim::{ReclaimEffect, ReclaimEvent, ReclaimState};
use gs_document::settings::EntrySettings;
use gs_protocol::engine::CancelRequest;
use gs_protocol::ids::AttemptId;

use crate::engine::{ClientPool, EngineClient};

/// An attempt that ended before its engines were done with it.
#[derive(Clone, Debug)]
pub struct ReclaimCall {
    /// The attempt.
    pub attempt: AttemptId,
    /// The engines that may hold something for it.
    pub engines: Vec<SocketAddr>,
}

/// The reclaim slice and the connections that it uses.
pub struct ReclaimLoop {
    state: ReclaimState,
    client: EngineClient,
    timeout: Duration,
    acknowledged: Rc<RefCell<Vec<ReclaimEvent>>>,
}

impl ReclaimLoop {
    /// A loop without orders.
    pub fn new(settings: &EntrySettings) -> Self {
        let pool = Rc::new(ClientPool::new(settings.timeouts.connect));
        Self {
            state: ReclaimState::default(),
            client: EngineClient::new(pool),
            timeout: settings.timeouts.reserve,
            acknowledged: Rc::default(),
        }
    }

    /// Begins to free what an attempt holds.
    pub fn add(&mut self, now: Instant, call: ReclaimCall) {
        let ReclaimCall { attempt, engines } = call;
        for engine in engines {
            self.handle(now, ReclaimEvent::CancelRequested { attempt, engine });
        }
    }

    /// Takes in acknowledgements and repeats what is due.
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
        let within = self.timeout;
        let acknowledged = Rc::clone(&self.acknowledged);
        actix_rt::spawn(async move {
            match client
                .cancel(engine, &CancelRequest { attempt }, within)
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
