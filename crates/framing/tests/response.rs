//! What HTTP/1.1 allows in the heads of responses.
#![allow(clippy::unwrap_used, clippy::expect_used)]

use brasswinch_framing::{InvalidHead, check_response, remove_framing};
use http::response::Parts;
use http::{HeaderMap, HeaderName, Response, StatusCode};

fn response(status: u16, fields: &[(&'static str, &str)]) -> Parts {
    let (mut parts, ()) = Response::new(()).into_parts();
    parts.status = StatusCode::from_u16(status).unwrap();
    parts.headers = headers(fields);
    parts
}

fn headers(fields: &[(&'static str, &str)]) -> HeaderMap {
    let fields = fields.iter();
    fields
        .map(|(name, value)| (HeaderName::from_static(name), value.parse().unwrap()))
        .collect()
}

const CHUNKED: (&str, &str) = ("transfer-encoding", "chunked");

/// A length beside chunks was passed on as the length of the body.
#[test]
fn a_length_beside_chunks_is_trusted() {
    let check = |length: &str, body: Option<&[u8]>| {
        let expected = check_response(
            &HeaderMap::new(),
            &response(200, &[CHUNKED, ("content-length", length)]),
        )?;
        expected.check(body)
    };
    assert_eq!(check("4", Some(b"body")), Ok(()));
    let contradicts = Err(InvalidHead::LengthBesideChunks(3));
    assert_eq!(check("3", Some(b"body")), contradicts);
    assert_eq!(check("3", None), contradicts, "the body isn't known");
    assert_eq!(check("4, 4", Some(b"body")), Ok(()));
    for invalid in ["4, 3", "many", "-4", "99999999999999999999"] {
        let error = check(invalid, Some(b"body")).unwrap_err();
        assert!(matches!(error, InvalidHead::StatedLength(_)), "{error}");
    }
}

#[test]
fn a_response_with_one_framing_is_discarded() {
    for field in [CHUNKED, ("content-length", "4")] {
        let expected = check_response(&HeaderMap::new(), &response(200, &[field])).unwrap();
        assert_eq!(expected.check(None), Ok(()));
    }
}

#[test]
fn framing_stays_beside_a_body() {
    let mut headers = headers(&[CHUNKED, ("content-length", "4"), ("content-type", "text")]);
    remove_framing(&mut headers);
    assert_eq!(headers.len(), 1);
}

/// A status that no final response has was passed on as if it were an answer.
#[test]
fn a_status_without_a_meaning_is_passed_on() {
    for status in [200, 204, 304, 421, 500, 599] {
        assert!(
            check_response(&HeaderMap::new(), &response(status, &[])).is_ok(),
            "{status}"
        );
    }
    for status in [100, 101, 199, 600, 999] {
        let error = check_response(&HeaderMap::new(), &response(status, &[])).unwrap_err();
        assert!(matches!(error, InvalidHead::Status(_)), "{error}");
    }
}

/// A body whose last transfer coding isn't `chunked` has no known end, and one that has another
/// coding below it was passed on coded.
#[test]
fn a_transfer_coding_is_taken_for_chunks() {
    let check = |value: &str| {
        check_response(
            &HeaderMap::new(),
            &response(200, &[("transfer-encoding", value)]),
        )
    };
    for value in ["chunked", "Chunked", " chunked ", "chunked,"] {
        assert!(check(value).is_ok(), "{value}");
    }
    for value in [
        "chunked, identity",
        "gzip, chunked",
        "chunked, chunked",
        "identity",
        "gzip",
        "xchunked",
        "chunked;a=b",
        "",
    ] {
        let error = check(value).unwrap_err();
        assert!(matches!(error, InvalidHead::TransferCoding(_)), "{error}");
    }
}

/// A body with a coding that the client can't decode went on as a success.
#[test]
fn a_content_coding_is_passed_on_unasked() {
    let check = |status: u16, accepted: Option<&str>, coding: &str| {
        let accepted = accepted.map(|accepted| ("accept-encoding", accepted));
        let request = headers(accepted.as_slice());
        check_response(&request, &response(status, &[("content-encoding", coding)])).is_ok()
    };
    for accepted in [
        None,
        Some("identity"),
        Some("br"),
        Some("gzip;q=0"),
        Some("*; q=0"),
    ] {
        assert!(!check(200, accepted, "gzip"), "{accepted:?}");
        assert!(check(200, accepted, "identity"), "{accepted:?}");
        assert!(check(500, accepted, "gzip"), "{accepted:?}");
    }
    for accepted in ["gzip", "br, GZIP;q=0.5", "*"] {
        assert!(check(200, Some(accepted), "gzip"), "{accepted}");
    }
    assert!(!check(200, Some("gzip"), "gzip, br"));
}
