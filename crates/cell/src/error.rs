//! Fatal errors of a keeper.

/// A fatal error of a keeper.
#[derive(Debug, thiserror::Error)]
pub enum Error {
    /// Listening on an address failed.
    #[error("failed to listen on {address}: {source}")]
    Listen {
        /// The address.
        address: std::net::SocketAddr,
        /// The cause.
        source: std::io::Error,
    },
    /// Reading or writing the replica's files failed.
    #[error(transparent)]
    Disk(#[from] disk::Error),
    /// A background task ended unexpectedly.
    #[error("background task ended unexpectedly: {0}")]
    Task(String),
    /// A log entry or a snapshot can't be decoded.
    #[error("failed to decode log entry or snapshot at index {index}: {message}")]
    Entry {
        /// The position in the log.
        index: u64,
        /// The cause.
        message: String,
    },
}
