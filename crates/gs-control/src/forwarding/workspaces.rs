//! Workspaces: which API keys a configuration accepts, and what it grants to their holders.

use std::collections::HashMap;
use std::fmt;
use std::sync::Arc;

use sha2::{Digest, Sha256};
use subtle::ConstantTimeEq;

/// SHA-256 digest of an API key. The key itself is kept nowhere.
#[derive(Clone, Copy, Eq, PartialEq)]
pub struct KeyDigest([u8; 32]);

impl KeyDigest {
    /// Number of digest bytes that are shown in logs.
    const SHOWN_BYTES: usize = 4;

    /// Returns the digest of a key.
    pub fn new(key: &[u8]) -> Self {
        Self(Sha256::digest(key).into())
    }

    /// Returns the bytes of the digest.
    pub fn as_bytes(&self) -> &[u8] {
        &self.0
    }

    /// Returns the part of the digest that selects a bucket of the index.
    fn bucket(&self) -> [u8; 8] {
        let mut bucket = [0; 8];
        bucket.copy_from_slice(&self.0[..8]);
        bucket
    }
}

impl fmt::Debug for KeyDigest {
    fn fmt(&self, formatter: &mut fmt::Formatter<'_>) -> fmt::Result {
        fmt::Display::fmt(self, formatter)
    }
}

impl fmt::Display for KeyDigest {
    /// Writes the first bytes of the digest in hexadecimal.
    fn fmt(&self, formatter: &mut fmt::Formatter<'_>) -> fmt::Result {
        let shown = &self.0[..Self::SHOWN_BYTES];
        shown
            .iter()
            .try_for_each(|byte| write!(formatter, "{byte:02x}"))
    }
}

/// What the cost of a request is counted in.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum CostUnit {
    /// Each request costs 1.
    Requests,
    /// A request costs its prompt tokens and its maximum output tokens.
    Tokens {
        /// Cost of a request that names no token counts.
        plain: u64,
    },
}

impl CostUnit {
    /// Returns the cost of a request from its token counts, if it names them.
    pub fn cost(self, tokens: Option<u64>) -> u64 {
        match self {
            Self::Requests => 1,
            Self::Tokens { plain } => tokens.unwrap_or(plain),
        }
    }
}

/// The cost that the requests of a workspace may have at all entries together.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct QuotaSpec {
    /// Cost per second.
    pub rate: f64,
    /// Cost in addition at any moment.
    pub burst: f64,
}

/// One workspace: its requests are recognized by their API keys.
#[derive(Clone, Debug, PartialEq)]
pub struct WorkspaceSpec {
    /// Name of the workspace, which servers are told.
    pub name: String,
    /// Priority of its requests, in place of that of their routes; 0 is the most urgent.
    pub rank: Option<u8>,
    /// Unit in which the cost of its requests is counted.
    pub unit: CostUnit,
    /// Maximum cost of its requests; none if it is not limited.
    pub quota: Option<QuotaSpec>,
}

/// Whose request it is, by its API key.
#[derive(Clone, Debug, PartialEq)]
pub enum RequestCaller {
    /// The configuration has no workspaces, so that requests need no key.
    Unscoped,
    /// The route is public, so that its requests need no key.
    Public,
    /// The request belongs to a workspace.
    Workspace(Arc<WorkspaceSpec>),
}

impl RequestCaller {
    /// Returns the workspace of the request, if it belongs to one.
    pub fn workspace(&self) -> Option<&Arc<WorkspaceSpec>> {
        match self {
            Self::Unscoped | Self::Public => None,
            Self::Workspace(workspace) => Some(workspace),
        }
    }
}

/// Why a request does not belong to a workspace although its route requires one.
#[derive(Clone, Copy, Debug, Eq, thiserror::Error, PartialEq)]
pub enum KeyError {
    /// The request has no API key.
    #[error("the request has no API key")]
    Missing,
    /// No workspace holds the API key of the request.
    #[error("no workspace holds the API key")]
    Unknown,
}

/// The workspaces of one version of the configuration, by the digests of their API keys.
#[derive(Clone, Debug, Default)]
pub struct WorkspaceTable {
    workspaces: Vec<Arc<WorkspaceSpec>>,
    // Entries of a bucket are compared in constant time. The bucket reveals a part of the digest only.
    keys: HashMap<[u8; 8], Vec<(KeyDigest, Arc<WorkspaceSpec>)>>,
}

impl WorkspaceTable {
    /// Creates a table without workspaces.
    pub fn new() -> Self {
        Self::default()
    }

    /// Adds a workspace and its keys. A key that another workspace holds already stays with that one.
    pub fn insert(&mut self, workspace: WorkspaceSpec, keys: impl IntoIterator<Item = KeyDigest>) {
        let workspace = Arc::new(workspace);
        for key in keys {
            if self.find(&key).is_none() {
                let bucket = self.keys.entry(key.bucket()).or_default();
                bucket.push((key, Arc::clone(&workspace)));
            }
        }
        self.workspaces.push(workspace);
    }

    /// Returns the workspace that holds a key.
    pub fn find(&self, key: &KeyDigest) -> Option<&Arc<WorkspaceSpec>> {
        let bucket = self.keys.get(&key.bucket())?;
        let held = bucket.iter().find(|(held, _)| held.0.ct_eq(&key.0).into());
        held.map(|(_, workspace)| workspace)
    }

    /// Returns the workspaces in the order of the configuration.
    pub fn workspaces(&self) -> &[Arc<WorkspaceSpec>] {
        &self.workspaces
    }
}
