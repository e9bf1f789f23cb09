//! The program `radish-load`.

use std::process::ExitCode;

use load::cli;
use load::program;

/// Exit code for invalid arguments or settings.
const USAGE_ERROR: u8 = 2;

#[tokio::main]
async fn main() -> ExitCode {
    let outcome = match cli::parse(std::env::args_os().skip(1)) {
        Ok(command) => program::run(command).await,
        Err(error) => Err(error.to_string()),
    };
    outcome.unwrap_or_else(|message| {
        eprintln!("radish-load: {message}");
        ExitCode::from(USAGE_ERROR)
    })
}
