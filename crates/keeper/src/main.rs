//! The program `radish-keeper`.

use std::process::ExitCode;

use base::Event;
use keeper::Keeper;
use keeper::Options;
use keeper::cli;
use tokio::signal::unix::SignalKind;
use tokio::signal::unix::signal;

/// The exit code for a wrong command line.
const USAGE: u8 = 2;

fn main() -> ExitCode {
    match cli::parse(std::env::args_os().skip(1)) {
        Ok(cli::Task::Help) => {
            print!("{}", cli::HELP);
            ExitCode::SUCCESS
        }
        Ok(cli::Task::Version) => {
            println!("radish-keeper {}", env!("CARGO_PKG_VERSION"));
            ExitCode::SUCCESS
        }
        Ok(cli::Task::Run(task)) => finish(run(task)),
        Err(error) => {
            eprintln!("radish-keeper: {error}; see --help");
            ExitCode::from(USAGE)
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

fn run(task: cli::Run) -> Result<(), Box<dyn std::error::Error>> {
    let config = conf::read(&task.config)?;
    let entry = config.entry(&task.host);
    let entry = entry.ok_or_else(|| {
        let path = task.config.display();
        format!("{path}: entries: no host '{}'", task.host)
    })?;
    if task.bootstrap && entry.data.is_none() {
        return Err("--bootstrap needs a keeper with a data folder".into());
    }
    if task.check {
        return Ok(());
    }
    base::start_log(config.log.format, &config.log.filter);
    let mut options = Options::new(config, task.host);
    options.bootstrap = task.bootstrap;
    let runtime = tokio::runtime::Builder::new_multi_thread().enable_all().build()?;
    Ok(runtime.block_on(serve(options))?)
}

/// Runs a keeper until it is told to stop.
async fn serve(options: Options) -> Result<(), keeper::Error> {
    let mut keeper = Keeper::start(options).await?;
    let failed = tokio::select! {
        result = keeper.wait() => Some(result),
        () = asked_to_stop() => None,
    };
    let result = match failed {
        Some(result) => result,
        None => keeper.stop().await,
    };
    base::event!(INFO, Event::Stopped, "the keeper ends");
    result
}

/// Waits for SIGTERM or SIGINT.
async fn asked_to_stop() {
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
