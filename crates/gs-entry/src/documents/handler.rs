//! Drives the document slice: fetches, applies and reports documents.

use std::rc::Rc;
use std::sync::Arc;
use std::time::{Instant, SystemTime, UNIX_EPOCH};

use actix::Addr;
use gs_control::documents::{
    AppliedHistory, DocumentEffect, DocumentEvent, DocumentSource, DocumentView, FetchPolicy,
    SequencedDocument,
};
use gs_platform::HttpPlatform;
use gs_protocol::ids::Incarnation;
use gs_protocol::objects::StatusRecord;
use gs_protocol::peer::PeerCall;
use tokio::sync::watch;

use super::AppliedDocument;
use super::fetch::{FetchError, fetch_from_peer, fetch_from_platform};
use crate::control::{ControlActor, ControlMessage, PeerHandler};
use crate::telemetry;

/// Channels that publish the document in force.
pub struct DocumentOutput {
    /// To the traffic threads.
    pub applied: watch::Sender<Option<Arc<AppliedDocument>>>,
    /// To the task that reports the entry's status.
    pub status: watch::Sender<Option<StatusRecord>>,
}

/// Fetches and applies documents as the document slice decides.
pub struct DocumentHandler {
    view: DocumentView,
    history: AppliedHistory,
    platform: Rc<HttpPlatform>,
    environment: String,
    output: DocumentOutput,
}

impl DocumentHandler {
    /// Creates a handler without a document in force.
    pub fn new(
        incarnation: Incarnation,
        environment: &str,
        platform: Rc<HttpPlatform>,
        output: DocumentOutput,
    ) -> Self {
        Self {
            view: DocumentView::new(FetchPolicy::default()),
            history: AppliedHistory::new(incarnation),
            platform,
            environment: environment.to_owned(),
            output,
        }
    }

    /// Document in force, if there is one yet.
    pub fn current(&self) -> Option<Arc<AppliedDocument>> {
        self.output.applied.borrow().clone()
    }

    /// Passes an event to the slice and executes the effects. Returns the document that was
    /// applied, if any.
    pub fn handle(
        &mut self,
        event: DocumentEvent,
        peers: &PeerHandler,
        control: &Addr<ControlActor>,
    ) -> Option<Arc<AppliedDocument>> {
        let mut effects = Vec::new();
        self.view.handle(Instant::now(), event, &mut effects);
        let mut applied = None;
        for effect in effects {
            match effect {
                DocumentEffect::Fetch { source } => self.fetch(source, peers, control),
                DocumentEffect::Apply(document) => applied = self.apply(&document).or(applied),
            }
        }
        applied
    }

    fn fetch(&self, source: DocumentSource, peers: &PeerHandler, control: &Addr<ControlActor>) {
        let control = control.clone();
        match &source {
            DocumentSource::Platform => {
                let platform = Rc::clone(&self.platform);
                let environment = self.environment.clone();
                actix_rt::spawn(async move {
                    let fetched = fetch_from_platform(&*platform, &environment).await;
                    control.do_send(ControlMessage::Document(fetch_event(source, fetched)));
                });
            }
            DocumentSource::Peer(name) => {
                let reply = peers.call(name, PeerCall::FetchDocument);
                actix_rt::spawn(async move {
                    let fetched = fetch_from_peer(reply).await;
                    control.do_send(ControlMessage::Document(fetch_event(source, fetched)));
                });
            }
        }
    }

    /// Applies a document. If this version cannot parse it, the previous document stays in force.
    fn apply(&mut self, document: &SequencedDocument) -> Option<Arc<AppliedDocument>> {
        let (sequence, digest) = (document.sequence, document.digest.as_str());
        let text = String::from_utf8_lossy(&document.bytes);
        let parsed = gs_document::parse_accepted_document(digest, &text);
        let contents = match parsed {
            Ok(contents) => contents,
            Err(mistakes) => {
                log::error!(target: "documents", digest; "Document is invalid: {mistakes}.");
                return None;
            }
        };
        log::info!(target: "documents", sequence = sequence.0, digest; "Document is in force.");
        metrics::gauge!(telemetry::DOCUMENT_SEQUENCE).set(sequence.0 as f64);
        self.history.record(sequence, digest, now_ms());
        let applied =
            AppliedDocument::new(contents, sequence, digest.to_owned(), text.into_owned());
        let applied = Arc::new(applied);
        self.output.applied.send_replace(Some(Arc::clone(&applied)));
        self.output
            .status
            .send_replace(self.history.status_record());
        Some(applied)
    }
}

fn fetch_event(
    source: DocumentSource,
    fetched: Result<SequencedDocument, FetchError>,
) -> DocumentEvent {
    match fetched {
        Ok(document) => DocumentEvent::Fetched { source, document },
        Err(error) => {
            log::warn!(target: "documents", "Document could not be fetched from {source:?}: {error}.");
            DocumentEvent::FetchFailed { source }
        }
    }
}

/// Current time in milliseconds since 1970.
fn now_ms() -> u64 {
    let elapsed = SystemTime::now()
        .duration_since(UNIX_EPOCH)
        .unwrap_or_default();
    u64::try_from(elapsed.as_millis()).unwrap_or(u64::MAX)
}
