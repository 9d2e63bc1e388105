//! What a request has in common with others, and what tells it from them.

use gs_protocol::suspicion::ContentHash;

use crate::forwarding::{KeyDigest, RequestCaller, host_name};

/// Who sent a request, as far as the configuration tells callers apart.
#[derive(Clone, Copy, Debug)]
pub enum CallerIdentity<'r> {
    /// No key and no workspace.
    Unknown,
    /// A caller of a route that needs no key, by the key that it sent anyway.
    Key(&'r KeyDigest),
    /// A workspace, by its name; all its keys are the same caller.
    Workspace(&'r str),
}

impl<'r> CallerIdentity<'r> {
    /// Identifies the caller of a request that was sent with `key`.
    pub fn new(caller: &'r RequestCaller, key: Option<&'r KeyDigest>) -> Self {
        match (caller, key) {
            (RequestCaller::Workspace(workspace), _) => Self::Workspace(&workspace.name),
            (RequestCaller::Unscoped | RequestCaller::Public, Some(key)) => Self::Key(key),
            (RequestCaller::Unscoped | RequestCaller::Public, None) => Self::Unknown,
        }
    }

    /// Returns the kind of the identity and its value.
    fn fields(&self) -> [&[u8]; 2] {
        match self {
            Self::Unknown => [b"unknown", b""],
            Self::Key(digest) => [b"key", digest.as_bytes()],
            Self::Workspace(name) => [b"workspace", name.as_bytes()],
        }
    }
}

/// What makes a request the same as an earlier one.
#[derive(Clone, Copy, Debug)]
pub struct RequestIdentity<'r> {
    /// HTTP method.
    pub method: &'r str,
    /// Path with the query.
    pub path: &'r str,
    /// Complete body.
    pub body: &'r [u8],
    /// Host that the request is addressed to.
    pub host: &'r str,
    /// Who sent it.
    pub caller: CallerIdentity<'r>,
}

/// The content of a request.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct RequestContents {
    /// Parts of its prompt that other requests may share, in their order.
    pub shared_parts: Vec<ContentHash>,
    /// Its method, path and body, which requests of other callers may have, too. Entries of earlier builds identify
    /// a request by it.
    pub payload: ContentHash,
    /// The request itself: the same caller sends the same method, path and body to the same host. It is derived from
    /// the payload.
    pub request: ContentHash,
}

impl RequestContents {
    /// Hashes the content of a request.
    pub fn new(identity: &RequestIdentity<'_>, shared_parts: Vec<ContentHash>) -> Self {
        let RequestIdentity {
            method,
            path,
            body,
            host,
            caller,
        } = identity;
        let payload = ContentHash::new([method.as_bytes(), path.as_bytes(), body]);
        let host = host_name(host);
        let [kind, value] = caller.fields();
        Self {
            shared_parts,
            payload,
            request: payload.derive([host.as_bytes(), kind, value]),
        }
    }

    /// Returns the content that is blamed if the request crashes a server, from the most shared to the most specific.
    pub fn by_specificity(&self) -> impl Iterator<Item = ContentHash> {
        let shared = self.shared_parts.iter().copied();
        shared.chain([self.request])
    }
}
