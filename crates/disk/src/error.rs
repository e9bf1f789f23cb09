//! Errors of the store.

use std::io;

/// An error of the store.
#[derive(Debug, thiserror::Error)]
pub enum Error {
    /// A call of the operating system failed. The store accepts no more writes.
    #[error("{file}: {source}")]
    Io {
        /// The file.
        file: String,
        /// The cause.
        source: io::Error,
    },
    /// A file changed after it was synced. The replica may have voted or acknowledged an entry that
    /// is now lost, so it must not continue under its id.
    #[error("{file}: damaged at byte {offset}: {message}")]
    Damaged {
        /// The file.
        file: String,
        /// Byte offset at which the damage begins.
        offset: u64,
        /// The kind of damage.
        message: &'static str,
    },
    /// Another process has the directory open.
    #[error("directory is in use by another process")]
    InUse,
    /// An earlier write failed, so the content on disk is unknown.
    #[error("an earlier write failed; the store accepts no more writes")]
    WriteFailed,
}

impl Error {
    /// Returns a function that adds a file name to an I/O error.
    pub(crate) fn io(file: &str) -> impl FnOnce(io::Error) -> Error {
        let file = file.to_owned();
        |source| Error::Io { file, source }
    }

    /// Creates an error for a damaged file.
    pub(crate) fn damaged(file: &str, offset: u64, message: &'static str) -> Error {
        Error::Damaged { file: file.to_owned(), offset, message }
    }
}
