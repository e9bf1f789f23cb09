//! Why a keeper cannot start or go on.

use std::io;

use base::Name;

/// Why a keeper cannot start or go on.
#[derive(Debug, thiserror::Error)]
pub enum Error {
    /// The settings do not have the host.
    #[error("entries: no host '{0}'")]
    UnknownHost(Name),
    /// An address cannot be listened on.
    #[error("entries: {setting} '{address}': {source}")]
    Listen {
        /// The setting.
        setting: &'static str,
        /// The address.
        address: Name,
        /// The cause.
        source: io::Error,
    },
    /// A committed command cannot be decoded: it is damaged or of a later version.
    #[error("the command at index {index} cannot be decoded: {message}")]
    Command {
        /// The index.
        index: u64,
        /// What is wrong.
        message: String,
    },
    /// A snapshot cannot be decoded.
    #[error(transparent)]
    Snapshot(#[from] state::Corrupt),
    /// The files cannot be read or written.
    #[error("data: {0}")]
    Disk(#[from] disk::Error),
    /// The data folder belongs to another host.
    #[error("data: the folder belongs to host '{0}'")]
    OtherHost(Name),
    /// The metrics cannot be registered.
    #[error("metrics: {0}")]
    Metrics(#[from] prometheus::Error),
    /// A task of the keeper ended unexpectedly.
    #[error("a task ended unexpectedly: {0}")]
    Task(String),
}
