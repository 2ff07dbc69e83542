//! The names that clients and upstreams use for what the system reads and writes.

use http::HeaderName;

/// Header and cookie names. The defaults are the product's own.
#[derive(Clone, Debug)]
pub struct Dialect {
    /// Names one try of a client; an upstream's answer repeats it.
    pub request_id: HeaderName,
    /// Milliseconds that the sender will wait.
    pub deadline_ms: HeaderName,
    /// The upstream that a request is meant for.
    pub intended_upstream: HeaderName,
    /// Present in whole answers of upstreams only.
    pub signature: HeaderName,
    /// Present in answers of upstreams that did not run the request.
    pub not_run: HeaderName,
    /// An upstream's load: running, waiting, slots, with commas between.
    pub load: HeaderName,
    /// Requests a second that an upstream takes from all boxes together, a decimal number; absent
    /// where it names no limit.
    pub limit: HeaderName,
    /// `1` in all answers of an upstream that leaves.
    pub leaving: HeaderName,
    /// The upstream that answers, in its health answers.
    pub instance: HeaderName,
    /// How much longer an upstream stays cold, in seconds, in its health answers.
    pub cold_remaining: HeaderName,
    /// The cookie that names the object of a request.
    pub object_cookie: String,
    /// The scheme with which clients show their key.
    pub key_scheme: String,
    /// Tells upstreams the workspace of a request. Clients can't set it.
    pub workspace: HeaderName,
}

impl Default for Dialect {
    fn default() -> Self {
        Self {
            request_id: HeaderName::from_static("brasswinch-request-id"),
            deadline_ms: HeaderName::from_static("brasswinch-deadline-ms"),
            intended_upstream: HeaderName::from_static("brasswinch-upstream"),
            signature: HeaderName::from_static("brasswinch-signature"),
            not_run: HeaderName::from_static("brasswinch-not-run"),
            load: HeaderName::from_static("brasswinch-load"),
            limit: HeaderName::from_static("brasswinch-limit"),
            leaving: HeaderName::from_static("brasswinch-leaving"),
            instance: HeaderName::from_static("brasswinch-instance"),
            cold_remaining: HeaderName::from_static("brasswinch-cold-s"),
            object_cookie: "brasswinch-object".into(),
            key_scheme: "Bearer".into(),
            workspace: HeaderName::from_static("brasswinch-workspace"),
        }
    }
}
