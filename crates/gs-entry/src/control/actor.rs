//! The actor that runs on the control thread and drives the slices of `gs_control`.

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

use super::messages::{
    ControlMessage, CountOpenClaims, HandlePeerCall, ListUsableServers, ServerEndpoint,
};
use super::peers::PeerHandler;
use super::requests::RequestHandler;
use super::resources::{RESOURCE_SAMPLE_INTERVAL, record_resource_usage};
use crate::documents::{AppliedDocument, DocumentHandler, DocumentOutput};
use crate::ledger::ClaimHandler;
use crate::peers::{FleetView, LinkContext};
use crate::reclaim::{OrphanHandler, ReclaimHandler};
use crate::servers::{ServerDirectory, ServerPolls};

/// Interval of ticks to all slices but the ledger.
const TICK_INTERVAL: Duration = Duration::from_millis(100);

/// Interval of ticks to the ledger slice.
const CLAIM_TICK_INTERVAL: Duration = Duration::from_millis(20);

/// Owns the decision state of the entry. Only the control thread accesses it.
pub struct ControlActor {
    settings: Arc<EntrySettings>,
    documents: DocumentHandler,
    requests: RequestHandler,
    peers: PeerHandler,
    directory: ServerDirectory,
    polls: ServerPolls,
    reclaim: ReclaimHandler,
    claims: ClaimHandler,
    orphans: OrphanHandler,
    wakeup: Option<(Instant, SpawnHandle)>,
}

impl ControlActor {
    /// Creates the actor of an entry that has just started.
    pub fn new(
        settings: Arc<EntrySettings>,
        seed: u64,
        link_context: LinkContext,
        fleet: watch::Sender<Arc<FleetView>>,
        documents: DocumentOutput,
        platform: Rc<HttpPlatform>,
    ) -> Self {
        let own = link_context.credentials.own.identity.clone();
        let (incarnation, environment) = (own.incarnation, &settings.environment);
        let document_platform = Rc::clone(&platform);
        Self {
            documents: DocumentHandler::new(incarnation, environment, document_platform, documents),
            claims: ClaimHandler::new(own.clone(), &settings, seed, platform),
            requests: RequestHandler::new(&settings, seed),
            peers: PeerHandler::new(&settings, link_context, fleet),
            directory: ServerDirectory::new(&settings),
            polls: ServerPolls::new(Arc::clone(&settings)),
            reclaim: ReclaimHandler::new(&settings),
            orphans: OrphanHandler::new(own, &settings),
            wakeup: None,
            settings,
        }
    }

    fn handle_dispatch_event(&mut self, event: DispatchEvent, context: &mut Context<Self>) {
        let now = Instant::now();
        self.requests.handle(now, event, &self.directory);
        for report in self.requests.take_suspicion_reports() {
            self.peers.send_suspicions(&report);
        }
        self.arm_wakeup(context);
    }

    /// Sets the timer to the next wakeup that the dispatch slice requests, unless it is set
    /// earlier.
    fn arm_wakeup(&mut self, context: &mut Context<Self>) {
        let Some(wakeup_at) = self.requests.next_wakeup() else {
            return;
        };
        if let Some((armed_at, handle)) = self.wakeup {
            if armed_at <= wakeup_at {
                return;
            }
            context.cancel_future(handle);
        }
        let delay = wakeup_at.saturating_duration_since(Instant::now());
        let handle = context.run_later(delay, |actor, context| {
            actor.wakeup = None;
            actor.handle_dispatch_event(DispatchEvent::Tick, context);
        });
        self.wakeup = Some((wakeup_at, handle));
    }

    /// Passes an event to the ledger slice and executes the effects.
    fn handle_ledger_event(&mut self, event: LedgerEvent, context: &mut Context<Self>) {
        self.claims.handle(event, &self.peers, &context.address());
    }

    /// Passes the live entries to the ledger slice; leaving entries are excluded.
    fn update_ledger_members(&mut self, context: &mut Context<Self>) {
        let members = self.peers.live_identities();
        let event = self.claims.members_event(members);
        self.handle_ledger_event(event, context);
    }

    fn tick(&mut self, context: &mut Context<Self>) {
        let now = Instant::now();
        self.reclaim.tick(now);
        let effects = self.peers.tick(now);
        self.apply_member_changes(&effects, context);
        self.handle_dispatch_event(DispatchEvent::Tick, context);
        self.handle_document_event(DocumentEvent::Tick, context);
        self.requests.record_suspects(now);
        if self.orphans.is_due(now) {
            self.report_leaving_servers(context);
            self.request_held_resources(context);
        }
    }

    /// Reports leaving servers to the dispatch slice again, because such reports expire there.
    fn report_leaving_servers(&mut self, context: &mut Context<Self>) {
        for server in self.directory.leaving() {
            self.handle_dispatch_event(DispatchEvent::ServerLeaving(server), context);
        }
    }

    /// Requests the held resources of every engine whose home is this entry.
    fn request_held_resources(&self, context: &mut Context<Self>) {
        let Some(document) = self.documents.current() else {
            return;
        };
        let engines = self.directory.engines(&document.document);
        for server in engines.filter(|server| self.peers.is_home_of(server)) {
            self.orphans
                .request_held(server.endpoint.address, context.address());
        }
    }

    /// Passes an event to the document slice and applies the document that it selects.
    fn handle_document_event(&mut self, event: DocumentEvent, context: &mut Context<Self>) {
        let applied = self
            .documents
            .handle(event, &self.peers, &context.address());
        if let Some(document) = applied {
            self.apply_document(&document, context);
        }
    }

