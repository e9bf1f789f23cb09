//! The scheduler of a cell's model engines. It chooses the engine of each request, decides which
//! adapters each engine loads and unloads, and refuses requests that can't be served in time.
//!
//! The scheduler does no I/O: callers pass in events with the current time and carry out the
//! returned [`action::Action`]s.
//!
//! It is designed for far more adapters than adapter slots, a weight store that runs only a few
//! loads at full speed, requests dominated by prefill, and more requests than the engines can serve
//! within their latency targets.

pub mod action;
pub mod pause;
pub mod settings;

mod candidate;
mod engine;
mod fairness;
mod figures;
mod health;
mod order;
mod pacing;
mod paths;
mod pool;
mod popularity;
mod prefix;
mod reading;
mod request;
mod retries;
mod scheduler;
mod slots;
mod speed;
mod store;
mod unmet;
mod warm;

pub use fleet::explanation::Explanation;

pub use crate::scheduler::Scheduler;
