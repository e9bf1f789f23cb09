//! Common types: names, hash tables, result codes and log events.

mod code;
mod event;
mod hash;
mod log;
mod name;

pub use crate::code::Code;
pub use crate::code::Ran;
pub use crate::event::Class;
pub use crate::event::Event;
pub use crate::hash::Map;
pub use crate::hash::Set;
pub use crate::log::Format;
pub use crate::log::Guard as LogGuard;
pub use crate::log::Writer as LogWriter;
pub use crate::log::build as build_log;
pub use crate::log::start as start_log;
pub use crate::name::Name;
#[doc(hidden)]
pub use tracing;

/// Computes the 64-bit digest that identifies bodies and requests.
pub fn digest(bytes: &[u8]) -> u64 {
    xxhash_rust::xxh3::xxh3_64(bytes)
}