    fn apply_document(&mut self, document: &AppliedDocument, context: &mut Context<Self>) {
        self.peers.publish_sequence(document.sequence);
        let retention = document.document.key_retention;
        self.handle_ledger_event(LedgerEvent::RetentionUpdated(retention), context);
        let event = DispatchEvent::DocumentApplied(Arc::clone(&document.document));
        self.handle_dispatch_event(event, context);
        self.update_polls(context);
    }

    /// Starts and stops engine polls to match the server directory and the document in force.
    fn update_polls(&mut self, context: &mut Context<Self>) {
        let Some(document) = self.documents.current() else {
            return;
        };
        let control = context.address();
        self.polls
            .update(&self.directory, &document.document, &control);
    }

    fn apply_vm_list(&mut self, records: &[VmRecord], context: &mut Context<Self>) {
        let events = self.directory.apply(records, &self.settings);
        for event in events {
            self.handle_dispatch_event(event, context);
        }
        self.update_polls(context);
        let effects = self.peers.apply_vm_list(Instant::now(), records);
        self.apply_member_changes(&effects, context);
    }

    /// Passes status changes of other entries to the orphan, dispatch and ledger slices.
    fn apply_member_changes(&mut self, effects: &[MembershipEffect], context: &mut Context<Self>) {
        let mut changed = false;
        for effect in effects {
            let MembershipEffect::StatusChanged { peer, status } = effect else {
                continue;
            };
            changed = true;
            let alive = *status != MemberStatus::Dead;
            self.orphans
                .record_owner_status(Instant::now(), peer.identity.clone(), alive);
        }
        if changed {
            let entries = self.peers.count_entries();
            self.handle_dispatch_event(DispatchEvent::EntryCountChanged(entries), context);
            self.update_ledger_members(context);
        }
    }
}

impl Actor for ControlActor {
    type Context = Context<Self>;

    fn started(&mut self, context: &mut Context<Self>) {
        context.run_interval(TICK_INTERVAL, Self::run_tick);
        context.run_interval(CLAIM_TICK_INTERVAL, |actor, context| {
            actor.handle_ledger_event(LedgerEvent::Tick, context);
        });
        context.run_interval(RESOURCE_SAMPLE_INTERVAL, |_, _| record_resource_usage());
        self.update_ledger_members(context);
        self.apply_vm_list(&[], context);
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
            ControlMessage::RequestArrived { demand, decisions } => {
                self.requests.register(demand.request, decisions);
                self.handle_dispatch_event(DispatchEvent::RequestArrived(demand), context);
            }
            ControlMessage::RequestFinished(request) => {
                self.requests
                    .close(Instant::now(), request, &self.directory);
                self.arm_wakeup(context);
            }
            ControlMessage::Dispatch(event) => self.handle_dispatch_event(event, context),
            ControlMessage::Document(event) => self.handle_document_event(event, context),
            ControlMessage::VmsListed(records) => self.apply_vm_list(&records, context),
            ControlMessage::DrainsListed(drained) => {
                self.directory.set_drained(drained);
                self.report_leaving_servers(context);
            }
            ControlMessage::Reclaim(request) => self.reclaim.start(Instant::now(), request),
            ControlMessage::HeartbeatReceived { peer, state } => {
                let source = DocumentSource::Peer(peer.identity.entry.clone());
                let sequence = state.sequence;
                let effects = self.peers.handle_heartbeat(Instant::now(), peer, state);
                self.apply_member_changes(&effects, context);
                let observed = DocumentEvent::SequenceObserved { source, sequence };
                self.handle_document_event(observed, context);
            }
            ControlMessage::ClaimRequested { request, decision } => {
                self.claims.register(request.attempt, decision);
                self.handle_ledger_event(LedgerEvent::ClaimRequested(request), context);
            }
            ControlMessage::Ledger(event) => self.handle_ledger_event(event, context),
            ControlMessage::Leave => {
                self.peers.publish_leaving();
                self.claims.mark_leaving();
                self.handle_ledger_event(LedgerEvent::Leaving, context);
            }
            ControlMessage::HeldListed { engine, resources } => {
                let now = Instant::now();
                for request in self.orphans.handle_held(now, engine, resources) {
                    self.reclaim.start(now, request);
                }
            }
        }
    }
}

impl Handler<ListUsableServers> for ControlActor {
    type Result = Vec<ServerEndpoint>;

    fn handle(&mut self, message: ListUsableServers, _context: &mut Context<Self>) -> Self::Result {
        self.directory.usable(&message.kind)
    }
}

impl Handler<CountOpenClaims> for ControlActor {
    type Result = usize;

    fn handle(&mut self, _message: CountOpenClaims, _context: &mut Context<Self>) -> Self::Result {
        self.claims.count_open()
    }
}

impl Handler<HandlePeerCall> for ControlActor {
    type Result = ResponseFuture<Option<PeerReply>>;

    fn handle(&mut self, message: HandlePeerCall, context: &mut Context<Self>) -> Self::Result {
        match message.call {
            PeerCall::FetchDocument => {
                let document = self.documents.current().map(|document| document.to_peer());
                Box::pin(async move { Some(PeerReply::Document(document)) })
            }
            PeerCall::Claim(call) => {
                let from = message.from;
                self.handle_ledger_event(LedgerEvent::CallReceived { from, call }, context);
                Box::pin(async { Some(PeerReply::Accepted) })
            }
            PeerCall::ClaimReply(reply) => {
                self.handle_ledger_event(LedgerEvent::ReplyReceived(reply), context);
                Box::pin(async { Some(PeerReply::Accepted) })
            }
        }
    }
}
