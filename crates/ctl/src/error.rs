//! Why a command failed.

use std::io;

use wire::http;

/// Why a command failed.
#[derive(Debug, thiserror::Error)]
pub enum Error {
    /// The arguments are wrong.
    #[error("{0}; see radishctl --help")]
    Usage(String),
    /// The settings are wrong.
    #[error(transparent)]
    Settings(#[from] conf::Error),
    /// A file cannot be read.
    #[error("{path}: {source}")]
    File {
        /// The file.
        path: String,
        /// The cause.
        source: io::Error,
    },
    /// A line of a file of changes is wrong or was refused.
    #[error("{path}:{line}: {source}")]
    Line {
        /// The file.
        path: String,
        /// The line, from 1.
        line: usize,
        /// What is wrong.
        source: Box<Error>,
    },
    /// No address answered.
    #[error("no gate answered: {0}")]
    Unreachable(String),
    /// The site refused.
    #[error("refused: {} {}: {}", .0.code.number(), .0.kind, .0.message)]
    Refused(Box<http::Error>),
    /// The answer cannot be read.
    #[error("the answer of {address} cannot be read: {message}")]
    Answer {
        /// Who answered.
        address: String,
        /// What is wrong.
        message: String,
    },
    /// The change is accepted but was not in force everywhere in time.
    #[error("revision {revision} is accepted but not in force everywhere after {seconds} s")]
    NotInForce {
        /// The revision.
        revision: u64,
        /// The time waited.
        seconds: u64,
    },
}

impl Error {
    /// Returns the exit code: 2 usage, 3 unreachable, 4 refused, 5 accepted and not in force, 1 others.
    pub fn exit_code(&self) -> u8 {
        match self {
            Error::Usage(_) => 2,
            Error::Unreachable(_) => 3,
            Error::Refused(_) => 4,
            Error::NotInForce { .. } => 5,
            Error::Line { source, .. } => source.exit_code(),
            Error::Settings(_) | Error::File { .. } | Error::Answer { .. } => 1,
        }
    }
}

impl From<lexopt::Error> for Error {
    fn from(error: lexopt::Error) -> Error {
        Error::Usage(error.to_string())
    }
}
