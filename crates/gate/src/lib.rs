//! The gate: takes callers' requests and endpoints' announcements, and owns a share of the endpoints.

pub mod cli;

mod addresses;
mod admin;
mod announce;
mod answer;
mod attempt;
mod caller;
mod cleanup;
mod context;
mod crash;
mod exchange;
mod failure;
mod handover;
mod inputs;
mod journal;
mod keepers;
mod leased;
mod load;
mod lost;
mod metrics;
mod models;
mod once;
mod order;
mod parse;
mod peer;
mod pick;
mod placement;
mod progress;
mod refusal;
mod relay;
mod request;
mod serve;
mod session;
mod stream;
mod summary;
mod survey;
mod sweep;
mod token;
mod trace;

pub use crate::serve::Error;
pub use crate::serve::Gate;
