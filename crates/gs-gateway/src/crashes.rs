//! Finds out whether a server has crashed after the connection of a request was lost.

use std::io::ErrorKind;
use std::rc::Rc;

use gs_protocol::ids::ServerName;

use crate::connection::{CallError, ServerConnection};
use crate::gateway::Gateway;
use crate::plain::CONNECT_TIMEOUT;

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

impl Gateway {
    /// Checks in the background whether a server still runs.
    pub(crate) fn check_liveness(self: &Rc<Self>, server: &ServerName) {
        let gateway = Rc::clone(self);
        let server = server.clone();
        actix_rt::spawn(async move {
            let liveness = gateway.server_liveness(&server).await;
            log::info!(target: "servers", server:%, liveness:?; "server checked after a lost connection");
        });
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
