//! The administration API: what operators and their command line use.
//!
//! Every call carries a workspace's operator credential and sees that workspace only.

mod routes;
mod submit;
mod views;

pub(crate) use routes::serve;
pub(crate) use views::OriginView;
pub use views::{BoxView, PolicyView, ServiceView, StatusView, SubmitAnswer, SubmitOutcome};
