//! Transfer codings (RFC 9112, section 6.1).

use crate::invalid_head::InvalidHead;
use crate::list::items;
use http::HeaderMap;
use http::header::TRANSFER_ENCODING;

/// The only transfer coding that the HTTP library decodes.
const CHUNKED: &str = "chunked";

/// Checks that a body has no other transfer coding than `chunked`.
///
/// # Errors
///
/// [`InvalidHead::TransferCoding`].
pub(crate) fn check(headers: &HeaderMap) -> Result<(), InvalidHead> {
    if !headers.contains_key(TRANSFER_ENCODING) {
        return Ok(());
    }
    let codings = items(headers, &TRANSFER_ENCODING);
    match &codings[..] {
        [coding] if coding.eq_ignore_ascii_case(CHUNKED) => Ok(()),
        _ => Err(InvalidHead::TransferCoding(codings.join(", "))),
    }
}
