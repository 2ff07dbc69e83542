//! Signed tickets for requests that run at most once.
//!
//! Only the box incarnation that a ticket names may run its request. A ticket is
//! a CBOR body and its HMAC-SHA256, in URL-safe base64. Any box can issue one
//! for any other, because all boxes share the ticket key from the settings.

use crate::{BoxId, Incarnation, ServiceKey};
use base64::Engine;
use base64::engine::general_purpose::URL_SAFE_NO_PAD;
use hmac::{Hmac, KeyInit, Mac};
use serde::{Deserialize, Serialize};
use sha2::Sha256;

const MAC_BYTES: usize = 32;

/// Maximum length of a ticket's text. A longer one is rejected without decoding it.
const MAX_TICKET_TEXT_BYTES: usize = 1_024;

/// Permission to run one request once.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Ticket {
    /// The service that the request is for.
    pub service: ServiceKey,
    /// The only box that may run it.
    pub box_id: BoxId,
    /// The only incarnation of that box that may run it.
    pub incarnation: Incarnation,
    /// Distinguishes this ticket from all others.
    pub nonce: u64,
    /// The caller's own key, if it sent one.
    pub key: Option<String>,
    /// Wall-clock expiry, in milliseconds since the Unix epoch.
    pub expires_ms: u64,
}

/// Why a ticket's text was rejected.
#[derive(Clone, Copy, Debug, PartialEq, Eq, thiserror::Error)]
pub enum TicketError {
    /// The text can't be decoded as a ticket.
    #[error("the text is not a ticket")]
    Malformed,
    /// The signature was not made with this system's key.
    #[error("the signature does not match")]
    Forged,
}

/// The secret that signs tickets. Its `Debug` form doesn't reveal it.
#[derive(Clone)]
pub struct TicketKey(Vec<u8>);

impl std::fmt::Debug for TicketKey {
    fn fmt(&self, f: &mut std::fmt::Formatter<'_>) -> std::fmt::Result {
        f.write_str("TicketKey(..)")
    }
}

impl TicketKey {
    /// Creates a key from the secret in the settings.
    pub fn new(secret: &[u8]) -> Self {
        Self(secret.to_vec())
    }

    /// Signs `ticket` and returns its text.
    pub fn seal(&self, ticket: &Ticket) -> String {
        let mut bytes = Vec::new();
        // Writing this type as CBOR to a vector can't fail.
        let _ = ciborium::into_writer(ticket, &mut bytes);
        let mac = self.mac(&bytes).finalize().into_bytes();
        bytes.extend_from_slice(&mac);
        URL_SAFE_NO_PAD.encode(bytes)
    }

    /// Decodes a ticket's text and verifies its signature. Doesn't check the expiry.
    pub fn open(&self, text: &str) -> Result<Ticket, TicketError> {
        if text.len() > MAX_TICKET_TEXT_BYTES {
            return Err(TicketError::Malformed);
        }
        let bytes = URL_SAFE_NO_PAD
            .decode(text)
            .map_err(|_| TicketError::Malformed)?;
        let split = bytes
            .len()
            .checked_sub(MAC_BYTES)
            .ok_or(TicketError::Malformed)?;
        let (body, mac) = bytes.split_at(split);
        self.mac(body)
            .verify_slice(mac)
            .map_err(|_| TicketError::Forged)?;
        ciborium::from_reader(body).map_err(|_| TicketError::Malformed)
    }

    fn mac(&self, body: &[u8]) -> Hmac<Sha256> {
        // HMAC accepts keys of any length, so the fallback is never used.
        let mut mac = Hmac::<Sha256>::new_from_slice(&self.0)
            .unwrap_or_else(|_| Hmac::<Sha256>::new(&Default::default()));
        mac.update(body);
        mac
    }
}
