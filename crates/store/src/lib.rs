//! The platform's services, behind two narrow interfaces.
//!
//! [`Store`] speaks the JSON gateway of etcd's v3 API: ranges, compare-and-swap
//! transactions, leases and watches. [`BoxList`] reads the platform's lagging
//! list of boxes. Neither retries: callers know what a lost answer means to them.

mod box_list;
mod client;
mod error;
mod store;
mod watch;
mod wire;

pub use box_list::{BoxList, ListedBox, ListedState};
pub use error::StoreError;
pub use store::{CasOutcome, Listing, Store, StoredValue};
pub use watch::{Watch, WatchBatch, WatchEvent};
pub use wire::{
    Compare, DeleteRequest, EventKind, KeyValue, LeaseGrantRequest, LeaseGrantResponse, PutRequest,
    RangeRequest, RangeResponse, RequestOp, ResponseHeader, ResponseOp, TxnRequest, TxnResponse,
    WatchCreate, WatchRequest, WatchResponse, WatchResult, WireEvent, decode_bytes, encode_bytes,
    prefix_end,
};
