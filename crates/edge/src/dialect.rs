//! Names of the headers, the cookie and the authorization scheme that the system uses.

use http::HeaderName;

/// Header, cookie and scheme names. The defaults are the product's own.
#[derive(Clone, Debug)]
pub struct Dialect {
    /// Identifies one attempt of a client; upstreams echo it in their responses.
    pub request_id: HeaderName,
    /// How long the sender waits, in milliseconds.
    pub deadline_ms: HeaderName,
    /// The upstream that a request is intended for.
    pub intended_upstream: HeaderName,
    /// Present only in complete responses of upstreams.
    pub signature: HeaderName,
    /// Present in responses of upstreams that did not run the request.
    pub not_run: HeaderName,
    /// An upstream's load: running, waiting and slots, separated by commas.
    pub load: HeaderName,
    /// Maximum requests per second from all boxes together, as a decimal number; absent if the
    /// upstream has no limit.
    pub limit: HeaderName,
    /// `1` in all responses of an upstream that is leaving.
    pub leaving: HeaderName,
    /// The id of the responding upstream, in health responses.
    pub instance: HeaderName,
    /// How much longer an upstream stays cold, in seconds, in health responses.
    pub cold_remaining: HeaderName,
    /// The cookie that identifies the object of a request.
    pub object_cookie: String,
    /// The authorization scheme of clients' keys.
    pub key_scheme: String,
    /// The workspace of a request, sent to upstreams. Clients can't set it.
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
