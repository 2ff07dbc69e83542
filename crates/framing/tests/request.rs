//! How the recipient of a forwarded request is told where its body ends.
#![allow(clippy::unwrap_used, clippy::expect_used)]

use brasswinch_framing::frame_request;
use http::header::{CONTENT_LENGTH, HOST, TRANSFER_ENCODING};
use http::{HeaderMap, HeaderValue};

fn framed(received: &[(http::HeaderName, &'static str)], length: Option<u64>) -> HeaderMap {
    let received: HeaderMap = received
        .iter()
        .map(|(name, value)| (name.clone(), HeaderValue::from_static(value)))
        .collect();
    let mut forwarded = received.clone();
    frame_request(&received, &mut forwarded, length);
    forwarded
}

/// The body of a GET in chunks was announced by no field, so the HTTP library sent none.
#[test]
fn a_body_of_unknown_length_is_not_announced() {
    let headers = framed(&[(TRANSFER_ENCODING, "chunked")], None);
    assert_eq!(headers[TRANSFER_ENCODING], "chunked");
    assert!(!headers.contains_key(CONTENT_LENGTH));
}

#[test]
fn the_length_is_not_that_of_the_body() {
    for received in [(TRANSFER_ENCODING, "chunked"), (CONTENT_LENGTH, "3")] {
        let headers = framed(&[received], Some(5));
        assert_eq!(headers[CONTENT_LENGTH], "5");
        assert!(!headers.contains_key(TRANSFER_ENCODING));
    }
}

#[test]
fn a_request_without_a_body_announces_one() {
    assert_eq!(framed(&[(HOST, "a")], Some(0)).len(), 1);
}
