//! The command line of `radish-keeper`.

use std::path::PathBuf;

use base::Name;
use lexopt::ValueExt;

/// The text of `--help`.
pub const HELP: &str = "\
radish-keeper: stores the replicated state of a radishbank site

Usage: radish-keeper --config FILE --host NAME [OPTIONS]

Options:
      --config FILE  the settings file of the site, JSON with comments
      --host NAME    the entry host that this keeper runs on
      --bootstrap    create a new group; only on one keeper with an empty data directory, once
      --check        check the settings and exit
      --version      print the version and exit
      --help         print this text and exit
";

/// A parsed command line.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Command {
    /// Print the help.
    Help,
    /// Print the version.
    Version,
    /// Run the keeper or check the settings.
    Run(Run),
}

/// The options of a run.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Run {
    /// The settings file.
    pub config: PathBuf,
    /// The entry host.
    pub host: Name,
    /// Whether to create a new Raft group.
    pub bootstrap: bool,
    /// Whether to check the settings and exit.
    pub check: bool,
}

/// Parses the arguments that follow the program name.
///
/// # Errors
///
/// An option is unknown or missing, or lacks its value.
pub fn parse(
    arguments: impl IntoIterator<Item = impl Into<std::ffi::OsString>>,
) -> Result<Command, lexopt::Error> {
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
            lexopt::Arg::Long("version") => return Ok(Command::Version),
            lexopt::Arg::Long("help") | lexopt::Arg::Short('h') => return Ok(Command::Help),
            _ => return Err(argument.unexpected()),
        }
    }
    let config = config.ok_or("missing option '--config'")?;
    let host = Name::from(host.ok_or("missing option '--host'")?);
    Ok(Command::Run(Run { config, host, bootstrap, check }))
}
