//! What can go wrong with the files.

use std::io;

/// What can go wrong with the files.
#[derive(Debug, thiserror::Error)]
pub enum Error {
    /// A call of the operating system failed; the store takes no more writes.
    #[error("{file}: {source}")]
    Io {
        /// The file.
        file: String,
        /// The cause.
        source: io::Error,
    },
    /// A file has been changed since it was synced. The replica may have voted or acknowledged
    /// something that is lost, so it must not go on under its id.
    #[error("{file}: damaged at byte {offset}: {message}")]
    Damaged {
        /// The file.
        file: String,
        /// Where the damage begins, in bytes.
        offset: u64,
        /// What is wrong.
        message: &'static str,
    },
    /// Another process has the folder open.
    #[error("the folder is in use by another process")]
    InUse,
    /// An earlier write failed, so it is unknown what is on disk.
    #[error("an earlier write failed")]
    WriteFailed,
}

impl Error {
    /// Creates the function that adds a file's name to a cause.
    pub(crate) fn io(file: &str) -> impl FnOnce(io::Error) -> Error {
        let file = file.to_owned();
        |source| Error::Io { file, source }
    }

    /// Creates an error for a damaged file.
    pub(crate) fn damaged(file: &str, offset: u64, message: &'static str) -> Error {
        Error::Damaged { file: file.to_owned(), offset, message }
    }
}
