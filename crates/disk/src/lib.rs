//! The files of one replica: an append-only log in segments, the latest snapshot, and who it is.
//!
//! What is handed to a [`Store`] is on disk once [`Store::sync`] has returned. All that one sync writes
//! is one frame with one checksum, and the next frame is written only after it; so a bad frame at the
//! very end was never promised to anybody and is cut, and one with a good frame behind it is damage.

mod atomic_file;
mod error;
mod files;
mod frame;
mod identity;
mod replay;
mod store;

pub use crate::error::Error;
pub use crate::files::Directory;
pub use crate::files::Files;
pub use crate::identity::Identity;
pub use crate::store::Store;
pub use crate::store::move_aside;
