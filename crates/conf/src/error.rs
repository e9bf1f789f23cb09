//! What can be wrong with settings.

use std::fmt;
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
    /// The text is no JSON with comments, a setting is unknown or of another type, or settings
    /// contradict each other.
    #[error("{}", list(path, diagnostics))]
    Invalid {
        /// The file.
        path: PathBuf,
        /// All that was found, in the order of the file; never empty.
        diagnostics: Vec<Diagnostic>,
    },
}

/// Something wrong with one setting.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Diagnostic {
    /// Where it stands; none if the setting is missing and so is its section.
    pub position: Option<Position>,
    /// The path of the setting, such as `entries[1].gate`; empty if the text cannot be parsed.
    pub setting: String,
    /// What is wrong.
    pub message: String,
}

/// A place in a file; both numbers start at 1.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub struct Position {
    /// The line.
    pub line: usize,
    /// The column, in characters.
    pub column: usize,
}

impl fmt::Display for Diagnostic {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        if let Some(Position { line, column }) = self.position {
            write!(f, "{line}:{column}: ")?;
        }
        if !self.setting.is_empty() {
            write!(f, "{}: ", self.setting)?;
        }
        f.write_str(&self.message)
    }
}

/// Lists the diagnostics, one a line.
fn list(path: &std::path::Path, diagnostics: &[Diagnostic]) -> String {
    let line = |fault: &Diagnostic| match fault.position {
        Some(_) => format!("{}:{fault}", path.display()),
        None => format!("{}: {fault}", path.display()),
    };
    diagnostics.iter().map(line).collect::<Vec<_>>().join("\n")
}
