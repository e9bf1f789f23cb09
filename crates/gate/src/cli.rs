//! The command line of `radish-gate`.

use std::ffi::OsString;
use std::path::PathBuf;

use lexopt::Arg;
use lexopt::Parser;
use lexopt::ValueExt;

/// The text of `--help`.
pub const HELP: &str = "\
radish-gate: routes requests from callers to endpoints

Usage: radish-gate --config FILE --host NAME [--check]

  --config FILE  the settings file, JSON with comments
  --host NAME    the entry host that this process runs on
  --check        check the settings and exit
  --version      print the version and exit
  --help         print this help and exit
";

/// A parsed command line.
#[derive(Clone, Debug, PartialEq)]
pub enum Command {
    /// Print the help.
    Help,
    /// Print the version.
    Version,
    /// Check the settings and exit.
    Check {
        /// The settings file.
        config: PathBuf,
        /// The entry host, if given.
        host: Option<String>,
    },
    /// Run the gate.
    Run {
        /// The settings file.
        config: PathBuf,
        /// The entry host.
        host: String,
    },
}

/// Parses the arguments that follow the program name.
pub fn parse(
    arguments: impl IntoIterator<Item = impl Into<OsString>>,
) -> Result<Command, lexopt::Error> {
    let mut parser = Parser::from_args(arguments);
    let mut config = None;
    let mut host = None;
    let mut check = false;
    while let Some(argument) = parser.next()? {
        match argument {
            Arg::Long("config") => config = Some(PathBuf::from(parser.value()?)),
            Arg::Long("host") => host = Some(parser.value()?.string()?),
            Arg::Long("check") => check = true,
            Arg::Long("version") | Arg::Short('V') => return Ok(Command::Version),
            Arg::Long("help") | Arg::Short('h') => return Ok(Command::Help),
            other => return Err(other.unexpected()),
        }
    }
    let config = config.ok_or("--config is missing")?;
    if check {
        return Ok(Command::Check { config, host });
    }
    let host = host.ok_or("--host is missing")?;
    Ok(Command::Run { config, host })
}
