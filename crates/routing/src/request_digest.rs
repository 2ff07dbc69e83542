//! Identifies a repeated request, whoever sends it and at whichever box it arrives.

use brasswinch_types::Workspace;
use serde::{Deserialize, Serialize};
use sha2::{Digest, Sha256};
use std::fmt;
use xxhash_rust::xxh3::Xxh3;

/// The parts that make two requests the same: an upstream that runs both does the same work.
#[derive(Clone, Copy, Debug)]
pub struct RequestIdentity<'a> {
    /// The workspace; `None` where no key is needed.
    pub workspace: Option<&'a Workspace>,
    /// The method.
    pub method: &'a str,
    /// The requested host.
    pub host: &'a str,
    /// The path with its query.
    pub path: &'a str,
    /// The body, as far as it is buffered.
    pub body: &'a [u8],
}

/// A short hash of a request that covers the body's length but not its content. If no known
/// request has the same shape, the digest needn't be computed.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash, PartialOrd, Ord, Serialize, Deserialize)]
#[serde(transparent)]
pub struct RequestShape(u64);

impl RequestShape {
    /// Computes the shape of a request.
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
    /// Returns all parts except the body.
    fn head(&self) -> [&'a [u8]; 4] {
        let workspace = self.workspace.map_or("", Workspace::as_str);
        [workspace, self.method, self.host, self.path].map(str::as_bytes)
    }
}

/// The first 128 bits of the SHA-256 of a [`RequestIdentity`]. Messages between boxes and log
/// lines carry it instead of the request, so that they reveal neither path nor body.
#[derive(Clone, Copy, PartialEq, Eq, Hash, PartialOrd, Ord, Serialize, Deserialize)]
#[serde(transparent)]
pub struct RequestDigest(u128);

impl RequestDigest {
    /// Computes the digest of a request. Each part is hashed with its length, so that different
    /// parts can't yield the same input.
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

    /// Returns the digest as bytes, as input for other hashes.
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
