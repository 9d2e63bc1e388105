//! Cancels what dead entries left behind at the engines that this entry is the home of.

use std::net::SocketAddr;
use std::rc::Rc;
use std::time::{Duration, Instant};

use actix::Addr;
use gs_control::reclaim::{OrphanEffect, OrphanEvent, OrphanState};
use gs_document::settings::EntrySettings;
use gs_protocol::engine::HeldResource;
use gs_protocol::ids::EntryIdentity;

use super::ReclaimCall;
use crate::control::{ControlActor, ControlMessage};
use crate::engine::{ClientPool, EngineClient};

/// Between two looks at what an engine holds.
const LOOK_INTERVAL: Duration = Duration::from_millis(500);

/// The orphan slice and the looks that feed it.
pub struct OrphanLoop {
    state: OrphanState,
    client: EngineClient,
    timeout: Duration,
    next_look: Instant,
}

impl OrphanLoop {
    /// A loop that knows only this entry.
    pub fn new(own: EntryIdentity, settings: &EntrySettings) -> Self {
        let pool = Rc::new(ClientPool::new(settings.timeouts.connect));
        Self {
            state: OrphanState::new(own),
            client: EngineClient::new(pool),
            timeout: settings.timeouts.reserve,
            next_look: Instant::now(),
        }
    }

    /// Whether it is time to look again.
    pub fn is_due(&mut self, now: Instant) -> bool {
        let due = now >= self.next_look;
        if due {
            self.next_look = now + LOOK_INTERVAL;
        }
        due
    }

    /// Asks an engine what it holds; the answer comes as [`ControlMessage::HeldSeen`].
    pub fn look(&self, engine: SocketAddr, control: Addr<ControlActor>) {
        let client = self.client.clone();
        let within = self.timeout;
        actix_rt::spawn(async move {
            // An engine that does not answer is asked again at the next look.
            if let Ok(records) = client.held(engine, within).await {
                control.do_send(ControlMessage::HeldSeen { engine, records });
            }
        });
    }

    /// Takes in whether an entry is alive.
    pub fn note_owner(&mut self, now: Instant, owner: EntryIdentity, alive: bool) {
        let event = match alive {
            true => OrphanEvent::OwnerAlive(owner),
            false => OrphanEvent::OwnerDead(owner),
        };
        self.state.handle(now, event, &mut Vec::new());
    }

    /// Takes in what an engine holds; returns what must be cancelled.
    pub fn take_held(
        &mut self,
        now: Instant,
        engine: SocketAddr,
        records: Vec<HeldResource>,
    ) -> Vec<ReclaimCall> {
        let mut effects = Vec::new();
        self.state.handle(
            now,
            OrphanEvent::HeldListed { engine, records },
            &mut effects,
        );
        effects
            .into_iter()
            .map(|OrphanEffect::Cancel { attempt, engine }| ReclaimCall {
                attempt,
                engines: vec![engine],
            })
            .collect()
    }
}
