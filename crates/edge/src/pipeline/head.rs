//! Finds where the heads of pipelined requests begin and end.
//!
//! The HTTP library parses every request that is answered. This parse only decides how much of a
//! connection's bytes the library gets at a time, and which requests may start before their turn.
//! It uses the parser that the library itself uses, and leaves whatever is unusual to the library.

use http::request::Parts;
use http::{HeaderMap, HeaderName, HeaderValue, Method, Request, Uri, Version, header};

/// Maximum headers of a request that is examined; the HTTP library's own limit.
const MAX_HEADERS: usize = 100;

/// The only value of the `Connection` header that changes nothing.
const KEEP_ALIVE: &[u8] = b"keep-alive";

/// What a connection's bytes begin with.
#[derive(Debug, PartialEq, Eq)]
pub(crate) enum NextHead {
    /// A part of a head.
    Partial,
    /// The head of a request without a body.
    NoBody {
        /// Length of the head, in bytes.
        head_bytes: usize,
    },
    /// The head of a request with a body of known length.
    WithBody {
        /// Length of the head and the body, in bytes.
        message_bytes: u64,
    },
    /// Anything else: a chunked body, an upgrade, the last request of a connection, or bytes that
    /// are no request. What follows it is unknown.
    Other,
}

/// Examines the beginning of `bytes`.
pub(crate) fn next_head(bytes: &[u8]) -> NextHead {
    let mut headers = [httparse::EMPTY_HEADER; MAX_HEADERS];
    let mut request = httparse::Request::new(&mut headers);
    match request.parse(bytes) {
        Ok(httparse::Status::Complete(head_bytes)) => framing(&request, head_bytes),
        Ok(httparse::Status::Partial) => NextHead::Partial,
        Err(_) => NextHead::Other,
    }
}

fn framing(request: &httparse::Request<'_, '_>, head_bytes: usize) -> NextHead {
    let mut length: Option<u64> = None;
    for found in request.headers.iter() {
        let is = |name: HeaderName| found.name.eq_ignore_ascii_case(name.as_str());
        let ends_known_framing = is(header::TRANSFER_ENCODING)
            || is(header::UPGRADE)
            || is(header::EXPECT)
            || is(header::CONNECTION) && !found.value.eq_ignore_ascii_case(KEEP_ALIVE);
        if ends_known_framing {
            return NextHead::Other;
        }
        if is(header::CONTENT_LENGTH) {
            let declared = content_length(found.value);
            if length.is_some() || declared.is_none() {
                return NextHead::Other;
            }
            length = declared;
        }
    }
    let is_plain = request.version == Some(1) && request.method != Some("CONNECT");
    match length {
        _ if !is_plain => NextHead::Other,
        None | Some(0) => NextHead::NoBody { head_bytes },
        Some(length) => match (head_bytes as u64).checked_add(length) {
            Some(message_bytes) => NextHead::WithBody { message_bytes },
            None => NextHead::Other,
        },
    }
}

fn content_length(value: &[u8]) -> Option<u64> {
    let is_digits = !value.is_empty() && value.iter().all(u8::is_ascii_digit);
    let text = std::str::from_utf8(value).ok().filter(|_| is_digits)?;
    text.parse().ok()
}

/// Returns the whole head at the beginning of `bytes` as the HTTP library would; `None` if there is
/// none that it would accept.
pub(crate) fn parse_head(bytes: &[u8]) -> Option<Parts> {
    let mut headers = [httparse::EMPTY_HEADER; MAX_HEADERS];
    let mut request = httparse::Request::new(&mut headers);
    if !matches!(request.parse(bytes), Ok(httparse::Status::Complete(_))) {
        return None;
    }
    let mut fields = HeaderMap::with_capacity(request.headers.len());
    for found in request.headers.iter() {
        let name = HeaderName::from_bytes(found.name.as_bytes()).ok()?;
        fields.append(name, HeaderValue::from_bytes(found.value).ok()?);
    }
    let (mut parts, ()) = Request::new(()).into_parts();
    parts.method = Method::from_bytes(request.method?.as_bytes()).ok()?;
    parts.uri = request.path?.parse::<Uri>().ok()?;
    parts.version = Version::HTTP_11;
    parts.headers = fields;
    Some(parts)
}
