//! Checks the heads of responses.

use crate::content_coding::unrequested;
use crate::invalid_head::InvalidHead;
use crate::list::items;
use crate::transfer_coding;
use http::HeaderMap;
use http::header::{CONTENT_LENGTH, TRANSFER_ENCODING};
use http::response::Parts;
use std::ops::RangeInclusive;

/// Statuses of final responses (RFC 9110, section 15).
const FINAL_STATUSES: RangeInclusive<u16> = 200..=599;

/// The length that a response states beside its chunks, in bytes; `None` if it states none there.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
#[must_use]
pub struct ExpectedLength(Option<u64>);

impl ExpectedLength {
    /// Checks a body that has been read, or `None` if it isn't read whole before its beginning is
    /// passed on.
    ///
    /// # Errors
    ///
    /// [`InvalidHead::LengthBesideChunks`] if the body is not known to have the stated length. RFC
    /// 9112, section 6.3, asks to treat such a message as an error.
    pub fn check(self, body: Option<&[u8]>) -> Result<(), InvalidHead> {
        let Some(stated) = self.0 else {
            return Ok(());
        };
        if body.is_some_and(|body| body.len() as u64 == stated) {
            return Ok(());
        }
        Err(InvalidHead::LengthBesideChunks(stated))
    }
}

/// Checks the head of a response to a request with the headers `request`, and returns what its body has to be checked for.
///
/// # Errors
///
/// Every variant of [`InvalidHead`] but [`InvalidHead::LengthBesideChunks`].
pub fn check_response(
    request: &HeaderMap,
    response: &Parts,
) -> Result<ExpectedLength, InvalidHead> {
    let (status, headers) = (response.status, &response.headers);
    if !FINAL_STATUSES.contains(&status.as_u16()) {
        return Err(InvalidHead::Status(status));
    }
    // A failure is told by its status, whatever its body is.
    if status.is_success()
        && let Some(coding) = unrequested(request, headers)
    {
        return Err(InvalidHead::ContentCoding(coding.to_owned()));
    }
    if !headers.contains_key(TRANSFER_ENCODING) {
        return Ok(ExpectedLength::default());
    }
    transfer_coding::check(headers)?;
    stated_length(headers).map(ExpectedLength)
}

fn stated_length(headers: &HeaderMap) -> Result<Option<u64>, InvalidHead> {
    let stated = items(headers, &CONTENT_LENGTH);
    let Some(first) = stated.first() else {
        return Ok(None);
    };
    let length = first.parse().ok();
    let length = length.filter(|_| stated.iter().all(|other| other == first));
    let length = length.ok_or_else(|| InvalidHead::StatedLength(stated.join(", ")))?;
    Ok(Some(length))
}

/// Removes the fields that tell where a body ends. The HTTP library then writes those of the body
/// that is sent.
pub fn remove_framing(headers: &mut HeaderMap) {
    headers.remove(CONTENT_LENGTH);
    headers.remove(TRANSFER_ENCODING);
}
