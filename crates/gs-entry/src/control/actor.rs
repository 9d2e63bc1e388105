//! The actor on the control thread.

use std::sync::Arc;
use std::time::{Duration, Instant};

use actix::{Actor, AsyncContext, Context, Handler, ResponseFuture, SpawnHandle};
use gs_control::dispatch::DispatchEvent;
use gs_control::membership::{MemberStatus, MembershipEffect};
use gs_document::settings::EntrySettings;
use gs_protocol::peer::{PeerCall, PeerReply};
use gs_protocol::vm::VmRecord;
use tokio::sync::watch;

use super::dispatch::RequestDesk;
use super::messages::{AnswerPeer, ControlMessage, ReadSnapshot, ServerEndpoint};
use super::peers::PeerDesk;
use crate::documents::AppliedDocument;
use crate::peers::{FleetView, PeerParts};
use crate::reclaim::{OrphanLoop, ReclaimLoop};
use crate::servers::{ServerDirectory, ServerPolls};

/// How often time is told to the state machines when nothing else happens.
const TICK_INTERVAL: Duration = Duration::from_millis(100);

/// Owns the decision state. Everything in it runs on one thread.
pub struct ControlActor {
    settings: Arc<EntrySettings>,
    document: Option<Arc<AppliedDocument>>,
    requests: RequestDesk,
    peers: PeerDesk,
    directory: ServerDirectory,
    polls: ServerPolls,
    reclaim: ReclaimLoop,
    orphans: OrphanLoop,
    wakeup: Option<(Instant, SpawnHandle)>,
}

impl ControlActor {
    /// The actor of an entry that has just started.
    pub fn new(
        settings: Arc<EntrySettings>,
        seed: u64,
        parts: PeerParts,
        fleet: watch::Sender<Arc<FleetView>>,
    ) -> Self {
        let own = parts.credentials.own.identity.clone();
        Self {
            requests: RequestDesk::new(&settings, seed),
            peers: PeerDesk::new(&settings, parts, fleet),
            directory: ServerDirectory::new(&settings),
            polls: ServerPolls::new(Arc::clone(&settings)),
            reclaim: ReclaimLoop::new(&settings),
            orphans: OrphanLoop::new(own, &settings),
            document: None,
            wakeup: None,
            settings,
        }
    }

    fn dispatch(&mut self, event: DispatchEvent, context: &mut Context<Self>) {
        let now = Instant::now();
        self.requests.handle(now, event, &self.directory);
        for report in self.requests.take_reports() {
            self.peers.tell_suspicions(&report);
        }
        self.arm_wakeup(context);
    }

    /// Sets the timer to the time that the dispatch slice asked for.
    fn arm_wakeup(&mut self, context: &mut Context<Self>) {
        let Some(at) = self.requests.next_wakeup() else {
            return;
        };
        if let Some((armed, handle)) = self.wakeup {
            if armed <= at {
                return;
            }
            context.cancel_future(handle);
        }
        let delay = at.saturating_duration_since(Instant::now());
        let handle = context.run_later(delay, |actor, context| {
            actor.wakeup = None;
            actor.dispatch(DispatchEvent::Tick, context);
        });
        self.wakeup = Some((at, handle));
    }

    fn tick(&mut self, context: &mut Context<Self>) {
        let now = Instant::now();
        self.reclaim.tick(now);
        let effects = self.peers.tick(now);
        self.follow_members(&effects, context);
        self.dispatch(DispatchEvent::Tick, context);
        self.requests.record_suspects(now);
        if self.orphans.is_due(now) {
            self.repeat_leaving(context);
            self.look_for_orphans(context);
        }
    }

    /// Says again which servers are leaving, as the dispatch slice forgets it after a time.
    fn repeat_leaving(&mut self, context: &mut Context<Self>) {
        for server in self.directory.leaving() {
            self.dispatch(DispatchEvent::ServerLeaving(server), context);
        }
    }

    /// Asks the engines that this entry is the home of what they hold.
    fn look_for_orphans(&self, context: &mut Context<Self>) {
        let Some(document) = &self.document else {
            return;
        };
        let engines = self.directory.engines(&document.document);
        for server in engines.filter(|server| self.peers.is_home_of(server)) {
            self.orphans
                .look(server.endpoint.address, context.address());
        }
    }

