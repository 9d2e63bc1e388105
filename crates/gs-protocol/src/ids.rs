//! Identities of callers, servers, processes, requests and attempts.

use std::fmt;

use serde::{Deserialize, Serialize};
use uuid::Uuid;

/// Declares a name that is a string in every message.
macro_rules! name_type {
    ($(#[$doc:meta])* $name:ident) => {
        $(#[$doc])*
        #[derive(Clone, Debug, Deserialize, Eq, Hash, Ord, PartialEq, PartialOrd, Serialize)]
        #[serde(transparent)]
        pub struct $name(String);

        impl $name {
            /// Wraps a string as a name.
            pub fn new(name: impl Into<String>) -> Self {
                Self(name.into())
            }

            /// The name as a string slice.
            pub fn as_str(&self) -> &str {
                &self.0
            }
        }

        impl fmt::Display for $name {
            fn fmt(&self, formatter: &mut fmt::Formatter<'_>) -> fmt::Result {
                formatter.write_str(&self.0)
            }
        }

        impl From<&str> for $name {
            fn from(name: &str) -> Self {
                Self(name.to_owned())
            }
        }
    };
}

/// Declares a number that only grows.
macro_rules! number_type {
    ($(#[$doc:meta])* $name:ident) => {
        $(#[$doc])*
        #[derive(
            Clone, Copy, Debug, Default, Deserialize, Eq, Hash, Ord, PartialEq, PartialOrd, Serialize,
        )]
        #[serde(transparent)]
        pub struct $name(pub u64);

        impl $name {
            /// The number that follows this one.
            pub fn next(self) -> Self {
                Self(self.0 + 1)
            }
        }

        impl fmt::Display for $name {
            fn fmt(&self, formatter: &mut fmt::Formatter<'_>) -> fmt::Result {
                self.0.fmt(formatter)
            }
        }
    };
}

/// Declares an identity that is a UUID.
macro_rules! uuid_type {
    ($(#[$doc:meta])* $name:ident) => {
        $(#[$doc])*
        #[derive(Clone, Copy, Debug, Deserialize, Eq, Hash, Ord, PartialEq, PartialOrd, Serialize)]
        #[serde(transparent)]
        pub struct $name(pub Uuid);

        impl fmt::Display for $name {
            fn fmt(&self, formatter: &mut fmt::Formatter<'_>) -> fmt::Result {
                self.0.fmt(formatter)
            }
        }
    };
}

name_type!(
    /// A caller that the document names.
    CallerName
);
name_type!(
    /// A backend server, unique within a deployment.
    ServerName
);
name_type!(
    /// An entry VM, unique within a deployment.
    EntryName
);
name_type!(
    /// A data centre.
    DataCentreName
);
name_type!(
    /// A model that engines load.
    ModelName
);
name_type!(
    /// A kind of backend server, which the document describes.
    ServerKindName
);
name_type!(
    /// A plain service that the document routes to.
    ServiceName
);
name_type!(
    /// An operator or monitor of the administration API.
    OperatorName
);

number_type!(
    /// Which start of a process this is: later starts have larger numbers.
    Incarnation
);
number_type!(
    /// The fencing number of a lease.
    FenceNumber
);
number_type!(
    /// The position of a document in the history of its environment.
    SequenceNumber
);
number_type!(
    /// The version of one object of the platform's service.
    ObjectVersion
);

uuid_type!(
    /// One request of a caller.
    RequestId
);
uuid_type!(
    /// One try of a request at backend servers.
    AttemptId
);
uuid_type!(
    /// A caller's idempotency key, a UUIDv7.
    IdempotencyKey
);
uuid_type!(
    /// One operation of an operator, repeated under the same identity.
    OperationId
);

impl RequestId {
    /// A new identity, ordered by time.
    pub fn generate() -> Self {
        Self(Uuid::now_v7())
    }
}

impl AttemptId {
    /// A new identity, ordered by time.
    pub fn generate() -> Self {
        Self(Uuid::now_v7())
    }
}

/// One start of one entry: what owns reservations, prefill results and streams at engines.
#[derive(Clone, Debug, Deserialize, Eq, Hash, Ord, PartialEq, PartialOrd, Serialize)]
pub struct EntryIdentity {
    /// The entry's name.
    pub entry: EntryName,
    /// Which start of the entry.
    pub incarnation: Incarnation,
}

impl fmt::Display for EntryIdentity {
    fn fmt(&self, formatter: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(formatter, "{}/{}", self.entry, self.incarnation)
    }
}
