//! The program `radish-keeper`.

use std::process::ExitCode;

use base::Event;
use keeper::Keeper;
use keeper::Options;
use keeper::cli;
use tokio::signal::unix::SignalKind;
use tokio::signal::unix::signal;

/// The exit code for an invalid command line.
const USAGE_EXIT_CODE: u8 = 2;

fn main() -> ExitCode {
    match cli::parse(std::env::args_os().skip(1)) {
        Ok(cli::Command::Help) => {
            print!("{}", cli::HELP);
            ExitCode::SUCCESS
        }
        Ok(cli::Command::Version) => {
            println!("radish-keeper {}", env!("CARGO_PKG_VERSION"));
            ExitCode::SUCCESS
        }
        Ok(cli::Command::Run(options)) => finish(run(options)),
        Err(error) => {
            eprintln!("radish-keeper: {error}; see --help");
            ExitCode::from(USAGE_EXIT_CODE)
        }
    }
}

fn finish(result: Result<(), Box<dyn std::error::Error>>) -> ExitCode {
    match result {
        Ok(()) => ExitCode::SUCCESS,
        Err(error) => {
            eprintln!("radish-keeper: {error}");
            ExitCode::FAILURE
        }
    }
}

fn run(command: cli::Run) -> Result<(), Box<dyn std::error::Error>> {
    let config = conf::read(&command.config)?;
    let entry = config.entry(&command.host);
    let entry = entry.ok_or_else(|| {
        let path = command.config.display();
        format!("{path}: entries: unknown host '{}'", command.host)
    })?;
    if command.bootstrap && entry.data.is_none() {
        return Err("--bootstrap requires a keeper with a data directory".into());
    }
    if command.check {
        return Ok(());
    }
    let _log = base::start_log(config.log.format, &config.log.filter);
    let mut options = Options::new(config, command.host);
    options.bootstrap = command.bootstrap;
    let runtime = tokio::runtime::Builder::new_multi_thread().enable_all().build()?;
    Ok(runtime.block_on(serve(options))?)
}

/// Runs a keeper until it fails or a stop signal arrives.
async fn serve(options: Options) -> Result<(), keeper::Error> {
    let mut keeper = Keeper::start(options).await?;
    let ended = tokio::select! {
        result = keeper.wait() => Some(result),
        () = stop_signal() => None,
    };
    let result = match ended {
        Some(result) => result,
        None => keeper.stop().await,
    };
    base::event!(INFO, Event::Stopped, "the keeper has stopped");
    result
}

/// Waits for `SIGTERM` or `SIGINT`.
async fn stop_signal() {
    let (Ok(mut term), Ok(mut interrupt)) =
        (signal(SignalKind::terminate()), signal(SignalKind::interrupt()))
    else {
        return std::future::pending().await;
    };
    tokio::select! {
        _ = term.recv() => {}
        _ = interrupt.recv() => {}
    }
}
