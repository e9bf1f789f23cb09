//! The gate: routes requests from callers to endpoints, receives the endpoints' announcements and owns a
//! share of the endpoints.

pub mod cli;

mod addresses;
mod admin;
mod admission;
mod announce;
mod answer;
mod at_most_once;
mod attempt;
mod caller;
mod cancel;
mod client;
mod clock;
mod context;
mod crash;
mod failure;
mod handover;
mod journal;
mod keepers;
mod leased;
mod liveness;
mod load;
mod loader;
mod metrics;
mod models;
mod order;
mod parse;
mod peer;
mod planner;
mod probe;
mod refusal;
mod relay;
mod request;
mod routing;
mod serve;
mod session;
mod stream;
mod summary;
mod sweep;
mod tenants;
mod token;
mod trace;

pub use crate::serve::Error;
pub use crate::serve::Gate;
