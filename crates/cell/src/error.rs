//! What ends a keeper.

/// What ends a keeper.
#[derive(Debug, thiserror::Error)]
pub enum Error {
    /// An address can't be listened on.
    #[error("can't listen on {address}: {source}")]
    Listen {
        /// The address.
        address: std::net::SocketAddr,
        /// The cause.
        source: std::io::Error,
    },
    /// The replica's files can't be read or written.
    #[error(transparent)]
    Disk(#[from] disk::Error),
    /// A task ended.
    #[error("a task ended: {0}")]
    Task(String),
    /// An entry of the log or a snapshot can't be decoded.
    #[error("entry {index} can't be decoded: {message}")]
    Entry {
        /// The position in the log.
        index: u64,
        /// The cause.
        message: String,
    },
}
