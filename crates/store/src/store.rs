//! The platform's key-value store.

use crate::client::PlatformClient;
use crate::watch::Watch;
use crate::wire::{
    Compare, DeleteRequest, LeaseGrantRequest, LeaseGrantResponse, PutRequest, RangeRequest,
    RangeResponse, RequestOp, TxnRequest, TxnResponse, WatchCreate, WatchRequest, decode_bytes,
    encode_bytes, prefix_end,
};
use crate::{KeyValue, StoreError};
use http::Method;
use std::net::{IpAddr, SocketAddr};
use std::time::Duration;

/// A value and the revision that wrote it.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct StoredValue {
    /// The key.
    pub key: String,
    /// The value.
    pub value: Vec<u8>,
    /// Revision of the last change; a compare-and-swap names it.
    pub revision: i64,
}

/// All values under a prefix.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Listing {
    /// The values.
    pub values: Vec<StoredValue>,
    /// The store's revision at which they were read.
    pub revision: i64,
}

/// What became of a compare-and-swap.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum CasOutcome {
    /// The value was written at this revision.
    Written(i64),
    /// The key had changed; this is what it holds now.
    Conflict(Option<StoredValue>),
}

/// Speaks to the store.
#[derive(Clone, Debug)]
pub struct Store {
    client: PlatformClient,
}

impl Store {
    /// Speaks to the store at `address`, calling from `local`, waiting at most
    /// `timeout` for each answer.
    pub fn new(address: SocketAddr, local: Option<IpAddr>, timeout: Duration) -> Self {
        Self {
            client: PlatformClient::new(address, local, timeout),
        }
    }

    /// The value of `key`.
    pub async fn get(&self, key: &str) -> Result<Option<StoredValue>, StoreError> {
        let request = RangeRequest {
            key: encode_bytes(key.as_bytes()),
            ..RangeRequest::default()
        };
        let response: RangeResponse = self.client.post("/v3/kv/range", &request).await?;
        response.kvs.first().map(stored).transpose()
    }

    /// All values whose keys start with `prefix`.
    pub async fn list(&self, prefix: &str) -> Result<Listing, StoreError> {
        let request = RangeRequest {
            key: encode_bytes(prefix.as_bytes()),
            range_end: encode_bytes(&prefix_end(prefix.as_bytes())),
        };
        let response: RangeResponse = self.client.post("/v3/kv/range", &request).await?;
        let values = response.kvs.iter().map(stored).collect::<Result<_, _>>()?;
        Ok(Listing {
            values,
            revision: response.header.revision,
        })
    }

    /// Writes `value` if `key` was last changed at `expected`; 0 means that it doesn't exist.
    pub async fn compare_and_swap(
        &self,
        key: &str,
        expected: i64,
        value: &[u8],
        lease: Option<i64>,
    ) -> Result<CasOutcome, StoreError> {
        let key = encode_bytes(key.as_bytes());
        let request = TxnRequest {
            compare: vec![unchanged(&key, expected)],
            success: vec![RequestOp {
                request_put: Some(PutRequest {
                    key: key.clone(),
                    value: encode_bytes(value),
                    lease: lease.unwrap_or(0),
                }),
                ..RequestOp::default()
            }],
            failure: vec![RequestOp {
                request_range: Some(RangeRequest {
                    key,
                    ..RangeRequest::default()
                }),
                ..RequestOp::default()
            }],
        };
        let response: TxnResponse = self.client.post("/v3/kv/txn", &request).await?;
        if response.succeeded {
            return Ok(CasOutcome::Written(response.header.revision));
        }
        let held = response
            .responses
            .first()
            .and_then(|op| op.response_range.as_ref())
            .and_then(|range| range.kvs.first());
        Ok(CasOutcome::Conflict(held.map(stored).transpose()?))
    }

    /// Deletes `key` if it was last changed at `expected`; says whether it was.
    pub async fn delete_if(&self, key: &str, expected: i64) -> Result<bool, StoreError> {
        let key = encode_bytes(key.as_bytes());
        let request = TxnRequest {
            compare: vec![unchanged(&key, expected)],
            success: vec![RequestOp {
                request_delete_range: Some(DeleteRequest { key }),
                ..RequestOp::default()
            }],
            failure: Vec::new(),
        };
        let response: TxnResponse = self.client.post("/v3/kv/txn", &request).await?;
        Ok(response.succeeded)
    }

    /// A lease that ends `ttl` after the store granted it.
    pub async fn grant_lease(&self, ttl: Duration) -> Result<i64, StoreError> {
        let request = LeaseGrantRequest {
            ttl: i64::try_from(ttl.as_secs()).unwrap_or(i64::MAX),
        };
        let response: LeaseGrantResponse = self.client.post("/v3/lease/grant", &request).await?;
        Ok(response.id)
    }

    /// Reports changes under `prefix` from revision `from` on.
    pub async fn watch(&self, prefix: &str, from: i64) -> Result<Watch, StoreError> {
        let request = WatchRequest {
            create_request: WatchCreate {
                key: encode_bytes(prefix.as_bytes()),
                range_end: encode_bytes(&prefix_end(prefix.as_bytes())),
                start_revision: from,
            },
        };
        let response = self
            .client
            .send(Method::POST, "/v3/watch", Some(&request))
            .await?;
        Ok(Watch::new(response.into_body()))
    }
}

/// The condition that `key` was last changed at `expected`.
fn unchanged(key: &str, expected: i64) -> Compare {
    Compare {
        result: "EQUAL".into(),
        target: "MOD".into(),
        key: key.to_owned(),
        mod_revision: expected,
    }
}

/// A stored value from its wire form.
pub(crate) fn stored(kv: &KeyValue) -> Result<StoredValue, StoreError> {
    let malformed = || StoreError::Malformed("a key or value is not base64".into());
    let key = decode_bytes(&kv.key).ok_or_else(malformed)?;
    let key = String::from_utf8(key).map_err(|_| malformed())?;
    Ok(StoredValue {
        key,
        value: decode_bytes(&kv.value).ok_or_else(malformed)?,
        revision: kv.mod_revision,
    })
}
