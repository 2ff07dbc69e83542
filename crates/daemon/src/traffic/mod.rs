//! The callers' side: look-ups and requests.

mod answer;
mod body;
mod claim;
mod connections;
mod lookup;
pub(crate) mod proxy;
mod request;
mod server;
mod ticket;

pub(crate) use claim::Claims;
pub(crate) use connections::ConnectionPool;
pub(crate) use lookup::lookup;
pub use lookup::{LookupAnswer, LookupBox};
pub(crate) use server::serve;

/// Header with the ticket of a request that runs at most once.
pub const TICKET_HEADER: &str = "x-brasswinch-ticket";

/// Header with the caller's own key, for example an order number.
pub const KEY_HEADER: &str = "idempotency-key";

/// Header with the time a request may take, in milliseconds.
pub const DEADLINE_HEADER: &str = "x-deadline-ms";

/// Header of a failed answer: the error's code.
pub const ERROR_HEADER: &str = "x-brasswinch-error";

/// Header of a failed answer: whether the request ran.
pub const RAN_HEADER: &str = "x-brasswinch-ran";

/// Header of a failed answer: when to come back, in milliseconds, jitter included.
pub const RETRY_AFTER_MS_HEADER: &str = "x-brasswinch-retry-after-ms";

/// Header that ties an upstream's answer to its request.
pub(crate) const REQUEST_ID_HEADER: &str = "x-request-id";

/// Header of an upstream's answer by which it refuses a request that it hasn't run.
pub(crate) const REFUSED_HEADER: &str = "x-not-run";

/// Header of an upstream's answer with its own load report.
pub(crate) const LOAD_HEADER: &str = "x-load";
