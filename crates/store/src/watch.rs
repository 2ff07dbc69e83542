//! A watch: a stream of JSON lines that lasts until one side ends it.

use crate::store::{StoredValue, stored};
use crate::wire::{EventKind, WatchResponse};
use crate::{Listing, StoreError};
use bytes::BytesMut;
use http_body_util::BodyExt;
use hyper::body::Incoming;

/// Longest line of a watch, in bytes: some values of a megabyte in base64.
const MAX_LINE_BYTES: usize = 16 * 1024 * 1024;

/// One change that a watch reports.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum WatchEvent {
    /// A key was written.
    Put(StoredValue),
    /// A key was deleted.
    Delete(String),
}

/// An open watch.
#[derive(Debug)]
pub struct Watch {
    body: Incoming,
    buffer: BytesMut,
}

/// A batch of changes with the store's revision, for resuming the watch.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct WatchBatch {
    /// The store's revision.
    pub revision: i64,
    /// The changes, oldest first.
    pub events: Vec<WatchEvent>,
}

impl Watch {
    pub(crate) fn new(body: Incoming) -> Self {
        Self {
            body,
            buffer: BytesMut::new(),
        }
    }

    /// The next batch; an error ends the watch. Can be cancelled without loss.
    pub async fn next(&mut self) -> Result<WatchBatch, StoreError> {
        loop {
            if let Some(batch) = self.buffered_batch()? {
                return Ok(batch);
            }
            let frame = self
                .body
                .frame()
                .await
                .ok_or_else(|| StoreError::AnswerLost("the watch ended".into()))?
                .map_err(|error| StoreError::AnswerLost(error.to_string()))?;
            if let Ok(data) = frame.into_data() {
                self.buffer.extend_from_slice(&data);
            }
            if self.buffer.len() > MAX_LINE_BYTES {
                return Err(StoreError::Malformed("a watch line is too long".into()));
            }
        }
    }

    fn buffered_batch(&mut self) -> Result<Option<WatchBatch>, StoreError> {
        let Some(end) = self.buffer.iter().position(|byte| *byte == b'\n') else {
            return Ok(None);
        };
        let line = self.buffer.split_to(end + 1);
        let response: WatchResponse = serde_json::from_slice(&line)
            .map_err(|error| StoreError::Malformed(error.to_string()))?;
        let result = response.result;
        if result.canceled {
            return Err(StoreError::AnswerLost("the store ended the watch".into()));
        }
        let mut events = Vec::with_capacity(result.events.len());
        for event in &result.events {
            let value = stored(&event.kv)?;
            events.push(match event.kind {
                EventKind::Put => WatchEvent::Put(value),
                EventKind::Delete => WatchEvent::Delete(value.key),
            });
        }
        Ok(Some(WatchBatch {
            revision: result.header.revision,
            events,
        }))
    }
}

impl From<Listing> for WatchBatch {
    /// A listing, seen as the changes that lead to it from nothing.
    fn from(listing: Listing) -> Self {
        Self {
            revision: listing.revision,
            events: listing.values.into_iter().map(WatchEvent::Put).collect(),
        }
    }
}
