//! Content codings (RFC 9110, section 8.4).

use crate::list::items;
use http::HeaderMap;
use http::header::{ACCEPT_ENCODING, CONTENT_ENCODING};

/// The coding that leaves a body as it is.
const IDENTITY: &str = "identity";

/// Stands for every coding in `Accept-Encoding`.
const ANY: &str = "*";

/// Returns a content coding of the response that the request doesn't ask for.
// The standard lets a server choose any coding if the request names none. A client that names none
// expects the body as it is.
pub(crate) fn unrequested<'a>(request: &HeaderMap, response: &'a HeaderMap) -> Option<&'a str> {
    let is_requested =
        |coding: &str| coding.eq_ignore_ascii_case(IDENTITY) || accepts(request, coding);
    let mut codings = items(response, &CONTENT_ENCODING).into_iter();
    codings.find(|coding| !is_requested(coding))
}

fn accepts(request: &HeaderMap, coding: &str) -> bool {
    let accepted = items(request, &ACCEPT_ENCODING);
    accepted.into_iter().any(|item| {
        let (name, weight) = item.split_once(';').unwrap_or((item, ""));
        let name = name.trim();
        (name == ANY || name.eq_ignore_ascii_case(coding)) && !is_zero(weight)
    })
}

/// Whether a weight such as `q=0.5` excludes its coding.
fn is_zero(weight: &str) -> bool {
    let value = weight.split_once('=').map(|(_, value)| value.trim());
    value.and_then(|value| value.parse::<f32>().ok()) == Some(0.0)
}
