//! Open-loop load against a site, and experiments that compare sites.
//!
//! Arrivals are a Poisson process that waits for no answer; latency counts from the intended
//! time. Each answer is checked against the request, the adapter and the version that it is for.

pub mod attempt;
pub mod cli;
pub mod directory;
pub mod experiment;
pub mod program;
pub mod records;
pub mod render;
pub mod report;
pub mod run;
pub mod settings;
pub mod tally;
pub mod workload;
pub mod zipf;

mod budget;
mod check;
mod send;
mod stream;

pub use crate::report::Report;
pub use crate::settings::Run;
