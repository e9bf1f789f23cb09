//! Stubs for model engines, plain services, the weight store and a faulty network.
//!
//! The program `radish-stub` runs each as a separate process; a test can also run them in its own
//! process through this library. Each stub records the requests it received, so that a test can
//! compare the record with the responses that callers got.

pub mod answer;
pub mod cli;
pub mod client;
pub mod clock;
pub mod engine;
pub mod fault;
pub mod program;
pub mod proxy;
pub mod record;
pub mod server;
pub mod service;
pub mod store;

mod announce;

pub use crate::engine::Engine;
pub use crate::fault::Faults;
pub use crate::proxy::Proxy;
pub use crate::service::Service;
pub use crate::store::Store;
