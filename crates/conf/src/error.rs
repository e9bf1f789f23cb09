//! What can be wrong with settings.

use std::io;
use std::path::PathBuf;

/// What can be wrong with settings.
#[derive(Debug, thiserror::Error)]
pub enum Error {
    /// The file cannot be read.
    #[error("{path}: {source}", path = path.display())]
    Read {
        /// The file.
        path: PathBuf,
        /// The cause.
        source: io::Error,
    },
    /// The text is no JSON with comments, or a setting is unknown or has a value of another type.
    #[error("{path}: {message}", path = path.display())]
    Parse {
        /// The file.
        path: PathBuf,
        /// What is wrong, with line and column.
        message: String,
    },
    /// Settings contradict each other.
    #[error("{path}: {setting}: {message}", path = path.display())]
    Contradiction {
        /// The file.
        path: PathBuf,
        /// The setting.
        setting: String,
        /// What is wrong.
        message: String,
    },
}
