//! Tells a request that comes again from others, whoever sends it and wherever it arrives.

use brasswinch_types::Workspace;
use serde::{Deserialize, Serialize};
use sha2::{Digest, Sha256};
use std::fmt;
use xxhash_rust::xxh3::Xxh3;

/// What makes two requests the same: an upstream that runs both does the same work.
#[derive(Clone, Copy, Debug)]
pub struct RequestIdentity<'a> {
    /// Whose it is; `None` where no key is needed.
    pub workspace: Option<&'a Workspace>,
    /// The method.
    pub method: &'a str,
    /// The host asked for.
    pub host: &'a str,
    /// The path with its query.
    pub path: &'a str,
    /// The body, as much of it as is held.
    pub body: &'a [u8],
}

/// A short hash of a request without what its body holds: where no known request has it, the
/// digest need not be computed.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash, PartialOrd, Ord, Serialize, Deserialize)]
#[serde(transparent)]
pub struct RequestShape(u64);

impl RequestShape {
    /// The shape of a request.
    pub fn of(request: &RequestIdentity<'_>) -> Self {
        let mut hasher = Xxh3::new();
        for part in request.head() {
            hasher.update(&(part.len() as u64).to_be_bytes());
            hasher.update(part);
        }
        hasher.update(&(request.body.len() as u64).to_be_bytes());
        Self(hasher.digest())
    }
}

impl<'a> RequestIdentity<'a> {
    /// All parts but the body.
    fn head(&self) -> [&'a [u8]; 4] {
        let workspace = self.workspace.map_or("", Workspace::as_str);
        [workspace, self.method, self.host, self.path].map(str::as_bytes)
    }
}

/// The first 128 bits of the SHA-256 of a [`RequestIdentity`]: what boxes tell each other and
/// what stands in logs, so that nobody learns a path or a body from it.
#[derive(Clone, Copy, PartialEq, Eq, Hash, PartialOrd, Ord, Serialize, Deserialize)]
#[serde(transparent)]
pub struct RequestDigest(u128);

impl RequestDigest {
    /// The digest of a request. Its parts are hashed with their lengths, so that none can
    /// pass for another.
    pub fn of(request: &RequestIdentity<'_>) -> Self {
        let mut hasher = Sha256::new();
        for part in request.head().into_iter().chain([request.body]) {
            hasher.update((part.len() as u64).to_be_bytes());
            hasher.update(part);
        }
        let digest = hasher.finalize();
        let mut first = [0; 16];
        first.copy_from_slice(&digest[..16]);
        Self(u128::from_be_bytes(first))
    }

    /// The digest as bytes, for hashes of its own.
    pub fn to_bytes(self) -> [u8; 16] {
        self.0.to_be_bytes()
    }
}

impl fmt::Display for RequestDigest {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "{:032x}", self.0)
    }
}

impl fmt::Debug for RequestDigest {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "RequestDigest({self})")
    }
}
