//! The actor on the control thread.

use std::rc::Rc;
use std::sync::Arc;
use std::time::{Duration, Instant};

use actix::{Actor, AsyncContext, Context, Handler, ResponseFuture, SpawnHandle};
use gs_control::dispatch::DispatchEvent;
use gs_control::documents::{DocumentEvent, DocumentSource};
use gs_control::ledger::LedgerEvent;
use gs_control::membership::{MemberStatus, MembershipEffect};
use gs_document::settings::EntrySettings;
use gs_platform::HttpPlatform;
use gs_protocol::peer::{PeerCall, PeerReply};
use gs_protocol::vm::VmRecord;
use tokio::sync::watch;

use super::dispatch::RequestDesk;
use super::messages::{AnswerPeer, ControlMessage, CountClaims, ReadSnapshot, ServerEndpoint};
use super::meter::{METER_INTERVAL, record_costs};
use super::peers::PeerDesk;
use crate::documents::{AppliedDocument, DocumentDesk, DocumentOutput};
use crate::ledger::ClaimDesk;
use crate::peers::{FleetView, PeerParts};
use crate::reclaim::{OrphanLoop, ReclaimLoop};
use crate::servers::{ServerDirectory, ServerPolls};

/// How often time is told to the state machines when nothing else happens.
const TICK_INTERVAL: Duration = Duration::from_millis(100);

/// How often time is told to the ledger.
const CLAIM_TICK_INTERVAL: Duration = Duration::from_millis(20);

