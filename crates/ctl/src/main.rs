//! The program `radishctl`, the command line tool for operators.

use std::env;
use std::process::ExitCode;

#[tokio::main(flavor = "current_thread")]
async fn main() -> ExitCode {
    let options = match ctl::parse(env::args_os().skip(1)) {
        Ok(options) => options,
        Err(error) => return fail(&error),
    };
    match ctl::run(&options).await {
        Ok(text) => {
            print!("{text}");
            ExitCode::SUCCESS
        }
        Err(error) => fail(&error),
    }
}

fn fail(error: &ctl::Error) -> ExitCode {
    eprintln!("radishctl: {error}");
    ExitCode::from(error.exit_code())
}
