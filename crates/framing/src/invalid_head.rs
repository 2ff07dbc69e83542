//! Why a message can't be passed on.

use http::StatusCode;

/// Why a message can't be passed on.
#[derive(Clone, Debug, PartialEq, Eq, thiserror::Error)]
pub enum InvalidHead {
    /// Its status is none of a final response: the number has no meaning, or the response switches
    /// to a protocol that nobody asked for.
    #[error("status {} is none of a final response", .0.as_u16())]
    Status(StatusCode),
    /// Its body has other transfer codings than `chunked` alone, so its end is unknown or its
    /// content is left coded.
    #[error("its transfer codings are {0:?}, not `chunked` alone")]
    TransferCoding(String),
    /// Its body has a content coding that the request doesn't ask for.
    #[error("content coding {0:?} was not asked for")]
    ContentCoding(String),
    /// It comes in chunks and states lengths that are no number, or that differ.
    #[error("its stated lengths are invalid: {0}")]
    StatedLength(String),
    /// It comes in chunks and states another length, or a length that can't be compared because
    /// the body isn't read whole before it is passed on.
    #[error("it comes in chunks beside a stated length of {0} bytes")]
    LengthBesideChunks(u64),
}

impl InvalidHead {
    /// Returns a short name for metrics.
    pub fn reason(&self) -> &'static str {
        match self {
            Self::Status(_) => "status",
            Self::TransferCoding(_) => "transfer_coding",
            Self::ContentCoding(_) => "content_coding",
            Self::StatedLength(_) | Self::LengthBesideChunks(_) => "length",
        }
    }
}
