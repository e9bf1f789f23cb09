//! The program `radish-stub`.

use std::process::ExitCode;

use stub::cli;
use stub::cli::Command;
use stub::program;

/// Exit code for invalid arguments or settings.
const USAGE_ERROR: u8 = 2;

#[tokio::main]
async fn main() -> ExitCode {
    let outcome = match cli::parse(std::env::args_os().skip(1)) {
        Ok(Command::Help) => {
            print!("{}", cli::HELP);
            Ok(())
        }
        Ok(Command::Version) => {
            println!("radish-stub {}", env!("CARGO_PKG_VERSION"));
            Ok(())
        }
        Ok(command) => program::run(command).await,
        Err(error) => Err(error.to_string()),
    };
    match outcome {
        Ok(()) => ExitCode::SUCCESS,
        Err(message) => {
            eprintln!("radish-stub: {message}");
            ExitCode::from(USAGE_ERROR)
        }
    }
}
