//! Limits of requests a second that servers name in their answers.

use std::collections::BTreeMap;
use std::time::Instant;

use gs_protocol::ids::ServerName;

/// A limit that a server has named, changed or withdrawn.
#[derive(Clone, Debug, PartialEq)]
pub struct LimitChange {
    /// The server.
    pub server: ServerName,
    /// Requests a second that it takes from all entries together; `None` if it takes any number.
    pub limit: Option<f64>,
}

/// The limit of one server.
#[derive(Clone, Copy, Debug)]
struct ServerLimit {
    limit: f64,
    /// When an answer last named a limit.
    named_at: Instant,
}

/// The limits of all servers that name one.
#[derive(Debug, Default)]
pub struct LimitTracker {
    servers: BTreeMap<ServerName, ServerLimit>,
}

impl LimitTracker {
    /// Records the limit that an answer names, if it names one; `sent_at` is when its request was
    /// sent. An answer without a limit withdraws it, unless the request was sent before an answer
    /// that named it: answers may overtake each other.
    pub fn record_answer(
        &mut self,
        now: Instant,
        server: &ServerName,
        sent_at: Instant,
        limit: Option<f64>,
    ) -> Option<LimitChange> {
        let known = self.servers.get(server).copied();
        match (known, limit) {
            (None, None) => return None,
            (Some(known), None) if sent_at <= known.named_at => return None,
            (_, None) => drop(self.servers.remove(server)),
            (_, Some(limit)) => {
                let named = ServerLimit {
                    limit,
                    named_at: now,
                };
                self.servers.insert(server.clone(), named);
            }
        }
        let is_changed = known.map(|known| known.limit) != limit;
        is_changed.then(|| LimitChange {
            server: server.clone(),
            limit,
        })
    }
}
