//! The command line of `radish-keeper`.

use std::path::PathBuf;

use base::Name;
use lexopt::ValueExt;

/// What `--help` prints.
pub const HELP: &str = "\
The keeper of radishbank: holds the replicated state of a site.

Usage: radish-keeper --config FILE --host NAME [OPTIONS]

Options:
      --config FILE  The settings of the site, JSON with comments
      --host NAME    The entry host that this keeper runs on
      --bootstrap    Found a new group; on one keeper with an empty data folder, once
      --check        Check the settings and end
      --version      Print the version
      --help         Print this help
";

/// What the command line asks for.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Task {
    /// Print the help.
    Help,
    /// Print the version.
    Version,
    /// Run or check.
    Run(Run),
}

/// How to run.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Run {
    /// The file of settings.
    pub config: PathBuf,
    /// The entry host.
    pub host: Name,
    /// Whether to found a new group.
    pub bootstrap: bool,
    /// Whether to check the settings only.
    pub check: bool,
}

/// Parses the arguments behind the program's name.
///
/// # Errors
///
/// An unknown or a missing option.
pub fn parse(
    arguments: impl IntoIterator<Item = impl Into<std::ffi::OsString>>,
) -> Result<Task, lexopt::Error> {
    let mut parser = lexopt::Parser::from_args(arguments);
    let mut config = None;
    let mut host = None;
    let mut bootstrap = false;
    let mut check = false;
    while let Some(argument) = parser.next()? {
        match argument {
            lexopt::Arg::Long("config") => config = Some(PathBuf::from(parser.value()?)),
            lexopt::Arg::Long("host") => host = Some(parser.value()?.string()?),
            lexopt::Arg::Long("bootstrap") => bootstrap = true,
            lexopt::Arg::Long("check") => check = true,
            lexopt::Arg::Long("version") => return Ok(Task::Version),
            lexopt::Arg::Long("help") | lexopt::Arg::Short('h') => return Ok(Task::Help),
            _ => return Err(argument.unexpected()),
        }
    }
    let config = config.ok_or("missing option '--config'")?;
    let host = Name::from(host.ok_or("missing option '--host'")?);
    Ok(Task::Run(Run { config, host, bootstrap, check }))
}
