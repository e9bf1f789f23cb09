//! Settings of all programs, written in JSON with comments.

mod config;
mod error;
mod read;

pub use crate::config::Config;
pub use crate::config::Entry;
pub use crate::error::Error;
pub use crate::read::parse;
pub use crate::read::read;

/// The sections of [`Config`].
pub mod section {
    pub use crate::config::Journal;
    pub use crate::config::Limits;
    pub use crate::config::Log;
    pub use crate::config::Part;
    pub use crate::config::Placement;
    pub use crate::config::Scheme;
    pub use crate::config::Store;
    pub use crate::config::Timing;
    pub use crate::config::Tls;
    pub use crate::config::Tokens;
}
