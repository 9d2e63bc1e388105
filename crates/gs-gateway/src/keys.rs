//! Recognizes the workspaces of requests by their API keys.

use std::time::Duration;

use gs_control::forwarding::{KeyError, RequestCaller, RouteRule, RouteTable};
use hyper::StatusCode;

use crate::answer::{ClientAnswer, local_answer};
use crate::gateway::Gateway;
use crate::ingress::not_run_after;
use crate::plain::{DEFAULT_RETRY_AFTER, ForwardJob};
use crate::wire::RequestMetadata;

impl Gateway {
    /// Returns whose request it is. An error is the answer to a request whose key is missing or unknown, or cannot be
    /// judged since the configuration is not proved to be current.
    pub(crate) fn identify_caller(
        &self,
        table: &RouteTable,
        rule: &RouteRule,
        metadata: &RequestMetadata,
    ) -> Result<RequestCaller, Box<ClientAnswer>> {
        if !rule.is_public
            && let Some(retry_after) = self.currency_refusal(table, &metadata.request_id)
        {
            return Err(Box::new(not_run_after(self, retry_after)));
        }
        let identified = table.identify_caller(rule, metadata.api_key.as_ref());
        identified.map_err(|error| {
            log::info!(target: "request", id:% = metadata.request_id, route = rule.name, version = table.version, key:? = metadata.api_key, error:%; "refused: not authorized");
            let text = match error {
                KeyError::Missing => "send an API key: Authorization: Bearer KEY\n",
                KeyError::Unknown => "the API key is unknown or no longer valid\n",
            };
            let mut answer = local_answer(StatusCode::UNAUTHORIZED, text);
            let (name, value) = self.wire.key_challenge();
            answer.headers_mut().insert(name, value);
            Box::new(answer)
        })
    }

    /// Returns the time after which a request may be sent again that must not be sent to a server now;
    /// `None` if it may be sent.
    pub(crate) fn start_refusal(&self, job: &ForwardJob) -> Option<Duration> {
        self.content_refusal(job).or_else(|| self.key_refusal(job))
    }

    /// Checks that the workspace of a request still holds its key and that the configuration is proved to be
    /// current: both may have changed since the request was read.
    fn key_refusal(&self, job: &ForwardJob) -> Option<Duration> {
        let workspace = job.caller.workspace()?;
        let table = self.table();
        let workspaces = table.as_ref().and_then(|table| table.workspaces.as_ref());
        if let Some(table) = &table
            && let Some(retry_after) = self.currency_refusal(table, &job.metadata.request_id)
        {
            return Some(retry_after);
        }
        let holder = match (workspaces, &job.metadata.api_key) {
            (Some(workspaces), Some(key)) => workspaces.find(key),
            // Without workspaces, the configuration in force needs no key.
            (None, _) => return None,
            (Some(_), None) => None,
        };
        if holder.is_some_and(|holder| holder.name == workspace.name) {
            return None;
        }
        log::info!(target: "request", id:% = job.metadata.request_id, workspace = workspace.name, key:? = job.metadata.api_key; "refused: the API key was removed while the request waited");
        Some(DEFAULT_RETRY_AFTER)
    }
}

impl ForwardJob {
    /// Returns the refusal of a request that has waited and must not be sent to a server now; `None` if it may be.
    pub(crate) fn late_refusal(&self, gateway: &Gateway) -> Option<ClientAnswer> {
        let refused = gateway.start_refusal(self);
        match refused {
            Some(retry_after) => Some(self.refusal_answer(gateway, retry_after)),
            None => self.shutdown_refusal(gateway),
        }
    }
}
