//! What HTTP/1.1 allows in the heads of messages, and how the length of a body is told.
//!
//! The HTTP library finds the end of a body that it reads. What the next recipient is told about
//! its length must come from that body alone: a field that is passed on beside it can contradict
//! it, and the recipient then takes a part for the whole or waits for bytes that never come.

mod content_coding;
mod invalid_head;
mod list;
mod request;
mod response;
mod transfer_coding;

pub use invalid_head::InvalidHead;
pub use request::{check_request, frame_request};
pub use response::{ExpectedLength, check_response, remove_framing};
