//! Pipelined requests: a client sends more before the first response.
//!
//! Load pattern: a client behind a slow request sends the next ones on the same connection. Handled
//! one after the other, each waits for all before it; those that may run more than once run side by
//! side instead, and their responses leave in the order of the requests.

mod early;
mod head;
mod read_ahead;

pub(crate) use early::Pipeline;
pub(crate) use read_ahead::ReadAhead;
