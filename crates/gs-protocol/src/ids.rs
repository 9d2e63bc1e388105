//! Identifiers of callers, servers, processes, requests and attempts.

use std::fmt;

use serde::{Deserialize, Serialize};
use uuid::Uuid;

/// Declares a name type that serializes as a plain string.
macro_rules! name_type {
    ($(#[$doc:meta])* $name:ident) => {
        $(#[$doc])*
        #[derive(Clone, Debug, Deserialize, Eq, Hash, Ord, PartialEq, PartialOrd, Serialize)]
        #[serde(transparent)]
        pub struct $name(String);

        impl $name {
            /// Creates a name from a string, without validation.
            pub fn new(name: impl Into<String>) -> Self {
                Self(name.into())
            }

            /// Returns the name as a string slice.
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

/// Declares a monotonically increasing number that serializes as a plain `u64`.
macro_rules! number_type {
    ($(#[$doc:meta])* $name:ident) => {
        $(#[$doc])*
        #[derive(
            Clone, Copy, Debug, Default, Deserialize, Eq, Hash, Ord, PartialEq, PartialOrd, Serialize,
        )]
        #[serde(transparent)]
        pub struct $name(pub u64);

        impl $name {
            /// Returns the next number.
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

/// Declares an identifier type that serializes as a UUID.
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
    /// The name of a caller declared in the document.
    CallerName
);
name_type!(
    /// The version of the software that a backend server runs. What two versions write does not fit together.
    SoftwareVersion
);
name_type!(
    /// The name of a backend server, unique within a deployment.
    ServerName
);
name_type!(
    /// The name of an entry, unique within a deployment.
    EntryName
);
name_type!(
    /// The name of a data centre.
    DataCentreName
);
name_type!(
    /// The name of a model that engines serve.
    ModelName
);
name_type!(
    /// The name of a backend server kind declared in the document.
    ServerKindName
);
name_type!(
    /// The name of a plain service declared in the document.
    ServiceName
);
name_type!(
    /// The name of an operator or monitor that may call the administration API.
    OperatorName
);

number_type!(
    /// The incarnation of a process: a restarted process has a larger number.
    Incarnation
);
number_type!(
    /// The fencing number of a lease; each new lease has a larger one.
    FenceNumber
);
number_type!(
    /// The position of a document in its environment's history; 0 stands for no document.
    SequenceNumber
);
number_type!(
    /// The version of one object in the platform's object store.
    ObjectVersion
);

uuid_type!(
    /// Identifies one request of a caller.
    RequestId
);
uuid_type!(
    /// Identifies one attempt to run a request on backend servers.
    AttemptId
);
uuid_type!(
    /// A caller's idempotency key, a UUIDv7.
    IdempotencyKey
);
uuid_type!(
    /// Identifies an operator's operation; retries reuse the identifier.
    OperationId
);

impl RequestId {
    /// Generates a UUIDv7, which sorts by creation time.
    pub fn generate() -> Self {
        Self(Uuid::now_v7())
    }
}

impl AttemptId {
    /// Generates a UUIDv7, which sorts by creation time.
    pub fn generate() -> Self {
        Self(Uuid::now_v7())
    }
}

/// One incarnation of an entry, the owner of reservations, prefill results and streams on engines.
#[derive(Clone, Debug, Deserialize, Eq, Hash, Ord, PartialEq, PartialOrd, Serialize)]
pub struct EntryIdentity {
    /// The entry's name.
    pub entry: EntryName,
    /// The entry's incarnation.
    pub incarnation: Incarnation,
}

impl fmt::Display for EntryIdentity {
    fn fmt(&self, formatter: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(formatter, "{}/{}", self.entry, self.incarnation)
    }
}
