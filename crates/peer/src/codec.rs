//! Messages to and from CBOR.

use crate::Message;

/// Deepest nesting of a message that is read.
const MAX_DEPTH: usize = 32;

/// Why a message could not be turned to or from bytes.
#[derive(Clone, Debug, PartialEq, Eq, thiserror::Error)]
pub enum CodecError {
    /// The message can't be written.
    #[error("a message can't be written: {0}")]
    Encode(String),
    /// The bytes are not a message.
    #[error("the bytes are not a message: {0}")]
    Decode(String),
}

/// The bytes of `message`.
pub fn encode(message: &Message) -> Result<Vec<u8>, CodecError> {
    let mut bytes = Vec::with_capacity(256);
    ciborium::into_writer(message, &mut bytes)
        .map_err(|error| CodecError::Encode(error.to_string()))?;
    Ok(bytes)
}

/// The message in `bytes`.
pub fn decode(bytes: &[u8]) -> Result<Message, CodecError> {
    ciborium::de::from_reader_with_recursion_limit(bytes, MAX_DEPTH)
        .map_err(|error| CodecError::Decode(error.to_string()))
}