    fn apply_document(&mut self, document: Arc<AppliedDocument>, context: &mut Context<Self>) {
        self.peers.set_sequence(document.sequence);
        let event = DispatchEvent::DocumentApplied(Arc::clone(&document.document));
        self.document = Some(document);
        self.dispatch(event, context);
        self.follow_servers(context);
    }

    /// Starts and ends the polls so that they match the directory and the document.
    fn follow_servers(&mut self, context: &mut Context<Self>) {
        let Some(document) = &self.document else {
            return;
        };
        let addr = context.address();
        self.polls
            .follow(&self.directory, &document.document, &addr);
    }

    fn see_vms(&mut self, records: &[VmRecord], context: &mut Context<Self>) {
        let events = self.directory.apply(records, &self.settings);
        for event in events {
            self.dispatch(event, context);
        }
        self.follow_servers(context);
        let effects = self.peers.see_vms(Instant::now(), records);
        self.follow_members(&effects, context);
    }

    /// Tells the other slices which entries have come or gone.
    fn follow_members(&mut self, effects: &[MembershipEffect], context: &mut Context<Self>) {
        let mut changed = false;
        for effect in effects {
            let MembershipEffect::StatusChanged { peer, status } = effect else {
                continue;
            };
            changed = true;
            let alive = *status != MemberStatus::Dead;
            self.orphans
                .note_owner(Instant::now(), peer.identity.clone(), alive);
        }
        if changed {
            let entries = self.peers.count_entries();
            self.dispatch(DispatchEvent::EntriesSeen(entries), context);
        }
    }
}

impl Actor for ControlActor {
    type Context = Context<Self>;

    fn started(&mut self, context: &mut Context<Self>) {
        context.run_interval(TICK_INTERVAL, Self::run_tick);
        self.see_vms(&[], context);
    }
}

impl ControlActor {
    fn run_tick(&mut self, context: &mut Context<Self>) {
        self.tick(context);
    }
}

impl Handler<ControlMessage> for ControlActor {
    type Result = ();

    fn handle(&mut self, message: ControlMessage, context: &mut Context<Self>) {
        match message {
            ControlMessage::Arrived { demand, decisions } => {
                self.requests.open(demand.request, decisions);
                self.dispatch(DispatchEvent::Arrived(demand), context);
            }
            ControlMessage::Finished(request) => {
                if self.requests.close(request) {
                    self.dispatch(DispatchEvent::Withdrawn(request), context);
                }
            }
            ControlMessage::Dispatch(event) => self.dispatch(event, context),
            ControlMessage::DocumentApplied(document) => self.apply_document(document, context),
            ControlMessage::VmsSeen(records) => self.see_vms(&records, context),
            ControlMessage::DrainsSeen(drained) => {
                self.directory.set_drained(drained);
                self.repeat_leaving(context);
            }
            ControlMessage::Reclaim(call) => self.reclaim.add(Instant::now(), call),
            ControlMessage::PeerHeard { peer, state } => {
                let effects = self.peers.hear(Instant::now(), peer, state);
                self.follow_members(&effects, context);
            }
            ControlMessage::HeldSeen { engine, records } => {
                let now = Instant::now();
                for call in self.orphans.take_held(now, engine, records) {
                    self.reclaim.add(now, call);
                }
            }
            ControlMessage::Leave => self.peers.leave(),
        }
    }
}

impl Handler<ReadSnapshot> for ControlActor {
    type Result = Vec<ServerEndpoint>;

    fn handle(&mut self, message: ReadSnapshot, _context: &mut Context<Self>) -> Self::Result {
        self.directory.usable(&message.kind)
    }
}

impl Handler<AnswerPeer> for ControlActor {
    type Result = ResponseFuture<Option<PeerReply>>;

    fn handle(&mut self, message: AnswerPeer, _context: &mut Context<Self>) -> Self::Result {
        match message.call {
            PeerCall::FetchDocument => {
                let document = self.document.as_ref().map(|document| document.to_peer());
                Box::pin(async move { Some(PeerReply::Document(document)) })
            }
        }
    }
}
