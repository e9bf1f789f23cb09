//! Errors of a command.

use std::io;

use wire::http;

/// The error of a command.
#[derive(Debug, thiserror::Error)]
pub enum Error {
    /// The arguments are not valid.
    #[error("{0}; see radishctl --help")]
    Usage(String),
    /// The settings are not valid.
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
    /// A line of a file of changes is not valid or was refused.
    #[error("{path}:{line}: {source}")]
    Line {
        /// The file.
        path: String,
        /// The line number, starting at 1.
        line: usize,
        /// The error of the line.
        source: Box<Error>,
    },
    /// No gate responded.
    #[error("no gate responded: {0}")]
    Unreachable(String),
    /// No keeper that leads responded.
    #[error("{0}")]
    NoLeader(String),
    /// The keeper that leads can't answer a question.
    #[error("{0}")]
    Question(String),
    /// The site refused the request.
    #[error("refused: {} {}: {}", .0.code.number(), .0.kind, .0.message)]
    Refused(Box<http::Error>),
    /// A response is not valid.
    #[error("invalid response from {address}: {message}")]
    Response {
        /// The address of the gate.
        address: String,
        /// The description of the problem.
        message: String,
    },
    /// The change was accepted but did not come into force at every gate in time.
    #[error("revision {revision} is accepted but not in force everywhere after {seconds} s")]
    NotInForce {
        /// The revision.
        revision: u64,
        /// The time waited, in seconds.
        seconds: u64,
    },
}

impl Error {
    /// Returns the exit code: 2 for usage, 3 for unreachable, 4 for refused, 5 for accepted but not in force, 1
    /// for all others.
    pub fn exit_code(&self) -> u8 {
        match self {
            Error::Usage(_) => 2,
            Error::Unreachable(_) | Error::NoLeader(_) => 3,
            Error::Refused(_) | Error::Question(_) => 4,
            Error::NotInForce { .. } => 5,
            Error::Line { source, .. } => source.exit_code(),
            Error::Settings(_) | Error::File { .. } | Error::Response { .. } => 1,
        }
    }
}

impl From<lexopt::Error> for Error {
    fn from(error: lexopt::Error) -> Error {
        Error::Usage(error.to_string())
    }
}
