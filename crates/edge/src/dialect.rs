//! The names that clients and targets use for what the system reads and writes.

use http::HeaderName;

/// Header and cookie names. The defaults are the product's own.
#[derive(Clone, Debug)]
pub struct Dialect {
    /// Names one try of a client; a target's answer repeats it.
    pub request_id: HeaderName,
    /// Milliseconds that the sender will wait.
    pub deadline_ms: HeaderName,
    /// The target that a request is meant for.
    pub intended_target: HeaderName,
    /// Present in whole answers of targets only.
    pub signature: HeaderName,
    /// Present in answers of targets that did not run the request.
    pub not_run: HeaderName,
    /// A target's load: running, waiting, slots, with commas between.
    pub load: HeaderName,
    /// The cookie that names the object of a request.
    pub object_cookie: String,
}

impl Default for Dialect {
    fn default() -> Self {
        Self {
            request_id: HeaderName::from_static("brasswinch-request-id"),
            deadline_ms: HeaderName::from_static("brasswinch-deadline-ms"),
            intended_target: HeaderName::from_static("brasswinch-target"),
            signature: HeaderName::from_static("brasswinch-signature"),
            not_run: HeaderName::from_static("brasswinch-not-run"),
            load: HeaderName::from_static("brasswinch-load"),
            object_cookie: "brasswinch-object".into(),
        }
    }
}
