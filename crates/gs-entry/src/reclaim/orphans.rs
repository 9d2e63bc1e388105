//! Cancels attempts that dead entries left behind on the engines whose home is this entry.

use std::net::SocketAddr;
use std::rc::Rc;
use std::time::{Duration, Instant};

use actix::Addr;
use gs_control::reclaim::{OrphanEffect, OrphanEvent, OrphanState};
use gs_document::settings::EntrySettings;
use gs_protocol::engine::HeldResource;
use gs_protocol::ids::EntryIdentity;

use super::ReclaimRequest;
use crate::control::{ControlActor, ControlMessage};
use crate::engine::{ClientPool, EngineClient};

/// Interval between two reads of an engine's held resources.
const HELD_POLL_INTERVAL: Duration = Duration::from_millis(500);

/// Drives the orphan slice with the held resources of engines.
pub struct OrphanHandler {
    state: OrphanState,
    client: EngineClient,
    timeout: Duration,
    next_poll: Instant,
}

impl OrphanHandler {
    /// Creates a handler that knows only this entry as an owner.
    pub fn new(own: EntryIdentity, settings: &EntrySettings) -> Self {
        let pool = Rc::new(ClientPool::new(settings.timeouts.connect));
        Self {
            state: OrphanState::new(own),
            client: EngineClient::new(pool),
            timeout: settings.timeouts.reserve,
            next_poll: Instant::now(),
        }
    }

    /// Whether the next read is due. If so, schedules the one after it.
    pub fn is_due(&mut self, now: Instant) -> bool {
        let due = now >= self.next_poll;
        if due {
            self.next_poll = now + HELD_POLL_INTERVAL;
        }
        due
    }

    /// Requests the held resources of an engine. They arrive as [`ControlMessage::HeldListed`].
    pub fn request_held(&self, engine: SocketAddr, control: Addr<ControlActor>) {
        let client = self.client.clone();
        let time_limit = self.timeout;
        actix_rt::spawn(async move {
            // A failed read is repeated at the next interval.
            if let Ok(resources) = client.held(engine, time_limit).await {
                control.do_send(ControlMessage::HeldListed { engine, resources });
            }
        });
    }

    /// Records whether an entry, as an owner of attempts, is alive.
    pub fn record_owner_status(&mut self, now: Instant, owner: EntryIdentity, alive: bool) {
        let event = match alive {
            true => OrphanEvent::OwnerAlive(owner),
            false => OrphanEvent::OwnerDead(owner),
        };
        self.state.handle(now, event, &mut Vec::new());
    }

    /// Handles the held resources of an engine and returns the attempts to cancel there.
    pub fn handle_held(
        &mut self,
        now: Instant,
        engine: SocketAddr,
        resources: Vec<HeldResource>,
    ) -> Vec<ReclaimRequest> {
        let mut effects = Vec::new();
        self.state.handle(
            now,
            OrphanEvent::HeldListed {
                engine,
                records: resources,
            },
            &mut effects,
        );
        effects
            .into_iter()
            .map(|OrphanEffect::Cancel { attempt, engine }| ReclaimRequest {
                attempt,
                engines: vec![engine],
            })
            .collect()
    }
}
