//! Replies to other boxes' requests. When a configuration of thousands of routes changes, or many
//! boxes start together, all request the same. Therefore large replies are cached, and few are sent
//! at a time because they share the box's link.

use super::transfer::{EncodedMessage, TransferError, encode};
use super::{ChangesRequest, Reply, Request};
use crate::context::Context;
use brasswinch_routing::Revision;
use std::collections::VecDeque;
use std::sync::{Mutex, PoisonError};
use tokio::sync::{Semaphore, SemaphorePermit};

/// Maximum cached replies. After a change, boxes lack one version, two, or all of them.
const MAX_CACHED_REPLIES: usize = 4;

/// Replies of at least this size are large: they are cached, and few are sent at a time.
const LARGE_REPLY_BYTES: usize = 8 * 1024;

/// Maximum large replies that are sent at a time. Eight of 130 kB, the size of 5,000 routes, take
/// 0.9 s on a link of 10 Mbit/s.
const MAX_CONCURRENT_LARGE_REPLIES: usize = 8;

/// A cached reply, with the request and the revision that it was encoded for.
struct CachedReply {
    request: ChangesRequest,
    /// This box's newest revision of the scope at that time.
    revision: Option<Revision>,
    encoded: EncodedMessage,
}

/// A reply that may be sent now.
pub(super) struct OutgoingReply<'a> {
    pub(super) encoded: EncodedMessage,
    /// Held until a large reply has been sent.
    _permit: Option<SemaphorePermit<'a>>,
}

/// Cache of recent large replies, with the limit on how many are sent at a time.
pub(super) struct ReplyCache {
    cached: Mutex<VecDeque<CachedReply>>,
    permits: Semaphore,
}

impl Default for ReplyCache {
    fn default() -> Self {
        Self {
            cached: Mutex::default(),
            permits: Semaphore::new(MAX_CONCURRENT_LARGE_REPLIES),
        }
    }
}

impl ReplyCache {
    /// Returns the reply to `request`: the missing changes, or a refusal that makes the requesting
    /// box ask another one.
    pub(super) fn reply(
        &self,
        context: &Context,
        request: &Request,
    ) -> Result<OutgoingReply<'_>, TransferError> {
        let encoded = match request {
            Request::Changes(request) => self.encoded(context, *request)?,
            Request::Members(request) => {
                let members = context.swim().members_reply(request);
                encode(&Reply::Members(members))?
            }
            // Tunnels are carried, not replied to from here.
            Request::Tunnel(_) => encode(&Reply::Busy)?,
        };
        if encoded.len() < LARGE_REPLY_BYTES {
            return Ok(OutgoingReply {
                encoded,
                _permit: None,
            });
        }
        // An error means that no permit is available.
        let Ok(permit) = self.permits.try_acquire() else {
            let encoded = encode(&Reply::Busy)?;
            return Ok(OutgoingReply {
                encoded,
                _permit: None,
            });
        };
        let _permit = Some(permit);
        Ok(OutgoingReply { encoded, _permit })
    }

    fn encoded(
        &self,
        context: &Context,
        request: ChangesRequest,
    ) -> Result<EncodedMessage, TransferError> {
        let mut cached = self.cached.lock().unwrap_or_else(PoisonError::into_inner);
        let fleet = context.fleet();
        let revision = fleet.newest(request.scope);
        let matches = |entry: &&CachedReply| entry.request == request && entry.revision == revision;
        if let Some(found) = cached.iter().find(matches) {
            return Ok(found.encoded.clone());
        }
        let missing = fleet.missing(request.scope, request.after, request.config);
        drop(fleet);
        let encoded = encode(&missing.map_or(Reply::NoData, Reply::Changes))?;
        if encoded.len() >= LARGE_REPLY_BYTES {
            cached.truncate(MAX_CACHED_REPLIES - 1);
            cached.push_front(CachedReply {
                request,
                revision,
                encoded: encoded.clone(),
            });
        }
        Ok(encoded)
    }
}
