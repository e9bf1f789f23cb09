//! Storage of one replica: a segmented append-only log, the latest snapshot, and the replica's
//! identity.
//!
//! Data passed to a [`Store`] is durable once [`Store::sync`] has returned. Each sync writes one
//! frame with one checksum, and the next frame is written only after it. An invalid frame at the
//! very end was therefore never acknowledged and is truncated; an invalid frame with a valid one
//! after it is damage.

mod atomic_file;
mod cache;
mod error;
mod files;
mod frame;
mod identity;
mod private;
mod replay;
mod store;

pub use crate::cache::load_cache;
pub use crate::cache::save_cache;
pub use crate::error::Error;
pub use crate::files::Directory;
pub use crate::files::Files;
pub use crate::identity::Identity;
pub use crate::store::Store;
pub use crate::store::move_aside;
