//! Reads the key in a client's request.

use crate::context::Context;
use brasswinch_routing::Scope;
use http::{HeaderMap, header};

/// Maximum length of a key. Keys are tens of bytes long; longer values are rejected unhashed.
const MAX_KEY_BYTES: usize = 1_024;

/// Returns the key of a head with exactly one `Authorization` value of the form `SCHEME KEY`, with
/// one space between. Returns `None` for any other value, so that no part of it reaches a log.
pub(crate) fn presented_key<'a>(headers: &'a HeaderMap, scheme: &str) -> Option<&'a [u8]> {
    let mut values = headers.get_all(header::AUTHORIZATION).iter();
    let value = values.next()?.as_bytes();
    if values.next().is_some() {
        return None;
    }
    let space = value.iter().position(|byte| *byte == b' ')?;
    let (given_scheme, key) = (&value[..space], &value[space + 1..]);
    let is_key = !key.is_empty()
        && key.len() <= MAX_KEY_BYTES
        && key.iter().all(|byte| byte.is_ascii_graphic());
    (given_scheme.eq_ignore_ascii_case(scheme.as_bytes()) && is_key).then_some(key)
}

impl Context {
    /// Whether the keys that this box knows may still be accepted. If a maximum age is set, a box
    /// that has lost contact with the store rejects all keys, since one may have been revoked.
    pub(crate) fn may_trust_keys(&self) -> bool {
        let Some(max_age_s) = self.settings.bounds.max_unconfirmed_keys_s else {
            return true;
        };
        let age_ms = self.view_age_ms(Scope::Operator);
        age_ms.is_some_and(|age_ms| age_ms as f64 <= max_age_s * 1_000.0)
    }
}
