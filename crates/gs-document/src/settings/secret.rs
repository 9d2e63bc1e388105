//! The secret shared by the entries of a deployment.

use std::fmt;

use serde::Deserialize;

/// The shared secret with which entries authenticate each other. Its `Debug` output is redacted.
#[derive(Clone, Deserialize, Eq, PartialEq)]
#[serde(transparent)]
pub struct PeerKey(String);

impl PeerKey {
    /// Returns the secret's bytes.
    pub fn as_bytes(&self) -> &[u8] {
        self.0.as_bytes()
    }
}

impl fmt::Debug for PeerKey {
    fn fmt(&self, formatter: &mut fmt::Formatter<'_>) -> fmt::Result {
        formatter.write_str("PeerKey(hidden)")
    }
}
