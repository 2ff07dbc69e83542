//! Reads the head of a request.

use crate::clock::{Clock, Deadline};
use crate::credentials::presented_key;
use crate::dialect::Dialect;
use brasswinch_framing::check_request;
use brasswinch_routing::MAX_TIME_S;
use brasswinch_types::ErrorKind;
use http::request::Parts;
use http::{HeaderMap, HeaderName, header};
use std::time::Duration;

/// Timeout of a route that sets none.
const DEFAULT_TIMEOUT: Duration = Duration::from_secs(30);

/// Hop-by-hop headers, which are not forwarded.
const HOP_BY_HOP: [HeaderName; 8] = [
    header::CONNECTION,
    HeaderName::from_static("keep-alive"),
    HeaderName::from_static("proxy-connection"),
    header::TE,
    header::TRAILER,
    header::TRANSFER_ENCODING,
    header::UPGRADE,
    header::EXPECT,
];

/// The fields of a head that routing and placement use.
pub(crate) struct RequestFacts<'a> {
    /// The host from the `Host` header.
    pub(crate) host: &'a str,
    /// The path, without the query.
    pub(crate) path: &'a str,
    /// The object of the request, from its cookie.
    pub(crate) object: Option<&'a [u8]>,
    /// How long the client waits, if declared.
    pub(crate) client_timeout: Option<Duration>,
    /// Length of the body in bytes, if declared.
    pub(crate) body_length: Option<u64>,
    /// The client's key, if the head has a well-formed one.
    pub(crate) key: Option<&'a [u8]>,
}

impl<'a> RequestFacts<'a> {
    /// Reads the fields of a head.
    pub(crate) fn read(parts: &'a Parts, dialect: &Dialect) -> Result<Self, ErrorKind> {
        let host = parts
            .headers
            .get(header::HOST)
            .and_then(|host| host.to_str().ok())
            .ok_or(ErrorKind::MalformedRequest)?;
        check_request(&parts.headers).map_err(|_| ErrorKind::MalformedRequest)?;
        Ok(Self {
            host,
            path: parts.uri.path(),
            object: object(&parts.headers, &dialect.object_cookie),
            client_timeout: client_timeout(&parts.headers, dialect)?,
            body_length: body_length(&parts.headers)?,
            key: presented_key(&parts.headers, &dialect.key_scheme),
        })
    }

    /// Returns when the request, which has just arrived, must have its final response.
    pub(crate) fn deadline(&self, clock: &Clock, timeout_s: Option<f64>) -> Deadline {
        let route_timeout = timeout_s.map_or(DEFAULT_TIMEOUT, Duration::from_secs_f64);
        let timeout = self
            .client_timeout
            .map_or(route_timeout, |timeout| timeout.min(route_timeout));
        clock.after(timeout)
    }
}

fn client_timeout(headers: &HeaderMap, dialect: &Dialect) -> Result<Option<Duration>, ErrorKind> {
    let Some(value) = headers.get(&dialect.deadline_ms) else {
        return Ok(None);
    };
    let text = value.to_str().map_err(|_| ErrorKind::MalformedRequest)?;
    let millis: f64 = text
        .trim()
        .parse()
        .map_err(|_| ErrorKind::MalformedRequest)?;
    if !millis.is_finite() {
        return Err(ErrorKind::MalformedRequest);
    }
    let seconds = (millis / 1_000.0).clamp(0.0, MAX_TIME_S);
    Ok(Some(Duration::from_secs_f64(seconds)))
}

fn body_length(headers: &HeaderMap) -> Result<Option<u64>, ErrorKind> {
    let Some(value) = headers.get(header::CONTENT_LENGTH) else {
        return Ok(None);
    };
    let length = value.to_str().ok().and_then(|text| text.parse().ok());
    length.map(Some).ok_or(ErrorKind::MalformedRequest)
}

fn object<'a>(headers: &'a HeaderMap, cookie: &str) -> Option<&'a [u8]> {
    headers
        .get_all(header::COOKIE)
        .iter()
        .filter_map(|value| value.to_str().ok())
        .flat_map(|value| value.split(';'))
        .find_map(|pair| {
            let (name, value) = pair.trim().split_once('=')?;
            (name == cookie).then_some(value.as_bytes())
        })
}

/// Returns the request's id for the log; `-` if there is none.
pub(crate) fn request_id<'a>(parts: &'a Parts, dialect: &Dialect) -> &'a str {
    let id = parts.headers.get(&dialect.request_id);
    id.and_then(|id| id.to_str().ok()).unwrap_or("-")
}

/// Returns a copy of `headers` without hop-by-hop headers.
pub(crate) fn end_to_end(headers: &HeaderMap) -> HeaderMap {
    let named: Vec<&str> = headers
        .get_all(header::CONNECTION)
        .iter()
        .filter_map(|value| value.to_str().ok())
        .flat_map(|value| value.split(','))
        .map(str::trim)
        .collect();
    let mut kept = HeaderMap::with_capacity(headers.len() + 2);
    for (name, value) in headers {
        let is_named = named
            .iter()
            .any(|named| named.eq_ignore_ascii_case(name.as_str()));
        if !is_named && !HOP_BY_HOP.contains(name) {
            kept.append(name.clone(), value.clone());
        }
    }
    kept
}
