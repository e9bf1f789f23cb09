//! Open-loop load generator for a site, and experiments that compare sites.
//!
//! Arrivals are a Poisson process that does not wait for responses. Latency is measured from the
//! scheduled start, so that a slow site does not hide its queueing delay (coordinated omission).
//! Each response is checked against the request, the adapter and the version.

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
