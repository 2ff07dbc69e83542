//! Identifiers. Each kind has its own type, so that the compiler rejects a mix-up.

use serde::{Deserialize, Serialize};
use std::fmt;
use std::sync::Arc;

/// A reading of a monotonic clock, in milliseconds since an arbitrary start.
///
/// Code without input or output takes the time as an argument and never reads a clock.
pub type Millis = u64;

macro_rules! name_type {
    ($(#[$doc:meta])* $name:ident) => {
        $(#[$doc])*
        #[derive(Clone, Debug, PartialEq, Eq, Hash, PartialOrd, Ord, Serialize, Deserialize)]
        #[serde(transparent)]
        pub struct $name(Arc<str>);

        impl $name {
            /// Wraps a name without validating it; the readers of settings and policies validate
            /// theirs.
            pub fn new(name: impl AsRef<str>) -> Self {
                Self(Arc::from(name.as_ref()))
            }

            /// Returns the name as text.
            pub fn as_str(&self) -> &str {
                &self.0
            }
        }

        impl fmt::Display for $name {
            fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
                f.write_str(&self.0)
            }
        }

        impl From<&str> for $name {
            fn from(name: &str) -> Self {
                Self::new(name)
            }
        }
    };
}

name_type! {
    /// A tenant of the system, for example `kavach`.
    Workspace
}
name_type! {
    /// A service of one workspace, for example `rate-desk`.
    Service
}
name_type! {
    /// A region, for example `guj-west`.
    Region
}
name_type! {
    /// An availability zone, for example `guj-west-a`.
    Zone
}
name_type! {
    /// An entry box. A replaced box gets a new identifier.
    BoxId
}
name_type! {
    /// One incarnation of an upstream. It may change when the upstream restarts.
    UpstreamId
}

/// A service together with the workspace that owns it.
#[derive(Clone, Debug, PartialEq, Eq, Hash, PartialOrd, Ord, Serialize, Deserialize)]
pub struct ServiceKey {
    /// The workspace that owns the service.
    pub workspace: Workspace,
    /// The service's name within the workspace.
    pub service: Service,
}

impl ServiceKey {
    /// Creates a key from the two names.
    pub fn new(workspace: impl Into<Workspace>, service: impl Into<Service>) -> Self {
        Self {
            workspace: workspace.into(),
            service: service.into(),
        }
    }
}

/// A short identifier of a service in messages between boxes: a hash of its key. A
/// collision of two services would only mix up their load hints, because admission never
/// depends on the tag.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash, PartialOrd, Ord, Serialize, Deserialize)]
#[serde(transparent)]
pub struct ServiceTag(pub u64);

impl ServiceKey {
    /// Returns the short identifier of the service.
    pub fn tag(&self) -> ServiceTag {
        ServiceTag(xxhash_rust::xxh3::xxh3_64(self.to_string().as_bytes()))
    }
}

impl fmt::Display for ServiceKey {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "{}/{}", self.workspace, self.service)
    }
}

/// One run of a daemon process on a box; a random number chosen when the process starts.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash, PartialOrd, Ord, Serialize, Deserialize)]
#[serde(transparent)]
pub struct Incarnation(pub u64);

impl fmt::Display for Incarnation {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "{:016x}", self.0)
    }
}

/// Identifies one submission. If the response was lost, reading the entry back shows
/// whether the submission was accepted.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash, PartialOrd, Ord, Serialize, Deserialize)]
#[serde(transparent)]
pub struct SubmissionId(pub u64);

impl fmt::Display for SubmissionId {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "{:016x}", self.0)
    }
}
