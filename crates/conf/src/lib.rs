//! Reads and validates the settings file of a site, written in JSON with comments.

mod check;
mod config;
mod error;
mod keys;
mod read;
mod source;
mod table;

pub use crate::check::check;
pub use crate::config::Config;
pub use crate::config::Entry;
pub use crate::error::Diagnostic;
pub use crate::error::Error;
pub use crate::error::Position;
pub use crate::keys::Keys;
pub use crate::read::parse;
pub use crate::read::read;
pub use crate::table::Setting;
pub use crate::table::markdown;
pub use crate::table::table;

/// The sections of [`Config`].
pub mod section {
    pub use crate::config::Feature;
    pub use crate::config::Journal;
    pub use crate::config::Limits;
    pub use crate::config::Log;
    pub use crate::config::Placement;
    pub use crate::config::Store;
    pub use crate::config::Strategy;
    pub use crate::config::Tenant;
    pub use crate::config::Timing;
    pub use crate::config::Tls;
    pub use crate::config::Tokens;
}
