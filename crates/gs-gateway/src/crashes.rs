//! Follows requests at servers, to find content that crashes the servers that begin to answer it.

use std::io::ErrorKind;
use std::rc::Rc;
use std::time::{Duration, Instant};

use gs_control::quarantine::{ContentDecision, RunKey, SuspicionChange};
use gs_protocol::ids::{EntryName, ServerName};
use gs_protocol::suspicion::ServerBoot;
use hyper::StatusCode;

use crate::connection::{CallError, ServerConnection};
use crate::gateway::Gateway;
use crate::plain::{CONNECT_TIMEOUT, ForwardJob};

/// What a new connection tells about a server.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
enum ServerLiveness {
    /// A process accepts connections.
    Alive,
    /// No process listens at the address.
    Crashed,
    /// The address does not answer.
    Unknown,
}

/// A request at a server, until the server is known to answer it. Dropping it means that the request
/// was given up.
pub(crate) struct ServerRun {
    gateway: Rc<Gateway>,
    server: ServerName,
    key: Option<RunKey>,
    request_id: String,
    workspace: String,
}

impl ServerRun {
    /// Records that a request is sent to a server.
    pub fn start(gateway: &Rc<Gateway>, job: &ForwardJob, server: &ServerName) -> Self {
        let mut state = gateway.state.borrow_mut();
        let boot = state.server_boot(server);
        let key = state.quarantine.start_run(&job.contents, boot);
        drop(state);
        Self {
            gateway: Rc::clone(gateway),
            server: server.clone(),
            key: Some(key),
            request_id: job.metadata.request_id.clone(),
            workspace: job.workspace_name().to_owned(),
        }
    }

    /// Records that the server has sent a part of the answer.
    pub fn record_output(&mut self) {
        let Some(key) = self.key else {
            return;
        };
        let mut state = self.gateway.state.borrow_mut();
        let cleared = state.quarantine.record_output(Instant::now(), key);
        if !state.quarantine.is_running(key) {
            self.key = None;
        }
        drop(state);
        self.publish_cleared(&cleared);
    }

    /// Records that the server has answered with a status. An error of the server itself does not show that it can
    /// run the request.
    pub fn complete_with(self, status: StatusCode) {
        match status.is_server_error() {
            true => self.discard(),
            false => self.complete(),
        }
    }

    /// Records that the server has answered with success.
    pub fn complete(mut self) {
        if let Some(key) = self.key.take() {
            let mut state = self.gateway.state.borrow_mut();
            let cleared = state.quarantine.complete_run(Instant::now(), key);
            drop(state);
            self.publish_cleared(&cleared);
        }
    }

    /// Logs which request has cleared content, and reports it to the peers.
    fn publish_cleared(&self, cleared: &[SuspicionChange]) {
        for SuspicionChange { content, .. } in cleared {
            log::info!(target: "quarantine", content:%, id = self.request_id, workspace = self.workspace, server:% = self.server; "content cleared by an answer");
        }
        self.gateway.publish_suspicions(cleared);
    }

    /// Records that the server has rejected the request, or only prepared it.
    pub fn discard(mut self) {
        if let Some(key) = self.key.take() {
            self.gateway.state.borrow_mut().quarantine.discard_run(key);
        }
    }

    /// Records that the connection to the server was lost, and checks whether the server has crashed.
    pub async fn lose(mut self) {
        let Some(key) = self.key.take() else {
            return;
        };
        let boot = self.gateway.state.borrow().server_boot(&self.server);
        self.gateway.lose_run(key);
        let liveness = self.gateway.server_liveness(&self.server).await;
        log::info!(target: "servers", server:% = self.server, liveness:?; "server checked after a lost connection");
        if liveness == ServerLiveness::Crashed {
            self.gateway.record_crash(&boot);
        }
    }
}

impl Drop for ServerRun {
    fn drop(&mut self) {
        if let Some(key) = self.key.take() {
            self.gateway.lose_run(key);
        }
    }
}

impl Gateway {
    /// Returns the time after which a request may be sent whose content has crashed too many servers;
    /// `None` if it may be sent now.
    pub(super) fn content_refusal(&self, job: &ForwardJob) -> Option<Duration> {
        let state = self.state.borrow();
        let peers = || -> Vec<EntryName> {
            let members = state.membership.usable_entries().into_iter();
            members.map(|member| member.name).collect()
        };
        let decision = state
            .quarantine
            .decide(Instant::now(), &job.contents, peers);
        match decision {
            ContentDecision::Allowed => None,
            ContentDecision::Refused {
                content,
                retry_after,
            } => {
                log::info!(target: "quarantine", id:% = job.metadata.request_id, route = job.rule.name, content:%, retry_ms = retry_after.as_millis() as u64; "refused: the content crashes servers");
                Some(retry_after)
            }
        }
    }

    fn lose_run(&self, key: RunKey) {
        let mut state = self.state.borrow_mut();
        let suspected = state.quarantine.lose_run(Instant::now(), key);
        drop(state);
        self.publish_suspicions(&suspected);
    }

    /// Records that a boot of a server has ended by a crash.
    pub(crate) fn record_crash(&self, boot: &ServerBoot) {
        let mut state = self.state.borrow_mut();
        let suspected = state.quarantine.record_crash(Instant::now(), boot);
        drop(state);
        self.publish_suspicions(&suspected);
    }

    /// Logs suspicions that this entry has changed, and reports them to the peers.
    fn publish_suspicions(&self, changes: &[SuspicionChange]) {
        if !changes.is_empty() {
            self.log_suspicions(changes, self.settings.own.identity.entry.as_str());
            self.report_changed.notify_one();
        }
    }

    /// Logs suspicions that have changed. `source` is the entry that changed them.
    pub(crate) fn log_suspicions(&self, changes: &[SuspicionChange], source: &str) {
        for SuspicionChange { content, suspicion } in changes {
            log::info!(target: "quarantine", content:%, level = suspicion.level, clearances = suspicion.clearances, source; "suspicion changed");
        }
    }

    async fn server_liveness(&self, server: &ServerName) -> ServerLiveness {
        let Some(address) = self.server_address(server) else {
            return ServerLiveness::Unknown;
        };
        match ServerConnection::open(address, CONNECT_TIMEOUT).await {
            Ok(_) => ServerLiveness::Alive,
            Err(CallError::Connect(error)) if error.kind() == ErrorKind::ConnectionRefused => {
                ServerLiveness::Crashed
            }
            Err(_) => ServerLiveness::Unknown,
        }
    }
}
