//! Messages of the JSON gateway of etcd's v3 API, as far as they are used here.
//!
//! Source: the published API reference of etcd v3 (`rpc.proto`, `kv.proto`). In
//! JSON, 64-bit numbers are text and byte strings are standard base64.

use base64::Engine;
use base64::engine::general_purpose::STANDARD;
use serde::{Deserialize, Deserializer, Serialize, Serializer};

/// Base64 of `bytes`.
pub fn encode_bytes(bytes: &[u8]) -> String {
    STANDARD.encode(bytes)
}

/// The bytes of base64 `text`, or `None` where it isn't any.
pub fn decode_bytes(text: &str) -> Option<Vec<u8>> {
    STANDARD.decode(text).ok()
}

/// The first key after all keys that start with `prefix`.
pub fn prefix_end(prefix: &[u8]) -> Vec<u8> {
    let mut end = prefix.to_vec();
    while let Some(last) = end.pop() {
        if last < u8::MAX {
            end.push(last + 1);
            return end;
        }
    }
    vec![0]
}

fn to_text<S: Serializer>(number: &i64, serializer: S) -> Result<S::Ok, S::Error> {
    serializer.serialize_str(&number.to_string())
}

fn from_text<'de, D: Deserializer<'de>>(deserializer: D) -> Result<i64, D::Error> {
    #[derive(Deserialize)]
    #[serde(untagged)]
    enum TextOrNumber {
        Text(String),
        Number(i64),
    }
    match TextOrNumber::deserialize(deserializer)? {
        TextOrNumber::Text(text) => text.parse().map_err(serde::de::Error::custom),
        TextOrNumber::Number(number) => Ok(number),
    }
}

macro_rules! message {
    ($(#[$doc:meta])* $name:ident { $($(#[$field_doc:meta])* $field:ident: $type:ty,)* }) => {
        $(#[$doc])*
        #[derive(Clone, Debug, Default, PartialEq, Serialize, Deserialize)]
        #[serde(default)]
        pub struct $name {
            $($(#[$field_doc])* pub $field: $type,)*
        }
    };
}

message! {
    /// Metadata of every answer.
    ResponseHeader {
        /// The store's revision.
        #[serde(serialize_with = "to_text", deserialize_with = "from_text")]
        revision: i64,
    }
}
message! {
    /// A key and its value.
    KeyValue {
        /// The key, in base64.
        key: String,
        /// The value, in base64.
        value: String,
        /// Revision of the last change.
        #[serde(serialize_with = "to_text", deserialize_with = "from_text")]
        mod_revision: i64,
        /// Revision in which the key came to be.
        #[serde(serialize_with = "to_text", deserialize_with = "from_text")]
        create_revision: i64,
        /// Lease that the key is bound to, or 0.
        #[serde(serialize_with = "to_text", deserialize_with = "from_text")]
        lease: i64,
    }
}
message! {
    /// `/v3/kv/range`.
    RangeRequest {
        /// First key, in base64.
        key: String,
        /// End of the range, in base64; empty for one key.
        range_end: String,
    }
}
message! {
    /// The answer to a range.
    RangeResponse {
        /// Metadata.
        header: ResponseHeader,
        /// The keys found.
        kvs: Vec<KeyValue>,
    }
}
message! {
    /// A put within a transaction.
    PutRequest {
        /// The key, in base64.
        key: String,
        /// The value, in base64.
        value: String,
        /// Lease to bind the key to, or 0.
        #[serde(serialize_with = "to_text", deserialize_with = "from_text")]
        lease: i64,
    }
}
message! {
    /// A deletion within a transaction.
    DeleteRequest {
        /// The key, in base64.
        key: String,
    }
}
message! {
    /// A condition of a transaction: the key's last change.
    Compare {
        /// `EQUAL`.
        result: String,
        /// `MOD`.
        target: String,
        /// The key, in base64.
        key: String,
        /// The revision it must have; 0 for a key that doesn't exist.
        #[serde(serialize_with = "to_text", deserialize_with = "from_text")]
        mod_revision: i64,
    }
}
message! {
    /// One operation of a transaction.
    RequestOp {
        /// A put.
        #[serde(skip_serializing_if = "Option::is_none")]
        request_put: Option<PutRequest>,
        /// A range.
        #[serde(skip_serializing_if = "Option::is_none")]
        request_range: Option<RangeRequest>,
        /// A deletion.
        #[serde(skip_serializing_if = "Option::is_none")]
        request_delete_range: Option<DeleteRequest>,
    }
}
message! {
    /// `/v3/kv/txn`.
    TxnRequest {
        /// All must hold for `success` to be carried out.
        compare: Vec<Compare>,
        /// What is done where they hold.
        success: Vec<RequestOp>,
        /// What is done where one doesn't.
        failure: Vec<RequestOp>,
    }
}
message! {
    /// The outcome of one operation.
    ResponseOp {
        /// The answer to a range.
        #[serde(skip_serializing_if = "Option::is_none")]
        response_range: Option<RangeResponse>,
    }
}
message! {
    /// The answer to a transaction.
    TxnResponse {
        /// Metadata.
        header: ResponseHeader,
        /// Whether the comparisons held.
        succeeded: bool,
        /// Outcomes, in the order of the operations.
        responses: Vec<ResponseOp>,
    }
}
message! {
    /// `/v3/lease/grant`.
    LeaseGrantRequest {
        /// Seconds to live.
        #[serde(rename = "TTL", serialize_with = "to_text", deserialize_with = "from_text")]
        ttl: i64,
    }
}
message! {
    /// The answer to a lease grant.
    LeaseGrantResponse {
        /// The lease.
        #[serde(rename = "ID", serialize_with = "to_text", deserialize_with = "from_text")]
        id: i64,
        /// Seconds to live.
        #[serde(rename = "TTL", serialize_with = "to_text", deserialize_with = "from_text")]
        ttl: i64,
    }
}
message! {
    /// `/v3/watch`.
    WatchRequest {
        /// What to watch.
        create_request: WatchCreate,
    }
}
message! {
    /// What to watch.
    WatchCreate {
        /// First key, in base64.
        key: String,
        /// End of the range, in base64.
        range_end: String,
        /// First revision to report.
        #[serde(serialize_with = "to_text", deserialize_with = "from_text")]
        start_revision: i64,
    }
}
message! {
    /// One line of a watch's answer.
    WatchResponse {
        /// What happened.
        result: WatchResult,
    }
}
message! {
    /// What happened.
    WatchResult {
        /// Metadata.
        header: ResponseHeader,
        /// Whether the watch was just created.
        created: bool,
        /// Whether the store ended the watch.
        canceled: bool,
        /// The changes.
        events: Vec<WireEvent>,
    }
}
message! {
    /// One change.
    WireEvent {
        /// What was done.
        #[serde(rename = "type")]
        kind: EventKind,
        /// The key after the change.
        kv: KeyValue,
    }
}

/// What was done to a key.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "UPPERCASE")]
pub enum EventKind {
    /// It was written.
    #[default]
    Put,
    /// It was deleted or its lease ended.
    Delete,
}
