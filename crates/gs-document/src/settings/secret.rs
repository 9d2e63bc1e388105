//! The secret that the entries of a deployment share.

use std::fmt;

use serde::Deserialize;

/// A secret that entries prove to one another; never shown.
#[derive(Clone, Deserialize, Eq, PartialEq)]
#[serde(transparent)]
pub struct PeerKey(String);

impl PeerKey {
    /// The secret's bytes.
    pub fn as_bytes(&self) -> &[u8] {
        self.0.as_bytes()
    }
}

impl fmt::Debug for PeerKey {
    fn fmt(&self, formatter: &mut fmt::Formatter<'_>) -> fmt::Result {
        formatter.write_str("PeerKey(hidden)")
    }
}
