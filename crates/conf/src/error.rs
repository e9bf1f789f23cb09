//! Errors of reading and checking settings.

use std::fmt;
use std::io;
use std::path::PathBuf;

/// The error of reading or checking a settings file.
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
    /// The text is not valid JSON with comments, a setting is unknown or has the wrong type, or settings
    /// contradict each other.
    #[error("{}", list(path, diagnostics))]
    Invalid {
        /// The file.
        path: PathBuf,
        /// The problems found, sorted by position in the file; never empty.
        diagnostics: Vec<Diagnostic>,
    },
}

/// A problem with one setting.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Diagnostic {
    /// The position in the file; `None` if the file contains neither the setting nor its section.
    pub position: Option<Position>,
    /// The path of the setting, such as `entries[1].gate`; empty if the text cannot be parsed.
    pub setting: String,
    /// The description of the problem.
    pub message: String,
}

/// A position in a file; line and column start at 1.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub struct Position {
    /// The line.
    pub line: usize,
    /// The column, counted in characters.
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

/// Formats the diagnostics, one per line.
fn list(path: &std::path::Path, diagnostics: &[Diagnostic]) -> String {
    let line = |fault: &Diagnostic| match fault.position {
        Some(_) => format!("{}:{fault}", path.display()),
        None => format!("{}: {fault}", path.display()),
    };
    diagnostics.iter().map(line).collect::<Vec<_>>().join("\n")
}
