//! The command line of `radish-load`.

use std::ffi::OsString;
use std::fmt;
use std::path::PathBuf;
use std::str::FromStr;

use lexopt::Arg;
use lexopt::Parser;
use lexopt::ValueExt;

/// The text of `--help`.
pub const HELP: &str = "\
radish-load: open-loop load generator, and experiments that compare sites

Usage: radish-load run FILE [OPTIONS]
       radish-load experiment FILE [--output FOLDER]

Options of run:
  --json           prints the report as JSON
  --rate N         overrides the request rate per second
  --seconds N      overrides the duration of arrivals
  --seed N         overrides the seed

Options of experiment:
  --output FOLDER  the folder for report.html and raw.json [.]

  --help, --version

The exit code of run is 1 if a response was wrong or a stub recorded a violation.
";

/// A parsed command line.
#[derive(Clone, Debug, PartialEq)]
pub enum Command {
    /// Print [`HELP`].
    Help,
    /// Print the version.
    Version,
    /// Run a load.
    Run(Run),
    /// Run an experiment.
    Experiment(Experiment),
}

/// The arguments of `run`.
#[derive(Clone, Debug, Default, PartialEq)]
pub struct Run {
    /// The settings file.
    pub file: PathBuf,
    /// Whether to print the report as JSON.
    pub json: bool,
    /// Overrides the rate.
    pub rate: Option<f64>,
    /// Overrides the duration of arrivals, in seconds.
    pub seconds: Option<f64>,
    /// Overrides the seed.
    pub seed: Option<u64>,
}

/// The arguments of `experiment`.
#[derive(Clone, Debug, Default, PartialEq)]
pub struct Experiment {
    /// The settings file.
    pub file: PathBuf,
    /// The folder for the report.
    pub output: PathBuf,
}

/// Parses the arguments after the program name.
pub fn parse(args: impl IntoIterator<Item = OsString>) -> Result<Command, lexopt::Error> {
    let mut parser = Parser::from_args(args);
    match parser.next()? {
        Some(Arg::Long("help") | Arg::Short('h')) => Ok(Command::Help),
        Some(Arg::Long("version") | Arg::Short('V')) => Ok(Command::Version),
        Some(Arg::Value(name)) => match name.to_string_lossy().as_ref() {
            "run" => parse_run(parser),
            "experiment" => parse_experiment(parser),
            other => Err(format!("unknown command '{other}', see --help").into()),
        },
        Some(other) => Err(other.unexpected()),
        None => Err("a command is missing, see --help".into()),
    }
}

fn parse_run(mut parser: Parser) -> Result<Command, lexopt::Error> {
    let mut run = Run::default();
    let mut file = None;
    while let Some(arg) = parser.next()? {
        match arg {
            Arg::Long("help") => return Ok(Command::Help),
            Arg::Long("json") => run.json = true,
            Arg::Long("rate") => run.rate = Some(value(&mut parser, "rate")?),
            Arg::Long("seconds") => run.seconds = Some(value(&mut parser, "seconds")?),
            Arg::Long("seed") => run.seed = Some(value(&mut parser, "seed")?),
            Arg::Value(value) if file.is_none() => file = Some(PathBuf::from(value)),
            other => return Err(other.unexpected()),
        }
    }
    run.file = file.ok_or("the settings file is missing, see --help")?;
    Ok(Command::Run(run))
}

fn parse_experiment(mut parser: Parser) -> Result<Command, lexopt::Error> {
    let mut experiment = Experiment { output: PathBuf::from("."), ..Experiment::default() };
    let mut file = None;
    while let Some(arg) = parser.next()? {
        match arg {
            Arg::Long("help") => return Ok(Command::Help),
            Arg::Long("output") => experiment.output = PathBuf::from(parser.value()?),
            Arg::Value(value) if file.is_none() => file = Some(PathBuf::from(value)),
            other => return Err(other.unexpected()),
        }
    }
    experiment.file = file.ok_or("the settings file is missing, see --help")?;
    Ok(Command::Experiment(experiment))
}

/// Parses the value of an option; the error names the option.
fn value<T>(parser: &mut Parser, option: &str) -> Result<T, lexopt::Error>
where
    T: FromStr,
    T::Err: fmt::Display,
{
    let text = parser.value()?.string()?;
    text.parse().map_err(|error| format!("--{option} '{text}': {error}").into())
}
