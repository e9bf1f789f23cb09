//! The commands of `radish-load`.

use std::fs;
use std::process::ExitCode;

use crate::cli;
use crate::cli::Command;
use crate::experiment;
use crate::render;
use crate::run;
use crate::settings;

/// Exit code of a run with a wrong response or a violation.
const FAILED: u8 = 1;

/// Runs a command; the error is a message for the user.
pub async fn run(command: Command) -> Result<ExitCode, String> {
    match command {
        Command::Help => print!("{}", cli::HELP),
        Command::Version => println!("radish-load {}", env!("CARGO_PKG_VERSION")),
        Command::Run(options) => return load(options).await,
        Command::Experiment(options) => compare(options).await?,
    }
    Ok(ExitCode::SUCCESS)
}

async fn load(options: cli::Run) -> Result<ExitCode, String> {
    let mut settings = settings::read(&options.file)?;
    settings.rate = options.rate.unwrap_or(settings.rate);
    settings.seconds = options.seconds.unwrap_or(settings.seconds);
    settings.seed = options.seed.unwrap_or(settings.seed);
    settings.check()?;
    let report = run::run(&settings).await;
    if options.json {
        let json = serde_json::to_string_pretty(&report).map_err(|error| error.to_string())?;
        println!("{json}");
    } else {
        print!("{report}");
    }
    let passed = report.wrong == 0 && report.violations == 0;
    Ok(if passed { ExitCode::SUCCESS } else { ExitCode::from(FAILED) })
}

async fn compare(options: cli::Experiment) -> Result<(), String> {
    let experiment = experiment::read(&options.file)?;
    let cells = experiment::run(&experiment, |cell| eprintln!("{cell}")).await?;
    print!("{}", render::table(&experiment, &cells));
    let write = |name: &str, text: String| {
        let path = options.output.join(name);
        fs::write(&path, text).map_err(|error| format!("{}: {error}", path.display()))
    };
    fs::create_dir_all(&options.output)
        .map_err(|error| format!("{}: {error}", options.output.display()))?;
    let raw = serde_json::to_string_pretty(&cells).map_err(|error| error.to_string())?;
    write("raw.json", raw)?;
    write("report.html", render::html(&experiment, &cells)?)
}
