//! The program `radish-gate`.

use std::process::ExitCode;

use gate::Gate;
use gate::cli;
use gate::cli::Command;
use tokio::signal::unix::SignalKind;
use tokio::signal::unix::signal;

/// The exit code for an invalid command line or invalid settings.
const USAGE_EXIT_CODE: u8 = 2;

fn main() -> ExitCode {
    let command = match cli::parse(std::env::args_os().skip(1)) {
        Ok(command) => command,
        Err(error) => return fail(&error, USAGE_EXIT_CODE),
    };
    match command {
        Command::Help => print!("{}", cli::HELP),
        Command::Version => println!("radish-gate {}", env!("CARGO_PKG_VERSION")),
        Command::Check { config, host } => match conf::read(&config) {
            Err(error) => return fail(&error, USAGE_EXIT_CODE),
            Ok(settings) => {
                let unknown = host.filter(|host| settings.entry(host).is_none());
                if let Some(host) = unknown {
                    return fail(&gate::Error::Host(host.into()), USAGE_EXIT_CODE);
                }
                println!("{}: the settings are correct", config.display());
            }
        },
        Command::Run { config, host } => match conf::read(&config) {
            Err(error) => return fail(&error, USAGE_EXIT_CODE),
            Ok(settings) => return run(settings, &host),
        },
    }
    ExitCode::SUCCESS
}

fn fail(error: &dyn std::error::Error, code: u8) -> ExitCode {
    eprintln!("radish-gate: {error}");
    ExitCode::from(code)
}

#[tokio::main]
async fn run(settings: conf::Config, host: &str) -> ExitCode {
    let _log = base::start_log(settings.log.format, &settings.log.filter);
    match Gate::bind(settings, host).await {
        Err(error) => fail(&error, 1),
        Ok(gate) => {
            gate.run(stop_signal()).await;
            ExitCode::SUCCESS
        }
    }
}

/// Waits for `SIGTERM` or `SIGINT`.
async fn stop_signal() {
    let (Ok(mut term), Ok(mut interrupt)) =
        (signal(SignalKind::terminate()), signal(SignalKind::interrupt()))
    else {
        return;
    };
    tokio::select! {
        _ = term.recv() => {}
        _ = interrupt.recv() => {}
    }
}
