//! Errors of a keeper.

use std::io;

use base::Name;

/// The error that prevents a keeper from starting or ends it.
#[derive(Debug, thiserror::Error)]
pub enum Error {
    /// The settings do not contain the host.
    #[error("entries: unknown host '{0}'")]
    UnknownHost(Name),
    /// The keeper cannot listen on an address.
    #[error("entries: {setting}: cannot listen on '{address}': {source}")]
    Listen {
        /// The setting.
        setting: &'static str,
        /// The address.
        address: Name,
        /// The cause.
        source: io::Error,
    },
    /// A committed command cannot be decoded, because it is damaged or was written by a later version.
    #[error("cannot decode the command at index {index}: {message}")]
    Command {
        /// The log index.
        index: u64,
        /// The error of the decoder.
        message: String,
    },
    /// A snapshot cannot be decoded.
    #[error(transparent)]
    Snapshot(#[from] state::Corrupt),
    /// The data directory cannot be read or written.
    #[error("data: {0}")]
    Disk(#[from] disk::Error),
    /// The data directory belongs to another host.
    #[error("data: the directory belongs to host '{0}'")]
    OtherHost(Name),
    /// The metrics cannot be registered.
    #[error("cannot register metrics: {0}")]
    Metrics(#[from] prometheus::Error),
    /// A task of the keeper ended unexpectedly.
    #[error("a task ended unexpectedly: {0}")]
    Task(String),
}
