//! Stand-ins for model engines, plain services, the weight store and a faulty network.
//!
//! Each is a process of its own on loopback through `radish-stub`, or a part of a test through
//! this library. What they saw is kept and can be read, so that a test compares it with what
//! callers were told.

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