/// Owns the decision state. Everything in it runs on one thread.
pub struct ControlActor {
    settings: Arc<EntrySettings>,
    documents: DocumentDesk,
    requests: RequestDesk,
    peers: PeerDesk,
    directory: ServerDirectory,
    polls: ServerPolls,
    reclaim: ReclaimLoop,
    claims: ClaimDesk,
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
        documents: DocumentOutput,
        platform: Rc<HttpPlatform>,
    ) -> Self {
        let own = parts.credentials.own.identity.clone();
        let (incarnation, environment) = (own.incarnation, &settings.environment);
        let shared = Rc::clone(&platform);
        Self {
            documents: DocumentDesk::new(incarnation, environment, shared, documents),
            claims: ClaimDesk::new(own.clone(), &settings, seed, platform),
            requests: RequestDesk::new(&settings, seed),
            peers: PeerDesk::new(&settings, parts, fleet),
            directory: ServerDirectory::new(&settings),
            polls: ServerPolls::new(Arc::clone(&settings)),
            reclaim: ReclaimLoop::new(&settings),
            orphans: OrphanLoop::new(own, &settings),
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

    /// Tells the ledger what happened and carries out what it decides.
    fn claim(&mut self, event: LedgerEvent, context: &mut Context<Self>) {
        self.claims.handle(event, &self.peers, &context.address());
    }

    /// Tells the ledger which entries are live; a leaving one is not.
    fn follow_owners(&mut self, context: &mut Context<Self>) {
        let members = self.peers.live_identities();
        let event = self.claims.see_members(members);
        self.claim(event, context);
    }

    fn tick(&mut self, context: &mut Context<Self>) {
        let now = Instant::now();
        self.reclaim.tick(now);
        let effects = self.peers.tick(now);
        self.follow_members(&effects, context);
        self.dispatch(DispatchEvent::Tick, context);
        self.follow_document(DocumentEvent::Tick, context);
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
        let Some(document) = self.documents.current() else {
            return;
        };
        let engines = self.directory.engines(&document.document);
        for server in engines.filter(|server| self.peers.is_home_of(server)) {
            self.orphans
                .look(server.endpoint.address, context.address());
        }
    }

    /// Tells the document slice what happened and brings into force what it decides.
    fn follow_document(&mut self, event: DocumentEvent, context: &mut Context<Self>) {
        let applied = self
            .documents
            .handle(event, &self.peers, &context.address());
        if let Some(document) = applied {
            self.apply_document(&document, context);
        }
    }

    fn apply_document(&mut self, document: &AppliedDocument, context: &mut Context<Self>) {
        self.peers.set_sequence(document.sequence);
        let retention = document.document.key_retention;
        self.claim(LedgerEvent::RetentionUpdated(retention), context);
        let event = DispatchEvent::DocumentApplied(Arc::clone(&document.document));
        self.dispatch(event, context);
        self.follow_servers(context);
    }

    /// Starts and ends the polls so that they match the directory and the document.
    fn follow_servers(&mut self, context: &mut Context<Self>) {
        let Some(document) = self.documents.current() else {
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
            self.dispatch(DispatchEvent::EntryCountChanged(entries), context);
            self.follow_owners(context);
        }
    }
}

impl Actor for ControlActor {
    type Context = Context<Self>;

    fn started(&mut self, context: &mut Context<Self>) {
        context.run_interval(TICK_INTERVAL, Self::run_tick);
        context.run_interval(CLAIM_TICK_INTERVAL, |actor, context| {
            actor.claim(LedgerEvent::Tick, context);
        });
        context.run_interval(METER_INTERVAL, |_, _| record_costs());
        self.follow_owners(context);
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
                self.dispatch(DispatchEvent::RequestArrived(demand), context);
            }
            ControlMessage::Finished(request) => {
                self.requests
                    .close(Instant::now(), request, &self.directory);
                self.arm_wakeup(context);
            }
            ControlMessage::Dispatch(event) => self.dispatch(event, context),
            ControlMessage::Document(event) => self.follow_document(event, context),
            ControlMessage::VmsSeen(records) => self.see_vms(&records, context),
            ControlMessage::DrainsSeen(drained) => {
                self.directory.set_drained(drained);
                self.repeat_leaving(context);
            }
            ControlMessage::Reclaim(call) => self.reclaim.add(Instant::now(), call),
            ControlMessage::PeerHeard { peer, state } => {
                let source = DocumentSource::Peer(peer.identity.entry.clone());
                let sequence = state.sequence;
                let effects = self.peers.hear(Instant::now(), peer, state);
                self.follow_members(&effects, context);
                let seen = DocumentEvent::SequenceObserved { source, sequence };
                self.follow_document(seen, context);
            }
            ControlMessage::ClaimDemanded { demand, decision } => {
                self.claims.open(demand.attempt, decision);
                self.claim(LedgerEvent::ClaimRequested(demand), context);
            }
            ControlMessage::Ledger(event) => self.claim(event, context),
            ControlMessage::Leave => {
                self.peers.leave();
                self.claims.leave();
                self.claim(LedgerEvent::Leaving, context);
            }
            ControlMessage::HeldSeen { engine, records } => {
                let now = Instant::now();
                for call in self.orphans.take_held(now, engine, records) {
                    self.reclaim.add(now, call);
                }
            }
        }
    }
}

impl Handler<ReadSnapshot> for ControlActor {
    type Result = Vec<ServerEndpoint>;

    fn handle(&mut self, message: ReadSnapshot, _context: &mut Context<Self>) -> Self::Result {
        self.directory.usable(&message.kind)
    }
}

impl Handler<CountClaims> for ControlActor {
    type Result = usize;

    fn handle(&mut self, _message: CountClaims, _context: &mut Context<Self>) -> Self::Result {
        self.claims.count()
    }
}

impl Handler<AnswerPeer> for ControlActor {
    type Result = ResponseFuture<Option<PeerReply>>;

    fn handle(&mut self, message: AnswerPeer, context: &mut Context<Self>) -> Self::Result {
        match message.call {
            PeerCall::FetchDocument => {
                let document = self.documents.current().map(|document| document.to_peer());
                Box::pin(async move { Some(PeerReply::Document(document)) })
            }
            PeerCall::Claim(call) => {
                let from = message.from;
                self.claim(LedgerEvent::CallReceived { from, call }, context);
                Box::pin(async { Some(PeerReply::Accepted) })
            }
            PeerCall::ClaimReply(reply) => {
                self.claim(LedgerEvent::ReplyReceived(reply), context);
                Box::pin(async { Some(PeerReply::Accepted) })
            }
        }
    }
}
