//! Checks the heads of requests, and tells their recipients where their bodies end.

use crate::invalid_head::InvalidHead;
use crate::response::remove_framing;
use crate::transfer_coding;
use http::header::{CONTENT_LENGTH, TRANSFER_ENCODING};
use http::{HeaderMap, HeaderValue};

/// Checks the headers of a request.
///
/// # Errors
///
/// [`InvalidHead::TransferCoding`].
pub fn check_request(headers: &HeaderMap) -> Result<(), InvalidHead> {
    transfer_coding::check(headers)
}

/// Sets the fields in `forwarded` that tell where the body of a request ends. `received` are the
/// headers that the client sent; `length` is the length of the body that is forwarded, in bytes, or
/// `None` if it isn't known before it ends.
// The HTTP library would send no body with some methods, such as GET, unless a field announces one.
pub fn frame_request(received: &HeaderMap, forwarded: &mut HeaderMap, length: Option<u64>) {
    remove_framing(forwarded);
    let has_body =
        received.contains_key(CONTENT_LENGTH) || received.contains_key(TRANSFER_ENCODING);
    if !has_body {
        return;
    }
    match length {
        Some(length) => forwarded.insert(CONTENT_LENGTH, HeaderValue::from(length)),
        None => forwarded.insert(TRANSFER_ENCODING, HeaderValue::from_static("chunked")),
    };
}
