//! Signed tickets for requests that run at most once.
//!
//! A ticket names one incarnation of one box; nobody else may run it. It is
//! a CBOR body and its HMAC-SHA256, in URL-safe base64. Any box can issue one
//! for any other, because all share the ticket key of the settings.

use crate::{BoxId, Incarnation, ServiceKey};
use base64::Engine;
use base64::engine::general_purpose::URL_SAFE_NO_PAD;
use hmac::{Hmac, KeyInit, Mac};
use serde::{Deserialize, Serialize};
use sha2::Sha256;

const MAC_BYTES: usize = 32;

/// Longest ticket text that is looked at.
const MAX_TICKET_TEXT: usize = 1_024;

/// The right to run one request once.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Ticket {
    /// The service it is for.
    pub service: ServiceKey,
    /// The only box that may run it.
    pub box_id: BoxId,
    /// The only incarnation of that box that may run it.
    pub incarnation: Incarnation,
    /// Tells this ticket from every other.
    pub nonce: u64,
    /// The caller's own key, where it gave one.
    pub key: Option<String>,
    /// Wall-clock expiry, in milliseconds since the Unix epoch.
    pub expires_ms: u64,
}

/// Why a ticket text was not accepted.
#[derive(Clone, Copy, Debug, PartialEq, Eq, thiserror::Error)]
pub enum TicketError {
    /// It is not the text of a ticket.
    #[error("the text is not a ticket")]
    Malformed,
    /// It was not signed with this system's key.
    #[error("the signature does not match")]
    Forged,
}

/// The secret that signs tickets. Its `Debug` form shows nothing of it.
#[derive(Clone)]
pub struct TicketKey(Vec<u8>);

impl std::fmt::Debug for TicketKey {
    fn fmt(&self, f: &mut std::fmt::Formatter<'_>) -> std::fmt::Result {
        f.write_str("TicketKey(..)")
    }
}

impl TicketKey {
    /// Takes the secret from the settings.
    pub fn new(secret: &[u8]) -> Self {
        Self(secret.to_vec())
    }

    /// The signed text of `ticket`.
    pub fn seal(&self, ticket: &Ticket) -> String {
        let mut bytes = Vec::new();
        // Writing CBOR to a vector has no failure of its own.
        let _ = ciborium::into_writer(ticket, &mut bytes);
        let mac = self.mac(&bytes).finalize().into_bytes();
        bytes.extend_from_slice(&mac);
        URL_SAFE_NO_PAD.encode(bytes)
    }

    /// Reads a ticket's text and checks its signature.
    pub fn open(&self, text: &str) -> Result<Ticket, TicketError> {
        if text.len() > MAX_TICKET_TEXT {
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
        // HMAC takes a key of any length, so the error arm is never taken.
        let mut mac = Hmac::<Sha256>::new_from_slice(&self.0)
            .unwrap_or_else(|_| Hmac::<Sha256>::new(&Default::default()));
        mac.update(body);
        mac
    }
}
